// Package engine is a stand-in for a model engine: an OpenAI-compatible HTTP
// service with a continuous batch, a prefix cache and switchable faults.
//
// POST /v1/chat/completions and GET /v1/models follow the OpenAI protocol. The
// headers X-Engine-Program and X-Engine-Call name the program and the call.
// A text of n bytes has ceil(n/4) tokens. A prompt is rendered as "role\ncontent\n"
// for each message. A last message that contains [[tool:NAME]] or
// [[tool:NAME {"json":"arguments"}]] asks for a call of the declared tool NAME.
// A call runs to its end after its connection is lost, unless it is cancelled.
//
// The control interface uses JSON:
//
//	GET  /control/load                        Load as it was Settings.LoadLag ago
//	GET  /control/cache-events                CacheEvent, one a line; empty lines are heartbeats
//	GET  /control/held                        tokens held by each program
//	GET  /control/requests                    the recorded requests
//	GET  /control/calls/{id}                  CallStatus; 404 when the call is unknown
//	GET  /control/calls/{id}/stream?offset=n  the answer's events from n on, as server-sent events
//	POST /control/calls/{id}/cancel           ends the call; 404 when the call is unknown
//	POST /control/orders                      Order in, OrderResult out
//	POST /control/fault                       Fault in
//
// Orders to load, unload or change role share one fencing number for the
// engine; release, export and import have one for each program. An order below
// the highest number seen gets 409 with code "fenced". Release during a running
// call of the program gets 409 with code "busy"; status 200 confirms a release.
package engine

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"time"

	"github.com/mangoknot/mangoknot/emulator/control"
)

// Settings configure an engine. Zero values get the defaults of New.
type Settings struct {
	Models []string
	// MaxBatch bounds the calls that run at once; others wait in order.
	MaxBatch int
	// PrefillPerSecond and DecodePerSecond are tokens a second of a batch of one.
	PrefillPerSecond, DecodePerSecond float64
	// Slowdown is the relative cost that each further call adds to a decode step.
	Slowdown float64
	// TimeScale divides all simulated times.
	TimeScale float64
	// CacheTokens bounds the prefix cache.
	CacheTokens int
	// AnswerTokens is the longest answer of a request without a limit.
	AnswerTokens int
	// LoadLag is the age of load reports, EventDelay that of cache events.
	LoadLag, EventDelay time.Duration
	// DropEventEvery drops each cache event whose number is a multiple of it, if above 0.
	DropEventEvery int
	// Heartbeat is the interval of empty lines in the stream of cache events.
	Heartbeat time.Duration
	// AnswerRetention is the time for which finished answers can be resumed.
	AnswerRetention time.Duration
	// IgnoreFencing makes the engine obey orders with an old fencing number.
	IgnoreFencing bool
}

func (s Settings) withDefaults() Settings {
	s.MaxBatch = cmp.Or(s.MaxBatch, 32)
	s.PrefillPerSecond = cmp.Or(s.PrefillPerSecond, 8000)
	s.DecodePerSecond = cmp.Or(s.DecodePerSecond, 60)
	s.Slowdown = cmp.Or(s.Slowdown, 0.05)
	s.TimeScale = cmp.Or(s.TimeScale, 1)
	s.CacheTokens = cmp.Or(s.CacheTokens, 1<<18)
	s.AnswerTokens = cmp.Or(s.AnswerTokens, 64)
	s.Heartbeat = cmp.Or(s.Heartbeat, time.Second)
	s.AnswerRetention = cmp.Or(s.AnswerRetention, time.Minute)
	if len(s.Models) == 0 {
		s.Models = []string{"model-a"}
	}
	return s
}

// Engine is an http.Handler. One control goroutine owns the batch, the cache
// and the faults; handlers send it closures through a bounded mailbox.
type Engine struct {
	settings Settings
	loop     *control.Loop[*state]
	mux      *http.ServeMux
	server   *http.Server
}

// New returns a running engine. Close ends it.
func New(settings Settings) *Engine {
	e := &Engine{
		settings: settings.withDefaults(),
		loop:     control.NewLoop[*state](),
		mux:      http.NewServeMux(),
	}
	e.routes()
	e.server = &http.Server{
		Handler:           e,
		ReadHeaderTimeout: 10 * time.Second,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			var serial uint64
			e.do(func(s *state) { serial = s.addConnection(c) })
			return context.WithValue(ctx, connectionKey{}, serial)
		},
		ConnState: func(c net.Conn, cs http.ConnState) {
			if cs == http.StateClosed || cs == http.StateHijacked {
				e.do(func(s *state) { delete(s.connections, c) })
			}
		},
	}
	go e.control()
	return e
}

// Start serves on the listener until Close.
func (e *Engine) Start(l net.Listener) error { return control.Serve(e.server, l) }

// Close cuts all connections and ends the control goroutine.
func (e *Engine) Close() error {
	e.loop.Close()
	return e.server.Close()
}

// control is the only goroutine that touches the state.
func (e *Engine) control() {
	s := newState(e.settings)
	defer s.timer.Stop()
	e.loop.Run(s, s.timer.C, func() { s.completeStep(time.Now()) })
}

// do runs f on the control goroutine and reports false when the engine is closed.
func (e *Engine) do(f func(*state)) bool { return e.loop.Do(f) }

// Inject switches a fault on or off.
func (e *Engine) Inject(f Fault) { e.do(func(s *state) { s.inject(time.Now(), f) }) }

// Requests returns the recorded requests, oldest first.
func (e *Engine) Requests() (out []Request) {
	e.do(func(s *state) { out = append(out, s.requests...) })
	return out
}

// HeldTokens returns the cached tokens of each program; a running call counts as at least 1.
func (e *Engine) HeldTokens() (out map[string]int) {
	e.do(func(s *state) { out = s.heldTokens() })
	return out
}
