package coordinator

import (
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/core/balance"
	"github.com/mangoknot/mangoknot/core/targetlimit"
)

// newLimits returns a pool without permits for a leader.
func (c *Coordinator) newLimits() *targetlimit.Pool {
	return targetlimit.NewPool(c.cfg.Rand.Uint32(), c.cfg.ColdBounds)
}

// recordCold marks the targets that said that they are cold, for all gateways.
func (c *Coordinator) recordCold(now time.Time, reported []balance.ColdTarget) {
	changed := false
	for _, r := range reported {
		if slices.ContainsFunc(c.read, func(t balance.Target) bool { return t.ID == r.Target && !t.Cold }) {
			changed = c.coldReports.Observe(now, r) || changed
		}
	}
	if changed {
		c.event("targets say that they are cold", map[string]any{"targets": len(reported)})
		c.publishTargets(now)
	}
}
