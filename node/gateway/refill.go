package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/mangoknot/mangoknot/core/allowance"
)

// A request waits for the refill of its account for at most these fractions of the route's
// objective and of the time that it has left. The rest is for its target.
const (
	refillWaitObjectives = 2
	refillWaitTimeLeft   = 4
)

// Ends of a wait for the refill.
const (
	refillCovered   = "covered"
	refillDisplaced = "displaced"
	refillLeft      = "caller_left"
)

// errDisplaced is the cause of a refusal of a request that cannot wait for the refill any longer.
var errDisplaced = errors.New("more urgent requests of the account, or too many of all, wait for the refill")

// heldRequest is a request that waits until the refill of its account covers it.
type heldRequest struct {
	// covered receives true when the request may be sent, or false if it is refused.
	covered chan bool
}

// maxRefillWait returns the time for which the request may wait for the refill.
func (e *exchange) maxRefillWait() time.Duration {
	return min(e.route.Objective/refillWaitObjectives, e.timeLeft()/refillWaitTimeLeft)
}

// hold lets an admitted request wait. It runs on the control goroutine.
func (e *exchange) hold(now time.Time, d *allowance.Decision) *heldRequest {
	h := &heldRequest{covered: make(chan bool, 1)}
	r := allowance.HeldRequest{
		Account: e.account, Priority: e.priority, Deadline: e.programDeadline(), GiveUp: now.Add(d.MaxWait), Bytes: len(e.Body),
	}
	for _, rejected := range e.g.held.Add(r, now.Add(d.Wait), h) {
		rejected.covered <- false
	}
	return h
}

// sendHeld lets the requests go on that the refill covers now. It runs on the control goroutine.
func (g *Gateway) sendHeld(now time.Time) {
	for _, h := range g.held.Take(now) {
		h.covered <- true
	}
}

// awaitRefill waits until a held request may be sent; nil is none that waits. A request that is
// refused has not run, so that its allowance is returned.
func (e *exchange) awaitRefill(ctx context.Context, h *heldRequest, d *allowance.Decision) *Refusal {
	if h == nil {
		return nil
	}
	began := e.g.o.Clock.Now()
	defer func() { e.refillWait = e.g.o.Clock.Now().Sub(began) }()
	select {
	case covered := <-h.covered:
		if covered {
			e.g.o.Metrics.RefillAwaited(refillCovered)
			return nil
		}
		e.g.o.Metrics.RefillAwaited(refillDisplaced)
		return notRun(OverRate, max(minRetryAfter, d.RetryAfter), errors.Join(errDisplaced, errors.New(d.String())))
	case <-ctx.Done():
		e.g.o.Metrics.RefillAwaited(refillLeft)
		e.g.Deliver(func(time.Time) { e.g.held.Remove(e.account, h) })
		return e.contextRefusal(ctx, ctx.Err())
	case <-e.g.Context().Done():
		return notRun(Overloaded, minRetryAfter, e.g.Context().Err())
	}
}
