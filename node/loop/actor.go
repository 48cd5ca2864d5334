package loop

import (
	"context"

	"github.com/mangoknot/mangoknot/port"
)

// Actor is a control goroutine that ends with Stop, in the form that run.Group
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

// Run is the control goroutine. It returns nil after Stop.
func (a Actor) Run() error {
	err := a.Loop.Run(a.ctx)
	if a.ctx.Err() != nil {
		return nil
	}
	return err
}

// Stop ends Run and everything that uses Context.
func (a Actor) Stop() { a.cancel() }

// Context ends with Stop.
func (a Actor) Context() context.Context { return a.ctx }
