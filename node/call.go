package node

import (
	"context"
	"crypto/sha256"
	"errors"
	"time"

	"github.com/mangoknot/mangoknot/core/controller"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/entry"
	"github.com/mangoknot/mangoknot/core/program"
	"github.com/mangoknot/mangoknot/port"
)

// attemptResult is the outcome of one attempt. finish is set after a success;
// otherwise fail is the kind of failure.
type attemptResult struct {
	finish        *program.FinishCall
	timing        timing
	fail          program.FailKind
	answerStarted bool
	// callerErr is returned to the caller instead of the owner's refusal, which
	// is less specific.
	callerErr error
}

// timing holds the latencies of one attempt.
type timing struct {
	firstToken time.Duration
	total      time.Duration
}

// runner runs the attempts of one call and sends the answer to the caller.
type runner interface {
	// attempt sends the call to the target and forwards the answer.
	attempt(ctx context.Context, start *program.StartCall) attemptResult
	// commit completes the answer after its turn is stored and charged.
	commit() error
	// replay sends the stored answer of an earlier call with the same key.
	replay(stored []byte) error
}

// errCancelled is the cancellation cause of an attempt that the owner cancelled.
type errCancelled struct{ reason domain.Reason }

func (e errCancelled) Error() string { return "the call was cancelled: " + string(e.reason) }

// call is one caller's request, which the owner of its program controls.
type call struct {
	node    *Node
	begin   program.BeginCall
	account domain.Account
	request *request
	started time.Time
	timing  timing
	// cancelled is the reason of a cancellation. It is returned to the caller
	// instead of the owner's refusal.
	cancelled domain.Reason
	callerErr error
	usage     domain.Usage
	// endEvent is the event that ended the call during an attempt, if any.
	endEvent *entry.Event
}

// newBeginCall builds the request to the owner from the caller's request.
func (n *Node) newBeginCall(spec port.CallSpec) program.BeginCall {
	name, single := entry.ProgramName(spec.Program, spec.Parent, spec.IdempotencyKey, randomText(), n.config.DataCentre)
	begin := program.BeginCall{
		Call:            n.newCallID(),
		Program:         domain.ProgramID{Account: spec.Identity.Account, Name: name},
		Parent:          name.Parent(),
		Single:          single,
		Model:           spec.Model,
		Route:           spec.Route,
		Fingerprint:     fingerprintOf(spec),
		Key:             spec.IdempotencyKey,
		PromptTokens:    spec.PromptTokens,
		TokenLimit:      spec.MaxTokens,
		NewMessagesOnly: spec.NewMessagesOnly,
		Arrived:         n.ports.Clock.Now(),
	}
	if route := n.View().Route(spec.Route); spec.Route != "" && route != nil {
		begin.RunOnce = !route.Repeatable
	}
	return begin
}

// fingerprintOf returns the fingerprint of a request combined with its client
// account, model and route.
func fingerprintOf(spec port.CallSpec) program.Fingerprint {
	h := sha256.New()
	for _, part := range []string{string(spec.Identity.Account), string(spec.Model), spec.Route} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(spec.Fingerprint[:])
	var out program.Fingerprint
	h.Sum(out[:0])
	return out
}

// runCall runs a call until it ends. It returns nil after the answer is
// committed.
func (n *Node) runCall(ctx context.Context, spec port.CallSpec, begin program.BeginCall, r runner) error {
	end, err := n.beginOperation()
	if err != nil {
		return err
	}
	defer end()
	c := &call{node: n, begin: begin, account: spec.Identity.Account, started: n.ports.Clock.Now()}
	c.request, err = n.mailbox.newRequest(func(t controller.Ticket) controller.Input {
		return controller.BeginCall{Ticket: t, Key: spec.Identity.Key, Begin: begin}
	})
	if err != nil {
		return err
	}
	defer c.request.close()
	return c.handleEvents(ctx, r)
}

// handleEvents handles the owner's events until the call ends.
func (c *call) handleEvents(ctx context.Context, r runner) error {
	for {
		event, err := c.nextEvent(ctx)
		if err != nil {
			return err
		}
		switch {
		case event.Start != nil:
			result := c.runAttempt(ctx, r, event.Start)
			if c.endEvent == nil {
				c.report(result, event.Start)
			}
		case event.Committed != nil:
			return c.complete(ctx, r, event.Committed)
		case event.Refused != nil:
			return c.refusal(event.Refused)
		}
	}
}

