package engine

import (
	"bytes"
	"context"
	"net/http"
	"time"
)

// The kinds of Fault.
const (
	FaultCrash  = "crash"  // close all connections and restart with an empty cache
	FaultHang   = "hang"   // stop the batch and answer only /control/fault
	FaultSilent = "silent" // connections that are open now carry no further bytes
	FaultSlow   = "slow"   // multiply the duration of each step by Factor
	FaultMarker = "marker" // crash on every request whose body contains Marker
	FaultClear  = "clear"  // clear hang, slow and marker
)

// Fault is a fault to inject. Kind is one of the constants above.
type Fault struct {
	Kind   string  `json:"kind"`
	Factor float64 `json:"factor"`
	Marker string  `json:"marker"`
	// DownMillis is the time after a crash, in milliseconds, during which the
	// engine closes the connection of every request.
	DownMillis int `json:"down_ms"`
}

// faults are the faults in force.
type faults struct {
	hang          bool
	slow          float64
	marker        string
	crashDowntime time.Duration
	silent        uint64        // connections with serial numbers up to this are silent
	changed       chan struct{} // closed and replaced on each change
}

func (s *state) inject(now time.Time, f Fault) {
	switch f.Kind {
	case FaultCrash:
		s.crash(now, time.Duration(f.DownMillis)*time.Millisecond)
	case FaultHang:
		s.faults.hang = true
	case FaultSilent:
		s.faults.silent = s.lastSerial
	case FaultSlow:
		s.faults.slow = f.Factor
	case FaultMarker:
		s.faults.marker = f.Marker
		s.faults.crashDowntime = time.Duration(f.DownMillis) * time.Millisecond
	case FaultClear:
		s.faults.hang, s.faults.slow, s.faults.marker = false, 0, ""
		if s.currentStep == nil {
			s.startStep(now)
		}
	}
	close(s.faults.changed)
	s.faults.changed = make(chan struct{})
}

// crash closes all connections and restarts the engine, which closes new ones
// for the given time.
func (s *state) crash(now time.Time, down time.Duration) {
	for c := range s.connections {
		c.Close()
	}
	for _, c := range s.calls {
		c.publish() // wakes the call's handlers, which then close their connections
	}
	s.faults.hang = false
	s.downUntil = now.Add(down)
	s.restart(now)
}

// crashesOn reports whether a request body contains the marker in force.
func (s *state) crashesOn(body []byte) bool {
	return s.faults.marker != "" && bytes.Contains(body, []byte(s.faults.marker))
}

// connectionKey is the context key of a connection's serial number.
type connectionKey struct{}

// session applies the faults in force to one request.
type session struct {
	engine   *Engine
	ctx      context.Context
	serial   uint64
	instance int
	// exempt requests are served while the engine hangs.
	exempt bool
}

func (e *Engine) newSession(r *http.Request) *session {
	sess := &session{engine: e, ctx: r.Context(), exempt: r.URL.Path == "/control/fault"}
	e.do(func(s *state) {
		sess.instance = s.instance
		serial, ok := r.Context().Value(connectionKey{}).(uint64)
		if !ok { // another server calls the handler: each request counts as a connection
			s.lastSerial++
			serial = s.lastSerial
		}
		sess.serial = serial
	})
	return sess
}

// do runs f on the control goroutine once no fault blocks the request. It closes
// the connection if the engine crashed or the client has disconnected.
func (sess *session) do(f func(*state)) {
	for {
		var wait <-chan struct{}
		closed := false
		ok := sess.engine.do(func(s *state) {
			closed = s.instance != sess.instance || time.Now().Before(s.downUntil)
			stopped := sess.serial <= s.faults.silent || (s.faults.hang && !sess.exempt)
			switch {
			case closed:
			case stopped:
				wait = s.faults.changed
			default:
				f(s)
			}
		})
		if !ok || closed {
			panic(http.ErrAbortHandler)
		}
		if wait == nil {
			return
		}
		sess.wait(wait, nil)
	}
}

// wait returns when one of the channels is ready. It closes the connection if
// the client disconnects or the engine is closed.
func (sess *session) wait(changed <-chan struct{}, timer <-chan time.Time) {
	select {
	case <-changed:
	case <-timer:
	case <-sess.ctx.Done():
		panic(http.ErrAbortHandler)
	case <-sess.engine.loop.Stopped():
		panic(http.ErrAbortHandler)
	}
}
