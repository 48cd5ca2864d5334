package target

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"hash/maphash"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/port"
)

// Headers that identify the program and the call to engines.
const (
	headerProgram = "X-Engine-Program"
	headerCall    = "X-Engine-Call"
)

// cancelAttempts bounds the cancel requests for one call.
const cancelAttempts = 3

var (
	errRequestTooLarge = errors.New("the request body exceeds the limit; send a shorter conversation")
	errBadCallID       = errors.New("the call id holds characters that are not allowed in a path")
	errStreamedError   = errors.New("the engine sent an error inside the stream")
	errGap             = errors.New("the engine skipped events of the answer")
	errNoOffset        = errors.New("the engine resumed the stream with an event that has no offset")
	errOtherAnswer     = errors.New("the engine resumed the stream with events of another answer")
	errAnswerTooLarge  = errors.New("the answer exceeds the size limit")
	errForeignAnswer   = errors.New("the engine sent the answer of another call")
	errResumeLimit     = errors.New("the stream was lost after each resume; the limit on resumes is reached")
	errClosed          = errors.New("the stream was closed before its end")
)

// stream implements port.Stream. One goroutine reads it. The watchdog runs
// concurrently and uses only the atomic fields and the cancel function of the
// connection.
type stream struct {
	client   *Client
	call     port.TargetCall
	base     string
	ctx      context.Context
	cancel   context.CancelFunc
	attempt  *attempt
	watchdog *watchdog
	// offset is the number of events that Next has returned.
	offset atomic.Int64
	// uploaded counts the bytes of the request body that were sent.
	uploaded atomic.Int64

	connection  *connection
	resumes     int
	answerBytes int
	// digests holds a hash of each event that Next has returned, and last the
	// payload of the latest one.
	digests []uint64
	last    []byte
	usage   *domain.Usage
	endErr  error
	// stopCancelOnDone unregisters the cancel request that is sent when the
	// context ends.
	stopCancelOnDone func() bool
	cancelOnce       sync.Once
}

// connection is one HTTP exchange that carries the answer or the rest of it.
type connection struct {
	cancel context.CancelFunc
	body   io.Closer
	events events
	// offset is the number of events that were returned before the connection was
	// opened.
	offset int
}

func (c *connection) close() {
	c.cancel()
	c.body.Close()
}

// Call implements port.Targets.
func (c *Client) Call(ctx context.Context, call port.TargetCall) (port.Stream, error) {
	base, err := c.address(call.Target, config.TargetEngine)
	if err != nil {
		return nil, err
	}
	if err := c.checkCall(call); err != nil {
		return nil, &port.Failure{Kind: port.FailureRefused, Target: call.Target, Err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, c.settings.CallTimeout)
	s := &stream{client: c, call: call, base: base, ctx: ctx, cancel: cancel, attempt: &attempt{target: call.Target}}
	s.watchdog = newWatchdog(s)
	s.stopCancelOnDone = context.AfterFunc(ctx, func() { s.cancelAtEngine(cancelAttempts) })
	if err := s.open(); err != nil {
		return nil, s.finish(err)
	}
	return s, nil
}

// checkCall checks the limits and the call id before a request is sent.
func (c *Client) checkCall(call port.TargetCall) error {
	switch {
	case len(call.Body) > c.settings.MaxRequest:
		return errRequestTooLarge
	case call.Call == "" || url.PathEscape(string(call.Call)) != string(call.Call):
		return errBadCallID
	}
	return nil
}

// open sends the call. A connection that is lost before the response headers is
// recovered in the same way as one that is lost later.
func (s *stream) open() error {
	connection, err := s.connect(s.client.pooled, func(ctx context.Context) (*http.Request, error) {
		body := &countedBody{Reader: bytes.NewReader(s.call.Body), sent: &s.uploaded}
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, s.base+"/v1/chat/completions", body)
		if err != nil {
			return nil, err
		}
		r.ContentLength = int64(len(s.call.Body))
		r.Header.Set("Content-Type", contentJSON)
		r.Header.Set(headerProgram, programKey(s.call.Program))
		r.Header.Set(headerCall, string(s.call.Call))
		return r, nil
	})
	if err != nil {
		return s.recover(err)
	}
	s.connection = connection
	return nil
}