// nextEvent waits for the owner's next event. After the caller has disconnected
// it reports that to the owner and waits for the reply, so that the call is
// settled.
func (c *call) nextEvent(ctx context.Context) (entry.Event, error) {
	if c.endEvent != nil {
		return *c.endEvent, nil
	}
	reply, err := c.request.next(ctx)
	if err != nil && ctx.Err() != nil {
		c.node.mailbox.deliver(controller.CallerDisconnected{Call: c.begin.Call})
		reply, err = c.request.next(context.WithoutCancel(ctx))
	}
	if err != nil {
		return entry.Event{}, domain.Unknown(domain.ReasonStopping, "the VM stopped; send the request again with the same Idempotency-Key")
	}
	switch body := reply.Body.(type) {
	case entry.Event:
		return body, nil
	case *domain.Refusal:
		return entry.Event{}, body
	default:
		return entry.Event{}, errors.New("node: unexpected reply to a call")
	}
}

// runAttempt runs one attempt and cancels it when the owner requests that.
func (c *call) runAttempt(ctx context.Context, r runner, start *program.StartCall) attemptResult {
	attemptCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	ended := make(chan struct{})
	watched := make(chan *entry.Event, 1)
	go func() { watched <- c.watch(cancel, ended) }()
	result := r.attempt(attemptCtx, start)
	close(ended)
	c.endEvent = <-watched
	if cause, ok := context.Cause(attemptCtx).(errCancelled); ok && result.finish == nil {
		c.cancelled = cause.reason
		result.fail = program.FailCancelled
	}
	return result
}

// watch cancels the attempt when the owner or this VM requests it. It returns
// the event that ended the call during the attempt, or nil.
func (c *call) watch(cancel context.CancelCauseFunc, ended <-chan struct{}) *entry.Event {
	for {
		select {
		case <-ended:
			return nil
		case reply := <-c.request.replies:
			event, ok := reply.Body.(entry.Event)
			switch {
			case !ok || event.Start != nil:
			case event.Cancel != "":
				cancel(errCancelled{event.Cancel})
			case event.Refused != nil:
				cancel(errCancelled{event.Refused.Reason})
				return &event
			default:
				return &event
			}
		}
	}
}

// report sends the result of an attempt to the owner.
func (c *call) report(result attemptResult, start *program.StartCall) {
	c.timing, c.callerErr = result.timing, result.callerErr
	if result.finish != nil {
		finish := *result.finish
		finish.Call, finish.Program, finish.Attempt = start.Call, start.Program, start.Attempt
		finish.FirstToken = result.timing.firstToken
		c.usage = finish.Usage
		c.node.mailbox.deliver(controller.FinishCall{Finish: finish})
		return
	}
	c.node.mailbox.deliver(controller.FailCall{Fail: program.FailCall{
		Call: start.Call, Program: start.Program, Attempt: start.Attempt,
		Kind: result.fail, Target: start.Target, AnswerStarted: result.answerStarted,
	}})
}

// complete commits the answer, or replays the stored answer of an earlier call.
func (c *call) complete(ctx context.Context, r runner, m *program.CallCommitted) error {
	if m.Stored != nil {
		stored, err := c.node.fetch(ctx, port.HistoryRef{Program: c.begin.Program, Length: int64(m.Stored.Length), SHA256: m.Stored.SHA256})
		if refusal, ok := domain.AsRefusal(err); ok {
			// The earlier call ran. Only its answer cannot be read now.
			refusal.Outcome = domain.OutcomeUnknown
			return refusal
		}
		if err != nil {
			return err
		}
		return r.replay(stored)
	}
	if err := r.commit(); err != nil {
		return err
	}
	total := c.node.ports.Clock.Now().Sub(c.started)
	c.node.ports.Metrics.CallDone(c.account, c.timing.firstToken, total, c.usage, m.Charge)
	return nil
}

// refusal returns the error for the caller of a call without an answer.
func (c *call) refusal(r *domain.Refusal) error {
	if c.cancelled != "" {
		return cancelRefusal(c.cancelled)
	}
	if refusal, ok := domain.AsRefusal(c.callerErr); ok {
		refusal.Outcome = max(refusal.Outcome, r.Outcome)
		return refusal
	}
	return r
}

// cancelRefusal returns the refusal of a cancelled call. Its outcome is unknown,
// because part of the call may have run.
func cancelRefusal(reason domain.Reason) *domain.Refusal {
	if reason == domain.ReasonKeyWithdrawn {
		return domain.Unknown(reason, "the key was withdrawn while the call ran; ask the operator for a new one")
	}
	return domain.Unknown(reason, "the call was stopped while it ran (%s)", reason)
}
