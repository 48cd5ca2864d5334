package allowance

import "time"

// MaxRefillWait bounds the time for which a request waits until the refill of its account's
// bucket covers it. A caller that is refused instead waits for at least as long, sends the
// request again to another gateway, and gives its program up after a few refusals.
const MaxRefillWait = 300 * time.Millisecond

// maxReservationAge is the age of the totals up to which reservations are made: a report interval
// and a round trip with a loaded coordinator. While answers are late the deficit is not known.
const maxReservationAge = ReportInterval + 100*time.Millisecond

// reserve admits a request of a program under way that the bucket does not cover yet, and
// sets the time after which the refill covers it, if that is short enough. The request is
// taken from the bucket at once, so that it is part of the next report and all gateways
// serve their reservations in about the order in which they were made.
//
// The load pattern that it answers: several requests of a program reach an account whose bucket
// is empty for a fraction of a second. At a demand above the limit all gateways see the same
// deficit and none sees the reservations of the others yet, so that a reservation is made with
// the probability that the time left covers all of them. Most requests are then refused at once.
func (g *Gateway) reserve(d *Decision, b *bucket, request Request, required float64) bool {
	limit := min(MaxRefillWait, request.MaxWait)
	if request.Program.Name == "" || limit <= 0 || d.Disconnected || d.TotalsAge > maxReservationAge {
		return false
	}
	rate := d.Limit.RatePerSecond
	d.MaxWait, d.Wait = limit, time.Duration((required-b.level)/rate*float64(time.Second))
	if d.Wait > limit {
		return false
	}
	// With the shorter unseenPeriod, 7 of 120 overloaded accounts exceeded their limits in a
	// simulation instead of 3, and without reservations 6.
	excess := max(0, b.attemptsPerSecond*(1-g.trafficFraction(b))-rate) * startVisibleAfter.Seconds()
	covered := 1 + (limit-d.Wait).Seconds()*rate
	return g.rand.Float64()*excess <= covered
}