// countedBody counts the bytes that net/http reads from it. net/http cannot
// rewind a body of an unknown type and therefore never resends the request.
type countedBody struct {
	io.Reader
	sent *atomic.Int64
}

func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	b.sent.Add(int64(n))
	return n, err
}

// connect runs one exchange up to the response headers. The watchdog monitors
// the wait.
func (s *stream) connect(t *http.Transport, build func(context.Context) (*http.Request, error)) (*connection, error) {
	ctx, cancel := context.WithCancel(s.ctx)
	r, err := build(ctx)
	if err != nil {
		cancel()
		return nil, &port.Failure{Kind: port.FailureRefused, Target: s.call.Target, Err: err}
	}
	r.Header.Set("Accept", contentEvents+", "+contentJSON)
	r.Header["User-Agent"] = nil // stops net/http from adding its default
	s.watchdog.start(cancel)
	response, err := s.attempt.send(t, r)
	s.watchdog.stop()
	if err != nil {
		cancel()
		return nil, err
	}
	connection := &connection{cancel: cancel, body: response.Body, offset: int(s.offset.Load())}
	if err := s.checkResponse(connection, response); err != nil {
		connection.close()
		return nil, err
	}
	return connection, nil
}

// checkResponse rejects an answer with an error status or an unknown content
// type, and sets the decoder of the connection.
func (s *stream) checkResponse(c *connection, response *http.Response) (err error) {
	if response.StatusCode != http.StatusOK {
		s.watchdog.start(c.cancel)
		body, _ := io.ReadAll(io.LimitReader(response.Body, int64(s.client.settings.MaxControl)))
		s.watchdog.stop()
		return badAnswer(s.call.Target, response.StatusCode, body, "the engine answered with status %d", response.StatusCode)
	}
	if id := response.Header.Get(headerCall); id != "" && id != string(s.call.Call) {
		// A second answer to an earlier call on a reused connection.
		return badAnswer(s.call.Target, response.StatusCode, nil, "%w: it belongs to call %s", errForeignAnswer, id)
	}
	if c.events, err = newEvents(response, s.client.settings.MaxEvent); err != nil {
		return badAnswer(s.call.Target, response.StatusCode, nil, "%w", err)
	}
	return nil
}

// Next implements port.Stream.
func (s *stream) Next() (port.Event, error) {
	for s.endErr == nil {
		s.watchdog.start(s.connection.cancel)
		id, data, err := s.connection.events.next()
		s.watchdog.stop()
		offset := int(s.offset.Load())
		switch {
		case err == io.EOF:
			s.finish(io.EOF)
		case err != nil:
			s.connection.close()
			if err := s.recover(err); err != nil {
				s.finish(err)
			}
		default:
			next, err := s.checkOrder(id, data)
			if err != nil {
				s.finish(badAnswer(s.call.Target, 0, nil, "%w", err))
			} else if next {
				return s.deliver(offset, data)
			}
		}
	}
	return port.Event{}, s.endErr
}

// digestSeed is the seed of the hashes in stream.digests.
var digestSeed = maphash.MakeSeed()

// checkOrder reports whether an event is the next one of the answer. It returns
// false for a copy of an event that was returned before, and an error for an
// event that does not continue the answer.
func (s *stream) checkOrder(id int, data []byte) (next bool, err error) {
	offset := int(s.offset.Load())
	resumed := s.connection.offset > 0
	switch {
	case id == noID && resumed:
		return false, errNoOffset
	case id > offset:
		return false, fmt.Errorf("%w: got %d, want %d", errGap, id, offset)
	case id != noID && id < offset:
		if maphash.Bytes(digestSeed, data) != s.digests[id] {
			return false, fmt.Errorf("%w: event %d differs", errOtherAnswer, id)
		}
		return false, nil
	case resumed && offset == s.connection.offset && !sameAnswer(s.last, data):
		return false, errOtherAnswer
	}
	return true, nil
}

