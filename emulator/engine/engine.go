// Package engine emulates a model engine: an OpenAI-compatible HTTP service
// with continuous batching, a prefix cache and fault injection.
//
// POST /v1/chat/completions and GET /v1/models follow the OpenAI protocol. The
// headers X-Engine-Program and X-Engine-Call name the program and the call. An answer
// repeats X-Engine-Call, so that a late second answer is not taken for that of the next
// call on the connection.
// A text of n bytes has ceil(n/4) tokens. A prompt is rendered as "role\ncontent\n"
// for each message. A last message that contains [[tool:NAME]] or
// [[tool:NAME {"json":"arguments"}]] requests a call of the declared tool NAME.
// A call continues after its connection is lost, unless it is cancelled.
//
// The control interface uses JSON:
//
//	GET  /control/load                        the Load of Settings.LoadLag ago
//	GET  /control/cache-events                CacheEvents, one per line; empty lines are heartbeats
//	GET  /control/held                        cached tokens of each program
//	GET  /control/requests                    the recorded requests
//	GET  /control/calls/{id}                  CallStatus; 404 when the call is unknown
//	GET  /control/calls/{id}/stream?offset=n  the answer's events from n on, as server-sent events
//	POST /control/calls/{id}/cancel           cancels the call; 404 when the call is unknown
//	POST /control/orders                      Command in, CommandResult out
//	POST /control/fault                       Fault in
//
// Commands to load, unload or change role share one fencing token for the
// engine; release, export and import have one for each program. A command with a
// token below the highest one seen gets 409 with code "fenced". A release during
// a running call of the program gets 409 with code "busy"; status 200 confirms
// the release.
package engine

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"time"

	"github.com/mangoknot/mangoknot/emulator/control"
)

// Settings configure an engine. New replaces zero values by defaults.
type Settings struct {
	Models []string
	// MaxBatch limits the calls that run at once; further calls wait in order of
	// arrival.
	MaxBatch int
	// PrefillPerSecond and DecodePerSecond are the rates of a batch of one, in
	// tokens per second.
	PrefillPerSecond, DecodePerSecond float64
	// Slowdown is the fraction by which each further call lengthens a decode step.
	Slowdown float64
	// TimeScale divides all simulated times.
	TimeScale float64
	// CacheTokens is the capacity of the prefix cache.
	CacheTokens int
	// AnswerTokens limits the answer to a request that sets no limit itself.
	AnswerTokens int
	// LoadLag is the age of load reports. EventDelay is the delay of cache events.
	LoadLag, EventDelay time.Duration
	// DropEventEvery, if above 0, drops every cache event whose sequence number is
	// a multiple of it.
	DropEventEvery int
	// Heartbeat is the interval between empty lines in an idle stream of cache events.
	Heartbeat time.Duration
	// AnswerRetention is the time for which a finished answer can be read again.
	AnswerRetention time.Duration
	// IgnoreFencing makes the engine execute commands with a stale fencing token.
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

// Engine is an http.Handler that emulates a model engine. One control goroutine
// owns the batch, the cache and the faults; handlers send it closures through a
// bounded mailbox.
type Engine struct {
	settings Settings
	loop     *control.Loop[*state]
	mux      *http.ServeMux
	server   *http.Server
}

// New returns a running engine. The caller must Close it.
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

// Start serves on the listener and blocks until Close, after which it returns nil.
func (e *Engine) Start(l net.Listener) error { return control.Serve(e.server, l) }

// Close closes all connections and stops the control goroutine.
func (e *Engine) Close() error {
	e.loop.Close()
	return e.server.Close()
}

// control is the only goroutine that accesses the state.
func (e *Engine) control() {
	s := newState(e.settings)
	defer s.timer.Stop()
	e.loop.Run(s, s.timer.C, func() { s.completeStep(time.Now()) })
}

// do runs f on the control goroutine. It reports false if the engine is closed.
func (e *Engine) do(f func(*state)) bool { return e.loop.Do(f) }

// Inject applies a fault, or clears faults for the kind FaultClear.
func (e *Engine) Inject(f Fault) { e.do(func(s *state) { s.inject(time.Now(), f) }) }

// Requests returns the recorded requests, oldest first.
func (e *Engine) Requests() (out []Request) {
	e.do(func(s *state) { out = append(out, s.requests...) })
	return out
}

// HeldTokens returns the cached tokens of each program. A program with a waiting
// or running call counts at least 1.
func (e *Engine) HeldTokens() (out map[string]int) {
	e.do(func(s *state) { out = s.heldTokens() })
	return out
}
