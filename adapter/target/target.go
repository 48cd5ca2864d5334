// Package target calls model engines and plain services over HTTP. Request
// headers are built from an allow-list, so that no caller's credentials reach a
// target. Package emulator/engine documents the control interface of the engines.
package target

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/port"
)

// logPrefix starts each log message of the package.
const logPrefix = "target: "

// Settings configures a Client. New replaces zero values by defaults.
type Settings struct {
	// DialTimeout bounds one attempt to connect to a target.
	DialTimeout time.Duration
	// ControlTimeout bounds one request to an engine's control interface.
	ControlTimeout time.Duration
	// SilenceTimeout is the time without received bytes after which the state
	// of a call is checked at the engine.
	SilenceTimeout time.Duration
	// CallTimeout bounds a whole call of a model engine, including its answer.
	CallTimeout time.Duration
	// ConnectionsPerTarget bounds the connections of each transport to one target.
	ConnectionsPerTarget int
	// MaxRequest, MaxEvent and MaxAnswer bound the request body of an engine
	// call, one event of its answer and the whole answer. MaxControl bounds an
	// answer of the control interface; MaxAnswer applies to answers to engine
	// commands, because an export returns cache contents. All are in bytes.
	MaxRequest, MaxEvent, MaxAnswer, MaxControl int
	// LoadInterval is the mean delay between two requests for a load report.
	LoadInterval time.Duration
	// RetryDelay is the mean delay before a watcher reconnects and the delay
	// before a cancel request is repeated.
	RetryDelay time.Duration
	// WatchSilenceTimeout is the time without cache events or heartbeats after
	// which a watcher reconnects. It must exceed the heartbeat interval of the
	// engines.
	WatchSilenceTimeout time.Duration
	// MaxResumes bounds the consecutive resumes of a stream without a new event.
	MaxResumes int
}

func (s Settings) withDefaults() Settings {
	s.DialTimeout = cmp.Or(s.DialTimeout, 2*time.Second)
	s.ControlTimeout = cmp.Or(s.ControlTimeout, 2*time.Second)
	s.SilenceTimeout = cmp.Or(s.SilenceTimeout, 2*time.Second)
	s.CallTimeout = cmp.Or(s.CallTimeout, 30*time.Minute)
	s.ConnectionsPerTarget = cmp.Or(s.ConnectionsPerTarget, 256)
	s.MaxRequest = cmp.Or(s.MaxRequest, 16<<20)
	s.MaxEvent = cmp.Or(s.MaxEvent, 4<<20)
	s.MaxAnswer = cmp.Or(s.MaxAnswer, 64<<20)
	s.MaxControl = cmp.Or(s.MaxControl, 1<<20)
	s.LoadInterval = cmp.Or(s.LoadInterval, 500*time.Millisecond)
	s.RetryDelay = cmp.Or(s.RetryDelay, 500*time.Millisecond)
	s.WatchSilenceTimeout = cmp.Or(s.WatchSilenceTimeout, 5*time.Second)
	s.MaxResumes = cmp.Or(s.MaxResumes, 3)
	return s
}

// Lookup returns the specification of a target in the current configuration
// snapshot, or nil when the target is not configured.
type Lookup func(domain.Target) *config.TargetSpec

// Client implements port.Targets, port.EngineControl and port.TargetSignals. It
// is safe for concurrent use.
type Client struct {
	settings Settings
	lookup   Lookup
	log      logr.Logger
	// pooled keeps idle connections for calls of model engines.
	pooled *http.Transport
	// unpooled opens a new connection for each request. Status checks and
	// resumes need one, because a pooled connection can be as silent as the
	// stream. Plain services need one, because net/http resends a GET without a
	// body or a request with an Idempotency-Key when a reused connection fails.
	unpooled *http.Transport
	// pendingCancels tracks the cancel requests that are being sent.
	pendingCancels sync.WaitGroup
}