// deliver checks the payload of the next event, records its usage and returns
// the event.
func (s *stream) deliver(offset int, data []byte) (port.Event, error) {
	if s.answerBytes += len(data); s.answerBytes > s.client.settings.MaxAnswer {
		return port.Event{}, s.finish(badAnswer(s.call.Target, 0, nil, "%w", errAnswerTooLarge))
	}
	if isError(data) {
		return port.Event{}, s.finish(badAnswer(s.call.Target, 0, data, "%w", errStreamedError))
	}
	if usage := usageOf(data); usage != nil {
		s.usage = usage
	}
	s.resumes = 0
	s.digests, s.last = append(s.digests, maphash.Bytes(digestSeed, data)), data
	s.offset.Add(1)
	return port.Event{Offset: offset, Data: data}, nil
}

// recover resumes the answer at the current offset on a new connection. It
// returns the failure when the stream cannot be resumed.
func (s *stream) recover(err error) error {
	for {
		if failure := s.unrecoverable(err); failure != nil {
			return failure
		}
		s.resumes++
		s.client.log.Info(logPrefix+"resuming a stream on a new connection", "target", s.call.Target,
			"program", s.call.Program.String(), "call", s.call.Call, "offset", s.offset.Load(), "silent", s.watchdog.verdict() == verdictSilent)
		var connection *connection
		if connection, err = s.resume(); err == nil {
			s.connection = connection
			return nil
		}
	}
}

// unrecoverable returns the failure of a stream that cannot be resumed, or nil
// when a resume should be attempted.
func (s *stream) unrecoverable(err error) *port.Failure {
	failure := s.attempt.failure(s.ctx, err, s.offset.Load() > 0)
	verdict := s.watchdog.verdict()
	switch {
	case errors.Is(err, errEventTooLarge):
		return badAnswer(s.call.Target, 0, nil, "%w", err)
	case s.ctx.Err() != nil:
		return s.attempt.failure(s.ctx, s.ctx.Err(), s.offset.Load() > 0)
	case errorCode(err) == codeCallUnknown:
		return s.callFailure(s.crashKind(), errLost)
	case failure.Kind == port.FailureBadAnswer, failure.Kind == port.FailureRefused, !failure.Sent:
		return failure
	case verdict == verdictHung:
		return s.callFailure(port.FailureTimeout, errHung)
	case verdict == verdictNotReceived:
		s.client.pooled.CloseIdleConnections() // idle connections may be silent too
		return s.callFailure(port.FailureTimeout, errNotReceived)
	case verdict == verdictLost:
		return s.callFailure(s.crashKind(), errLost)
	case s.resumes >= s.client.settings.MaxResumes:
		return s.callFailure(s.crashKind(), fmt.Errorf("%w: %w", errResumeLimit, err))
	case verdict == verdictSilent:
		// Idle connections may be as silent as that of the stream.
		s.client.pooled.CloseIdleConnections()
		return nil
	}
	if _, err := s.status(); err != nil {
		return s.callFailure(s.crashKind(), fmt.Errorf("%w: %w", errLost, failure.Err))
	}
	return nil
}

// callFailure returns a failure of a request that was sent.
func (s *stream) callFailure(kind port.FailureKind, err error) *port.Failure {
	return &port.Failure{Kind: kind, Target: s.call.Target, Sent: true, Err: err}
}

// crashKind returns FailureCrashed when events of the answer were received and
// FailureCrashedEarly otherwise.
func (s *stream) crashKind() port.FailureKind {
	if s.offset.Load() > 0 {
		return port.FailureCrashed
	}
	return port.FailureCrashedEarly
}

