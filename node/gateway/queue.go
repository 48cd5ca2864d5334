package gateway

import (
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/core/balance"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/manifest"
)

const (
	// maxTargets bounds the targets that one request is offered to. Each offer
	// that is rejected costs a round trip.
	maxTargets = 4
	// minConnections is the least number of requests that a gateway may have at
	// one target.
	minConnections = 4
	// queueLimit bounds the requests that wait for a target at one gateway.
	queueLimit = 512
)

type pickResult struct {
	target  balance.Target
	refusal balance.Refusal
}

// waiter is a request that waits for a free place.
type waiter struct {
	request  balance.Request
	priority int
	result   chan pickResult
}

// connectionCap divides the connections that a target accepts among the
// gateways.
func (g *Gateway) connectionCap(s *manifest.Service) int {
	if s.MaxConnections == 0 {
		return 0
	}
	return max(minConnections, s.MaxConnections/max(1, int(g.gatewayCount.Load())))
}

// pickOrWait answers a waiter at once, or queues it by priority. It runs on the
// control goroutine.
func (g *Gateway) pickOrWait(now time.Time, w *waiter) {
	target, refusal := g.balancer.Pick(now, w.request)
	if refusal != balance.AllFull || len(g.queue) >= queueLimit {
		w.result <- pickResult{target: target, refusal: refusal}
		return
	}
	i := len(g.queue)
	for i > 0 && g.queue[i-1].priority > w.priority {
		i--
	}
	g.queue = slices.Insert(g.queue, i, w)
}

// serveQueue offers free places to the waiters, the most urgent one first.
func (g *Gateway) serveQueue(now time.Time) {
	g.queue = slices.DeleteFunc(g.queue, func(w *waiter) bool {
		target, refusal := g.balancer.Pick(now, w.request)
		if refusal == balance.AllFull {
			return false
		}
		w.result <- pickResult{target: target, refusal: refusal}
		return true
	})
}

// cancelWait ends the wait of a request that no longer needs a target. A target
// that it got meanwhile is freed.
func (g *Gateway) cancelWait(w *waiter) {
	g.Deliver(func(now time.Time) {
		g.queue = slices.DeleteFunc(g.queue, func(other *waiter) bool { return other == w })
		select {
		case r := <-w.result:
			if r.refusal == "" {
				g.finish(now, r.target.ID, balance.Abandoned, nil)
			}
		default:
		}
	})
}

// finish ends a request at a target and passes the place on.
func (g *Gateway) finish(now time.Time, id domain.Target, outcome balance.Outcome, load *balance.Load) {
	g.balancer.Done(now, id, outcome, load)
	g.serveQueue(now)
}
