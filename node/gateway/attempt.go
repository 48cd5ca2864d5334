package gateway

import (
	"context"
	"errors"
	"io"
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/core/balance"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/manifest"
	"github.com/mangoknot/mangoknot/port"
)

// maxReturns bounds how often a stream goes back to the target whose connection
// broke. A route's limit counts targets, and the same target is no further one.
const maxReturns = 2

// patienceFactor times the objective is when an idempotent request goes to
// another target. Almost all answers come within the objective itself.
const patienceFactor = 2

// maxAnswerBytes bounds an answer that is not a stream.
const maxAnswerBytes = 16 << 20

// attempt sends the request to one target. It returns true when another target
// is to be tried.
func (x *exchange) attempt(ctx context.Context, target balance.Target) (again bool, refusal *Refusal) {
	x.target, x.sentAt = target.ID, x.elapsed()
	if !slices.Contains(x.tried, target.ID) {
		x.tried = append(x.tried, target.ID)
	}
	caller := ctx
	if wait, bounded := x.attemptPatience(); bounded {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, wait)
		defer cancel()
	}
	answer, err := x.g.o.Targets.Exchange(ctx, port.TargetRequest{
		Target: target, Account: x.account, Body: x.body, TimeLeft: x.timeLeft(), Resume: x.resumePoint(), Wire: x.Wire,
	})
	if err != nil {
		return x.failedBefore(caller, target, err)
	}
	defer answer.Close()
	x.ran(target)
	if x.route.Kind == manifest.Stream && answer.Head().Success {
		err = x.passStream(ctx, answer)
	} else {
		err = x.passWhole(answer)
	}
	x.free(target, outcomeOf(caller, err), answer.Head().Load)
	if err == nil {
		x.outcome = outcomeServed
		return false, nil
	}
	return x.failedAfter(caller, target, err)
}

// ran counts a request that a target may have run. Several runs at one target
// count once against the route's limit.
func (x *exchange) ran(target balance.Target) {
	x.runs++
	if !slices.Contains(x.ranAt, target.ID) {
		x.ranAt = append(x.ranAt, target.ID)
	}
}

// attemptPatience is how long one target may take for a request that can go to
// another one. An answer can be lost while its connection stays open.
func (x *exchange) attemptPatience() (time.Duration, bool) {
	if x.route.Kind != manifest.Idempotent || len(x.ranAt)+1 >= x.route.MaxAttempts {
		return 0, false
	}
	return patienceFactor * x.route.Objective, true
}

func outcomeOf(ctx context.Context, err error) balance.Outcome {
	switch {
	case err == nil:
		return balance.Served
	case ctx.Err() != nil || errors.Is(err, errReply) || errors.Is(err, errNotStored):
		return balance.Abandoned
	default:
		return balance.Failed
	}
}

func (x *exchange) free(target balance.Target, outcome balance.Outcome, load *balance.Load) {
	x.g.Deliver(func(now time.Time) {
		switch outcome {
		case balance.Failed:
			x.g.watch.ConnectionFailed(now, x.fingerprint, target.ID)
		case balance.Served:
			x.g.watch.Served(x.fingerprint)
		}
		x.g.finish(now, target.ID, outcome, load)
	})
}

// failedBefore handles a request that got no answer.
func (x *exchange) failedBefore(ctx context.Context, target balance.Target, err error) (bool, *Refusal) {
	x.rejected = err
	switch {
	case errors.Is(err, port.ErrMisdirected):
		x.free(target, balance.Replaced, nil)
		x.retried("misdirected")
		return true, nil
	case errors.Is(err, port.ErrNotRun):
		outcome := balance.Rejected
		var unreachable *port.UnreachableError
		if errors.As(err, &unreachable) {
			outcome = balance.Failed
			// The process that ran the request before has ended, so its run no longer
			// counts against the limit.
			x.ranAt = slices.DeleteFunc(x.ranAt, func(id domain.Target) bool { return id == target.ID })
			x.g.Deliver(func(now time.Time) { x.g.watch.TargetUnreachable(now, target.ID) })
		}
		x.free(target, outcome, nil)
		x.retried("not_run")
		return ctx.Err() == nil, x.endedOrNil(ctx, err)
	}
	x.ran(target)
	x.free(target, outcomeOf(ctx, err), nil)
	return x.failedAfter(ctx, target, err)
}