// resume requests the rest of the answer on a new connection. An answer that is
// no stream of events means that the engine has lost the call, whatever its
// status: the engine did not refuse the call itself, which may have run.
func (s *stream) resume() (*connection, error) {
	connection, err := s.connect(s.client.unpooled, func(ctx context.Context) (*http.Request, error) {
		address := s.base + s.controlPath() + "/stream?offset=" + strconv.FormatInt(s.offset.Load(), 10)
		return http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	})
	var failure *port.Failure
	if errors.As(err, &failure) && failure.Kind == port.FailureBadAnswer && errorCode(err) != codeCallUnknown {
		return nil, s.callFailure(s.crashKind(), fmt.Errorf("%w: %w", errLost, failure.Err))
	}
	return connection, err
}

func (s *stream) controlPath() string { return "/control/calls/" + string(s.call.Call) }

// callStatus is the engine's report on the progress of a call.
type callStatus struct {
	Events    int64 `json:"events"`
	Done      bool  `json:"done"`
	Cancelled bool  `json:"cancelled"`
}

// status requests the progress of the call from the engine, on a new connection.
func (s *stream) status() (status callStatus, err error) {
	err = s.client.control(s.ctx, s.call.Target, http.MethodGet, s.controlPath(), nil, &status, s.client.settings.MaxControl)
	return status, err
}

// finish records the result of the stream; only the first call takes effect. It
// cancels the call at the engine unless the answer is complete or the request
// had no connection.
func (s *stream) finish(err error) error {
	if s.endErr != nil {
		return s.endErr
	}
	s.endErr = err
	s.stopCancelOnDone()
	var failure *port.Failure
	if errors.As(err, &failure) {
		s.client.log.Info(logPrefix+"call failed", "target", s.call.Target, "program", s.call.Program.String(),
			"call", s.call.Call, "kind", failure.Kind.String(), "sent", failure.Sent)
	}
	if err != io.EOF && s.attempt.connected.Load() {
		s.cancelAtEngine(unknownCallAttempts(failure))
	}
	if s.connection != nil {
		s.connection.close()
	}
	s.cancel()
	return err
}

// Usage implements port.Stream.
func (s *stream) Usage() (domain.Usage, bool) {
	if s.usage == nil {
		return domain.Usage{}, false
	}
	return *s.usage, true
}

// Close implements port.Stream.
func (s *stream) Close() {
	_ = s.finish(&port.Failure{Kind: port.FailureCancelled, Target: s.call.Target, Sent: true, Err: errClosed})
}

// unknownCallAttempts returns the number of cancel requests to send while the
// engine does not know the call. After a cancellation or time-out on this side
// the request may still be in transit to the engine; after another failure the
// engine has rejected or lost the call.
func unknownCallAttempts(f *port.Failure) int {
	if f != nil && (f.Kind == port.FailureCancelled || f.Kind == port.FailureTimeout) {
		return cancelAttempts
	}
	return 1
}

// cancelAtEngine cancels the call at the engine in the background, because an
// engine continues a call whose connection is lost. Only the first call takes
// effect.
func (s *stream) cancelAtEngine(attemptsIfUnknown int) {
	s.cancelOnce.Do(func() {
		s.client.pendingCancels.Go(func() { s.repeatCancel(attemptsIfUnknown) })
	})
}

// repeatCancel sends cancel requests until the engine confirms one, does not
// know the call after attemptsIfUnknown requests, or cancelAttempts is reached.
func (s *stream) repeatCancel(attemptsIfUnknown int) {
	for attempt := 1; ; attempt++ {
		err := s.client.control(context.Background(), s.call.Target, http.MethodPost, s.controlPath()+"/cancel",
			nil, &struct{}{}, s.client.settings.MaxControl)
		unknown := errorCode(err) == codeCallUnknown
		switch {
		case err == nil, unknown && attempt >= attemptsIfUnknown:
			return
		case attempt == cancelAttempts:
			s.client.log.Info(logPrefix+"the engine did not confirm a cancel request; the call runs to completion there",
				"target", s.call.Target, "call", s.call.Call)
			return
		}
		time.Sleep(s.client.settings.RetryDelay)
	}
}
