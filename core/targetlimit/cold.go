package targetlimit

import (
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
)

// A cold target has a bound for every single second, which is narrower than that of limits that
// targets name: perSecond*Excess + Slack requests. A permit that is held can be used at once
// with all others, so a second may bring what was granted within 1 s + coldPermitTTL. Permits
// of the coordinator and those that cut-off gateways issue themselves fit into the bound together,
// because a new leader, or one after 15 s, does not know how many gateways are cut off. Unused permits are not returned: permits that move between gateways without being used
// would add up.
const (
	// coldPermitTTL spans the time between two reports and a round trip to the other region.
	coldPermitTTL = 350 * time.Millisecond
	// coldHeldMargin is the time before its end from which a permit does not count as held in a
	// report, because it ends before the reply to the next one. A report is sent every 250 ms.
	coldHeldMargin = 300 * time.Millisecond
	// coldDemandSpan is the time for which permits of a service with cold targets are requested in
	// advance. Longer ones waste permits, because those end soon.
	coldDemandSpan = 400 * time.Millisecond
	// ownColdTTL is the time for which a permit that a gateway issued itself may be used.
	ownColdTTL = 300 * time.Millisecond
	// coldSilenceTimeout is the time without a grant after which a gateway issues permits itself.
	coldSilenceTimeout = 2500 * time.Millisecond
	// coldBurst is the number of permits that a bucket collects.
	coldBurst = 2
	// ownColdShare is the part of the limit that all gateways together issue themselves. The times
	// at which they do are independent, so that several may coincide; with half of the gateways cut off,
	// the room that rate leaves for all of them is three standard deviations above the mean.
	ownColdShare = 0.4
	// coldRetention is the time for which the coordinator keeps the bucket of a cold target
	// after the last request for permits.
	coldRetention = 10 * time.Second
	// gatewayCountRetention is the time for which a gateway divides by a number of gateways that
	// was higher than the present one: a new leader counts only those that have reported to it.
	gatewayCountRetention = 15 * time.Second
)

// ColdBounds are by how much the requests to a cold target may exceed its limit in one second.
type ColdBounds struct{ Excess, Slack float64 }

// rate returns the permits a second that a coordinator grants for a cold target.
func (b ColdBounds) rate(perSecond float64) float64 {
	bound := perSecond*max(1, b.Excess) + b.Slack
	own := perSecond * ownColdShare * (time.Second + ownColdTTL).Seconds()
	return max(0, min(perSecond, (bound-coldBurst-own)/(time.Second+coldPermitTTL).Seconds()))
}

// SetCold replaces the targets that count as cold, with the limits of their services in
// requests a second.
func (g *Gateway) SetCold(cold map[domain.Target]float64) {
	for id, perSecond := range cold {
		t := g.targets[id]
		if t == nil {
			t = &limitedTarget{}
			g.targets[id] = t
		}
		if t.cold == 0 {
			// Permits of the wider bound may not be used any more.
			t.permits, t.nextOwn = nil, time.Time{}
		}
		t.cold = perSecond
	}
	for id, t := range g.targets {
		if t.cold > 0 && cold[id] == 0 {
			t.cold, t.debt, t.nextOwn = 0, 0, time.Time{}
		}
	}
}

// CountGateways records the number of gateways that share the limits of cold targets. A
// gateway that knows none issues no permits for them itself.
func (g *Gateway) CountGateways(now time.Time, n int) {
	if n >= g.coldGateways || now.Sub(g.coldGatewaysAt) > gatewayCountRetention {
		g.coldGateways, g.coldGatewaysAt = n, now
	}
}

// ownPart describes the permits that a gateway issues itself.
type ownPart struct {
	perSecond    float64
	silence, ttl time.Duration
}

// ownPart returns the permits that this gateway issues for a target; perSecond is 0 for none.
func (g *Gateway) ownPart(t *limitedTarget) ownPart {
	if t.cold == 0 {
		return ownPart{perSecond: t.perSecond / float64(g.gateways), silence: silenceTimeout, ttl: PermitTTL}
	}
	out := ownPart{silence: coldSilenceTimeout, ttl: ownColdTTL}
	if g.coldGateways > 0 {
		limit := t.cold * ownColdShare
		if t.limited {
			limit = min(limit, t.perSecond)
		}
		out.perSecond = limit / float64(g.coldGateways)
	}
	return out
}

// held returns the number of permits that the gateway still has at its next report.
func (t *limitedTarget) held(now time.Time) int {
	if t.cold == 0 {
		return len(t.permits)
	}
	n := 0
	for _, p := range t.permits {
		if p.expires.Sub(now) > coldHeldMargin {
			n++
		}
	}
	return n
}

// grantedUntil returns the time until which a permit in a grant may be used. For a cold target
// it counts from the report, which is earlier than the grant.
func (g *Gateway) grantedUntil(now time.Time, t *limitedTarget) time.Time {
	if t.cold > 0 {
		return g.reportedAt.Add(coldPermitTTL)
	}
	return now.Add(PermitTTL)
}

// coldTargets collects the cold targets of a service for a report.
type coldTargets struct {
	perSecond float64
	ids       []domain.Target
}

// demandSpan returns the time for which permits are requested in advance.
func (c *coldTargets) demandSpan() time.Duration {
	if c == nil {
		return demandSpan
	}
	return coldDemandSpan
}

// describe adds the cold targets to a request for permits.
func (c *coldTargets) describe(w *Want, services map[domain.Target]string) {
	if c == nil {
		return
	}
	listed := 0
	for _, service := range services {
		if service == w.Service {
			listed++
		}
	}
	w.ColdPerSecond = c.perSecond
	if w.AllCold = len(c.ids) == listed; !w.AllCold {
		slices.Sort(c.ids)
		w.Cold = c.ids
	}
}

// counts reports whether the gateway counts a target of the service as cold.
func (w *Want) counts(id domain.Target) bool {
	return w.ColdPerSecond > 0 && (w.AllCold || slices.Contains(w.Cold, id))
}

// isCold reports whether a gateway counted the target as cold lately.
func (t *poolTarget) isCold(now time.Time) bool {
	return t.coldRate > 0 && now.Sub(t.coldAt) < coldRetention
}

// recordCold starts or keeps the buckets of the targets that a gateway counts as cold.
func (p *Pool) recordCold(now time.Time, wanted []Want, candidates []Candidate) {
	for _, w := range wanted {
		if w.ColdPerSecond <= 0 {
			continue
		}
		for _, c := range candidates {
			if c.Service != w.Service || !w.counts(c.Target) {
				continue
			}
			t := p.targets[c.Target]
			if t == nil {
				p.removeWarm(now)
				t = &poolTarget{}
				p.targets[c.Target] = t
			}
			if !t.isCold(now) {
				// An empty bucket: gateways may still use other permits.
				t.level, t.filled = 0, now
			}
			t.coldRate, t.coldAt = p.cold.rate(w.ColdPerSecond), now
		}
	}
}

// removeWarm removes the buckets of targets that were cold and have never named a limit.
func (p *Pool) removeWarm(now time.Time) {
	for id, t := range p.targets {
		if t.at.IsZero() && !t.isCold(now) {
			delete(p.targets, id)
		}
	}
}

// bucket returns the rate and the size of the target's bucket. Of two limits the lower one
// applies.
func (t *poolTarget) bucket(now time.Time) (perSecond, size float64) {
	size = max(1, t.perSecond*burstPeriod.Seconds())
	if !t.isCold(now) {
		return t.perSecond, size
	}
	if t.limited {
		return min(t.perSecond, t.coldRate), min(size, coldBurst)
	}
	return t.coldRate, coldBurst
}
