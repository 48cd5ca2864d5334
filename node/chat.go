package node

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/program"
	"github.com/mangoknot/mangoknot/port"
)

// Chat implements port.Frontend.
func (n *Node) Chat(ctx context.Context, spec port.CallSpec, exchange port.ChatExchange) error {
	begin := n.newBeginCall(spec)
	exchange.Accepted(begin.Program, begin.Call)
	return n.runCall(ctx, spec, begin, &chatRunner{node: n, exchange: exchange})
}

// chatRunner runs a call of a model engine.
type chatRunner struct {
	node     *Node
	exchange port.ChatExchange
}

func (r *chatRunner) commit() error { return r.exchange.Commit() }

func (r *chatRunner) replay(stored []byte) error { return r.exchange.Replay(stored) }

func (r *chatRunner) attempt(ctx context.Context, start *program.StartCall) attemptResult {
	began := r.node.ports.Clock.Now()
	turns, err := r.node.fetchTurns(ctx, start.Program, start.History)
	if err != nil {
		return attemptResult{fail: program.FailNotSent, callerErr: err}
	}
	body, err := r.exchange.Body(turns, start.TokenLimit)
	if err != nil {
		return attemptResult{fail: program.FailNotSent, callerErr: domain.NotRun(domain.ReasonHistoryCorrupt, "the stored history cannot be decoded; ask the operator to check the replicas of the shard")}
	}
	stream, err := r.node.ports.Targets.Call(ctx, port.TargetCall{
		Target: start.Target, Program: start.Program, Call: start.Call, Body: body,
	})
	if err != nil {
		return failureResult(ctx, err, false)
	}
	defer stream.Close()
	result := r.forwardAnswer(ctx, stream, began)
	if result.fail != "" {
		return result
	}
	usage, ok := stream.Usage()
	if !ok {
		return incompleteAnswer()
	}
	return r.store(ctx, start, usage, result.timing)
}

// forwardAnswer forwards the events of the answer to the caller. After a complete
// answer the result holds only the timing.
func (r *chatRunner) forwardAnswer(ctx context.Context, stream port.Stream, began time.Time) attemptResult {
	var t timing
	answerStarted := false
	for {
		event, err := stream.Next()
		switch {
		case errors.Is(err, io.EOF):
			t.total = r.node.ports.Clock.Now().Sub(began)
			return attemptResult{timing: t}
		case err != nil:
			return failureResult(ctx, err, answerStarted)
		}
		if !answerStarted {
			t.firstToken = r.node.ports.Clock.Now().Sub(began)
		}
		answerStarted = true
		if err := r.exchange.Event(event.Data); err != nil {
			return attemptResult{fail: failKindOf(ctx, err), answerStarted: true, callerErr: err}
		}
	}
}

// store writes the turn to the replicas of the shard before the result is sent
// to the owner, so that an acknowledged turn is on two VMs.
func (r *chatRunner) store(ctx context.Context, start *program.StartCall, usage domain.Usage, t timing) attemptResult {
	data, after, err := r.exchange.Turn(port.Conversation{Digest: start.Conversation.Digest, Messages: int(start.Conversation.Messages)})
	if err != nil {
		return incompleteAnswer()
	}
	ref, err := r.node.storeTurn(ctx, start.Program, data)
	if err != nil {
		return attemptResult{fail: program.FailCancelled, answerStarted: true, callerErr: err}
	}
	return attemptResult{timing: t, finish: &program.FinishCall{
		Usage:        usage,
		Turn:         ref,
		Answer:       (*program.Answer)(&ref),
		Conversation: program.Conversation{Digest: after.Digest, Messages: uint32(after.Messages)},
	}}
}

// incompleteAnswer is the result of an answer that ended without its finish reason
// or its usage, which every request to an engine asks for.
func incompleteAnswer() attemptResult {
	return attemptResult{fail: program.FailTimedOut, answerStarted: true, callerErr: domain.Unknown(domain.ReasonTargetFailed, "the engine's answer is incomplete; send the request again")}
}

// failureResult converts a target's failure to the result of the attempt.
func failureResult(ctx context.Context, err error, answerStarted bool) attemptResult {
	result := attemptResult{fail: failKindOf(ctx, err), answerStarted: answerStarted}
	var failure *port.Failure
	if errors.As(err, &failure) && failure.Kind == port.FailureBadAnswer && failure.Status >= statusRequestError && failure.Status < statusServerError {
		result.callerErr = domain.NotRun(domain.ReasonBadRequest, "the engine refused the request with status %d; check its fields", failure.Status)
	}
	return result
}

// Statuses of targets: the lowest that blames the request, the lowest that blames the target,
// and the one of a target that is full.
const (
	statusRequestError = 400
	statusServerError  = 500
	statusUnavailable  = 503
)

// failKindOfStatus returns the kind of failure of an answer with an error status, or of one
// that violates the protocol, with status 0. Targets that are full answer 429 or 503; any other
// failure of the server says nothing of whether it ran the call.
func failKindOfStatus(status int) program.FailKind {
	switch {
	case status == statusUnavailable:
		return program.FailRefused
	case status >= statusServerError:
		return program.FailErrored
	case status >= statusRequestError:
		return program.FailRefused
	default:
		return program.FailTimedOut
	}
}

// failKindOf returns the kind of failure to report to the owner.
func failKindOf(ctx context.Context, err error) program.FailKind {
	if ctx.Err() != nil {
		if _, cancelled := context.Cause(ctx).(errCancelled); cancelled {
			return program.FailCancelled
		}
		return program.FailCallerGone
	}
	if refusal, ok := domain.AsRefusal(err); ok && refusal.Reason == domain.ReasonCallerGone {
		return program.FailCallerGone
	}
	var failure *port.Failure
	if !errors.As(err, &failure) {
		return program.FailTimedOut
	}
	switch failure.Kind {
	case port.FailureConnect:
		return program.FailUnreachable
	case port.FailureRefused:
		return program.FailRefused
	case port.FailureBadAnswer:
		return failKindOfStatus(failure.Status)
	case port.FailureCrashedEarly, port.FailureCrashed:
		return program.FailCrashed
	default:
		return program.FailTimedOut
	}
}
