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
	// extrapolated is the number of requests that were added for the gateway since its last
	// report.
	extrapolated map[domain.Account]float64
	// extrapolatedUntil is the time up to which the counts of a gateway that does not
	// report were extrapolated.
	extrapolatedUntil time.Time
}

const (
	// recentSpan is the period over which the coordinator measures rates.
	recentSpan  = 4 * time.Second
	recentSlots = 8
	// attemptPeriod is the time over which the rate of requests is averaged. A sudden
	// increase has to count after about one report of each gateway.
	attemptPeriod = time.Second
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

// attemptRate is the averaged rate of requests of an account.
type attemptRate struct {
	rate    float64
	updated time.Time
}

func (a *attemptRate) perSecond(now time.Time) float64 {
	return a.rate * math.Exp(-now.Sub(a.updated).Seconds()/attemptPeriod.Seconds())
}

func (a *attemptRate) add(now time.Time, attempts float64) {
	a.rate, a.updated = a.perSecond(now)+attempts/attemptPeriod.Seconds(), now
}

type accountTotal struct {
	admitted    float64
	lastRequest time.Time
	// sequence is the sequence number of the last change.
	sequence uint64
	// programStarts counts the attempts to start a program over the last recentSpan.
	programStarts recentCount
	attempts      attemptRate
	bucket        fleetBucket
}

// add counts requests and reports whether the account's bucket became overdrawn.
func (t *accountTotal) add(now time.Time, requests float64) bool {
	t.admitted += requests
	t.lastRequest = now
	return t.bucket.take(now, requests)
}

// Overdraft is an account for which the gateways admitted more than they may before they see
// each other's requests.
type Overdraft struct {
	Account domain.Account
	Level   float64
	Limit   Limit
}

// Takeover is what a coordinator learned about earlier requests when it began to count.
type Takeover struct {
	// Gateways is the number of gateways that reported, and Unanswered the number of
	// requests that no former coordinator had answered.
	Gateways   int
	Unanswered float64
	// Adopted is the number of accounts whose level a gateway knew, and Assumed the number
	// of the others.
	Adopted, Assumed int
}

// Fleet holds the coordinator's counts over all gateways. It is not safe for
// concurrent use.
type Fleet struct {
	origin    string
	reporters map[string]*reporter
	totals    map[domain.Account]*accountTotal
	activity  *activity
	memory    memory
	// sequence is the sequence number of the last change of a total.
	sequence uint64
	// takeoverEnds is the end of takeoverPeriod. It is zero before the first report.
	takeoverEnds time.Time
	takenOver    bool
	unanswered   float64
	overdrafts   []Overdraft
	// silent is the number of reporters that were silent at the last report.
	silent int
}

// NewFleet returns a fleet without gateways. The origin must be unique for each
// coordinator and each of its terms as leader.
func NewFleet(origin string) *Fleet {
	return &Fleet{origin: origin, reporters: map[string]*reporter{}, totals: map[domain.Account]*accountTotal{}, activity: newActivity(), memory: memory{services: map[ServiceHash]*serviceMemory{}}}
}

// Report adds the counts of a gateway process and returns the totals. The name is
// unique for each start of the gateway.
func (f *Fleet) Report(now time.Time, gateway string, reported Counts) Totals {
	if f.takeoverEnds.IsZero() {
		f.takeoverEnds = now.Add(takeoverPeriod)
	}
	r := f.reporters[gateway]
	if r == nil {
		r = newReporter(now)
		f.reporters[gateway] = r
	}
	f.add(now, r, reported)
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
	return &reporter{lastReport: now, counts: map[domain.Account]uint64{}, rates: map[domain.Account]float64{}, programStarts: map[domain.Account]uint64{}, extrapolated: map[domain.Account]float64{}}
}

// takingOver reports whether the coordinator may not know all recent requests.
func (f *Fleet) takingOver(now time.Time) bool { return now.Before(f.takeoverEnds) }

func (f *Fleet) add(now time.Time, r *reporter, reported Counts) {
	seconds := now.Sub(r.lastReport).Seconds()
	weight := min(1, seconds/smoothingPeriod.Seconds())
	if seconds > 0 {
		// An account that the report lacks had no request.
		for account := range r.rates {
			r.rates[account] *= 1 - weight
		}
	}
	for _, c := range reported.Counts {
		if _, known := r.counts[c.Account]; !known {
			// No report to this coordinator had a change of the account. Earlier
			// coordinators counted what they answered; after a lost answer the rest is
			// counted twice rather than not at all.
			r.counts[c.Account], r.programStarts[c.Account] = c.AnsweredAdmitted, c.AnsweredStarts
		}
		t := f.total(c.Account)
		f.updateBucket(now, t, c, reported)
		if c.Attempts > 0 {
			t.attempts.add(now, float64(c.Attempts))
			f.changed(t)
		}
		delta := float64(c.Admitted - min(c.Admitted, r.counts[c.Account]))
		if reported.Origin != f.origin {
			f.unanswered += delta
		}
		r.counts[c.Account] = c.Admitted
		if seconds > 0 {
			r.rates[c.Account] += weight * delta / seconds
		}
		if added := delta - min(delta, r.extrapolated[c.Account]); added > 0 {
			f.addRequests(now, c.Account, added)
		}
		r.extrapolated[c.Account] -= min(delta, r.extrapolated[c.Account])
		if starts := c.Starts - min(c.Starts, r.programStarts[c.Account]); starts > 0 {
			t.programStarts.add(now, float64(starts))
			f.changed(t)
		}
		r.programStarts[c.Account] = c.Starts
		f.activity.add(now, c.Account, c.Programs)
	}
	f.memory.add(now, reported.LimitsVersion, reported.Memory)
	f.returnExtrapolated(now, r)
}

// updateBucket applies the limit and the level in a report to the account's bucket.
func (f *Fleet) updateBucket(now time.Time, t *accountTotal, c Count, reported Counts) {
	share := 1.0
	if f.takingOver(now) {
		share = assumedShare
	}
	t.bucket.setLimit(now, reported.LimitsVersion, Limit{RatePerSecond: c.RatePerSecond, Burst: c.Burst, Unseen: c.Unseen}, share)
	hasLevel := reported.Origin != "" && f.takingOver(now)
	if hasLevel && (reported.Origin != f.origin || !t.bucket.confirmed) {
		t.bucket.adopt(c.Level, reported.LevelAge)
		f.changed(t)
	}
}

// returnExtrapolated returns the requests that were added for a gateway while it was silent
// and that it did not admit.
func (f *Fleet) returnExtrapolated(now time.Time, r *reporter) {
	for account, n := range r.extrapolated {
		if n > 0 {
			t := f.total(account)
			t.bucket.take(now, -n)
			f.changed(t)
		}
	}
	clear(r.extrapolated)
}

func (f *Fleet) addRequests(now time.Time, account domain.Account, requests float64) {
	t := f.total(account)
	if t.add(now, requests) {
		f.overdrafts = append(f.overdrafts, Overdraft{Account: account, Level: t.bucket.level, Limit: t.bucket.limit})
	}
	f.changed(t)
}

// Overdrafts returns the accounts that were overdrawn since the last call.
func (f *Fleet) Overdrafts() []Overdraft {
	out := f.overdrafts
	f.overdrafts = nil
	return out
}

// Takeover returns what was learned about earlier requests, once after takeoverPeriod.
func (f *Fleet) Takeover(now time.Time) (Takeover, bool) {
	if f.takenOver || f.takeoverEnds.IsZero() || f.takingOver(now) {
		return Takeover{}, false
	}
	f.takenOver = true
	out := Takeover{Gateways: len(f.reporters), Unanswered: f.unanswered}
	for _, t := range f.totals {
		if t.bucket.confirmed {
			out.Adopted++
		} else {
			out.Assumed++
		}
	}
	return out, true
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
	f.silent = 0
	for name, r := range f.reporters {
		silent := now.Sub(r.lastReport)
		if silent > reporterTTL {
			delete(f.reporters, name)
			continue
		}
		if silent < silenceTimeout {
			continue
		}
		f.silent++
		for account, rate := range r.rates {
			requests := rate * now.Sub(r.extrapolatedUntil).Seconds()
			r.extrapolated[account] += requests
			f.addRequests(now, account, requests)
		}
		r.extrapolatedUntil = now
	}
}

// Gateways returns the number of gateways that have reported within reporterTTL.
func (f *Fleet) Gateways() int { return len(f.reporters) }

// ReportingShare returns the fraction of the gateways that were not silent at the last
// report.
func (f *Fleet) ReportingShare() float64 {
	return 1 - float64(f.silent)/float64(max(1, len(f.reporters)))
}

// Remove removes a gateway process that was replaced by another one on the same VM.
func (f *Fleet) Remove(gateway string) { delete(f.reporters, gateway) }

// collectTotals returns the totals that changed since the last ones that the gateway has
// received. The load pattern that it answers: all totals for all gateways would grow with
// the product of accounts and gateways.
func (f *Fleet) collectTotals(now time.Time, reported Counts) Totals {
	f.updateMemory(now)
	for _, account := range f.activity.update(now) {
		f.changed(f.total(account))
	}
	all := reported.Origin != f.origin
	out := Totals{Origin: f.origin, Gateways: len(f.reporters), Kinds: f.activity.statistics(), Sequence: f.sequence, All: all, Uncertain: f.takingOver(now), Memory: f.memory.levels}
	for account, t := range f.totals {
		if now.Sub(t.lastRequest) >= totalRetention || (!all && t.sequence <= reported.Sequence) {
			continue
		}
		demand := f.activity.demand(account)
		t.bucket.refill(now)
		out.Totals = append(out.Totals, Total{
			Account: account, Admitted: round(t.admitted), Level: round(t.bucket.level), Programs: demand.programs, Demand: round(demand.requests), RemainingDemand: round(demand.remaining),
			StartsPerSecond: round(t.programStarts.sum(now) / recentSpan.Seconds()), AttemptsPerSecond: round(t.attempts.perSecond(now)),
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
