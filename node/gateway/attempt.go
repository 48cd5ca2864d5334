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
	"github.com/mangoknot/mangoknot/core/stream"
	"github.com/mangoknot/mangoknot/port"
)

// maxRepeatsAtTarget bounds how often the rest of a stream is requested from the same target
// after its connection failed, or the target answered with an error or refused it. The attempt
// limit of a route counts distinct targets and does not bound this.
const maxRepeatsAtTarget = 2

// attemptTimeoutFactor is the time-out of one attempt of an idempotent request,
// as a multiple of the route's objective. Almost all answers arrive within the
// objective.
const attemptTimeoutFactor = 2

// maxAnswerBytes bounds the body of an answer that is not a stream.
const maxAnswerBytes = 16 << 20

// attempt sends the request to one target. It returns retry as true if another
// target is to be tried.
func (e *exchange) attempt(ctx context.Context, target balance.Target) (retry bool, refusal *Refusal) {
	e.target, e.targetVersion, e.sentAt, e.inFlight = target.ID, target.Version, e.elapsed(), true
	if !slices.Contains(e.tried, target.ID) {
		e.tried = append(e.tried, target.ID)
	}
	e.pace = 0
	e.progress.NextAttempt()
	callerCtx := ctx
	if e.route.Kind == manifest.Stream {
		var stop func()
		ctx, stop = e.watchStall(ctx)
		defer stop()
	}
	if wait, bounded := e.attemptTimeout(); bounded {
		var stop context.CancelFunc
		ctx, stop = context.WithTimeout(ctx, wait)
		defer stop()
	}
	answer, err := e.g.o.Targets.Exchange(ctx, port.TargetRequest{
		Target: target, Account: e.account, Body: e.body, TimeLeft: e.timeLeft(), Resume: e.progress.Last(),
		Tunnels: e.tunnels, OnlyTunnels: !e.constraint.Unrestricted(), OnTunnelError: e.g.tunnelFailed, Buffers: e.Buffers, Wire: e.Wire,
	})
	if err != nil {
		var rejected *port.RejectedError
		if errors.As(err, &rejected) && !errors.Is(err, port.ErrMisdirected) {
			e.observe(target, rejected.Head)
		}
		return e.handleNoAnswer(callerCtx, target, withStall(ctx, err))
	}
	defer answer.Close()
	e.via, e.status, e.endsWithConnection = answer.Head().Via, answer.Head().Status, answer.Head().EndsWithConnection
	e.g.heardTarget()
	e.observe(target, answer.Head())
	e.recordRun(target)
	err = withStall(ctx, e.pass(ctx, answer))
	e.release(target, outcomeOf(callerCtx, err), answer.Head().Load)
	if err == nil {
		e.outcome = outcomeServed
		return false, nil
	}
	return e.handleFailedRun(callerCtx, target, err)
}

const (
	// minStallTimeout, stallObjectives and stallEventGaps define the time without a
	// complete event after which a stream counts as stalled: the longest of
	// minStallTimeout and the multiples of the route's objective and event gap. Callers
	// leave after the same time.
	minStallTimeout = 2 * time.Second
	stallObjectives = 4
	stallEventGaps  = 8
	// stallMargin lets callers leave first.
	stallMargin = 250 * time.Millisecond
)

// errStalled is the cause of an attempt that was ended because its stream stalled.
var errStalled = errors.New("the target sent no complete event for too long; check the target")

func stallTimeout(r *manifest.Route) time.Duration {
	return max(minStallTimeout, stallObjectives*r.Objective, stallEventGaps*r.EventGap) + stallMargin
}

// watchStall returns a context that ends when the stream of the attempt stalls. Each event
// resets the timer; a byte alone is no progress. stop releases both.
func (e *exchange) watchStall(ctx context.Context) (watched context.Context, stop func()) {
	watched, cancel := context.WithCancelCause(ctx)
	e.stall = time.AfterFunc(stallTimeout(e.route), func() { cancel(errStalled) })
	return watched, func() {
		e.stall.Stop()
		cancel(nil)
	}
}

