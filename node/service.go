package node

import (
	"bytes"
	"context"
	"errors"
	"io"
	"time"

	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/program"
	"github.com/mangoknot/mangoknot/port"
)

// Service implements port.Frontend.
func (n *Node) Service(ctx context.Context, spec port.CallSpec, r port.ServiceRequest, exchange port.ServiceExchange) (*port.ServiceAnswer, domain.ProgramID, error) {
	route := n.View().Route(spec.Route)
	if route == nil {
		return nil, domain.ProgramID{}, domain.NotRun(domain.ReasonRouteUnknown, "no route %q is configured; check the path", spec.Route)
	}
	begin := n.newBeginCall(spec)
	runner := &serviceRunner{node: n, route: route, request: r, exchange: exchange}
	if err := n.runCall(ctx, spec, begin, runner); err != nil {
		return nil, begin.Program, err
	}
	return runner.answer, begin.Program, nil
}

// serviceRunner runs a call of a plain service. The complete answer is read and
// stored before any of it is sent to the caller.
type serviceRunner struct {
	node     *Node
	route    *config.RouteSpec
	request  port.ServiceRequest
	exchange port.ServiceExchange
	answer   *port.ServiceAnswer
}

func (r *serviceRunner) commit() error { return nil }

func (r *serviceRunner) replay(stored []byte) error {
	answer, err := r.exchange.Decode(stored)
	r.answer = answer
	return err
}

func (r *serviceRunner) attempt(ctx context.Context, start *program.StartCall) attemptResult {
	began := r.node.ports.Clock.Now()
	answer, err := r.node.callService(ctx, r.route, r.request, start.Target, start.Call)
	if err != nil {
		return failureResult(ctx, err, false)
	}
	elapsed := r.node.ports.Clock.Now().Sub(began)
	data, err := r.exchange.Encode(answer)
	if err != nil {
		return attemptResult{fail: program.FailTimedOut, callerErr: err}
	}
	ref, err := r.node.storeTurn(ctx, start.Program, data)
	if err != nil {
		return attemptResult{fail: program.FailTimedOut, callerErr: err}
	}
	r.answer = answer
	return attemptResult{timing: timing{elapsed, elapsed}, finish: &program.FinishCall{
		Turn:         ref,
		Answer:       (*program.Answer)(&ref),
		Conversation: start.Conversation,
	}}
}

// callService sends one request and reads the complete answer.
func (n *Node) callService(ctx context.Context, route *config.RouteSpec, r port.ServiceRequest, target domain.Target, id domain.CallID) (*port.ServiceAnswer, error) {
	call := port.PlainCall{
		Target: target, Call: id, Method: r.Method, Path: "/" + r.Path, Query: r.Query, Header: r.Header,
		MaxAnswer: n.config.MaxAnswerBytes, Timeout: route.Timeout,
		// The front end has limited the size of the body. The adapter needs a
		// limit above 0 also for a request without a body.
		MaxBody: max(int64(len(r.Body)), 1),
	}
	if len(r.Body) > 0 {
		call.Body, call.BodyLength = bytes.NewReader(r.Body), int64(len(r.Body))
	}
	answer, err := n.ports.Targets.Plain(ctx, call)
	if err != nil {
		return nil, err
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return nil, err
	}
	return &port.ServiceAnswer{Status: answer.Status, Header: answer.Header, Body: body}, nil
}

// CallOpenRoute implements port.Frontend. An open route needs no key, program or
// owner, so it is served while the VM is isolated.
func (n *Node) CallOpenRoute(ctx context.Context, name string, r port.ServiceRequest) (*port.ServiceAnswer, error) {
	view := n.View()
	route := view.Route(name)
	if route == nil || !route.Open {
		return nil, domain.NotRun(domain.ReasonRouteUnknown, "no open route %q is configured; check the path", name)
	}
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	targets := n.openRouteTargets(view, route)
	var last error
	for _, target := range targets {
		answer, err := n.callService(ctx, route, r, target, n.newCallID())
		if err == nil {
			return answer, nil
		}
		last = err
		n.ports.Metrics.Retried("open_route")
	}
	if last == nil {
		return nil, domain.NotRun(domain.ReasonNoTarget, "no target serves the route now; send the request again").After(time.Second)
	}
	return nil, openRouteRefusal(last)
}

// openRouteRefusal converts the last failure to a refusal with an unknown outcome.
func openRouteRefusal(err error) *domain.Refusal {
	var failure *port.Failure
	if errors.As(err, &failure) && failure.Kind == port.FailureTimeout {
		return domain.Unknown(domain.ReasonToolTimeout, "the service did not answer in time; send the request again").After(time.Second)
	}
	return domain.Unknown(domain.ReasonTargetFailed, "the service failed; send the request again").After(time.Second)
}

// maxOpenRouteAttempts is the maximum number of targets that one call of an open
// route tries.
const maxOpenRouteAttempts = 2

// openRouteTargets returns the targets to try: those in this data centre first,
// starting at another one for each call.
func (n *Node) openRouteTargets(view *config.View, route *config.RouteSpec) []domain.Target {
	var near, far []domain.Target
	offset := int(n.openRouteCalls.Add(1) % uint64(max(len(route.Targets), 1)))
	for i := range route.Targets {
		name := route.Targets[(i+offset)%len(route.Targets)]
		target := view.Target(name)
		switch {
		case target == nil || target.Leaving:
		case target.DataCentre == n.config.DataCentre:
			near = append(near, name)
		default:
			far = append(far, name)
		}
	}
	all := append(near, far...)
	return all[:min(len(all), maxOpenRouteAttempts)]
}
