// Package loop runs the control goroutine of a process. The goroutine owns all
// control state of a role; traffic goroutines post functions, which it runs one
// at a time.
package loop

import (
	"context"
	"errors"
	"runtime/debug"
	"time"

	"github.com/mangoknot/mangoknot/port"
)

// mailboxLength bounds the functions that wait for the control goroutine. If
// the mailbox is full, traffic is refused.
const mailboxLength = 4096

// ErrBusy is returned if the mailbox is full.
var ErrBusy = errors.New("loop: the control goroutine is overloaded; retry after a moment or reduce the load")

// ErrPanicked is returned for a function that panicked.
var ErrPanicked = errors.New("loop: the function panicked; the log has the stack, report it as a bug")

// Settle is called after each batch of functions and after each timer. It
// returns the latest time of its next call.
type Settle func(now time.Time) (next time.Time)

// Loop is the mailbox of one control goroutine.
type Loop struct {
	clock   port.Clock
	mailbox chan func(now time.Time)
	settle  Settle
	done    chan struct{}
	// onPanic is called with the value and the stack of a function that panicked; nil
	// means that a panic ends the process.
	onPanic func(value any, stack []byte)
}

// New returns a loop that is not running yet.
func New(clock port.Clock, settle Settle) *Loop {
	return &Loop{clock: clock, mailbox: make(chan func(time.Time), mailboxLength), settle: settle, done: make(chan struct{})}
}

// ContainPanics keeps the loop running after a function has panicked. It is only for
// state that other processes restore. A process that owns durable state must end instead,
// because a function that stopped halfway may have left state that is not on the disk.
// It must be called before Run.
func (l *Loop) ContainPanics(onPanic func(value any, stack []byte)) { l.onPanic = onPanic }

// Post queues f for the control goroutine. It returns false, and f does not
// run, if the mailbox is full.
func (l *Loop) Post(f func(now time.Time)) bool {
	select {
	case l.mailbox <- f:
		return true
	default:
		return false
	}
}

// Deliver queues f for the control goroutine and blocks while the mailbox is
// full. It is for completions, which must not be lost; f is discarded if the
// loop has ended.
func (l *Loop) Deliver(f func(now time.Time)) {
	select {
	case l.mailbox <- f:
	case <-l.done:
	}
}

// Do runs f on the control goroutine and waits until f returns or the context
// ends. In the latter case f may still run. It returns ErrBusy if the mailbox
// is full.
func (l *Loop) Do(ctx context.Context, f func(now time.Time)) error {
	done := make(chan struct{})
	returned := false
	if !l.Post(func(now time.Time) { defer close(done); f(now); returned = true }) {
		return ErrBusy
	}
	select {
	case <-done:
		if !returned {
			return ErrPanicked
		}
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Run runs the control goroutine until the context ends, and returns the
// context's error.
func (l *Loop) Run(ctx context.Context) error {
	defer close(l.done)
	timer := l.clock.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case f := <-l.mailbox:
			l.call(f)
			l.drain()
		case <-timer.C():
		}
		next := l.clock.Now().Add(settleRetryDelay)
		l.call(func(now time.Time) { next = l.settle(now) })
		timer.Reset(max(0, next.Sub(l.clock.Now())))
	}
}

// settleRetryDelay is the time until the next call of Settle after one that panicked.
const settleRetryDelay = 100 * time.Millisecond

// call runs one function.
func (l *Loop) call(f func(now time.Time)) {
	if l.onPanic == nil {
		f(l.clock.Now())
		return
	}
	Contain(l.onPanic, func() { f(l.clock.Now()) })
}

// Contain runs f and reports whether it returned. A panic of f is passed to onPanic with
// its stack and does not end the process.
func Contain(onPanic func(value any, stack []byte), f func()) (returned bool) {
	defer func() {
		if value := recover(); value != nil {
			onPanic(value, debug.Stack())
		}
	}()
	f()
	return true
}

// drain runs the functions that are already queued, so that settle is called
// once for the batch.
func (l *Loop) drain() {
	for range len(l.mailbox) {
		l.call(<-l.mailbox)
	}
}
