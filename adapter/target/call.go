package target

import (
	"bytes"
	"context"
	"errors"
	"fmt"
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

// The headers that name the program and the call to engines.
const (
	headerProgram = "X-Engine-Program"
	headerCall    = "X-Engine-Call"
)

// cancelAttempts bounds the attempts to cancel a call at an engine.
const cancelAttempts = 3

var (
	errRequestTooLarge = errors.New("the request body exceeds the limit; send a shorter conversation")
	errBadCallID       = errors.New("the call id holds characters that are not allowed in a path")
	errStreamedError   = errors.New("the engine sent an error inside the stream")
	errGap             = errors.New("the engine skipped events of the answer")
	errAnswerTooLarge  = errors.New("the answer exceeds the size limit")
	errResumeLimit     = errors.New("the stream was lost again after each resume")
	errClosed          = errors.New("the stream was closed before its end")
)

// stream implements port.Stream. One goroutine reads it; the watchdog runs
// beside it and touches only the atomic fields and the connection's cancel.
type stream struct {
	client   *Client
	call     port.TargetCall
	base     string
	ctx      context.Context
	cancel   context.CancelFunc
	attempt  *attempt
	watchdog *watchdog
	// offset is the number of events that were returned.
	offset atomic.Int64
	// uploaded counts the bytes of the request's body that were sent.
	uploaded atomic.Int64

	connection *connection
	resumes    int
	bytes      int
	usage      *domain.Usage
	endErr     error
	// stopCancelOnDone takes back the cancel that follows the end of the context.
	stopCancelOnDone func() bool
	cancelOnce       sync.Once
}

// connection is one HTTP exchange that carries the answer.
type connection struct {
	cancel context.CancelFunc
	body   io.Closer
	events events
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

func (c *Client) checkCall(call port.TargetCall) error {
	switch {
	case len(call.Body) > c.settings.MaxRequest:
		return errRequestTooLarge
	case call.Call == "" || url.PathEscape(string(call.Call)) != string(call.Call):
		return errBadCallID
	}
	return nil
}

// open sends the call. A connection that is lost before the answer's headers
// is recovered like one that is lost later.
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

// countedBody counts the bytes that net/http takes from it. As net/http does not
// know the type, it cannot rewind the body and never sends the request twice.
type countedBody struct {
	io.Reader
	sent *atomic.Int64
}

func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	b.sent.Add(int64(n))
	return n, err
}

// connect runs one exchange up to its headers, under the watchdog.
func (s *stream) connect(t *http.Transport, build func(context.Context) (*http.Request, error)) (*connection, error) {
	ctx, cancel := context.WithCancel(s.ctx)
	r, err := build(ctx)
	if err != nil {
		cancel()
		return nil, &port.Failure{Kind: port.FailureRefused, Target: s.call.Target, Err: err}
	}
	r.Header.Set("Accept", contentEvents+", "+contentJSON)
	r.Header["User-Agent"] = nil // net/http adds its own otherwise
	s.watchdog.start(cancel)
	response, err := s.attempt.send(t, r)
	s.watchdog.stop()
	if err != nil {
		cancel()
		return nil, err
	}
	connection := &connection{cancel: cancel, body: response.Body}
	if err := s.checkResponse(connection, response); err != nil {
		connection.close()
		return nil, err
	}
	return connection, nil
}

func (s *stream) checkResponse(c *connection, response *http.Response) (err error) {
	if response.StatusCode != http.StatusOK {
		s.watchdog.start(c.cancel)
		body, _ := io.ReadAll(io.LimitReader(response.Body, int64(s.client.settings.MaxControl)))
		s.watchdog.stop()
		return badAnswer(s.call.Target, response.StatusCode, body, "the engine answered with status %d", response.StatusCode)
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
		case id != noID && id < offset: // a repeat after a resume
		case id > offset:
			s.finish(badAnswer(s.call.Target, 0, nil, "%w: got %d, want %d", errGap, id, offset))
		default:
			return s.deliver(offset, data)
		}
	}
	return port.Event{}, s.endErr
}

