package allowance

import (
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
)

// totalRetention is the time for which an account's total is sent after it changed.
// It exceeds several report intervals, so that one lost answer loses nothing.
const totalRetention = 4 * time.Second

type reporter struct {
	lastReport time.Time
	counts     map[domain.Account]uint64
	rates      map[domain.Account]float64
	// programs holds the programs under way as of the last report, starts the
	// attempts to begin one so far.
	programs map[domain.Account]int
	starts   map[domain.Account]uint64
	// extrapolatedUntil is the time up to which a silent gateway's rates were counted.
	extrapolatedUntil time.Time
}

const (
	// recentSpan is the span over which the coordinator can tell a gateway that has
	// just started what was admitted. A bucket of one second's burst is full again
	// within it.
	recentSpan  = 4 * time.Second
	recentSlots = 8
)

// recentCount counts what happened in the last recentSpan.
type recentCount struct {
	// slots count spans of recentSpan/recentSlots.
	slots  [recentSlots]float64
	newest int64
}

// advance forgets the slots that are older than recentSpan.
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
	admitted float64
	changed  time.Time
	// requests counts those admitted, starts the attempts to begin a program.
	requests, starts recentCount
}

func (t *accountTotal) add(now time.Time, requests float64) {
	t.requests.add(now, requests)
	t.admitted += requests
	t.changed = now
}

// Fleet is the coordinator's count over all gateways. It is not safe for
// concurrent use.
type Fleet struct {
	origin    string
	reporters map[string]*reporter
	totals    map[domain.Account]*accountTotal
}

// NewFleet returns an empty count. The origin is unique for each coordinator and
// each time it becomes the leader.
func NewFleet(origin string) *Fleet {
	return &Fleet{origin: origin, reporters: map[string]*reporter{}, totals: map[domain.Account]*accountTotal{}}
}

// Report adds the counts of one start of a gateway and returns the totals.
func (f *Fleet) Report(now time.Time, gateway string, reported Counts) Totals {
	r := f.reporters[gateway]
	if r == nil {
		r = &reporter{lastReport: now, counts: map[domain.Account]uint64{}, rates: map[domain.Account]float64{}, programs: map[domain.Account]int{}, starts: map[domain.Account]uint64{}}
		f.reporters[gateway] = r
		// An earlier coordinator has counted what a known process admitted.
		for _, c := range reported.Counts {
			if !reported.Unanswered {
				r.counts[c.Account], r.starts[c.Account] = c.Admitted, c.Starts
			}
		}
	}
	f.add(now, r, reported.Counts)
	r.lastReport, r.extrapolatedUntil = now, now
	f.extrapolateSilent(now)
	return f.collectTotals(now)
}

func (f *Fleet) add(now time.Time, r *reporter, counts []Count) {
	seconds := now.Sub(r.lastReport).Seconds()
	weight := min(1, seconds/smoothingPeriod.Seconds())
	for _, c := range counts {
		delta := float64(c.Admitted - min(c.Admitted, r.counts[c.Account]))
		r.counts[c.Account], r.programs[c.Account] = c.Admitted, c.Programs
		if seconds > 0 {
			r.rates[c.Account] += weight * (delta/seconds - r.rates[c.Account])
		}
		if delta > 0 {
			f.addRequests(now, c.Account, delta)
		}
		if starts := c.Starts - min(c.Starts, r.starts[c.Account]); starts > 0 {
			f.total(c.Account).starts.add(now, float64(starts))
		}
		r.starts[c.Account] = c.Starts
	}
}

func (f *Fleet) addRequests(now time.Time, account domain.Account, requests float64) {
	f.total(account).add(now, requests)
}

func (f *Fleet) total(account domain.Account) *accountTotal {
	t := f.totals[account]
	if t == nil {
		t = &accountTotal{}
		f.totals[account] = t
	}
	return t
}

// extrapolateSilent counts the usual rates of gateways that do not report, because
// they may serve callers behind a partition.
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

// Gateways returns the number of gateways that report or were silent for a
// short time only.
func (f *Fleet) Gateways() int { return len(f.reporters) }

// Remove drops a gateway whose successor on the same VM reports.
func (f *Fleet) Remove(gateway string) { delete(f.reporters, gateway) }

// activePrograms returns how many activePrograms of an account are under way at gateways
// that report.
func (f *Fleet) activePrograms(now time.Time, account domain.Account) int {
	sum := 0
	for _, r := range f.reporters {
		if now.Sub(r.lastReport) < silenceTimeout {
			sum += r.programs[account]
		}
	}
	return sum
}

func (f *Fleet) collectTotals(now time.Time) Totals {
	out := Totals{Origin: f.origin, Gateways: len(f.reporters)}
	for account, t := range f.totals {
		if now.Sub(t.changed) < totalRetention {
			out.Totals = append(out.Totals, Total{
				Account: account, Admitted: t.admitted, Recent: t.requests.sum(now), Programs: f.activePrograms(now, account),
				StartsPerSecond: t.starts.sum(now) / recentSpan.Seconds(),
			})
		}
	}
	return out
}
