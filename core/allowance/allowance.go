// Package allowance limits the rate and burst of client accounts across all
// gateways without a round trip in the request path. Each gateway counts the
// requests that it admits and reports the counts to the coordinator. The
// coordinator answers with the totals of the fleet, and each gateway subtracts the
// requests that the others admitted from its copy of the account's token bucket.
//
// Bound: between two reports a gateway does not see what the others admit. The
// requests admitted in any interval of length t therefore exceed rate*t + burst by
// at most what the others admit in one report interval plus a round trip. A gateway
// that receives no answers uses only its previous fraction of the rate, and the
// coordinator counts that fraction as used meanwhile, so the bound also holds
// during a partition.
//
// core/share enforces its limit exactly instead, and rejects requests while a new
// source waits until the grants of its predecessor have expired. This package must
// admit every request within the rate, also during a change of the coordinator.
package allowance

import (
	"math/rand/v2"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
)

// Timing of reports.
const (
	// ReportInterval is the time between two reports of a gateway. The counts that a
	// gateway has received for the other gateways are half of this interval old on
	// average.
	ReportInterval = 250 * time.Millisecond
	// silenceTimeout is the time without an answer after which a gateway uses only
	// its own fraction of the rate, and the time without a report after which the
	// coordinator extrapolates the counts of a gateway. It exceeds an election of
	// the coordinators plus two report intervals.
	silenceTimeout = 1500 * time.Millisecond
	// reporterTTL is the time for which the coordinator extrapolates the counts of a
	// gateway that does not report. After a longer silence the gateway has failed, or
	// its callers use other gateways.
	reporterTTL = 15 * time.Second
	// smoothingPeriod is the time over which the rates of the gateways are averaged.
	// It spans a few reports, so that the averages follow a change of demand within
	// about a second.
	smoothingPeriod = 1500 * time.Millisecond
)

// Limit is the allowance of a client account across all gateways: requests a second
// and a burst in requests.
type Limit struct {
	RatePerSecond, Burst float64
	// Unseen is the number of requests above the burst that gateways may admit before they
	// see each other's.
	Unseen float64
}

const (
	// slackInBurst is the fraction of the slack that is added to a burst, so that a small
	// account can run a whole program at once.
	slackInBurst = 0.5
	// unseenFraction is the fraction of the rest that gateways may admit on average before
	// they see each other's requests. The actual number varies.
	unseenFraction = 0.25
)

// Tolerance is by how much the requests of an account may exceed its rate and burst in any
// window: by a number of requests and by a fraction.
type Tolerance struct {
	Slack, Fraction float64
	Window          time.Duration
}

// Limit returns the limit that gateways use for an account.
func (t Tolerance) Limit(ratePerSecond, burst float64) Limit {
	rest := (1-slackInBurst)*t.Slack + t.Fraction*(ratePerSecond*t.Window.Seconds()+burst)
	return Limit{RatePerSecond: ratePerSecond, Burst: burst + slackInBurst*t.Slack, Unseen: unseenFraction * rest}
}

// Limits returns the limit of an account and reports whether it has one.
type Limits func(domain.Account) (Limit, bool)

// Count holds the counters of an account at one gateway. Admitted is the number of
// requests admitted since the gateway started.
type Count struct {
	Account  domain.Account `cbor:"1,keyasint"`
	Admitted uint64         `cbor:"2,keyasint"`
	// Starts is the number of attempts to start a program since the gateway
	// started, including rejected ones.
	Starts uint64 `cbor:"3,keyasint,omitempty"`
	// Programs lists the account's programs that had a request at the gateway since its
	// last report.
	Programs []Activity `cbor:"4,keyasint,omitempty"`
	// AnsweredAdmitted and AnsweredStarts are the values of Admitted and Starts in the
	// last report that any coordinator answered. The account was not in the reports since
	// then if it had no change.
	AnsweredAdmitted uint64 `cbor:"5,keyasint,omitempty"`
	AnsweredStarts   uint64 `cbor:"6,keyasint,omitempty"`
	// RatePerSecond, Burst and Unseen are the limit of the account at the gateway.
	RatePerSecond float64 `cbor:"7,keyasint,omitempty"`
	Burst         float64 `cbor:"8,keyasint,omitempty"`
	Unseen        float64 `cbor:"11,keyasint,omitempty"`
	// Level is the level of the account's bucket in the last answer.
	Level float64 `cbor:"9,keyasint,omitempty"`
	// Attempts is the number of requests since the last report: admitted ones, and rejected
	// ones of active programs or of none.
	Attempts int `cbor:"10,keyasint,omitempty"`
}

