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
	// silenceTimeout is the time without an answer after which a gateway uses only
	// its own fraction. It exceeds an election of the coordinators plus two
	// reports.
	silenceTimeout = 1500 * time.Millisecond
	// reporterTTL is the time for which the coordinator counts the fraction of a
	// silent gateway as used. A gateway that is silent for longer is dead, or its
	// callers have moved.
	reporterTTL = 15 * time.Second
	// smoothingPeriod is the time over which the rates of the gateways are averaged. It
	// is a few reports, so that a change of demand is followed within a second.
	smoothingPeriod = 1500 * time.Millisecond
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
	// acknowledged is the own count that the last total includes.
	acknowledged, reported uint64
	lastTotal              float64
	totalKnown             bool
	// estimated says that the level was set or kept with a coordinator's answer.
	estimated          bool
	ownRate, fleetRate float64 // averaged requests per second
	ratesUpdated       time.Time
	// assumedOthers is what the others were taken to have admitted since the last total.
	assumedOthers float64
	// startedPrograms is the number of programs that began here since the last answer, starts
	// that of all attempts, and startsPerSecond their rate over all gateways.
	startedPrograms int
	startAttempts   uint64
	startsPerSecond float64
	// reportedPrograms is the own number of programs in the last report, and
	// otherPrograms that of the other gateways in the last total.
	reportedPrograms, otherPrograms int
}

// Gateway is the state of one gateway. It is not safe for concurrent use.
type Gateway struct {
	limits       Limits
	buckets      map[domain.Account]*bucket
	origin       string
	gateways     int
	lastAnswer   time.Time
	disconnected bool
	programs     *programTracker
	rand         *rand.Rand
}

// NewGateway returns a gateway that has admitted nothing.
func NewGateway(limits Limits, r *rand.Rand, now time.Time) *Gateway {
	return &Gateway{
		limits: limits, buckets: map[domain.Account]*bucket{}, gateways: defaultGateways,
		disconnected: true, lastAnswer: now, programs: newProgramTracker(now), rand: r,
	}
}

// defaultGateways is the number of gateways that a new one assumes until a
// coordinator tells it.
const defaultGateways = 8

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
	if g.disconnected || now.Sub(g.lastAnswer) < silenceTimeout {
		return
	}
	g.disconnected = true
	// The levels are copies of one bucket; only the own fraction of it is left.
	for _, b := range g.buckets {
		if b.level > 0 {
			b.level *= g.trafficFraction(b)
		}
	}
}

func (g *Gateway) trafficFraction(b *bucket) float64 {
	even := 1 / float64(max(1, g.gateways))
	if b.fleetRate <= 0 {
		return even
	}
	return min(1, max(even/2, b.ownRate/b.fleetRate))
}

// refillRate is what the bucket gains, less what the others are taken to admit
// until the next answer: without that, all copies of the bucket would gain the
// whole rate while answers are late.
func (g *Gateway) refillRate(b *bucket, limit Limit) float64 {
	own := limit.RatePerSecond * g.trafficFraction(b)
	if g.disconnected {
		return own
	}
	return max(own, limit.RatePerSecond-b.othersRate())
}

func (b *bucket) othersRate() float64 { return max(0, b.fleetRate-b.ownRate) }

// refill brings a bucket up to date. A new one holds a share of the burst.
func (g *Gateway) refill(now time.Time, account domain.Account, limit Limit, share float64) *bucket {
	b := g.buckets[account]
	if b == nil {
		b = &bucket{level: max(1, limit.Burst*share), filled: now}
		g.buckets[account] = b
	}
	seconds, rate := now.Sub(b.filled).Seconds(), g.refillRate(b, limit)
	b.level += seconds * rate
	b.assumedOthers += seconds * (limit.RatePerSecond - rate)
	b.filled = now
	b.capacity = max(1, limit.Burst)
	if g.disconnected {
		b.capacity = max(1, b.capacity*g.trafficFraction(b))
	}
	b.level = min(b.level, b.capacity)
	return b
}

// Report returns the counts of all accounts that changed since the last answer.
func (g *Gateway) Report(now time.Time) Counts {
	out := Counts{Unanswered: g.origin == ""}
	g.programs.update(now)
	for account, b := range g.buckets {
		b.reported, b.reportedPrograms = b.admitted, g.programs.active[account]
		if b.admitted > 0 {
			out.Counts = append(out.Counts, Count{Account: account, Admitted: b.admitted, Programs: b.reportedPrograms, Starts: b.startAttempts})
		}
	}
	return out
}

// ApplyTotals applies the totals that answer the last report.
func (g *Gateway) ApplyTotals(now time.Time, t Totals) {
	sameOrigin := t.Origin == g.origin
	g.origin, g.gateways, g.lastAnswer, g.disconnected = t.Origin, t.Gateways, now, false
	for _, total := range t.Totals {
		limit, limited := g.limits(total.Account)
		if !limited || limit.RatePerSecond <= 0 {
			continue
		}
		b := g.refill(now, total.Account, limit, 1)
		if sameOrigin && b.totalKnown {
			b.subtractOthers(now, total.Admitted, limit)
		}
		b.estimate(total.Recent, limit)
		b.otherPrograms = max(0, total.Programs-b.reportedPrograms)
		b.startedPrograms, b.startsPerSecond = 0, total.StartsPerSecond
		b.totalKnown, b.lastTotal, b.acknowledged, b.ratesUpdated, b.assumedOthers = true, total.Admitted, b.reported, now, 0
	}
	for account, b := range g.buckets {
		if hasTotal(t.Totals, account) {
			continue
		}
		b.totalKnown, b.otherPrograms = b.totalKnown && sameOrigin, 0
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
	sinceReport := float64(b.admitted - b.reported)
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
	own := float64(b.reported - b.acknowledged)
	all := max(own, total-b.lastTotal)
	// The debt is bounded by one second of the rate, so that an account that was
	// over its limit is served again soon.
	b.level = max(b.level-(all-own)+b.assumedOthers, -limit.RatePerSecond)
	seconds := now.Sub(b.ratesUpdated).Seconds()
	if seconds <= 0 {
		return
	}
	weight := min(1, seconds/smoothingPeriod.Seconds())
	b.ownRate += weight * (own/seconds - b.ownRate)
	b.fleetRate += weight * (all/seconds - b.fleetRate)
}
