// Package allowance holds client accounts to their rate and burst over all
// gateways without a round trip on the way of a request. Each gateway counts
// what it admits and reports the counts; the coordinator returns the totals of
// the fleet, and each gateway subtracts what the others admitted from its copy
// of the account's bucket.
//
// Bound: between two reports a gateway does not see what the others admit, so a
// window exceeds rate*t + burst by at most what the others admit in one report
// interval plus a round trip. A gateway without answers uses only the fraction
// of the rate that it used before, and the coordinator counts that fraction as
// used for as long, so the bound holds across a partition as well.
//
// core/share is exact instead, and refuses while a new root waits for the grants
// of its predecessor. Callers here are owed every request inside the rate, also
// while the coordinator changes.
package allowance

import (
	"math/rand/v2"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
)

// Timing of reports.
const (
	// ReportInterval is the time between two reports of a gateway. Half of it is
	// the mean age of what a gateway knows about the others.
	ReportInterval = 250 * time.Millisecond
	// silentAfter is the time without an answer after which a gateway uses only
	// its own fraction. It exceeds an election of the coordinators plus two
	// reports.
	silentAfter = 1500 * time.Millisecond
	// absentFor is the time for which the coordinator counts the fraction of a
	// silent gateway as used. A gateway that is silent for longer is dead, or its
	// callers have moved.
	absentFor = 15 * time.Second
	// smoothing is the time over which the rates of the gateways are averaged. It
	// is a few reports, so that a change of demand is followed within a second.
	smoothing = 1500 * time.Millisecond
)

// Limit is the allowance of a client account over all gateways.
type Limit struct{ RatePerSecond, Burst float64 }

// Limits returns the limit of an account; ok is false without one.
type Limits func(domain.Account) (Limit, bool)

// Count is the number of requests of an account that one gateway admitted since
// its start.
type Count struct {
	Account  domain.Account
	Admitted uint64
	// Programs is the number of its programs that are under way there.
	Programs int
	// Starts is the number of attempts to begin a program since the start, the
	// refused ones included.
	Starts uint64
}

// Total is the number of requests of an account that all gateways admitted since
// the coordinator started.
type Total struct {
	Account  domain.Account
	Admitted float64
	// Recent is the part of the last 4 s.
	Recent float64
	// Programs is the number of its programs that are under way. One that several
	// gateways serve counts at each of them.
	Programs int
	// StartsPerSecond is the rate of attempts to begin a program.
	StartsPerSecond float64
}

// Counts is what one gateway reports.
type Counts struct {
	// Unanswered says that no coordinator has counted this process yet, so that its
	// counts are all new.
	Unanswered bool
	Counts     []Count
}

// Totals is the coordinator's answer to a report.
type Totals struct {
	// Origin identifies the coordinator's count. Totals of different origins must
	// not be subtracted.
	Origin string
	// Gateways is the number of gateways that report.
	Gateways int
	Totals   []Total
}

type bucket struct {
	level    float64
	capacity float64
	filled   time.Time
	// admitted only grows; a returned request is not counted when the next one is
	// admitted.
	admitted, returned uint64
	// reported is the own count that the last total includes.
	reported, sent uint64
	total          float64
	known          bool
	// estimated says that the level was set or kept with a coordinator's answer.
	estimated bool
	own, all  float64 // averaged requests per second
	measured  time.Time
	// assumed is what the others were taken to have admitted since the last total.
	assumed float64
	// begun is the number of programs that began here since the last answer, starts
	// that of all attempts, and startsPerSecond their rate over all gateways.
	begun           int
	starts          uint64
	startsPerSecond float64
	// sentPrograms is the own number of programs in the last report, and
	// otherPrograms that of the other gateways in the last total.
	sentPrograms, otherPrograms int
}

// Gateway is the state of one gateway. It is not safe for concurrent use.
type Gateway struct {
	limits   Limits
	buckets  map[domain.Account]*bucket
	origin   string
	gateways int
	answered time.Time
	alone    bool
	programs *programs
	rand     *rand.Rand
}

// NewGateway returns a gateway that has admitted nothing.
func NewGateway(limits Limits, r *rand.Rand, now time.Time) *Gateway {
	return &Gateway{
		limits: limits, buckets: map[domain.Account]*bucket{}, gateways: unknownGateways,
		alone: true, answered: now, programs: newPrograms(now), rand: r,
	}
}

// unknownGateways is the number of gateways that a new one assumes until a
// coordinator tells it.
const unknownGateways = 8

// SetGateways takes the number of gateways from a coordinator that does not
// lead; 0 is unknown.
func (g *Gateway) SetGateways(n int) {
	if n > 0 {
		g.gateways = n
	}
}

