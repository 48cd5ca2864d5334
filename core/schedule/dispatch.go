package schedule

import (
	"slices"
	"time"
)

// maxSkipped limits the calls of a pool that one Dispatch skips because no free
// target suits them.
const maxSkipped = 8

// Dispatch runs due timers, sends due permit requests and returns the calls to
// be dispatched now. The result is valid until the next Dispatch.
func (s *Scheduler) Dispatch(now time.Time) []Placement {
	s.runTimers(now)
	s.resumeTargets(now)
	for len(s.dirty) > 0 {
		p := s.dirty[len(s.dirty)-1]
		s.dirty = s.dirty[:len(s.dirty)-1]
		p.dirty = false
		if s.config.Policy == PolicyDefault {
			s.dispatchPool(now, p)
		} else {
			s.dispatchBaseline(now, p)
		}
	}
	s.sendPermitRequests(now)
	out := s.placed
	s.placed, s.placedBuffer = s.placedBuffer[:0], out
	return out
}

func (s *Scheduler) runTimers(now time.Time) {
	for {
		c, ok := s.timers.top()
		if !ok || c.timerAt.After(now) {
			return
		}
		s.timers.remove(c)
		switch {
		case c.state == stateRunning:
		case c.state == stateDelayed:
			c.deadline = now.Add(s.config.QueueTimeout)
			s.queue(c)
		case c.state == stateParked && now.Before(c.deadline):
			s.unpark(now, c)
		default:
			s.expire(now, c)
		}
	}
}

func (s *Scheduler) expire(now time.Time, c *call) {
	s.Cancel(now, c.ID)
	refusal := queueTimeoutRefusal(c)
	s.expired = append(s.expired, Expiry{c.ID, refusal})
}

// dispatchPool dispatches calls in the order of their flows' start tags while a
// target has free capacity.
func (s *Scheduler) dispatchPool(now time.Time, p *pool) {
	for len(s.skipped) < maxSkipped {
		f, ok := p.ready.top()
		if !ok {
			break
		}
		if !p.hasCapacity(now) {
			s.requestPoolPermits(now, p)
			break
		}
		c, _ := f.calls.top()
		if !s.tryStart(now, c) {
			f.remove(c)
			s.skipped = append(s.skipped, c)
		}
	}
	if len(s.skipped) > 0 {
		// No free target suits the skipped calls, so permits of other targets
		// are requested.
		s.requestPoolPermits(now, p)
	}
	for _, c := range s.skipped {
		c.flow.push(c)
	}
	s.skipped = s.skipped[:0]
}

// hasCapacity reports whether a target of the pool has free capacity. It
// removes targets whose permits have expired from the index.
func (p *pool) hasCapacity(now time.Time) bool {
	for d := range p.available {
		for sl, ok := p.available[d].top(); ok; sl, ok = p.available[d].top() {
			if sl.target.free(now) > 0 {
				return true
			}
			sl.target.update(now)
		}
	}
	return false
}

// tryStart dispatches or parks a call. It returns false if no target suits the
// call now.
func (s *Scheduler) tryStart(now time.Time, c *call) bool {
	if c.Suspect {
		return s.reserveForSuspect(now, c)
	}
	best, free := s.choose(now, c)
	switch {
	case best.target != nil && best.waitSeconds > 0 && mayPark(now, best.target):
		s.park(now, c, best, free)
	case free.target != nil:
		c.flow.dequeue(c, s.estimatedCost(c, free.cached))
		s.place(now, c, free)
	default:
		return false
	}
	return true
}

// park lets a call wait at a full target until the time at which the best free
// target would have been as fast.
func (s *Scheduler) park(now time.Time, c *call, best, free choice) {
	c.flow.dequeue(c, s.estimatedCost(c, best.cached))
	c.state, c.target = stateParked, best.target
	until := c.deadline
	if free.target != nil {
		gain := free.totalSeconds - (best.totalSeconds - best.waitSeconds)
		if at := now.Add(time.Duration(gain * float64(time.Second))); at.Before(until) {
			until = at
		}
	}
	s.setTimer(c, until)
	best.target.parked = append(best.target.parked, c)
	best.target.update(now)
}

// unpark returns a parked call to the queue and refunds its charge.
func (s *Scheduler) unpark(now time.Time, c *call) {
	t := c.target
	t.parked = slices.DeleteFunc(t.parked, func(o *call) bool { return o == c })
	s.endReservation(c)
	c.flow.charge(-c.chargedCost)
	s.queue(c)
	s.offerCapacity(now, t)
}

func (s *Scheduler) unparkAll(now time.Time, t *target) {
	for len(t.parked) > 0 {
		s.unpark(now, t.parked[0])
	}
}

// place dispatches a call whose cost has been charged.
func (s *Scheduler) place(now time.Time, c *call, to choice) {
	t := to.target
	c.state, c.target, c.cached = stateRunning, t, to.cached
	c.startedAt, c.firstTokenAt = now, time.Time{}
	c.attempt++
	s.timers.remove(c)
	t.running++
	t.promptTokens += c.Prompt
	t.update(now)
	if t.info.Manager != "" && s.config.Policy == PolicyDefault {
		t.lease.usedAt = now
		if t.free(now) <= 0 {
			s.requestPermits(now, t)
		}
	}
	if p := s.programs[c.Program]; p != nil && p.exported {
		p.exported = false
		s.emitCommand(CommandImport, t, p)
	}
	s.placed = append(s.placed, Placement{Call: c.ID, Target: t.info.Name, Attempt: c.attempt, Cached: to.cached})
}

// releaseCapacity ends the use of a target by a running call.
func (s *Scheduler) releaseCapacity(now time.Time, c *call) {
	t := c.target
	t.running--
	t.promptTokens -= c.Prompt
	s.endReservation(c)
	s.offerCapacity(now, t)
}

// offerCapacity dispatches parked calls while the target has capacity, then
// marks the target's pools for the next Dispatch.
func (s *Scheduler) offerCapacity(now time.Time, t *target) {
	for len(t.parked) > 0 && t.capacity(now) > t.running && t.hasMemory(now) {
		c := t.parked[0]
		t.parked = t.parked[1:]
		s.place(now, c, choice{target: t, cached: s.cache.expected(now, c.Program, t, c.Prompt)})
	}
	s.startSuspect(now, t)
	t.update(now)
	for _, sl := range t.slots {
		if sl.pool.queued > 0 {
			s.markDirty(sl.pool)
		}
	}
}
