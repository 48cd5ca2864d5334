package schedule

import (
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
)

// choice is a target for a call with its estimated seconds to the end.
type choice struct {
	target  *target
	cached  domain.Tokens
	wait    float64
	seconds float64
}

// indexDepth is the number of leading items of an index that are compared. The
// first three contain the two least loaded targets; after failures the first
// seven contain the three least loaded ones.
const (
	indexDepth      = 3
	indexDepthRetry = 7
)

// choose returns the best target for a call, which may be full, and the best
// one with a free place. Their targets are nil when there is none.
func (s *Scheduler) choose(now time.Time, c *call) (best, free choice) {
	consider := func(t *target) {
		if t.info.Leaving || t.reserved != nil || !t.serves(c.flow.pool) || c.avoids(t) {
			return
		}
		e := s.estimate(now, c, t)
		if best.target == nil || e.seconds < best.seconds {
			best = e
		}
		if e.wait == 0 && (free.target == nil || e.seconds < free.seconds) {
			free = e
		}
	}
	for _, entry := range s.cache.programs[c.Program] {
		consider(entry.target)
	}
	depth := indexDepth
	if len(c.failed) > 0 {
		depth = indexDepthRetry
	}
	p := c.flow.pool
	for d := range p.open {
		for _, sl := range p.open[d].items[:min(depth, p.open[d].Len())] {
			if sl.target.free(now) > 0 {
				consider(sl.target)
			}
		}
	}
	return best, free
}

// estimate predicts the seconds from now to the end of the call on a target.
func (s *Scheduler) estimate(now time.Time, c *call, t *target) choice {
	e := choice{target: t, cached: s.cache.expected(now, c.Program, t, c.Prompt)}
	capacity := t.capacity(now)
	if t.free(now) <= 0 {
		e.wait = t.callTime * float64(len(t.parked)+1) / float64(max(capacity, 1))
	}
	e.seconds = e.wait + t.prefillTime(c.Prompt-e.cached)*(1+prefillWeight*min(t.load, 1))
	e.seconds += c.flow.generated * t.between() * (0.5 + min(t.load, 1))
	if t.distance == otherRegion {
		e.seconds += s.config.RegionPrice.Seconds() * float64(c.PromptBytes) / 1e6
	}
	return e
}

// prefillWeight counts the delay that prefill causes to the other calls of a
// full batch.
const prefillWeight = 6.0

// maxParkedPart bounds parked calls to a part of the target's capacity. More
// would turn the fair queue into one in arrival order.
const maxParkedPart = 0.5

// mayPark says whether a call should wait for a place on a full target.
func mayPark(now time.Time, t *target) bool {
	return float64(len(t.parked)) < maxParkedPart*float64(t.capacity(now))
}

func (t *target) serves(p *pool) bool {
	return slices.ContainsFunc(t.slots, func(s *slot) bool { return s.pool == p })
}

// avoids says whether a retry should not use a target. When all targets have
// failed, any of them may be used again.
func (c *call) avoids(t *target) bool {
	return len(c.failed) > 0 && len(c.failed) < len(c.flow.pool.slots) && slices.Contains(c.failed, t)
}

// reserve prepares a target for a crash suspect: the call starts when nothing
// else is in flight there, and the target takes no other call until it has
// ended. Each pool drains one target at a time.
func (s *Scheduler) reserve(now time.Time, c *call) bool {
	p := c.flow.pool
	if p.suspect != nil {
		return false
	}
	var least *target
	for d := range p.open {
		for _, sl := range p.open[d].items[:min(indexDepthRetry, p.open[d].Len())] {
			t := sl.target
			if !c.avoids(t) && t.free(now) > 0 && (least == nil || t.load < least.load) {
				least = t
			}
		}
		if least != nil {
			break
		}
	}
	if least == nil {
		return false
	}
	p.suspect = c
	c.flow.start(c, s.charge(c, 0))
	c.state, c.target = stateParked, least
	s.setTimer(c, c.deadline)
	least.reserved = c
	s.unparkAll(now, least)
	least.update(now)
	s.askPermits(now, least)
	s.startReserved(now, least)
	return true
}

// startReserved starts a crash suspect once its target is empty.
func (s *Scheduler) startReserved(now time.Time, t *target) {
	c := t.reserved
	if c == nil || c.state != stateParked || t.running > 0 {
		return
	}
	if t.info.Leaving {
		s.unpark(now, c)
		return
	}
	if t.info.Manager != "" && !(t.lease.exclusive && t.lease.permits > 0 && now.Before(t.lease.until)) {
		return
	}
	s.place(now, c, choice{target: t, cached: s.cache.expected(now, c.Program, t, c.Prompt)})
}

// release ends the reservation of a crash suspect.
func (s *Scheduler) release(c *call) {
	if c.flow.pool.suspect == c {
		c.flow.pool.suspect = nil
	}
	if c.target != nil && c.target.reserved == c {
		c.target.reserved = nil
	}
}
