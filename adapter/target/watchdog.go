package target

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/mangoknot/mangoknot/port"
)

// codeCallUnknown is the error code of the control interface for a call that the
// engine does not know.
const codeCallUnknown = "call_unknown"

// maxFailedChecks is the number of consecutive failed checks that end a stream. A
// single failure can be a lost packet or a request still in the socket buffers.
const maxFailedChecks = 3

var (
	errLost        = errors.New("the engine has lost the call, or cannot be reached")
	errNotReceived = errors.New("the engine does not know the call; the connection was silent before the request was sent")
	errHung        = errors.New("the engine's control interface does not answer")
)

// verdict is the result of a check of a connection that delivers no bytes.
type verdict int32

const (
	// verdictNone means that the engine is slow or was not checked.
	verdictNone verdict = iota
	// verdictSilent means that the engine has more events than the connection
	// delivered.
	verdictSilent
	// verdictLost means that the engine crashed, restarted or cancelled the call.
	verdictLost
	// verdictNotReceived means that the engine runs and does not know the call,
	// because a pooled connection was silent from the start. It is not reported
	// as a crash, because a crash counts against the request.
	verdictNotReceived
	// verdictHung means that the engine accepts connections and does not answer.
	verdictHung
)

// watchdog checks a stream that waits for bytes longer than
// Settings.SilenceTimeout. When a check finds that no bytes will arrive, it sets
// a verdict and cancels the connection, which unblocks the reader. A check that
// ends after its wait has no effect.
type watchdog struct {
	stream *stream
	timer  *time.Timer

	mutex      sync.Mutex
	waiting    bool
	waitSeq    int64 // sequence number of the wait
	disconnect context.CancelFunc
	result     verdict
	// failed counts the consecutive failed checks of this wait.
	failed int
	// uploaded is the upload progress at the last failed check.
	uploaded int64
	// behind reports whether the last check of this wait found events that the
	// connection had not delivered.
	behind bool
}

// newWatchdog returns a watchdog without a wait.
func newWatchdog(s *stream) *watchdog {
	w := &watchdog{stream: s}
	w.timer = time.AfterFunc(time.Hour, w.check)
	w.timer.Stop()
	return w
}

// start begins a wait for bytes of a connection, which disconnect cancels.
func (w *watchdog) start(disconnect context.CancelFunc) {
	w.mutex.Lock()
	w.waiting, w.disconnect, w.result, w.failed, w.behind = true, disconnect, verdictNone, 0, false
	w.waitSeq++
	w.mutex.Unlock()
	w.timer.Reset(w.stream.client.settings.SilenceTimeout)
}

// stop ends the wait. The verdict is kept until the next wait begins.
func (w *watchdog) stop() {
	w.timer.Stop()
	w.mutex.Lock()
	w.waiting = false
	w.mutex.Unlock()
}

func (w *watchdog) verdict() verdict {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.result
}

// check runs when the timer fires. It requests the status of the call without
// holding the mutex.
func (w *watchdog) check() {
	w.mutex.Lock()
	waiting, wait := w.waiting, w.waitSeq
	w.mutex.Unlock()
	if !waiting {
		return
	}
	var status callStatus
	var err error
	connected := w.stream.attempt.connected.Load()
	if connected {
		status, err = w.stream.status()
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !w.waiting || w.waitSeq != wait {
		return
	}
	if connected {
		w.result = w.classify(status, err)
	}
	if w.result != verdictNone {
		w.disconnect()
		return
	}
	w.timer.Reset(w.nextDelay())
}

// nextDelay returns the time until the next check. It is shorter when only a
// second check is needed to confirm that the connection is silent.
func (w *watchdog) nextDelay() time.Duration {
	if w.behind {
		return w.stream.client.settings.SilenceTimeout / 2
	}
	return w.stream.client.settings.SilenceTimeout
}

// classify returns the verdict for the result of a check. The mutex must be held.
func (w *watchdog) classify(status callStatus, err error) verdict {
	offset := w.stream.offset.Load()
	var failure *port.Failure
	switch {
	case err == nil && status.Cancelled:
		return verdictLost
	case err == nil:
		w.failed = 0
		return w.compareProgress(status, offset)
	case !errors.As(err, &failure) || failure.Kind == port.FailureCancelled:
		return verdictNone
	case errorCode(err) == codeCallUnknown:
		if offset > 0 {
			return verdictLost
		}
		return w.countFailure(verdictNotReceived)
	case failure.Kind == port.FailureBadAnswer: // no such control interface
		return verdictNone
	case failure.Kind == port.FailureTimeout:
		return w.countFailure(verdictHung)
	}
	return w.countFailure(verdictLost)
}

// compareProgress treats a connection as silent when two consecutive checks find
// it behind the engine, because at a single check the bytes can be in transit.
func (w *watchdog) compareProgress(status callStatus, offset int64) verdict {
	before := w.behind
	w.behind = status.Done || status.Events > offset
	if before && w.behind {
		return verdictSilent
	}
	return verdictNone
}

// countFailure returns the verdict after maxFailedChecks consecutive failures. An
// engine does not know a call while a large request is sent over a slow link, so
// progress of the upload resets the count.
func (w *watchdog) countFailure(v verdict) verdict {
	if uploaded := w.stream.uploaded.Load(); uploaded != w.uploaded {
		w.uploaded, w.failed = uploaded, 0
		return verdictNone
	}
	if w.failed++; w.failed < maxFailedChecks {
		return verdictNone
	}
	return v
}
