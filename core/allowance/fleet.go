package allowance

import (
	"math"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
)

// totalRetention is the time for which an account's total is sent after a change. It
// spans several report intervals, so that a lost answer loses no change.
const totalRetention = 4 * time.Second

type reporter struct {
	lastReport time.Time
	counts     map[domain.Account]uint64
	rates      map[domain.Account]float64
	// programStarts is the number of attempts to start a program so far.
	programStarts map[domain.Account]uint64
	// extrapolatedUntil is the time up to which the counts of a gateway that does not
	// report were extrapolated.
	extrapolatedUntil time.Time
}

const (
	// recentSpan is the period for which the coordinator reports recently admitted
	// requests to a gateway that has just started. A bucket with a burst of one
	// second refills completely within it.
	recentSpan  = 4 * time.Second
	recentSlots = 8
)

// recentCount is a sliding-window counter over the last recentSpan.
type recentCount struct {
	// slots is a ring of counters, each for a period of recentSpan/recentSlots.
	slots  [recentSlots]float64
	newest int64
}

// advance clears the slots that are older than recentSpan.
func (c *recentCount) advance(now time.Time) {
	slot := now.UnixNano() / int64(recentSpan/recentSlots)
	for steps := min(slot-c.newest, recentSlots); steps > 0; steps-- {
		c.slots[(slot-steps+1)%recentSlots] = 0
	}
	c.newest = max(c.newest, slot)
}

func (c *recentCount) add(now time.Time, n float64) {
	c.advance(now)
	c.slots[c.newest%recentSlots] += n
}

func (c *recentCount) sum(now time.Time) float64 {
	c.advance(now)
	sum := 0.0
	for _, n := range c.slots {
		sum += n
	}
	return sum
}

type accountTotal struct {
	admitted    float64
	lastRequest time.Time
	// sequence is the sequence number of the last change.
	sequence uint64
	// recentRequests counts the admitted requests, and programStarts the attempts to start
	// a program, both over the last recentSpan.
	recentRequests, programStarts recentCount
}

func (t *accountTotal) add(now time.Time, requests float64) {
	t.recentRequests.add(now, requests)
	t.admitted += requests
	t.lastRequest = now
}

// Fleet holds the coordinator's counts over all gateways. It is not safe for
// concurrent use.
type Fleet struct {
	origin    string
	reporters map[string]*reporter
	totals    map[domain.Account]*accountTotal
	activity  *activity
	// sequence is the sequence number of the last change of a total.
	sequence uint64
}

// NewFleet returns a fleet without gateways. The origin must be unique for each
// coordinator and each of its terms as leader.
func NewFleet(origin string) *Fleet {
	return &Fleet{origin: origin, reporters: map[string]*reporter{}, totals: map[domain.Account]*accountTotal{}, activity: newActivity()}
}

// Report adds the counts of a gateway process and returns the totals. The name is
// unique for each start of the gateway.
func (f *Fleet) Report(now time.Time, gateway string, reported Counts) Totals {
	r := f.reporters[gateway]
	if r == nil {
		r = newReporter(now)
		f.reporters[gateway] = r
	}
	f.add(now, r, reported.Counts)
	r.lastReport, r.extrapolatedUntil = now, now
	f.extrapolateSilent(now)
	out := f.collectTotals(now, reported)
	sequence := reported.AnnouncedUntil
	if reported.Origin != f.origin {
		sequence = 0
	}
	out.Announced, out.AnnouncedUntil = f.activity.announcedSince(sequence), f.activity.announcedUntil
	return out
}

// newReporter returns the state of a gateway that has not reported to this coordinator.
func newReporter(now time.Time) *reporter {
	return &reporter{lastReport: now, counts: map[domain.Account]uint64{}, rates: map[domain.Account]float64{}, programStarts: map[domain.Account]uint64{}}
}

func (f *Fleet) add(now time.Time, r *reporter, counts []Count) {
	seconds := now.Sub(r.lastReport).Seconds()
	weight := min(1, seconds/smoothingPeriod.Seconds())
	if seconds > 0 {
		// An account that the report lacks had no request.
		for account := range r.rates {
			r.rates[account] *= 1 - weight
		}
	}
	for _, c := range counts {
		if _, known := r.counts[c.Account]; !known {
			// No report to this coordinator had a change of the account. Earlier
			// coordinators counted what they answered; after a lost answer the rest is
			// counted twice rather than not at all.
			r.counts[c.Account], r.programStarts[c.Account] = c.AnsweredAdmitted, c.AnsweredStarts
		}
		delta := float64(c.Admitted - min(c.Admitted, r.counts[c.Account]))
		r.counts[c.Account] = c.Admitted
		if seconds > 0 {
			r.rates[c.Account] += weight * delta / seconds
		}
		if delta > 0 {
			f.addRequests(now, c.Account, delta)
		}
		if starts := c.Starts - min(c.Starts, r.programStarts[c.Account]); starts > 0 {
			t := f.total(c.Account)
			t.programStarts.add(now, float64(starts))
			f.changed(t)
		}
		r.programStarts[c.Account] = c.Starts
		f.activity.add(now, c.Account, c.Programs)
	}
}

func (f *Fleet) addRequests(now time.Time, account domain.Account, requests float64) {
	t := f.total(account)
	t.add(now, requests)
	f.changed(t)
}

func (f *Fleet) total(account domain.Account) *accountTotal {
	t := f.totals[account]
	if t == nil {
		t = &accountTotal{}
		f.totals[account] = t
	}
	return t
}

// extrapolateSilent adds requests at the last known rates of gateways that do not
// report, because they may serve callers across a partition.
func (f *Fleet) extrapolateSilent(now time.Time) {
	for name, r := range f.reporters {
		silent := now.Sub(r.lastReport)
		if silent > reporterTTL {
			delete(f.reporters, name)
			continue
		}
		if silent < silenceTimeout {
			continue
		}
		for account, rate := range r.rates {
			f.addRequests(now, account, rate*now.Sub(r.extrapolatedUntil).Seconds())
		}
		r.extrapolatedUntil = now
	}
}

// Gateways returns the number of gateways that have reported within reporterTTL.
func (f *Fleet) Gateways() int { return len(f.reporters) }

// Remove removes a gateway process that was replaced by another one on the same VM.
func (f *Fleet) Remove(gateway string) { delete(f.reporters, gateway) }

// collectTotals returns the totals that changed since the last ones that the gateway has
// received. The load pattern that it answers: all totals for all gateways would grow with
// the product of accounts and gateways.
func (f *Fleet) collectTotals(now time.Time, reported Counts) Totals {
	for _, account := range f.activity.update(now) {
		f.changed(f.total(account))
	}
	all := reported.Origin != f.origin
	out := Totals{Origin: f.origin, Gateways: len(f.reporters), Kinds: f.activity.statistics(), Sequence: f.sequence, All: all}
	for account, t := range f.totals {
		if now.Sub(t.lastRequest) >= totalRetention || (!all && t.sequence <= reported.Sequence) {
			continue
		}
		programs, demand := f.activity.demand(account)
		out.Totals = append(out.Totals, Total{
			Account: account, Admitted: round(t.admitted), Recent: round(t.recentRequests.sum(now)), Programs: programs, Demand: round(demand),
			StartsPerSecond: round(t.programStarts.sum(now) / recentSpan.Seconds()),
		})
	}
	return out
}

// changed marks a total for all gateways.
func (f *Fleet) changed(t *accountTotal) {
	f.sequence++
	t.sequence = f.sequence
}

// round returns a number with three binary places, which has a short encoding.
func round(v float64) float64 { return math.Round(v*8) / 8 }