// withStall adds errStalled to the error of an attempt that was ended for it.
func withStall(ctx context.Context, err error) error {
	if err != nil && errors.Is(context.Cause(ctx), errStalled) {
		return errors.Join(errStalled, err)
	}
	return err
}

// recordRun records that a target may have run the request. The route's limit
// counts each target once, whatever the number of runs there.
func (e *exchange) recordRun(target balance.Target) {
	e.runs++
	if !slices.Contains(e.runTargets, target.ID) {
		e.runTargets = append(e.runTargets, target.ID)
	}
}

// forgetRun records that the process of a target has ended. If it ran an earlier attempt, that
// run no longer counts against the limit.
func (e *exchange) forgetRun(target balance.Target) {
	e.runTargets = slices.DeleteFunc(e.runTargets, func(id domain.Target) bool { return id == target.ID })
}

// attemptTimeout returns the time-out of one attempt and whether there is one.
// It applies to requests that may go to another target, because an answer can
// be lost while its connection stays open.
func (e *exchange) attemptTimeout() (time.Duration, bool) {
	if e.route.Kind != manifest.Idempotent || len(e.runTargets)+1 >= e.route.MaxAttempts {
		return 0, false
	}
	return attemptTimeoutFactor * e.route.Objective, true
}

func outcomeOf(ctx context.Context, err error) balance.Outcome {
	var status *stream.StatusError
	switch {
	case err == nil:
		return balance.Served
	case ctx.Err() != nil || isOwnFailure(err) || tunnelFailure(err) != nil || errors.As(err, &status):
		return balance.Abandoned
	default:
		return balance.Failed
	}
}

// isOwnFailure reports whether an attempt failed for a reason other than its target.
func isOwnFailure(err error) bool {
	var limit *port.LimitError
	return errors.Is(err, errReply) || errors.Is(err, errNotStored) || errors.Is(err, errNotReserved) || (errors.As(err, &limit) && limit.Limit == port.LimitMemory)
}

// countLimit counts an answer that exceeds a bound, and logs its target.
func (e *exchange) countLimit(err error) {
	var limit *port.LimitError
	if !errors.As(err, &limit) {
		return
	}
	e.g.o.Metrics.LimitExceeded(limit.Limit)
	e.g.o.Log.Info("an answer exceeds a limit; its connection is closed", "id", e.ID, "target", e.target, "limit", limit.Limit, "bytes", limit.Bytes)
}

// observe records what an answer says of its target.
func (e *exchange) observe(target balance.Target, head port.AnswerHead) {
	if head.Load != nil && head.Load.Pace > 0 {
		e.pace = head.Load.Pace
		e.g.o.Metrics.PaceReported(e.pace)
	}
	if head.RateLimit == nil && !e.g.limitsKnown.Load() && !head.Leaving && head.ColdFor <= 0 && e.pace == 0 {
		return
	}
	pace := e.pace
	e.g.Deliver(func(now time.Time) {
		e.g.balancer.ObservePace(now, target.ID, pace)
		e.g.recordLimit(now, target.ID, head.RateLimit)
		if head.Leaving {
			e.g.recordDeparture(now, target)
		}
		if head.ColdFor > 0 {
			e.g.recordCold(now, target, head.ColdFor)
		}
	})
}

// isDirect reports whether the last target was reached without another gateway.
func (e *exchange) isDirect() bool { return len(e.tunnels) == 0 }

func (e *exchange) release(target balance.Target, outcome balance.Outcome, load *balance.Load) {
	e.inFlight = false
	direct, sentAt := e.isDirect(), e.started.Add(e.sentAt)
	e.g.Deliver(func(now time.Time) {
		if outcome == balance.Failed && direct {
			if e.g.links.detector.CutOff() {
				// The gateway's own links failed, not the target.
				outcome = balance.Abandoned
			}
			e.g.links.detector.Failed()
		}
		switch outcome {
		case balance.Failed:
			e.g.cold.Failed(target.ID)
			e.g.watch.ConnectionFailed(now, sentAt, e.fingerprint, target.ID)
		case balance.Served:
			e.g.cold.Served(now, target.ID)
			e.g.requestServed(e.fingerprint)
		}
		e.g.finish(now, target.ID, outcome, load)
	})
}