// Activity is what one gateway sees of one active program. The requests of a program
// reach several gateways, so the coordinator counts programs by their hashes.
type Activity struct {
	// Program is a hash of the program's name.
	Program ProgramHash `cbor:"1,keyasint"`
	// Kind is the kind of the program, or 0 if the gateway has seen no turn of it.
	Kind ProgramKind `cbor:"2,keyasint,omitempty"`
	// Requests is the number of requests admitted since the last report.
	Requests int `cbor:"3,keyasint,omitempty"`
	// Memory is the use of the memory of engines by turns since the last report, or nil.
	Memory *ProgramMemory `cbor:"4,keyasint,omitempty"`
}

// Total holds the counters of an account over all gateways. Admitted is the number
// of requests admitted since the coordinator's count started.
type Total struct {
	Account  domain.Account `cbor:"1,keyasint"`
	Admitted float64        `cbor:"2,keyasint"`
	// Level is the level of the account's bucket, without the requests that gateways have
	// not reported yet.
	Level float64 `cbor:"3,keyasint,omitempty"`
	// Programs is the number of the account's active programs, and Demand the number
	// of requests that they are expected to send in the next second.
	Programs int     `cbor:"4,keyasint,omitempty"`
	Demand   float64 `cbor:"5,keyasint,omitempty"`
	// StartsPerSecond is the rate of attempts to start a program.
	StartsPerSecond float64 `cbor:"6,keyasint,omitempty"`
	// AttemptsPerSecond is the rate of the requests that Count.Attempts counts.
	AttemptsPerSecond float64 `cbor:"7,keyasint,omitempty"`
	// RemainingDemand is Demand without the programs that are expected to end within that second.
	RemainingDemand float64 `cbor:"8,keyasint,omitempty"`
}

// KindStatistics holds means over the programs of a kind at all gateways.
type KindStatistics struct {
	Kind ProgramKind `cbor:"1,keyasint"`
	// Cost is the number of requests that a program sends in the first second after its
	// start.
	Cost float64 `cbor:"2,keyasint"`
}

// Counts is the report of one gateway.
type Counts struct {
	// LimitsVersion is the version of the configuration that the limits are from.
	LimitsVersion uint64 `cbor:",omitempty"`
	// LevelAge is the time since the last answer, in which the levels were received.
	LevelAge time.Duration `cbor:",omitempty"`
	// Counts lacks the accounts without a change since the last answer.
	Counts []Count
	// Origin, Sequence and AnnouncedUntil are those of the last totals.
	Origin         string `cbor:",omitempty"`
	Sequence       uint64 `cbor:",omitempty"`
	AnnouncedUntil uint64 `cbor:",omitempty"`
	// Memory is what the gateway has seen since the last report of services whose engines have a
	// limited memory.
	Memory []ServiceMemory `cbor:",omitempty"`
}

// Totals is the coordinator's answer to a report.
type Totals struct {
	// Origin identifies the coordinator's count. Totals of different origins are not
	// comparable.
	Origin string
	// Gateways is the number of gateways that report.
	Gateways int
	Totals   []Total
	// Sequence is the sequence number of the last change. Totals lacks the accounts that
	// have not changed since the sequence number in the report. All reports whether it
	// covers all accounts, so that an account without a total is idle.
	Sequence uint64
	All      bool `cbor:",omitempty"`
	// Uncertain reports whether the coordinator may not know all recent requests yet, so
	// that a bucket without a total may not be full.
	Uncertain bool `cbor:",omitempty"`
	// Kinds lists the kinds of programs that were started recently.
	Kinds []KindStatistics `cbor:",omitempty"`
	// Announced lists the hashes of programs that have started since the totals that
	// the report refers to. AnnouncedUntil is the sequence number of the last one.
	Announced      []ProgramHash `cbor:",omitempty"`
	AnnouncedUntil uint64        `cbor:",omitempty"`
	// Memory limits the starts of programs while the memory of engines does not suffice.
	Memory []MemoryLevel `cbor:",omitempty"`
}