var (
	_ port.Targets       = (*Client)(nil)
	_ port.EngineControl = (*Client)(nil)
	_ port.TargetSignals = (*Client)(nil)
)

// New returns a client that resolves targets with lookup.
func New(settings Settings, lookup Lookup, log logr.Logger) *Client {
	settings = settings.withDefaults()
	c := &Client{settings: settings, lookup: lookup, log: log}
	c.pooled = c.transport()
	c.unpooled = c.transport()
	c.unpooled.DisableKeepAlives = true
	return c
}

// transport returns a transport without a proxy. It is used through RoundTrip,
// which follows no redirects, since only the configured address may receive the
// request.
func (c *Client) transport() *http.Transport {
	return &http.Transport{
		DialContext:            (&net.Dialer{Timeout: c.settings.DialTimeout}).DialContext,
		MaxConnsPerHost:        c.settings.ConnectionsPerTarget,
		MaxIdleConnsPerHost:    c.settings.ConnectionsPerTarget / 4,
		IdleConnTimeout:        time.Minute,
		MaxResponseHeaderBytes: 64 << 10,
		DisableCompression:     true,
	}
}

// Close waits for pending cancel requests and closes idle connections. The wait
// is bounded by cancelAttempts control time-outs and retry delays. All streams
// must have been closed before.
func (c *Client) Close() {
	c.pendingCancels.Wait()
	c.pooled.CloseIdleConnections()
	c.unpooled.CloseIdleConnections()
}

var errUnknownTarget = errors.New("the target is not configured as this kind of back end; check its name and kind")

// address returns the base URL of the target, which must be of the given kind.
func (c *Client) address(target domain.Target, kind config.TargetKind) (string, error) {
	spec := c.lookup(target)
	if spec == nil || spec.Kind != kind {
		return "", &port.Failure{Kind: port.FailureRefused, Target: target, Err: errUnknownTarget}
	}
	return "http://" + spec.Address, nil
}

// attempt records whether the requests of one call got a connection.
type attempt struct {
	target    domain.Target
	connected atomic.Bool
}

// send runs one request up to the response headers. The caller closes the
// response body.
func (a *attempt) send(t *http.Transport, r *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { a.connected.Store(true) }}
	response, err := t.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, a.failure(r.Context(), err, false)
	}
	if response.StatusCode < minStatus || response.StatusCode > maxStatus {
		_ = response.Body.Close()
		return nil, badAnswer(a.target, 0, nil, "%w: %03d", errNoStatus, response.StatusCode)
	}
	return response, nil
}

// minStatus and maxStatus bound the statuses of final answers. net/http skips informational answers,
// except for 101, and parses any three digits.
const (
	minStatus = http.StatusOK
	maxStatus = 599
)

var errNoStatus = errors.New("the status is not one of a final HTTP answer; check the target")

// failure converts the error of a request to a *port.Failure. started reports
// whether part of the answer was received.
func (a *attempt) failure(ctx context.Context, err error, started bool) *port.Failure {
	var typed *port.Failure
	if errors.As(err, &typed) {
		return typed
	}
	f := &port.Failure{Target: a.target, Sent: a.connected.Load(), Err: err}
	var network net.Error
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		f.Kind = port.FailureTimeout
	case ctx.Err() != nil:
		f.Kind = port.FailureCancelled
	case !f.Sent:
		f.Kind = port.FailureConnect
	case errors.As(err, &network) && network.Timeout():
		f.Kind = port.FailureTimeout
	case started:
		f.Kind = port.FailureCrashed
	default:
		f.Kind = port.FailureCrashedEarly
	}
	return f
}

// badAnswer returns a FailureBadAnswer with an error of the given format.
func badAnswer(target domain.Target, status int, body []byte, format string, args ...any) *port.Failure {
	return &port.Failure{
		Kind: port.FailureBadAnswer, Target: target, Sent: true,
		Status: status, Body: body, Err: fmt.Errorf(format, args...),
	}
}
