package gateway

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/mangoknot/mangoknot/core/coordinator"
	"github.com/mangoknot/mangoknot/core/reach"
	"github.com/mangoknot/mangoknot/port"
)

var testPeers = reach.Peers{Sequence: 1, Peers: []reach.Peer{{Address: "peer-1"}, {Address: "peer-2", Distance: 1}}}

// cutOff makes all direct connections to targets fail, and those through peers succeed.
func (r *rig) cutOff(cut bool) {
	r.targets.mu.Lock()
	defer r.targets.mu.Unlock()
	r.targets.unreachable = map[string]bool{"": cut}
	r.targets.answer = func(_ int, q port.TargetRequest) (port.Answer, error) {
		if cut && len(q.Tunnels) == 0 {
			return nil, &port.UnreachableError{Address: q.Target.Address, Err: errCut}
		}
		return &scriptedAnswer{status: 200, events: []string{"x"}}, nil
	}
}

// startPeeredGateway starts a gateway that knows other gateways.
func (r *rig) startPeeredGateway() *Gateway {
	g := r.startGateway(0)
	g.Apply(&coordinator.View{Authoritative: true, Peers: testPeers})
	must.NoError(r.t, g.Do(context.Background(), func(time.Time) {}))
	return g
}

// serveUntil sends plain requests until the state of the gateway's links is as wanted.
func (r *rig) serveUntil(g *Gateway, cutOff bool) {
	r.t.Helper()
	for i := range 600 {
		_, _ = r.serve(g, &Request{ID: fmt.Sprint("wait", i), Host: "h", Path: "/look/1", Key: "key"})
		found := false
		must.NoError(r.t, g.Do(context.Background(), func(time.Time) { found = g.links.detector.CutOff() }))
		if found == cutOff {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	must.Unreachable(r.t, must.Sprintf("the gateway is not cut off=%v after 3 s", cutOff))
}

// Guards against callers of a gateway without links to the targets who are not served
// although other gateways reach all targets, and against a gateway that does not return to
// its own links.
func TestStrandedGatewayServesThroughOthers(t *testing.T) {
	r := newRig(t)
	g := r.startPeeredGateway()
	r.cutOff(true)
	r.serveUntil(g, true)
	for i, path := range []string{"/look/1", "/order/1", "/resume/1", "/chat/1"} {
		refusal, reply := r.serve(g, &Request{ID: fmt.Sprint("r", i), Host: "h", Path: path, Key: "key"})
		must.Nil(t, refusal, must.Sprint(path))
		must.True(t, reply.ended)
	}
	last := r.targets.requests[len(r.targets.requests)-1]
	must.Len(t, 2, last.Tunnels)
	r.cutOff(false)
	r.serveUntil(g, false)
	refusal, _ := r.serve(g, &Request{ID: "after", Host: "h", Path: "/order/1", Key: "key"})
	must.Nil(t, refusal)
	must.SliceEmpty(t, r.targets.requests[len(r.targets.requests)-1].Tunnels)
}

// Guards against a gateway that gives up its links because one target is gone.
func TestGatewayKeepsItsLinksWhenOneTargetFails(t *testing.T) {
	r := newRig(t)
	g := r.startPeeredGateway()
	r.targets.answer = func(_ int, q port.TargetRequest) (port.Answer, error) {
		if q.Target.ID == "t1" {
			return nil, &port.UnreachableError{Address: q.Target.Address, Err: errCut}
		}
		return &scriptedAnswer{status: 200, events: []string{"x"}}, nil
	}
	for i := range 50 {
		refusal, _ := r.serve(g, &Request{ID: fmt.Sprint(i), Host: "h", Path: "/order/1", Key: "key"})
		must.Nil(t, refusal)
		time.Sleep(2 * time.Millisecond)
	}
	must.NoError(t, g.Do(context.Background(), func(time.Time) { must.False(t, g.links.detector.CutOff()) }))
}

// Guards against a failed tunnel that is reported as a run request, that marks the target as
// failed, or that hides that a run-once request may have run.
func TestTunnelFailureIsNoTargetFailure(t *testing.T) {
	r := newRig(t)
	g := r.startPeeredGateway()
	r.cutOff(true)
	r.serveUntil(g, true)
	sent := 0
	fail := func(notSent bool) {
		r.targets.answer = func(int, port.TargetRequest) (port.Answer, error) {
			sent++
			return nil, &port.TunnelError{Gateway: "peer-1", NotSent: notSent, Err: errors.New("refused: full")}
		}
	}
	fail(true)
	refusal, _ := r.serve(g, &Request{ID: "1", Host: "h", Path: "/order/1", Key: "key"})
	must.NotNil(t, refusal)
	must.Eq(t, NoTunnel, refusal.Kind)
	must.True(t, refusal.NotRun)
	must.Positive(t, refusal.RetryAfter)
	fail(false)
	sent = 0
	refusal, _ = r.serve(g, &Request{ID: "2", Host: "h", Path: "/order/1", Key: "key"})
	must.NotNil(t, refusal)
	must.Eq(t, OutcomeUnknown, refusal.Kind)
	must.False(t, refusal.NotRun)
	must.Eq(t, 1, sent, must.Sprint("a run-once request was sent again"))
	r.cutOff(true)
	for i := range 20 {
		refusal, _ = r.serve(g, &Request{ID: fmt.Sprint("after", i), Host: "h", Path: "/order/1", Key: "key"})
		must.Nil(t, refusal)
	}
	must.NoError(t, g.Do(context.Background(), func(time.Time) {
		must.Eq(t, 0, g.balancer.InFlight())
	}))
}

// Guards against tunnels through a gateway that reaches no target, is about to stop, or does
// not know the target.
func TestGatewayDecidesOnTunnels(t *testing.T) {
	r := newRig(t)
	g := r.startPeeredGateway()
	open := func(address string) reach.Refusal {
		return g.OpenTunnel(&reach.Open{Tunnel: "t", Target: address})
	}
	must.Eq(t, "", open("1"))
	must.Eq(t, reach.RefusedUnknown, open("elsewhere"))
	g.TunnelClosed(&reach.Open{}, 0, nil)
	r.cutOff(true)
	r.serveUntil(g, true)
	must.Eq(t, reach.RefusedCutOff, open("1"))
	g.Drain(time.Now().Add(time.Minute), time.Now().Add(time.Minute))
	must.Eq(t, reach.RefusedStopping, open("1"))
	report, err := g.Report(t.Context())
	must.NoError(t, err)
	must.Eq(t, "", report.Reach.Address, must.Sprint("a gateway that stops is offered to others"))
}

// crash makes a request fail at the targets with these addresses, and later connections to
// them.
func (r *rig) crash(addresses map[string]bool) {
	r.targets.mu.Lock()
	defer r.targets.mu.Unlock()
	r.targets.unreachable, r.targets.probeDelay = addresses, 50*time.Millisecond
	failed := map[string]bool{}
	r.targets.answer = func(_ int, q port.TargetRequest) (port.Answer, error) {
		address := q.Target.Address
		switch {
		case len(q.Tunnels) > 0 || !(addresses[address] || addresses[""]):
			return &scriptedAnswer{status: 200, events: []string{"x"}}, nil
		case failed[address]:
			return nil, &port.UnreachableError{Address: address, Err: errCut}
		default:
			failed[address] = true
			return nil, errCut
		}
	}
}

// reportedCrashes serves requests until the outcome of a probe is known, and returns the
// crashes that the gateway reports.
func (r *rig) reportedCrashes(g *Gateway) int {
	most := 0
	for i := range 400 {
		_, _ = r.serve(g, &Request{ID: fmt.Sprint("r", i), Host: "h", Path: "/order/1", Key: "key", Body: []byte(fmt.Sprint(i))})
		report, err := g.Report(context.Background())
		must.NoError(r.t, err)
		most = max(most, len(report.Crashes))
		time.Sleep(5 * time.Millisecond)
	}
	return most
}

// Guards against requests that are quarantined for all gateways because one gateway lost its
// links, and against crashes that are no longer reported.
func TestLostLinksAreNoCrashes(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	g := r.startPeeredGateway()
	r.crash(map[string]bool{"": true})
	must.Eq(t, 0, r.reportedCrashes(g))
	g = r.startPeeredGateway()
	r.crash(map[string]bool{"1": true})
	must.Positive(t, r.reportedCrashes(g))
}
