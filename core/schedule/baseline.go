package schedule

import "time"

// Policy selects how calls are ordered and placed. Only experiments set another
// one than PolicyProject.
type Policy int

// The policies. A baseline sends every call at once, in the order of arrival,
// and leaves queueing to the targets; it uses no windows, no accounts' shares
// and no cache directory.
const (
	PolicyDefault Policy = iota
	// BaselineRoundRobin takes the targets in turn.
	BaselineRoundRobin
	// BaselineLeastLoaded takes the target with the fewest calls in flight from
	// this VM.
	BaselineLeastLoaded
)

// dispatchBaseline starts all queued calls of a pool that have a target.
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

// baselineTarget returns the target of the policy, or nil when all are leaving.
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
