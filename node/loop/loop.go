// Package loop runs the control goroutine of a process. All control state of a
// role belongs to it: traffic goroutines post functions that run there one after
// the other.
package loop

import (
	"context"
	"errors"
	"time"

	"github.com/mangoknot/mangoknot/port"
)

// mailboxLength bounds the functions that wait for the control goroutine. A
// full mailbox refuses traffic instead of growing.
const mailboxLength = 4096

// ErrBusy refuses a function because the mailbox is full.
var ErrBusy = errors.New("loop: the control goroutine is behind; retry after a moment or reduce the load")

// Settle is called after each batch of functions and each timer. It returns when
// it has to be called again at the latest.
type Settle func(now time.Time) (next time.Time)

// Loop is the mailbox of one control goroutine.
type Loop struct {
	clock   port.Clock
	mailbox chan func(now time.Time)
	settle  Settle
	done    chan struct{}
}

// New returns a loop that is not running yet.
func New(clock port.Clock, settle Settle) *Loop {
	return &Loop{clock: clock, mailbox: make(chan func(time.Time), mailboxLength), settle: settle, done: make(chan struct{})}
}

// Post runs f on the control goroutine. It returns false when the mailbox is
// full, and f does not run then.
func (l *Loop) Post(f func(now time.Time)) bool {
	select {
	case l.mailbox <- f:
		return true
	default:
		return false
	}
}

// Deliver runs f on the control goroutine, and waits while the mailbox is full.
// It is for completions, which must not be lost; it gives up when the loop ends.
func (l *Loop) Deliver(f func(now time.Time)) {
	select {
	case l.mailbox <- f:
	case <-l.done:
	}
}

// Do runs f on the control goroutine and waits for its end or for the end of
// the context. In the latter case f may still run.
func (l *Loop) Do(ctx context.Context, f func(now time.Time)) error {
	done := make(chan struct{})
	if !l.Post(func(now time.Time) { f(now); close(done) }) {
		return ErrBusy
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Run is the control goroutine. It ends with the context.
func (l *Loop) Run(ctx context.Context) error {
	defer close(l.done)
	timer := l.clock.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case f := <-l.mailbox:
			f(l.clock.Now())
			l.drain()
		case <-timer.C():
		}
		now := l.clock.Now()
		timer.Reset(max(0, l.settle(now).Sub(now)))
	}
}

// drain runs what waits already, so that one settle serves a batch.
func (l *Loop) drain() {
	for range len(l.mailbox) {
		f := <-l.mailbox
		f(l.clock.Now())
	}
}
