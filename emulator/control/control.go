// Package control runs the state of an emulated service on one control goroutine.
// Handlers send it closures through a bounded mailbox.
package control

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

// mailboxSize is the number of closures that the mailbox holds before Do blocks.
const mailboxSize = 256

// Loop is the control goroutine of an emulated service with a state of type S.
type Loop[S any] struct {
	mailbox  chan func(S)
	stop     context.CancelFunc
	stopping <-chan struct{}
	stopped  chan struct{}
}

// NewLoop returns a loop, which Run executes until Close.
func NewLoop[S any]() *Loop[S] {
	ctx, stop := context.WithCancel(context.Background())
	return &Loop[S]{mailbox: make(chan func(S), mailboxSize), stop: stop, stopping: ctx.Done(), stopped: make(chan struct{})}
}

// Run owns the state and runs the closures sent by Do until Close. It calls fired
// for each value from the timer; the timer may be nil.
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

// Do runs f on the control goroutine and waits for it. It reports false if the
// loop ended first, in which case f may not have run.
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

// Stopped returns a channel that is closed when the control goroutine has ended.
func (l *Loop[S]) Stopped() <-chan struct{} { return l.stopped }

// Close stops the control goroutine and waits until it has ended. Run must have
// been called.
func (l *Loop[S]) Close() {
	l.stop()
	<-l.stopped
}

// Serve serves on the listener until the server is closed, which is not an error.
func Serve(server *http.Server, l net.Listener) error {
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