// bucket is the gateway's copy of the token bucket of an account.
type bucket struct {
	level    float64
	capacity float64
	filled   time.Time
	// admitted only increases. A returned request is offset by not counting the next
	// admitted one.
	admitted, returned uint64
	// acknowledged is the count of this gateway that the last total includes;
	// reported is its count in the last report.
	acknowledged, reported uint64
	lastTotal              float64
	totalKnown             bool
	// answeredLevel is the level of the fleet's bucket at the last answer, without the
	// requests that this gateway had not reported then.
	answeredLevel float64
	// levelKnown reports whether the level is based on an answer of a coordinator.
	levelKnown         bool
	ownRate, fleetRate float64 // averaged requests per second
	ratesUpdated       time.Time
	// returning is the number of rejected requests of active programs that are expected to
	// come back and to take a request each. The refill serves them.
	returning float64
	// answered is the count of this gateway in the last report that was answered.
	answered uint64
	// startAttempts counts all attempts to start a program here. reportedAttempts is its
	// value in the last report, answeredAttempts in the last one that was answered.
	startAttempts, reportedAttempts, answeredAttempts uint64
	// startsPerSecond is the rate of attempts over all gateways.
	startsPerSecond float64
	// attempts is the value of Count.Attempts for the next report, and attemptsPerSecond the
	// rate over all gateways.
	attempts          int
	attemptsPerSecond float64
	// ownAttempts is the rate of these requests at this gateway.
	ownAttempts attemptRate
	// startedCost is the cost of all programs that were started here. startedReported
	// is its value at the last report, startedAcknowledged the part that the last
	// total includes.
	startedCost, startedReported, startedAcknowledged float64
	// programs is the number of active programs of the account in the last total, and
	// demand the number of requests that they are expected to send in the next second.
	programs int
	demand   float64
	// remainingDemand is demand without the programs that are expected to end, or 0.
	remainingDemand float64
}

// Gateway holds the token buckets of one gateway. It is not safe for concurrent use.
type Gateway struct {
	limits       Limits
	buckets      map[domain.Account]*bucket
	origin       string
	gateways     int
	lastAnswer   time.Time
	disconnected bool
	programs     *programTracker
	kinds        map[ProgramKind]KindStatistics
	// sequence is the sequence number of the last totals, announcedUntil that of the last
	// announced program of origin.
	sequence, announcedUntil uint64
	// uncertain is the value in the last totals. reportAll requests that the next report has
	// the levels of all buckets, because the last totals came from another coordinator.
	uncertain, reportAll bool
	memory               memoryGate
	rand                 *rand.Rand
}

// NewGateway returns a gateway without buckets that counts as disconnected until it
// receives the first answer.
func NewGateway(limits Limits, r *rand.Rand, now time.Time) *Gateway {
	return &Gateway{
		limits: limits, buckets: map[domain.Account]*bucket{}, gateways: defaultGateways,
		disconnected: true, lastAnswer: now, programs: newProgramTracker(), rand: r,
	}
}

// defaultGateways is the number of gateways that a new gateway assumes until it
// receives the number from a coordinator.
const defaultGateways = 8

// SetGateways sets the number of gateways as received from a coordinator that is not
// the leader; 0 means unknown and changes nothing.
func (g *Gateway) SetGateways(n int) {
	if n > 0 {
		g.gateways = n
	}
}

// Return refunds a request that was admitted but reached no target.
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
	// All gateways hold copies of one bucket, so each keeps only its fraction.
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

