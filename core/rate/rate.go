// Package rate averages how often an event happens.
package rate

import "time"

// Average is the averaged rate of an event. Its weight decays to zero over Period after the
// last event. The zero value with a Period has seen none. It is not safe for concurrent use.
type Average struct {
	// Period is the time over which the rate is averaged.
	Period    time.Duration
	perSecond float64
	updated   time.Time
}

// PerSecond returns the rate as of now.
func (a *Average) PerSecond(now time.Time) float64 {
	a.perSecond *= max(0, 1-now.Sub(a.updated).Seconds()/a.Period.Seconds())
	a.updated = now
	return a.perSecond
}

// Add records an event.
func (a *Average) Add(now time.Time) {
	a.perSecond = a.PerSecond(now) + 1/a.Period.Seconds()
}