// handleNoAnswer handles an attempt that returned no answer.
func (e *exchange) handleNoAnswer(ctx context.Context, target balance.Target, err error) (bool, *Refusal) {
	e.lastErr = err
	switch {
	case errors.Is(err, port.ErrMisdirected):
		e.forgetRun(target)
		e.release(target, balance.Replaced, nil)
		e.countRetry("misdirected")
		return true, nil
	case errors.Is(err, port.ErrNotRun) && tunnelFailure(err) != nil:
		e.release(target, balance.Abandoned, nil)
		e.countRetry("no_tunnel")
		return false, e.noTargetRefusal(NoTunnel, e.spread(fullRetryAfter))
	case errors.Is(err, port.ErrNotRun):
		return e.handleNotRun(ctx, target, err)
	}
	e.recordRun(target)
	e.release(target, outcomeOf(ctx, err), nil)
	return e.handleFailedRun(ctx, target, err)
}

// handleNotRun handles an attempt that the target did not run.
func (e *exchange) handleNotRun(ctx context.Context, target balance.Target, err error) (bool, *Refusal) {
	outcome := balance.Rejected
	var unreachable *port.UnreachableError
	if errors.As(err, &unreachable) {
		outcome = balance.Failed
		e.forgetRun(target)
		direct := e.isDirect()
		e.g.Deliver(func(now time.Time) { e.g.targetUnreachable(now, target.ID, direct, unreachable) })
	}
	e.release(target, outcome, nil)
	if e.runs > 0 && len(e.runTargets) >= e.route.MaxAttempts {
		// Only a target that has run a part may run the rest.
		return e.handleFailedRun(ctx, target, err)
	}
	e.countRetry(retryNotRun)
	return ctx.Err() == nil, e.contextRefusalOrNil(ctx, err)
}

func (e *exchange) contextRefusalOrNil(ctx context.Context, err error) *Refusal {
	if ctx.Err() == nil {
		return nil
	}
	return e.contextRefusal(ctx, err)
}

// handleFailedRun handles a failed attempt that the target may have run.
func (e *exchange) handleFailedRun(ctx context.Context, target balance.Target, err error) (bool, *Refusal) {
	e.lastErr = err
	if broken := tunnelFailure(err); broken != nil && ctx.Err() == nil {
		e.g.tunnelFailed(broken.Gateway, broken)
	}
	e.outcome = outcomeBrokenOff
	e.countLimit(err)
	if e.mayRepeat(ctx, err) {
		if len(e.runTargets) < e.route.MaxAttempts {
			e.countRetry(retryReason(err, "target_failed"))
			return true, nil
		}
		if e.mayAskAgain(err) {
			e.repeatsAtTarget++
			e.reconnectTarget = &target
			e.countRetry(retryReason(err, "connection_failed"))
			return true, nil
		}
	}
	if e.progress.Begun() {
		e.reply.Abort()
		return false, nil
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return false, &Refusal{Kind: TimedOut, Cause: err}
	}
	return false, &Refusal{Kind: OutcomeUnknown, Cause: err}
}

// mayRepeat reports whether the request, or the rest of its stream, may be sent
// again after a target may have run it.
func (e *exchange) mayRepeat(ctx context.Context, err error) bool {
	if ctx.Err() != nil || isOwnFailure(err) {
		return false
	}
	if e.progress.Begun() {
		return e.route.Kind == manifest.Stream && e.route.Resumable && e.requiredVersion() != "" && e.progress.CanContinue()
	}
	return e.route.Retryable()
}

// mayAskAgain reports whether the rest of a stream may be requested from the same target.
func (e *exchange) mayAskAgain(err error) bool {
	return e.route.Kind == manifest.Stream && e.repeatsAtTarget < maxRepeatsAtTarget && stream.MayAskAgain(err)
}