// refillRate returns the rate at which the bucket is refilled, in requests a second:
// the limit less the rate that the other gateways are assumed to admit until the next
// answer. Otherwise all copies of the bucket would be refilled at the whole rate while
// answers are late. Without recent answers the others are assumed to admit all that they
// receive, so the rate is negative until the bucket is empty.
func (g *Gateway) refillRate(now time.Time, b *bucket, limit Limit) float64 {
	own := limit.RatePerSecond * g.trafficFraction(b)
	switch {
	case g.disconnected:
		return own
	case now.Sub(g.lastAnswer) > startVisibleAfter && b.level > 0:
		return limit.RatePerSecond - max(b.othersRate(), b.attemptsPerSecond*(1-g.trafficFraction(b)), g.extrapolatedAttempts(now, b))
	default:
		return max(own, limit.RatePerSecond-b.othersRate())
	}
}

func (b *bucket) othersRate() float64 { return max(0, b.fleetRate-b.ownRate) }

// refill updates the bucket of an account to the present time and returns it. A new
// bucket holds the given share of the burst.
func (g *Gateway) refill(now time.Time, account domain.Account, limit Limit, share float64) *bucket {
	b := g.buckets[account]
	if b == nil {
		b = &bucket{level: max(1, limit.Burst*share), filled: now}
		g.buckets[account] = b
	}
	seconds, rate := now.Sub(b.filled).Seconds(), g.refillRate(now, b, limit)
	b.level = max(b.level+seconds*rate, min(b.level, 0))
	b.returning = max(0, b.returning-seconds*max(0, rate))
	b.filled = now
	b.capacity = max(1, limit.Burst)
	if g.disconnected {
		b.capacity = max(1, b.capacity*g.trafficFraction(b))
	}
	b.level = min(b.level, b.capacity)
	return b
}

// Report returns the counts of the accounts that changed since the last answer, made under
// the given version of the configuration.
func (g *Gateway) Report(now time.Time, limitsVersion uint64) Counts {
	out := Counts{
		Origin: g.origin, Sequence: g.sequence, AnnouncedUntil: g.announcedUntil,
		LimitsVersion: limitsVersion, LevelAge: now.Sub(g.lastAnswer), Memory: g.memory.report(),
	}
	g.programs.update(now)
	activities := g.programs.activities()
	for account, programs := range activities {
		// Accounts without a limit count for the memory of engines only.
		if g.buckets[account] == nil && g.memory.used {
			out.Counts = append(out.Counts, Count{Account: account, Programs: programs})
		}
	}
	for account, b := range g.buckets {
		b.reported, b.reportedAttempts, b.startedReported = b.admitted, b.startAttempts, b.startedCost
		programs := activities[account]
		limit, _ := g.limits(account)
		if b.admitted != b.answered || b.startAttempts != b.answeredAttempts || b.attempts > 0 || len(programs) > 0 || (g.reportAll && b.levelKnown) {
			out.Counts = append(out.Counts, Count{
				Account: account, Admitted: b.admitted, Starts: b.startAttempts, Programs: programs,
				AnsweredAdmitted: b.answered, AnsweredStarts: b.answeredAttempts,
				RatePerSecond: limit.RatePerSecond, Burst: limit.Burst, Unseen: limit.Unseen,
				Level: round(b.answeredLevel), Attempts: b.attempts,
			})
			b.attempts = 0
		}
	}
	return out
}

