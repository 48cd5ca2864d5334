package allowance

import (
	"fmt"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/tokens"
)

const (
	// forecastSpan is the period over which the demand of active programs is
	// forecast. Most programs take about a second.
	forecastSpan = time.Second
	// contendedFraction is the fraction of the bucket's capacity above which the attempts
	// to start a program that a gateway expects are divided by uncontendedDivisor: the bucket
	// covers more of them until it is seen to be used.
	contendedFraction  = 0.9
	uncontendedDivisor = 2
	// startVisibleAfter is the time until a start at one gateway is part of the totals
	// of all others: its own report and theirs.
	startVisibleAfter = 2 * ReportInterval
	// unseenPeriod is the period whose requests at other gateways are not part of the totals
	// yet: a report interval and a round trip.
	unseenPeriod = ReportInterval + 50*time.Millisecond
	// maxLaterTurnReserve is the upper bound of the requests that a later turn leaves to
	// plain calls. A program sends a few plain calls at once.
	maxLaterTurnReserve = 2.0
	// startRetryDivisor divides the time left to a program; the quotient is the
	// retry-after of a rejected start. Callers retry a few times, so a program
	// starts early enough to meet its deadline or not at all. A program that
	// starts late uses as much of the allowance as one that meets its deadline.
	startRetryDivisor = 12
	// minStartRetry and maxStartRetry bound the retry-after of a rejected start.
	// minStartRetry also applies when the time left is unknown.
	minStartRetry = 50 * time.Millisecond
	maxStartRetry = time.Second
)

// reserveFractions maps a priority to the fraction of the bucket's capacity that
// it leaves to requests of higher priority. The forecast demand of active programs
// is reserved in addition.
var reserveFractions = map[Priority]float64{NewProgram: 0.3, LaterTurn: 0.1, PlainCall: 0}

// Request is an admission request.
type Request struct {
	// Program has an empty name if the request belongs to no program.
	Program tokens.Program
	// Kind is the kind of the program; it is set for turns.
	Kind ProgramKind
	// IsTurn reports whether the request is a turn, HasPrevious whether it continues
	// an earlier turn.
	IsTurn, HasPrevious bool
	// TimeLeft is the time until the program's deadline; 0 means unknown.
	TimeLeft time.Duration
	// MaxWait is the time for which the request may wait for the refill of its account; 0
	// means not at all.
	MaxWait time.Duration
	// Memory is the turn's use of the memory of engines.
	Memory MemoryNeed
}

// startRetryAfter returns the retry-after for a program whose start is rejected.
func (r Request) startRetryAfter() time.Duration {
	return max(minStartRetry, min(maxStartRetry, r.TimeLeft/startRetryDivisor))
}

// Decision is the result of Admit with the inputs that determined it.
type Decision struct {
	Admitted bool
	// Wait is the time after which the bucket covers the request. An admitted request is sent
	// only then. MaxWait is the time for which it may wait; it is 0 if it may not.
	Wait, MaxWait time.Duration
	// RetryAfter is the time after which a rejected request can be admitted.
	RetryAfter time.Duration
	// Level is the number of requests that the token bucket holds, Limit the
	// account's allowance.
	Level float64
	Limit Limit
	// TotalsAge is the time since the last totals. Disconnected reports whether the
	// gateway uses only its own fraction of the rate, because no totals arrive.
	TotalsAge    time.Duration
	Disconnected bool
	// Priority is the admission priority of the request. The fields after it are set
	// for new programs only. Programs is the number of the account's active
	// programs, and Cost the number of requests that the new one is expected to send
	// in its first second. ForecastDemand is the number of requests that all of them
	// are expected to take from the bucket beyond its refill.
	// NewProgramCapacity is the number of programs that may start until their demand
	// is part of the totals, and ExpectedStarts is the expected number of attempts to
	// start one until then.
	Priority           Priority
	Programs           int
	Cost               float64
	ForecastDemand     float64
	NewProgramCapacity float64
	ExpectedStarts     float64
	// MemoryLevel is set for a new program while the memory of the engines does not suffice for
	// all, and NoMemory if it is rejected for that.
	MemoryLevel *MemoryLevel
	NoMemory    bool
}

