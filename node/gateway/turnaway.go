package gateway

import (
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/waiting"
)

// work is what a generation needs at a target.
type work struct {
	// prompt is the number of prompt tokens if the caller does not describe them in parts.
	prompt int
	// output is the maximum number of tokens that it generates.
	output, tokensPerEvent domain.Tokens
}

// workOf returns the time for which a request is expected to hold its place.
func (g *Gateway) workOf(now time.Time, w *waiter) time.Duration {
	uncached := w.work.prompt
	if len(w.request.Parts) > 0 {
		uncached = g.balancer.Uncached(now, w.request)
	}
	return waiting.Work(uncached, w.work.output, w.work.tokensPerEvent)
}

// placeKey is what decides whether any target has room for a request that was not sent before.
type placeKey struct {
	service, version, regions string
	beginsResumable           bool
	connectionCap             int
}

// placer returns a function that gives a queued waiter its target, or its refusal, and reports
// whether it did. While no target has room for a waiter, none is sought for others like it.
func (g *Gateway) placer(now time.Time) func(w *waiter) bool {
	full := map[placeKey]bool{}
	return func(w *waiter) bool {
		r := &w.request
		r.Regions = g.narrow(r.Regions, &w.constraintSource)
		key := placeKey{r.Service, r.Version, r.Regions.String(), w.beginsResumable, r.ConnectionCap}
		untried := len(r.Tried) == 0
		if untried && full[key] {
			return false
		}
		target, refusal := g.pick(now, w)
		if refusal.Temporary() {
			full[key] = full[key] || untried
			return false
		}
		g.answerWaiter(now, w, target, refusal)
		return true
	}
}

// turnAway refuses a waiter that is turned away, with the reason.
func (g *Gateway) turnAway(now time.Time, turned *waiting.Turned[*waiter]) {
	w := turned.Value
	w.result <- pickResult{
		refusal: w.refusal, constraint: w.request.Regions, turnedAway: turned,
		retryAfter: g.queue.RetryAfter(now, w.request.Service),
	}
}

// gaveUp returns the reason of a waiter for which no place was free in time.
func gaveUp(w *waiter) *waiting.Turned[*waiter] {
	return &waiting.Turned[*waiter]{Value: w, Request: w.waiting, Reason: waiting.GaveUp}
}

// logTurnedAway counts a request that was turned away, and returns the inputs of the decision for
// its line in the log.
func (e *exchange) logTurnedAway() []any {
	t := e.turnedAway
	if t == nil {
		return nil
	}
	e.g.o.Metrics.TurnedAway(t.Reason)
	fields := []any{
		"turned_away", t.Reason, "priority", t.Request.Priority,
		"work_ms", t.Request.Work.Milliseconds(), "left_ms", t.Request.Deadline.Sub(e.started).Milliseconds(),
	}
	if t.Reason != waiting.GaveUp {
		fields = append(fields, "late", t.Late, "ahead", t.Ahead, "expected_wait_ms", t.Wait.Milliseconds())
	}
	return fields
}
