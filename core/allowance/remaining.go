package allowance

// assumedActiveSeconds is the assumed time for which a program counts as active, until enough
// programs of its kind were observed.
const assumedActiveSeconds = 4.0

// remaining returns the part of forecastSpan for which an active program of the kind stays
// active on average. Of programs that last about a second, half have ended before the span has.
func (k *kindDemand) remaining() float64 {
	mean := (k.activeSeconds + defaultCostWeight*assumedActiveSeconds) / (k.starts + defaultCostWeight)
	spans := mean / forecastSpan.Seconds()
	if spans <= 1 {
		return spans / 2
	}
	return 1 - 1/(2*spans)
}

// activeDemand returns the requests that the active programs are expected to send in the next
// second. While the account's starts need no more than its rate, it allows for the programs that
// end. The load pattern that this answers: programs of about a second and a small rate, of which
// starts were refused at half a bucket. Above the rate programs that lack requests last for
// longer, and the demand is assumed to last.
func (b *bucket) activeDemand(cost float64, limit Limit) float64 {
	if b.remainingDemand > 0 && b.startsPerSecond*cost <= limit.RatePerSecond {
		return b.remainingDemand
	}
	return b.demand
}
