package schedule

import (
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
)

// choice is a candidate target for a call, with the estimated seconds until
// capacity is free and until the call completes.
type choice struct {
	target       *target
	cached       domain.Tokens
	waitSeconds  float64
	totalSeconds float64
}

// candidateDepth is the number of leading items of each heap of available
// targets that are compared. The first three items of a heap contain the two
// least loaded targets. After a failure, the first seven are compared, which
// contain the three least loaded ones.
const (
	candidateDepth      = 3
	candidateDepthRetry = 7
)

// choose returns the best target for a call, which may be full, and the best
// target with free capacity. The target of a choice is nil if there is none.
func (s *Scheduler) choose(now time.Time, c *call) (best, free choice) {
	consider := func(t *target) {
		if t.info.Leaving || t.reservedFor != nil || !t.serves(c.flow.pool) || c.excludes(t) {
			return
		}
		e := s.estimate(now, c, t)
		if best.target == nil || e.totalSeconds < best.totalSeconds {
			best = e
		}
		if e.waitSeconds == 0 && (free.target == nil || e.totalSeconds < free.totalSeconds) {
			free = e
		}
	}
	for _, entry := range s.cache.programs[c.Program] {
		consider(entry.target)
	}
	depth := candidateDepth
	if len(c.failed) > 0 {
		depth = candidateDepthRetry
	}
	p := c.flow.pool
	for d := range p.available {
		for _, sl := range p.available[d].items[:min(depth, p.available[d].Len())] {
			if sl.target.free(now) > 0 {
				consider(sl.target)
			}
		}
	}
	return best, free
}

// estimate predicts the seconds from now until the call completes on a target.
func (s *Scheduler) estimate(now time.Time, c *call, t *target) choice {
	e := choice{target: t, cached: s.cache.expected(now, c.Program, t, c.Prompt)}
	capacity := t.capacity(now)
	if t.free(now) <= 0 {
		e.waitSeconds = t.callTime * float64(len(t.parked)+1) / float64(max(capacity, 1))
	}
	e.totalSeconds = e.waitSeconds + t.prefillTime(c.Prompt-e.cached)*(1+prefillInterference*min(t.load, 1))
	e.totalSeconds += c.flow.generated * t.tokenInterval() * (0.5 + min(t.load, 1))
	if t.distance == domain.OtherRegion {
		e.totalSeconds += s.config.CrossRegionPenalty.Seconds() * float64(c.PromptBytes) / 1e6
	}
	return e
}

// prefillInterference weights the prefill time by the delay that prefill causes
// to the other calls of a full batch.
const prefillInterference = 6.0

// maxParkedFraction limits parked calls to a fraction of the target's capacity.
// With more parked calls, dispatch would follow the order of arrival instead of
// fair queueing.
const maxParkedFraction = 0.5

// mayPark reports whether another call may wait at a full target.
func mayPark(now time.Time, t *target) bool {
	return float64(len(t.parked)) < maxParkedFraction*float64(t.capacity(now))
}

func (t *target) serves(p *pool) bool {
	return slices.ContainsFunc(t.slots, func(s *slot) bool { return s.pool == p })
}

// excludes reports whether a retry must not use a target because an earlier
// attempt failed there. If all targets of the pool have failed, any of them may
// be used again.
func (c *call) excludes(t *target) bool {
	return len(c.failed) > 0 && len(c.failed) < len(c.flow.pool.slots) && slices.Contains(c.failed, t)
}

// reserveForSuspect reserves a target for a crash suspect and reports whether
// it found one. The suspect is dispatched when nothing else is in flight on the
// target, and the target accepts no other call until the suspect has ended.
// Each pool drains one target at a time for this purpose.
func (s *Scheduler) reserveForSuspect(now time.Time, c *call) bool {
	p := c.flow.pool
	if p.suspect != nil {
		return false
	}
	var least *target
	for d := range p.available {
		for _, sl := range p.available[d].items[:min(candidateDepthRetry, p.available[d].Len())] {
			t := sl.target
			if !c.excludes(t) && t.free(now) > 0 && (least == nil || t.load < least.load) {
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
	c.flow.dequeue(c, s.estimatedCost(c, 0))
	c.state, c.target = stateParked, least
	s.setTimer(c, c.deadline)
	least.reservedFor = c
	s.unparkAll(now, least)
	least.update(now)
	s.requestPermits(now, least)
	s.startSuspect(now, least)
	return true
}

// startSuspect dispatches a crash suspect once its reserved target is empty.
func (s *Scheduler) startSuspect(now time.Time, t *target) {
	c := t.reservedFor
	if c == nil || c.state != stateParked || t.running > 0 {
		return
	}
	if t.info.Leaving {
		s.unpark(now, c)
		return
	}
	if t.info.Manager != "" && !(t.lease.exclusive && t.lease.permits > 0 && now.Before(t.lease.expiresAt)) {
		return
	}
	s.place(now, c, choice{target: t, cached: s.cache.expected(now, c.Program, t, c.Prompt)})
}

// endReservation releases the target that is reserved for a crash suspect.
func (s *Scheduler) endReservation(c *call) {
	if c.flow.pool.suspect == c {
		c.flow.pool.suspect = nil
	}
	if c.target != nil && c.target.reservedFor == c {
		c.target.reservedFor = nil
	}
}
