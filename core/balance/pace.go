package balance

import (
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
)

// paceDecay is the time over which the effect of a reported pace fades. In the simulation of
// playPace 500 ms gained half as much, and with 2 s a pace that only varies at random brought
// up to 13 requests together at a target instead of 10.
const paceDecay = time.Second

// usualPace is the pace of a target that works as usual, in percent.
const usualPace = 100

// pace is what a target last reported of its pace.
type pace struct {
	percent int
	at      time.Time
}

// ObservePace records the pace in the head of an answer. The end of a stream comes later, when
// it says little of the pace.
func (b *Balancer) ObservePace(now time.Time, id domain.Target, percent int) {
	if s := b.targets[id]; s != nil && percent > 0 {
		s.pace = pace{percent: percent, at: now}
	}
}

// slowdown returns by which fraction work takes longer than usual. It is 0 for a target that is
// faster than usual or whose pace is not known: a low pace makes a target no better than those
// that have reported nothing. The load pattern that this answers: many gateways see the same
// low pace and send all their requests to one target.
func (p *pace) slowdown(now time.Time) float64 {
	if p.percent <= usualPace {
		return 0
	}
	weight := max(0, 1-float64(now.Sub(p.at))/float64(paceDecay))
	return (float64(p.percent)/usualPace - 1) * weight
}
