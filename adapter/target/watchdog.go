package target

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/mangoknot/mangoknot/port"
)

// codeCallUnknown is the control interface's code for a call that it lost.
const codeCallUnknown = "call_unknown"

// maxFailedChecks is the number of failed checks in a row that end a stream. A
// single one may be a lost packet or a request still in the socket's buffers.
const maxFailedChecks = 3

var (
	errLost        = errors.New("the engine has lost the call, or cannot be reached")
	errNotReceived = errors.New("the engine does not know the call; the connection was silent before the request")
	errHung        = errors.New("the engine's control interface does not answer")
)

// verdict is what a check found out about a connection without bytes.
type verdict int32

const (
	// verdictNone: the engine is slow, or was not checked.
	verdictNone verdict = iota
	// verdictSilent: the engine has more events than the connection delivered.
	verdictSilent
	// verdictLost: the engine crashed or restarted.
	verdictLost
	// verdictNotReceived: the engine runs and does not know the call, as a pooled
	// connection was silent from the start. This is no crash, which would make
	// the request suspect.
	verdictNotReceived
	// verdictHung: the engine accepts connections and does not answer.
	verdictHung
)

// watchdog checks a stream that waits for bytes longer than Settings.Silence.
// When the wait is in vain it sets a verdict and cuts the connection, which
// wakes the reader. A check that outlives its wait changes nothing.
type watchdog struct {
	stream *stream
	timer  *time.Timer

	mutex      sync.Mutex
	waiting    bool
	wait       int64 // numbers the waits
	disconnect context.CancelFunc
	result     verdict
	// failed counts the checks of this wait that failed in a row.
	failed   int
	uploaded int64
	// behind says that the last check of this wait found events that the
	// connection had not delivered.
	behind bool
}

func newWatchdog(s *stream) *watchdog {
	w := &watchdog{stream: s}
	w.timer = time.AfterFunc(time.Hour, w.check)
	w.timer.Stop()
	return w
}

// start begins a wait on the connection that cut ends.
func (w *watchdog) start(cut context.CancelFunc) {
	w.mutex.Lock()
	w.waiting, w.disconnect, w.result, w.failed, w.behind = true, cut, verdictNone, 0, false
	w.wait++
	w.mutex.Unlock()
	w.timer.Reset(w.stream.client.settings.SilenceTimeout)
}

// stop ends the wait. The verdict stays until the next one.
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

func (w *watchdog) check() {
	w.mutex.Lock()
	waiting, wait := w.waiting, w.wait
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
	if !w.waiting || w.wait != wait {
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

// nextDelay is shorter when only a second look is missing.
func (w *watchdog) nextDelay() time.Duration {
	if w.behind {
		return w.stream.client.settings.SilenceTimeout / 2
	}
	return w.stream.client.settings.SilenceTimeout
}

// classify is called with the mutex held.
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

// compareProgress takes a connection for silent when two checks in a row found it
// behind the engine, because a single one may meet bytes on their way.
func (w *watchdog) compareProgress(status callStatus, offset int64) verdict {
	before := w.behind
	w.behind = status.Done || status.Events > offset
	if before && w.behind {
		return verdictSilent
	}
	return verdictNone
}

// countFailure returns the verdict after enough failed checks. A large request on a
// narrow link is unknown to the engine while it is sent, so progress of the
// upload starts the countFailure again.
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