func (x *exchange) endedOrNil(ctx context.Context, err error) *Refusal {
	if ctx.Err() == nil {
		return nil
	}
	return x.ended(ctx, err)
}

// failedAfter handles a request that may have run.
func (x *exchange) failedAfter(ctx context.Context, target balance.Target, err error) (bool, *Refusal) {
	x.rejected = err
	x.outcome = "broken_off"
	if x.mayRepeat(ctx, err) {
		if len(x.ranAt) < x.route.MaxAttempts {
			x.retried("target_failed")
			return true, nil
		}
		if x.route.Kind == manifest.Stream && x.returns < maxReturns {
			x.returns++
			x.returnTo = &target
			x.retried("connection_failed")
			return true, nil
		}
	}
	if x.begun {
		x.reply.Abort()
		return false, nil
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return false, &Refusal{Kind: TimedOut, Cause: err}
	}
	return false, &Refusal{Kind: OutcomeUnknown, Cause: err}
}

// mayRepeat says whether the request, or the rest of its stream, may be sent
// again after it may have run.
func (x *exchange) mayRepeat(ctx context.Context, err error) bool {
	if ctx.Err() != nil || errors.Is(err, errReply) || errors.Is(err, errNotStored) {
		return false
	}
	if x.begun {
		return x.route.Kind == manifest.Stream && x.route.Resumable
	}
	return x.route.Retryable()
}

func (x *exchange) retried(reason string) { x.g.o.Metrics.Retried(reason) }

func (x *exchange) elapsed() time.Duration { return x.g.o.Clock.Now().Sub(x.started) }

// resumePoint is the id of the last event that the caller has.
func (x *exchange) resumePoint() string {
	if x.lastID != "" {
		return x.lastID
	}
	return x.Resume
}

// errReply marks an error of the caller's side.
var errReply = errors.New("the caller does not take the answer")

func (x *exchange) passWhole(answer port.Answer) error {
	body, err := answer.Body(maxAnswerBytes)
	if err != nil {
		return err
	}
	// A refusal must not follow, also when the caller takes a part of the answer.
	x.begun, x.firstAt = true, x.elapsed()
	if err := x.reply.Send(answer.Head(), body); err != nil {
		return errors.Join(errReply, err)
	}
	return nil
}

// passStream passes events on as they come. The end of the stream is passed on
// after the turn is stored, because a turn counts from there.
func (x *exchange) passStream(ctx context.Context, answer port.Answer) error {
	for {
		event, err := answer.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return err
		}
		if err := x.passEvent(answer, event); err != nil {
			return err
		}
	}
	if !x.begun {
		if err := x.begin(answer); err != nil {
			return err
		}
	}
	if err := x.storeTurn(ctx); err != nil {
		return err
	}
	if err := x.reply.End(); err != nil {
		return errors.Join(errReply, err)
	}
	return nil
}

func (x *exchange) begin(answer port.Answer) error {
	x.begun, x.firstAt = true, x.elapsed()
	if err := x.reply.Begin(answer.Head()); err != nil {
		return errors.Join(errReply, err)
	}
	return nil
}

func (x *exchange) passEvent(answer port.Answer, event port.StreamEvent) error {
	if !x.begun {
		if err := x.begin(answer); err != nil {
			return err
		}
	}
	if event.Data != nil {
		x.events++
		x.turn.addEvent(event.Data)
	}
	if event.ID != "" {
		x.lastID = event.ID
	}
	if err := x.reply.Event(event); err != nil {
		return errors.Join(errReply, err)
	}
	return nil
}
