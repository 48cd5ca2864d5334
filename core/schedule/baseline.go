package schedule

import "time"

// Policy selects how calls are ordered and dispatched. Only experiments use a
// policy other than PolicyDefault.
type Policy int

// The policies. A baseline dispatches every call immediately in the order of
// arrival and leaves queueing to the targets. It uses no windows, no fair
// queueing between accounts and no cache directory.
const (
	PolicyDefault Policy = iota
	// BaselineRoundRobin dispatches to the targets in turn.
	BaselineRoundRobin
	// BaselineLeastLoaded dispatches to the target with the fewest calls in
	// flight from this VM.
	BaselineLeastLoaded
)

// dispatchBaseline dispatches all queued calls of a pool while the policy has a
// target for them.
func (s *Scheduler) dispatchBaseline(now time.Time, p *pool) {
	for {
		f, ok := p.ready.top()
		if !ok {
			return
		}
		c, _ := f.calls.top()
		t := s.baselineTarget(c)
		if t == nil {
			return
		}
		c.flow.dequeue(c, s.estimatedCost(c, 0))
		s.place(now, c, choice{target: t})
	}
}

// baselineTarget returns the target that the policy selects, or nil if no
// target of the pool can be used.
func (s *Scheduler) baselineTarget(c *call) *target {
	p := c.flow.pool
	var chosen *target
	for range p.slots {
		p.cursor++
		t := p.slots[p.cursor%len(p.slots)].target
		if t.info.Leaving || c.excludes(t) {
			continue
		}
		if s.config.Policy == BaselineRoundRobin {
			return t
		}
		if chosen == nil || t.running < chosen.running {
			chosen = t
		}
	}
	return chosen
}