// String describes the inputs of the decision for a log.
func (d Decision) String() string {
	if d.NoMemory {
		return fmt.Sprintf("%s, the level is %d ms old", d.MemoryLevel, d.TotalsAge.Milliseconds())
	}
	text := fmt.Sprintf("bucket level %.1f, rate %g/s, burst %g, totals are %d ms old, disconnected %t",
		d.Level, d.Limit.RatePerSecond, d.Limit.Burst, d.TotalsAge.Milliseconds(), d.Disconnected)
	if d.MaxWait > 0 {
		text += fmt.Sprintf(", covered in %d ms of at most %d", d.Wait.Milliseconds(), d.MaxWait.Milliseconds())
	}
	if d.Priority == NewProgram {
		text += fmt.Sprintf(", %d active programs and a new one of %.1f requests have a forecast demand of %.1f, capacity for %.1f new programs of %.1f expected", d.Programs, d.Cost, d.ForecastDemand, d.NewProgramCapacity, d.ExpectedStarts)
	}
	return text
}

// Admit decides on a request and, if it is admitted, takes it from the account's
// token bucket. An account without a limit is always admitted.
func (g *Gateway) Admit(now time.Time, request Request) Decision {
	var level *MemoryLevel
	priority := g.programs.priority(now, request.Program, request.IsTurn, request.HasPrevious)
	if priority == NewProgram {
		d, admitted := Decision{Priority: priority, TotalsAge: now.Sub(g.lastAnswer)}, false
		if level, admitted = g.decideMemory(now, &d, request); !admitted {
			return d
		}
	}
	d := g.admitRate(now, request, priority)
	d.setLevel(level)
	if d.Admitted {
		if level != nil {
			level.Free--
		}
		g.programs.requestStarted(now, request)
	}
	return d
}

// admitRate decides whether the token bucket of the account covers a request.
func (g *Gateway) admitRate(now time.Time, request Request, priority Priority) Decision {
	limit, limited := g.limits(request.Program.Account)
	if !limited || limit.RatePerSecond <= 0 {
		return Decision{Admitted: true}
	}
	g.checkSilence(now)
	b := g.currentBucket(now, request.Program.Account, limit)
	d := Decision{
		Level: b.level, Limit: limit, TotalsAge: now.Sub(g.lastAnswer), Disconnected: g.disconnected,
		Priority: priority,
	}
	if d.Priority == NewProgram {
		d.RetryAfter = request.startRetryAfter()
		g.decideNew(now, &d, request, b)
	} else {
		g.decideActive(now, &d, request, b)
	}
	if d.Admitted || d.Priority != NewProgram {
		b.attempts++
		b.ownAttempts.add(now, 1)
	}
	if d.Admitted {
		b.take()
	}
	return d
}

// Ended records the end of an admitted request.
func (g *Gateway) Ended(now time.Time, program tokens.Program) { g.programs.requestEnded(now, program) }

// currentBucket returns the account's bucket as of now.
func (g *Gateway) currentBucket(now time.Time, account domain.Account, limit Limit) *bucket {
	// The last answer created the buckets of all active accounts, so a bucket that
	// is created here is full, unless no answer has been received yet.
	b := g.refill(now, account, limit, g.newBucketShare())
	if !b.levelKnown && !g.disconnected {
		b.applyLevel(b.level, limit)
	}
	return b
}

func (b *bucket) take() {
	b.level--
	if b.returned > 0 {
		b.returned--
	} else {
		b.admitted++
	}
}

