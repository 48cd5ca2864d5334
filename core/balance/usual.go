package balance

import "time"

const (
	// usualLoadPeriod is the time over which the usual load of a service is averaged, and after
	// which it is not known any more.
	usualLoadPeriod = 2 * time.Second
	// usualLoadWeight is the weight of a report that follows at once on another one.
	usualLoadWeight = 0.1
)

// usualLoad is the mean load that the targets of a service reported to this gateway lately, in
// requests.
type usualLoad struct {
	mean       float64
	observedAt time.Time
}

func (b *Balancer) observeUsual(now time.Time, service string, load float64) {
	u := b.usual[service]
	if u == nil {
		b.usual[service] = &usualLoad{mean: load, observedAt: now}
		return
	}
	age := min(1, float64(now.Sub(u.observedAt))/float64(usualLoadPeriod))
	u.mean += (load - u.mean) * (usualLoadWeight + (1-usualLoadWeight)*age)
	u.observedAt = now
}

func (u *usualLoad) load(now time.Time) float64 {
	if u == nil {
		return 0
	}
	return u.mean * max(0, 1-float64(now.Sub(u.observedAt))/float64(usualLoadPeriod))
}

// expectedLoad returns the number of requests that the target is expected to have. As its own
// report ages, the usual load of its service takes the place of it.
//
// The load pattern that this answers: a gateway of a large fleet has recent reports of the few
// targets that it just used. If it took the others for idle, it would send the next turn of
// a program away from the target that has the prompt cached, whatever the load.
func (b *Balancer) expectedLoad(now time.Time, s *targetState) float64 {
	weight := max(0, 1-float64(now.Sub(s.otherLoadAt))/float64(loadReportDecay))
	own := float64(s.inFlight)
	usual := max(0, b.usual[s.Service].load(now)-own)
	return own + weight*s.otherLoad + (1-weight)*usual
}
