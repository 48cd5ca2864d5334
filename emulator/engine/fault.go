package engine

import (
	"bytes"
	"context"
	"net/http"
	"time"
)

// The kinds of Fault.
const (
	FaultCrash  = "crash"  // cut all connections and restart with an empty cache
	FaultHang   = "hang"   // stop the batch and answer nothing but /control/fault
	FaultSilent = "silent" // connections that are open now carry no more bytes
	FaultSlow   = "slow"   // multiply the duration of steps by Factor
	FaultMarker = "marker" // crash on each request whose body contains Marker
	FaultClear  = "clear"  // end hang, slow and marker
)

// Fault switches a fault on or off.
type Fault struct {
	Kind   string  `json:"kind"`
	Factor float64 `json:"factor"`
	Marker string  `json:"marker"`
	// DownMillis is the time for which a crashed engine cuts new requests.
	DownMillis int `json:"down_ms"`
}

type faults struct {
	hang          bool
	slow          float64
	marker        string
	crashDowntime time.Duration
	silent        uint64        // connections up to this serial are silent
	changed       chan struct{} // closed and replaced at each change
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

func (s *state) crash(now time.Time, down time.Duration) {
	for c := range s.connections {
		c.Close()
	}
	for _, c := range s.calls {
		c.publish() // wakes the call's handlers, which then cut their connections
	}
	s.faults.hang = false
	s.downUntil = now.Add(down)
	s.restart(now)
}

func (s *state) crashesOn(body []byte) bool {
	return s.faults.marker != "" && bytes.Contains(body, []byte(s.faults.marker))
}

type connectionKey struct{}

// session is one request's view of the faults.
type session struct {
	engine   *Engine
	ctx      context.Context
	serial   uint64
	instance int
	// exempt sessions pass while the engine hangs.
	exempt bool
}

func (e *Engine) newSession(r *http.Request) *session {
	sess := &session{engine: e, ctx: r.Context(), exempt: r.URL.Path == "/control/fault"}
	e.do(func(s *state) {
		sess.instance = s.instance
		serial, ok := r.Context().Value(connectionKey{}).(uint64)
		if !ok { // served by another server: each request counts as a connection
			s.lastSerial++
			serial = s.lastSerial
		}
		sess.serial = serial
	})
	return sess
}

// do runs f on the control goroutine once no fault stops the request. It cuts
// the connection when the engine crashed or the caller has gone.
func (sess *session) do(f func(*state)) {
	for {
		var wait <-chan struct{}
		cut := false
		ok := sess.engine.do(func(s *state) {
			cut = s.instance != sess.instance || time.Now().Before(s.downUntil)
			stopped := sess.serial <= s.faults.silent || (s.faults.hang && !sess.exempt)
			switch {
			case cut:
			case stopped:
				wait = s.faults.changed
			default:
				f(s)
			}
		})
		if !ok || cut {
			panic(http.ErrAbortHandler)
		}
		if wait == nil {
			return
		}
		sess.wait(wait, nil)
	}
}

// wait returns when a channel is ready, and cuts the connection when the
// caller has gone or the engine is closed.
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
