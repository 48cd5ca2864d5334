package loop

import (
	"context"

	"github.com/mangoknot/mangoknot/port"
)

// Actor is a control goroutine that Stop ends, with the methods that run.Group
// expects. Roles embed it.
type Actor struct {
	*Loop
	ctx    context.Context
	cancel context.CancelFunc
}

// NewActor returns an actor that is not running yet.
func NewActor(clock port.Clock, settle Settle) Actor {
	ctx, cancel := context.WithCancel(context.Background())
	return Actor{Loop: New(clock, settle), ctx: ctx, cancel: cancel}
}

// Run runs the control goroutine. It returns nil after Stop.
func (a Actor) Run() error {
	err := a.Loop.Run(a.ctx)
	if a.ctx.Err() != nil {
		return nil
	}
	return err
}

// Stop ends Run and cancels Context.
func (a Actor) Stop() { a.cancel() }

// Context returns a context that Stop cancels.
func (a Actor) Context() context.Context { return a.ctx }
