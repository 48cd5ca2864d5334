package gateway

import (
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/core/balance"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/manifest"
)

const (
	// maxTargets bounds the targets that one request is sent to. Each target
	// that rejects the request costs a round trip.
	maxTargets = 4
	// minConnections is the lower bound of a gateway's share of the connections
	// of one target.
	minConnections = 4
	// queueLimit bounds the requests of one gateway that wait for a target.
	queueLimit = 512
)

type pickResult struct {
	target  balance.Target
	refusal balance.Refusal
}

// waiter is a request that waits for a target with a free slot.
type waiter struct {
	request  balance.Request
	priority int
	result   chan pickResult
}

// connectionCap returns this gateway's part of the connections that each target
// of the service accepts, or 0 for no limit.
func (g *Gateway) connectionCap(s *manifest.Service) int {
	if s.MaxConnections == 0 {
		return 0
	}
	return max(minConnections, s.MaxConnections/max(1, int(g.gatewayCount.Load())))
}

// pickOrWait picks a target for a waiter at once, or queues the waiter by
// priority if all targets are full. It runs on the control goroutine.
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

// serveQueue picks targets for the queued waiters, in the order of their
// priority.
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

// cancelWait removes a waiter from the queue. A target that was picked for it
// in the meantime is released.
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

// finish ends a request at a target and passes its slot to the queue.
func (g *Gateway) finish(now time.Time, id domain.Target, outcome balance.Outcome, load *balance.Load) {
	g.balancer.Done(now, id, outcome, load)
	g.serveQueue(now)
}
