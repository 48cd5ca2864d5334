// Package tool emulates a tool service. It answers any method and path with an
// Echo, and counts the effects of each request id, so that a test detects a call
// that ran twice.
//
// The request id is the value of the header X-Request-Id. An effect is counted
// after the whole body was read and before the delay, like a tool that acts and
// then crashes. The control interface uses JSON:
//
//	GET  /control/effects   the number of effects by request id
//	GET  /control/requests  the recorded requests
//	POST /control/fault     Fault in; it replaces the fault in force
package tool

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/emulator/control"
)

// HeaderRequest is the header with the id of the request whose effects are counted.
const HeaderRequest = "X-Request-Id"

// Limits of a body, in bytes, and of the number of recorded requests.
const (
	maxBody     = 64 << 20
	maxRequests = 4096
)

// Fault changes the service's behaviour on requests outside /control. The zero
// value is no fault.
type Fault struct {
	// DelayMillis delays the answer, in milliseconds.
	DelayMillis int `json:"delay_ms"`
	// Hang holds the request without an answer.
	Hang bool `json:"hang"`
	// Status, if above 0, is the status of the answer instead of 200.
	Status int `json:"status"`
	// CrashBefore closes the connection before the effect, Crash after it.
	CrashBefore bool `json:"crash_before"`
	Crash       bool `json:"crash"`
}

// Echo is the answer to a request and repeats its content.
type Echo struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Query  string `json:"query"`
	Body   []byte `json:"body"`
	// Effects is the number of effects of the request id so far.
	Effects int `json:"effects"`
}

// Request is a recorded request with all its headers.
type Request struct {
	Method, Path string
	Header       http.Header
}

// state is owned by the control goroutine.
type state struct {
	fault    Fault
	effects  map[string]int
	requests []Request
}

// Service is an http.Handler that emulates a tool service. One control goroutine
// owns its state.
type Service struct {
	loop   *control.Loop[*state]
	mux    *http.ServeMux
	server *http.Server
}

// New returns a running service. The caller must Close it.
func New() *Service {
	t := &Service{loop: control.NewLoop[*state](), mux: http.NewServeMux()}
	t.mux.HandleFunc("/", t.echo)
	t.mux.HandleFunc("GET /control/effects", func(w http.ResponseWriter, _ *http.Request) { reply(w, http.StatusOK, t.Effects()) })
	t.mux.HandleFunc("GET /control/requests", func(w http.ResponseWriter, _ *http.Request) { reply(w, http.StatusOK, t.Requests()) })
	t.mux.HandleFunc("POST /control/fault", t.fault)
	t.server = &http.Server{Handler: t, ReadHeaderTimeout: 10 * time.Second}
	go t.loop.Run(&state{effects: map[string]int{}}, nil, nil)
	return t
}

// Start serves on the listener and blocks until Close, after which it returns nil.
func (t *Service) Start(l net.Listener) error { return control.Serve(t.server, l) }

// Close closes all connections and stops the control goroutine.
func (t *Service) Close() error {
	t.loop.Close()
	return t.server.Close()
}

// ServeHTTP implements http.Handler.
func (t *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { t.mux.ServeHTTP(w, r) }

// Inject replaces the fault in force.
func (t *Service) Inject(f Fault) { t.do(func(s *state) { s.fault = f }) }

// Effects returns the number of effects by request id.
func (t *Service) Effects() (out map[string]int) {
	t.do(func(s *state) { out = maps.Clone(s.effects) })
	return out
}

// Requests returns the recorded requests, oldest first.
func (t *Service) Requests() (out []Request) {
	t.do(func(s *state) { out = slices.Clone(s.requests) })
	return out
}

// do runs f on the control goroutine. It reports false if the service is closed.
func (t *Service) do(f func(*state)) bool { return t.loop.Do(f) }

func (s *state) record(r *http.Request) {
	if len(s.requests) == maxRequests {
		s.requests = s.requests[1:]
	}
	s.requests = append(s.requests, Request{r.Method, r.URL.Path, r.Header.Clone()})
}

func (t *Service) echo(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		reply(w, http.StatusBadRequest, map[string]string{"error": "the body could not be read"})
		return
	}
	answer := Echo{Method: r.Method, Path: r.URL.Path, Query: r.URL.RawQuery, Body: body}
	var fault Fault
	ok := t.do(func(s *state) {
		s.record(r)
		fault = s.fault
		if fault.CrashBefore {
			return
		}
		id := r.Header.Get(HeaderRequest)
		s.effects[id]++
		answer.Effects = s.effects[id]
	})
	if !ok || fault.CrashBefore || fault.Crash {
		panic(http.ErrAbortHandler)
	}
	t.delay(r.Context(), fault)
	status := http.StatusOK
	if fault.Status > 0 {
		status = fault.Status
	}
	reply(w, status, answer)
}

// delay waits as long as the fault requires. It closes the connection if the
// client disconnects or the service is closed.
func (t *Service) delay(ctx context.Context, f Fault) {
	var after <-chan time.Time
	if !f.Hang {
		after = time.After(time.Duration(f.DelayMillis) * time.Millisecond)
	}
	select {
	case <-after:
	case <-ctx.Done():
		panic(http.ErrAbortHandler)
	case <-t.loop.Stopped():
		panic(http.ErrAbortHandler)
	}
}

func (t *Service) fault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&f); err != nil {
		reply(w, http.StatusBadRequest, map[string]string{"error": "the body is not a fault"})
		return
	}
	t.Inject(f)
	reply(w, http.StatusOK, map[string]string{})
}

func reply(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value) // the client may have disconnected
}
