package coordinator

import (
	"time"

	"github.com/mangoknot/mangoknot/core/allowance"
)

// countedTargets is the list of targets and the fleet for which targets were counted last.
type countedTargets struct {
	fleet       *allowance.Fleet
	sequence    uint64
	evacuations uint64
}

// countTargets tells the fleet how many targets each service has, after a change.
func (c *Coordinator) countTargets() {
	if c.targets == nil {
		return
	}
	current := countedTargets{c.fleet, c.targets.Sequence, c.state.Evacuations.Version()}
	if c.counted == current {
		return
	}
	c.counted = current
	count := map[string]int{}
	for _, t := range c.targets.Targets {
		if !t.Leaving && !c.evacuated(t.DataCentre) {
			count[t.Service]++
		}
	}
	c.fleet.SetTargets(count)
}

// logMemory records when the memory of engines begins or ceases to limit new programs.
func (c *Coordinator) logMemory(now time.Time) {
	s, changed := c.fleet.MemoryChanged(now)
	switch {
	case !changed:
	case s.Levels > 0:
		c.event("the memory of engines limits new programs", map[string]any{"used": s.Used, "levels": s.Levels, "mean_tokens": s.MeanNeed, "ends_per_second": s.EndsPerSecond})
	default:
		c.event("the memory of engines suffices for new programs", nil)
	}
}