func (s *stream) deliver(offset int, data []byte) (port.Event, error) {
	if s.bytes += len(data); s.bytes > s.client.settings.MaxAnswer {
		return port.Event{}, s.finish(badAnswer(s.call.Target, 0, nil, "%w", errAnswerTooLarge))
	}
	if bytes.HasPrefix(data, []byte(`{"error"`)) {
		return port.Event{}, s.finish(badAnswer(s.call.Target, 0, data, "%w", errStreamedError))
	}
	if usage := usageOf(data); usage != nil {
		s.usage = usage
	}
	s.resumes = 0
	s.offset.Add(1)
	return port.Event{Offset: offset, Data: data}, nil
}

// recover resumes the answer at the offset on a new connection when the engine
// still knows the call, and returns the failure otherwise.
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

// unrecoverable returns the failure when the stream cannot be resumed.
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
		s.client.pooled.CloseIdleConnections() // the others may be silent too
		return s.callFailure(port.FailureTimeout, errNotReceived)
	case verdict == verdictLost:
		return s.callFailure(s.crashKind(), errLost)
	case s.resumes >= s.client.settings.MaxResumes:
		return s.callFailure(s.crashKind(), fmt.Errorf("%w: %w", errResumeLimit, err))
	case verdict == verdictSilent:
		// Idle connections may be as silent as the stream's was.
		s.client.pooled.CloseIdleConnections()
		return nil
	}
	if _, err := s.status(); err != nil {
		return s.callFailure(s.crashKind(), fmt.Errorf("%w: %w", errLost, failure.Err))
	}
	return nil
}

func (s *stream) callFailure(kind port.FailureKind, err error) *port.Failure {
	return &port.Failure{Kind: kind, Target: s.call.Target, Sent: true, Err: err}
}

func (s *stream) crashKind() port.FailureKind {
	if s.offset.Load() > 0 {
		return port.FailureCrashed
	}
	return port.FailureCrashedEarly
}

func (s *stream) resume() (*connection, error) {
	return s.connect(s.client.unpooled, func(ctx context.Context) (*http.Request, error) {
		address := s.base + s.controlPath() + "/stream?offset=" + strconv.FormatInt(s.offset.Load(), 10)
		return http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	})
}

func (s *stream) controlPath() string { return "/control/calls/" + string(s.call.Call) }

type callStatus struct {
	Events    int64 `json:"events"`
	Done      bool  `json:"done"`
	Cancelled bool  `json:"cancelled"`
}

// status asks the engine on a new connection how far the call is.
func (s *stream) status() (status callStatus, err error) {
	err = s.client.control(s.ctx, s.call.Target, http.MethodGet, s.controlPath(), nil, &status, s.client.settings.MaxControl)
	return status, err
}

// finish notes the stream's finish once. The engine is told to cancel the call unless
// the answer is whole or the engine never received the request.
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

// unknownCallAttempts is the number of cancels for a call that is unknown to the
// engine. After an end by this side the call may still be on its way there;
// after another failure the engine has refused or lost it.
func unknownCallAttempts(f *port.Failure) int {
	if f != nil && (f.Kind == port.FailureCancelled || f.Kind == port.FailureTimeout) {
		return cancelAttempts
	}
	return 1
}

// cancelAtEngine tells the engine in the background to end the call, because
// an engine goes on with a call whose connection is lost.
func (s *stream) cancelAtEngine(attemptsIfUnknown int) {
	s.cancelOnce.Do(func() {
		s.client.pendingCancels.Go(func() { s.repeatCancel(attemptsIfUnknown) })
	})
}

func (s *stream) repeatCancel(attemptsIfUnknown int) {
	for attempt := 1; ; attempt++ {
		err := s.client.control(context.Background(), s.call.Target, http.MethodPost, s.controlPath()+"/cancel",
			nil, &struct{}{}, s.client.settings.MaxControl)
		unknown := errorCode(err) == codeCallUnknown
		switch {
		case err == nil, unknown && attempt >= attemptsIfUnknown:
			return
		case attempt == cancelAttempts:
			s.client.log.Info(logPrefix+"the engine did not confirm a cancel; the call runs to its end there",
				"target", s.call.Target, "call", s.call.Call)
			return
		}
		time.Sleep(s.client.settings.RetryDelay)
	}
}
