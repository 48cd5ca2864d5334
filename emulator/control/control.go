// Package control runs the state of a stand-in on one goroutine. Handlers send
// it closures through a bounded mailbox.
package control

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

// mailboxSize bounds the requests that wait for the control goroutine.
const mailboxSize = 256

// Loop is the control goroutine of a stand-in with a state of type S.
type Loop[S any] struct {
	mailbox  chan func(S)
	stop     context.CancelFunc
	stopping <-chan struct{}
	stopped  chan struct{}
}

// NewLoop returns a loop that Run starts and Close ends.
func NewLoop[S any]() *Loop[S] {
	ctx, stop := context.WithCancel(context.Background())
	return &Loop[S]{mailbox: make(chan func(S), mailboxSize), stop: stop, stopping: ctx.Done(), stopped: make(chan struct{})}
}

// Run owns the state until Close. It calls fired for each value of the timer,
// which may be nil.
func (l *Loop[S]) Run(state S, timer <-chan time.Time, fired func()) {
	defer close(l.stopped)
	for {
		select {
		case f := <-l.mailbox:
			f(state)
		case <-timer:
			fired()
		case <-l.stopping:
			return
		}
	}
}

// Do runs f on the control goroutine and reports false when the loop is closed.
func (l *Loop[S]) Do(f func(S)) bool {
	done := make(chan struct{})
	select {
	case l.mailbox <- func(s S) { f(s); close(done) }:
	case <-l.stopped:
		return false
	}
	select {
	case <-done:
		return true
	case <-l.stopped:
		return false
	}
}

// Stopped is closed when the control goroutine has ended.
func (l *Loop[S]) Stopped() <-chan struct{} { return l.stopped }

// Close ends the control goroutine.
func (l *Loop[S]) Close() {
	l.stop()
	<-l.stopped
}

// Serve serves on the listener until the server is closed.
func Serve(server *http.Server, l net.Listener) error {
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