// retryNotRun is the label of a retry after a target refused the request.
const retryNotRun = "not_run"

// retryReason returns the label of a retry after an answer that does not belong to the stream,
// or else the given one.
func retryReason(err error, reason string) string {
	var status *stream.StatusError
	var mediaType *stream.MediaTypeError
	var sequence *stream.SequenceError
	switch {
	case errors.As(err, &status) || errors.As(err, &mediaType):
		return "continuation_error"
	case errors.As(err, &sequence):
		return "event_out_of_order"
	case errors.Is(err, port.ErrNotRun):
		return retryNotRun
	default:
		return reason
	}
}

func (e *exchange) countRetry(reason string) { e.g.o.Metrics.Retried(reason) }

func (e *exchange) elapsed() time.Duration { return e.g.o.Clock.Now().Sub(e.started) }

// errReply marks a failure to write the answer to the caller.
var errReply = errors.New("the answer could not be written to the caller")

// pass forwards an answer, unless the caller has a part of a stream to which it does not belong.
func (e *exchange) pass(ctx context.Context, answer port.Answer) error {
	if err := e.progress.CheckAnswer(streamHead(answer)); err != nil {
		return err
	}
	if e.route.Kind == manifest.Stream && answer.Head().Success {
		return e.passStream(ctx, answer)
	}
	return e.passWhole(answer)
}

func (e *exchange) passWhole(answer port.Answer) error {
	body, err := answer.Body(maxAnswerBytes)
	if err != nil {
		return err
	}
	// A refusal must not follow, even if only a part of the answer is written.
	e.beginReply(answer)
	if err := e.reply.Send(answer.Head(), body); err != nil {
		return errors.Join(errReply, err)
	}
	return nil
}

// passStream forwards events as they arrive. It forwards the end of the stream
// only after the turn is stored, because the caller may continue the turn from
// then on.
func (e *exchange) passStream(ctx context.Context, answer port.Answer) error {
	for {
		event, err := answer.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return err
		}
		if err := e.passEvent(ctx, answer, event); err != nil {
			return err
		}
	}
	if err := e.startReply(ctx, answer); err != nil {
		return err
	}
	if err := e.storeTurn(ctx); err != nil {
		return err
	}
	if err := e.reply.End(); err != nil {
		return errors.Join(errReply, err)
	}
	return nil
}

// beginReply records that a part of the answer goes to the caller.
func (e *exchange) beginReply(answer port.Answer) {
	e.progress.Begin(streamHead(answer))
	e.firstAt = e.elapsed()
}

func streamHead(answer port.Answer) stream.Head {
	h := answer.Head()
	return stream.Head{Status: h.Status, Success: h.Success, TargetFailed: h.TargetFailed, MediaType: h.MediaType}
}

// startReply passes on the head of a stream that has not begun, once the turn's tokens are
// reserved.
func (e *exchange) startReply(ctx context.Context, answer port.Answer) error {
	if e.progress.Begun() {
		return nil
	}
	if err := e.awaitReservation(ctx); err != nil {
		return err
	}
	e.beginReply(answer)
	e.recordOrigin()
	if err := e.reply.Begin(answer.Head()); err != nil {
		return errors.Join(errReply, err)
	}
	return nil
}

func (e *exchange) passEvent(ctx context.Context, answer port.Answer, event port.StreamEvent) error {
	if event.Data != nil {
		if err := e.progress.Add(event.ID); err != nil {
			return err
		}
	}
	if err := e.startReply(ctx, answer); err != nil {
		return err
	}
	e.g.heardTarget()
	if event.Data != nil {
		e.stall.Reset(stallTimeout(e.route))
		e.events++
		if err := e.turn.addEvent(event.Data, e.Buffers); err != nil {
			return err
		}
	}
	if err := e.reply.Event(event); err != nil {
		return errors.Join(errReply, err)
	}
	return nil
}