// Return gives back a request that was admitted and reached no target.
func (g *Gateway) Return(account domain.Account) {
	b := g.buckets[account]
	if b == nil {
		return
	}
	b.level = min(b.level+1, b.capacity)
	b.returned++
}

func (g *Gateway) checkSilence(now time.Time) {
	if g.alone || now.Sub(g.answered) < silentAfter {
		return
	}
	g.alone = true
	// The levels are copies of one bucket; only the own fraction of it is left.
	for _, b := range g.buckets {
		if b.level > 0 {
			b.level *= g.fraction(b)
		}
	}
}

func (g *Gateway) fraction(b *bucket) float64 {
	even := 1 / float64(max(1, g.gateways))
	if b.all <= 0 {
		return even
	}
	return min(1, max(even/2, b.own/b.all))
}

// usableRate is what the bucket gains, less what the others are taken to admit
// until the next answer: without that, all copies of the bucket would gain the
// whole rate while answers are late.
func (g *Gateway) usableRate(b *bucket, limit Limit) float64 {
	own := limit.RatePerSecond * g.fraction(b)
	if g.alone {
		return own
	}
	return max(own, limit.RatePerSecond-b.othersRate())
}

func (b *bucket) othersRate() float64 { return max(0, b.all-b.own) }

// fill brings a bucket up to date. A new one holds a share of the burst.
func (g *Gateway) fill(now time.Time, account domain.Account, limit Limit, share float64) *bucket {
	b := g.buckets[account]
	if b == nil {
		b = &bucket{level: max(1, limit.Burst*share), filled: now}
		g.buckets[account] = b
	}
	seconds, usable := now.Sub(b.filled).Seconds(), g.usableRate(b, limit)
	b.level += seconds * usable
	b.assumed += seconds * (limit.RatePerSecond - usable)
	b.filled = now
	b.capacity = max(1, limit.Burst)
	if g.alone {
		b.capacity = max(1, b.capacity*g.fraction(b))
	}
	b.level = min(b.level, b.capacity)
	return b
}

// Report returns the counts of all accounts that changed since the last answer.
func (g *Gateway) Report(now time.Time) Counts {
	out := Counts{Unanswered: g.origin == ""}
	g.programs.count(now)
	for account, b := range g.buckets {
		b.sent, b.sentPrograms = b.admitted, g.programs.underWay[account]
		if b.admitted > 0 {
			out.Counts = append(out.Counts, Count{Account: account, Admitted: b.admitted, Programs: b.sentPrograms, Starts: b.starts})
		}
	}
	return out
}

// Answer applies the totals that answer the last report.
func (g *Gateway) Answer(now time.Time, t Totals) {
	sameOrigin := t.Origin == g.origin
	g.origin, g.gateways, g.answered, g.alone = t.Origin, t.Gateways, now, false
	for _, total := range t.Totals {
		limit, limited := g.limits(total.Account)
		if !limited || limit.RatePerSecond <= 0 {
			continue
		}
		b := g.fill(now, total.Account, limit, 1)
		if sameOrigin && b.known {
			b.subtractOthers(now, total.Admitted, limit)
		}
		b.estimate(total.Recent, limit)
		b.otherPrograms = max(0, total.Programs-b.sentPrograms)
		b.begun, b.startsPerSecond = 0, total.StartsPerSecond
		b.known, b.total, b.reported, b.measured, b.assumed = true, total.Admitted, b.sent, now, 0
	}
	for account, b := range g.buckets {
		if hasTotal(t.Totals, account) {
			continue
		}
		b.known, b.otherPrograms = b.known && sameOrigin, 0
		if limit, limited := g.limits(account); limited {
			b.estimate(0, limit)
		}
	}
}

// estimate sets the level of a bucket that was made before any answer, from what
// the fleet admitted lately: a bucket that was full then holds at least this.
func (b *bucket) estimate(recent float64, limit Limit) {
	if b.estimated {
		return
	}
	b.estimated = true
	sinceReport := float64(b.admitted - b.sent)
	gained := limit.RatePerSecond * recentSpan.Seconds()
	b.level = min(limit.Burst, limit.Burst+gained-recent) - sinceReport
}

func hasTotal(totals []Total, account domain.Account) bool {
	for _, t := range totals {
		if t.Account == account {
			return true
		}
	}
	return false
}

func (b *bucket) subtractOthers(now time.Time, total float64, limit Limit) {
	own := float64(b.sent - b.reported)
	all := max(own, total-b.total)
	// The debt is bounded by one second of the rate, so that an account that was
	// over its limit is served again soon.
	b.level = max(b.level-(all-own)+b.assumed, -limit.RatePerSecond)
	seconds := now.Sub(b.measured).Seconds()
	if seconds <= 0 {
		return
	}
	weight := min(1, seconds/smoothing.Seconds())
	b.own += weight * (own/seconds - b.own)
	b.all += weight * (all/seconds - b.all)
}