// ApplyTotals applies the coordinator's answer to the last report.
func (g *Gateway) ApplyTotals(now time.Time, t Totals) {
	sameOrigin := t.Origin == g.origin
	sinceAnswer := now.Sub(g.lastAnswer)
	g.origin, g.gateways, g.lastAnswer, g.disconnected = t.Origin, t.Gateways, now, false
	g.uncertain, g.reportAll = t.Uncertain, !sameOrigin
	g.kinds = map[ProgramKind]KindStatistics{}
	for _, k := range t.Kinds {
		g.kinds[k.Kind] = k
	}
	g.sequence, g.announcedUntil = t.Sequence, t.AnnouncedUntil
	g.programs.announce(now, t.Announced)
	g.memory.apply(t.Memory)
	for _, b := range g.buckets {
		b.answered, b.answeredAttempts = b.reported, b.reportedAttempts
		b.totalKnown = b.totalKnown && sameOrigin
	}
	included := map[domain.Account]bool{}
	for _, total := range t.Totals {
		included[total.Account] = true
		limit, limited := g.limits(total.Account)
		if !limited || limit.RatePerSecond <= 0 {
			continue
		}
		b := g.refill(now, total.Account, limit, 1)
		b.applyTotal(now, total.Admitted)
		b.applyLevel(total.Level, limit)
		b.applyForecast(total, t.Uncertain)
		b.startedAcknowledged = b.startedReported
	}
	for account, b := range g.buckets {
		if limit, limited := g.limits(account); limited && limit.RatePerSecond > 0 && !included[account] {
			g.applyMissing(now, b, limit, t, sinceAnswer)
		}
	}
}

// applyMissing applies totals that lack an account.
func (g *Gateway) applyMissing(now time.Time, b *bucket, limit Limit, t Totals, sinceAnswer time.Duration) {
	switch {
	case !t.All && !b.totalKnown:
		return
	case !t.All:
		b.applyTotal(now, b.lastTotal)
	default:
		// The coordinator has counted no recent request.
		b.applyForecast(Total{}, t.Uncertain)
		b.startedAcknowledged = b.startedReported
	}
	if !b.levelKnown {
		b.applyLevel(limit.Burst*g.newBucketShare(), limit)
		return
	}
	b.applyLevel(b.answeredLevel+sinceAnswer.Seconds()*limit.RatePerSecond, limit)
}

// newBucketShare returns the share of its burst that an account without a total has left.
func (g *Gateway) newBucketShare() float64 {
	switch {
	case g.disconnected:
		return 1 / float64(g.gateways)
	case g.uncertain:
		return assumedShare
	default:
		return 1
	}
}

// applyTotal applies the total of the last report and updates the averaged rates.
func (b *bucket) applyTotal(now time.Time, total float64) {
	if b.totalKnown {
		b.updateRates(now, total)
	}
	b.totalKnown, b.lastTotal, b.acknowledged, b.ratesUpdated = true, total, b.reported, now
}

// applyLevel sets the level from that of the fleet's bucket, which includes the requests
// that this gateway has reported.
func (b *bucket) applyLevel(level float64, limit Limit) {
	b.levelKnown, b.answeredLevel = true, min(limit.Burst, level)
	b.level = b.answeredLevel - float64(b.admitted-b.reported) + float64(b.returned)
}

// applyForecast applies what the coordinator expects of the account. A coordinator that has
// just begun to count expects too little.
func (b *bucket) applyForecast(t Total, uncertain bool) {
	if uncertain {
		t.Programs, t.Demand = max(t.Programs, b.programs), max(t.Demand, b.demand)
		t.RemainingDemand = max(t.RemainingDemand, b.remainingDemand)
		t.StartsPerSecond = max(t.StartsPerSecond, b.startsPerSecond)
		t.AttemptsPerSecond = max(t.AttemptsPerSecond, b.attemptsPerSecond)
	}
	b.programs, b.demand, b.startsPerSecond, b.attemptsPerSecond = t.Programs, t.Demand, t.StartsPerSecond, t.AttemptsPerSecond
	b.remainingDemand = t.RemainingDemand
}

func (b *bucket) updateRates(now time.Time, total float64) {
	seconds := now.Sub(b.ratesUpdated).Seconds()
	if seconds <= 0 {
		return
	}
	own := float64(b.reported - b.acknowledged)
	all := max(own, total-b.lastTotal)
	weight := min(1, seconds/smoothingPeriod.Seconds())
	b.ownRate += weight * (own/seconds - b.ownRate)
	b.fleetRate += weight * (all/seconds - b.fleetRate)
}
