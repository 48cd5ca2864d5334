package gateway

import (
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/core/balance"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/manifest"
)

const (
	// coldLogInterval is the minimum time between two log lines about cold targets, and
	// coldLogTargets the number of targets that one names.
	coldLogInterval = time.Second
	coldLogTargets  = 8
)

// coldTargets is what the gateway knows of cold targets. It belongs to the control goroutine.
type coldTargets struct {
	*balance.Coldness
	// services holds the services with a limit.
	limits map[string]float64
	// logged holds the targets that the last log line counted, and loggedAt is its time. due
	// reports whether another line is needed.
	logged   map[domain.Target]float64
	loggedAt time.Time
	due      bool
}

// setLimits applies the limits of a manifest.
func (c *coldTargets) setLimits(m *manifest.Manifest) {
	c.limits = map[string]float64{}
	for _, s := range m.Services {
		if s.ColdPerSecond > 0 {
			c.limits[s.Name] = s.ColdPerSecond
		}
	}
	c.SetLimits(c.limits)
}

// updateCold applies the present coldness of the targets. Requests wait for it, because the
// limit holds from the first one.
func (g *Gateway) updateCold(now time.Time) {
	if len(g.cold.limits) == 0 && g.cold.logged == nil {
		return
	}
	cold, changed := g.cold.Update(now)
	if changed {
		g.limits.SetCold(cold)
		g.o.Metrics.ColdTargets(len(cold))
		g.cold.due = true
	}
	if g.cold.due && now.Sub(g.cold.loggedAt) >= coldLogInterval {
		g.logCold(now, cold)
	}
}

// logCold writes one line for all targets that became cold or warm since the last one.
func (g *Gateway) logCold(now time.Time, cold map[domain.Target]float64) {
	before := g.cold.logged
	g.cold.logged, g.cold.loggedAt, g.cold.due = cold, now, false
	became, warm := missingFrom(before, cold), missingFrom(cold, before)
	if len(became)+len(warm) > 0 {
		g.o.Log.Info("targets became cold or warm", "cold_targets", len(cold), "became_cold", became[:min(len(became), coldLogTargets)],
			"became_warm", warm[:min(len(warm), coldLogTargets)], "changed", len(became)+len(warm))
	}
}

// missingFrom returns the targets of b that a lacks, in ascending order.
func missingFrom(a, b map[domain.Target]float64) []domain.Target {
	var out []domain.Target
	for id := range b {
		if _, ok := a[id]; !ok {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// recordCold records that an answer says that its target is cold.
func (g *Gateway) recordCold(now time.Time, t balance.Target, remaining time.Duration) {
	if g.cold.limits[t.Service] > 0 {
		g.cold.Observe(now, balance.ColdTarget{Target: t.ID, Remaining: remaining})
		g.updateCold(now)
	}
}