// decideActive admits a plain call or a later turn if the bucket holds one request
// more than the reserve for its priority, and with the probability that the bucket covers
// what other gateways receive meanwhile. The load pattern that it answers: a program
// sends several requests at once to an empty bucket. Each rejected one may come back when
// those that were rejected before it have been served, so that they do not meet again.
func (g *Gateway) decideActive(now time.Time, d *Decision, request Request, b *bucket) {
	reserve := min(maxLaterTurnReserve, reserveFractions[d.Priority]*b.capacity)
	required := min(b.capacity, 1+reserve)
	expected := g.expectedUnseen(now, d, b)
	if d.Admitted = b.level >= required && g.rand.Float64()*expected <= b.level+d.Limit.Unseen; d.Admitted {
		return
	}
	missing := required - b.level + b.returning
	d.RetryAfter = time.Duration(missing / max(g.refillRate(now, b, d.Limit), d.Limit.RatePerSecond*g.trafficFraction(b)) * float64(time.Second))
	if d.Admitted = b.level < required && g.reserve(d, b, request, required); !d.Admitted {
		b.returning++
	}
}

// expectedUnseen returns the number of requests that the other gateways are expected to
// receive until this one sees them in its totals. Those of active programs are part of the
// level that their starts required, while the totals are recent.
func (g *Gateway) expectedUnseen(now time.Time, d *Decision, b *bucket) float64 {
	others := b.attemptsPerSecond * (1 - g.trafficFraction(b))
	if d.TotalsAge <= startVisibleAfter {
		others = max(0, others-b.demand)
	}
	if d.TotalsAge > unseenPeriod {
		others = max(others, g.extrapolatedAttempts(now, b))
	}
	return others * max(unseenPeriod, d.TotalsAge).Seconds()
}

// extrapolatedAttempts returns the requests a second that the other gateways receive if each
// of them receives as many as this one. The load pattern that it answers: the demand of an
// account rises while there is no leader, so that no total has the rise.
func (g *Gateway) extrapolatedAttempts(now time.Time, b *bucket) float64 {
	return b.ownAttempts.perSecond(now) * float64(g.gateways-1)
}

// decideNew admits a new program if enough remains for the active ones. The load pattern
// that it answers: many programs of an account start at many gateways at once. The
// gateways decide from the same level until the starts of the others are part of the
// totals. An attempt is therefore admitted with a probability: the capacity for new
// programs divided by the number of attempts expected until then.
func (g *Gateway) decideNew(now time.Time, d *Decision, request Request, b *bucket) {
	g.forecast(now, d, request, b)
	required := 1 + reserveFractions[NewProgram]*b.capacity + d.ForecastDemand
	d.NewProgramCapacity = 1 + (b.level-required)/d.Cost
	d.ExpectedStarts = max(1, b.startsPerSecond*max(startVisibleAfter, d.TotalsAge).Seconds())
	b.startAttempts++
	attempts := d.ExpectedStarts
	if b.level >= contendedFraction*b.capacity {
		attempts /= uncontendedDivisor
		if b.level >= b.capacity-1 {
			// The account has no other traffic, so one program may start even if its
			// demand exceeds the burst.
			d.NewProgramCapacity = max(1, d.NewProgramCapacity)
		}
	}
	d.Admitted = d.NewProgramCapacity >= 1 && g.rand.Float64()*attempts <= d.NewProgramCapacity
	if d.Admitted {
		b.startedCost += d.Cost
	}
}

// forecast sets the number of the account's active programs, and the demand of
// these programs and one more that exceeds the refill of the bucket. Programs that
// this gateway started after the last total are not part of it yet.
func (g *Gateway) forecast(now time.Time, d *Decision, request Request, b *bucket) {
	d.Cost = g.costOf(request.Kind)
	needed := d.Cost + b.startedCost - b.startedAcknowledged
	gained := d.Limit.RatePerSecond
	if g.disconnected {
		d.Programs, gained = g.programs.active[request.Program.Account], g.refillRate(now, b, d.Limit)
		needed = float64(d.Programs+1) * d.Cost
	} else {
		d.Programs = b.programs
		needed += b.activeDemand(d.Cost, d.Limit)
	}
	d.ForecastDemand = max(0, needed-gained*forecastSpan.Seconds())
}

// costOf returns the number of requests that a new program of the kind is expected to
// send within forecastSpan.
func (g *Gateway) costOf(kind ProgramKind) float64 {
	if k, ok := g.kinds[kind]; ok {
		return max(1, k.Cost)
	}
	return defaultProgramRate * forecastSpan.Seconds()
}
