package gateway

import (
	"time"

	"github.com/mangoknot/mangoknot/core/balance"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/manifest"
	"github.com/mangoknot/mangoknot/core/waiting"
)

const (
	// maxTargets bounds the targets that one request is sent to. Each target
	// that rejects the request costs a round trip.
	maxTargets = 4
	// minConnections is the lower bound of a gateway's share of the connections
	// of one target.
	minConnections = 4
)

type pickResult struct {
	target balance.Target
	// tunnels are the gateways through which the target is reached; nil means directly.
	tunnels []string
	refusal balance.Refusal
	// constraint is the region constraint that applied.
	constraint domain.RegionConstraint
	// retryAfter is the time after which a refused request can expect a target.
	retryAfter time.Duration
	// waitedFor is the reason for which a request with a target waited, for the time waited, or is
	// empty.
	waitedFor balance.Refusal
	waited    time.Duration
	// turnedAway tells why the request does not wait any more, or is nil.
	turnedAway *waiting.Turned[*waiter]
}

// waiter is a request that waits for a target with a free slot.
type waiter struct {
	request balance.Request
	waiting waiting.Request
	// work is what a generation needs besides its prompt in parts.
	work work
	// constraintSource tells from which configuration the region constraint of the request comes.
	constraintSource constraintSource
	// beginsResumable restricts the request to targets with a settled software version.
	beginsResumable bool
	result          chan pickResult
	// refusal is the reason for which the request waits, since queuedAt.
	refusal  balance.Refusal
	queuedAt time.Time
}

// connectionCap returns this gateway's part of the connections that each target
// of the service accepts, or 0 for no limit.
func (g *Gateway) connectionCap(s *manifest.Service) int {
	if s.MaxConnections == 0 {
		return 0
	}
	return max(minConnections, s.MaxConnections/max(1, int(g.gatewayCount.Load())))
}

// pickOrWait picks a target for a waiter at once, or queues the waiter if all targets are
// full or at their limit. Those that wait and go before it are served first. A waiter that would
// not be served in time is refused, or another one that costs callers less. It runs on the control
// goroutine.
func (g *Gateway) pickOrWait(now time.Time, w *waiter) {
	g.limits.Wanted(now, w.request.Service)
	if g.queue.Len() > 0 {
		w.waiting.Work = g.workOf(now, w)
		g.queue.ServeBefore(now, w.waiting, g.placer(now))
	}
	target, refusal := g.pick(now, w)
	w.refusal, w.queuedAt = refusal, now
	if !refusal.Temporary() {
		g.answerWaiter(now, w, target, refusal)
		return
	}
	w.waiting.Work = g.workOf(now, w)
	if turned, ok := g.queue.Add(now, w.waiting, w); ok {
		g.turnAway(now, &turned)
	}
}

func (g *Gateway) pick(now time.Time, w *waiter) (balance.Target, balance.Refusal) {
	g.updateCold(now)
	if w.beginsResumable {
		w.request.Unsettled = g.versions.history.Unsettled(now)
	}
	w.request.Regions = g.narrow(w.request.Regions, &w.constraintSource)
	if g.noAllowedPeer(w.request.Regions) {
		return balance.Target{}, noAllowedPeer
	}
	return g.balancer.Pick(now, w.request)
}

// answerWaiter gives a waiter its target, or its refusal with a retry-after time.
func (g *Gateway) answerWaiter(now time.Time, w *waiter, target balance.Target, refusal balance.Refusal) {
	result := pickResult{target: target, refusal: refusal, constraint: w.request.Regions}
	if refusal != "" {
		result.retryAfter = g.queue.RetryAfter(now, w.request.Service)
	} else {
		result.tunnels = g.tunnels(now, w.request.Regions)
		result.waitedFor, result.waited = w.refusal, now.Sub(w.queuedAt)
	}
	w.result <- result
}

// serveQueue picks targets for the queued waiters in their order.
func (g *Gateway) serveQueue(now time.Time) { g.queue.Serve(g.placer(now)) }

// cancelWait removes a waiter from the queue. A target that was picked for it
// in the meantime is released.
func (g *Gateway) cancelWait(w *waiter) {
	g.Deliver(func(now time.Time) {
		g.queue.Remove(w)
		select {
		case r := <-w.result:
			if r.refusal == "" {
				g.finish(now, r.target.ID, balance.Abandoned, nil)
			}
		default:
		}
	})
}

// finish ends a request at a target and passes its slot to the queue.
func (g *Gateway) finish(now time.Time, id domain.Target, outcome balance.Outcome, load *balance.Load) {
	g.queue.Freed(now, g.balancer.Service(id))
	g.balancer.Done(now, id, outcome, load)
	g.serveQueue(now)
}
