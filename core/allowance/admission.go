package allowance

import (
	"fmt"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/tokens"
)

const (
	// forecastSpan is the time for which a new program must leave enough to those
	// under way. Most programs take about a second.
	forecastSpan = time.Second
	// contendedFraction is the part of a full bucket below which the gateways share the
	// room for new programs. Above it there is room for what all of them begin
	// until their next reports.
	contendedFraction = 0.9
	// startRetryDivisor is the part of the time that is left to a program, as a divisor,
	// after which its caller may try to begin it again. A caller tries a few times,
	// so a program begins in time for its aim or not at all: one that begins late
	// uses as much of the allowance as one that ends in time.
	startRetryDivisor = 12
	// minStartRetry and maxBeginRetry bound that time. The first one is also told
	// when the time left is unknown.
	minStartRetry = 50 * time.Millisecond
	maxStartRetry = time.Second
)

// reserveFractions are the parts of the burst that a request leaves to those with more
// to lose. What programs under way will need is kept besides for them.
var reserveFractions = map[Priority]float64{NewProgram: 0.3, LaterTurn: 0.1, PlainCall: 0}

// Request is one request that wants to be admitted.
type Request struct {
	// Program has an empty name for a request of no program.
	Program tokens.Program
	// IsTurn says that the request is a turn, HasPrevious that it continues one.
	IsTurn, HasPrevious bool
	// TimeLeft is the time after which the program should have ended; 0 is unknown.
	TimeLeft time.Duration
}

// startRetryAfter is when the caller of a program that may not begin tries again.
func (r Request) startRetryAfter() time.Duration {
	return max(minStartRetry, min(maxStartRetry, r.TimeLeft/startRetryDivisor))
}

// Decision is the outcome of Admit with what decided it.
type Decision struct {
	Admitted bool
	// RetryAfter is the time until another attempt can succeed.
	RetryAfter time.Duration
	// Level is what the bucket holds, Limit the account's allowance.
	Level float64
	Limit Limit
	// TotalsAge is the time since the last totals; Alone says that the gateway uses only
	// its own fraction of the rate.
	TotalsAge    time.Duration
	Disconnected bool
	// Priority is what a refusal loses. Programs is the number of programs of the
	// account that are under way, Needs what they are taken to need of the bucket
	// beyond what it gains, Room the number of programs that may begin until the
	// next answer, and Expected the number of attempts until then; they are known for
	// new programs only.
	Priority           Priority
	Programs           int
	ForecastDemand     float64
	NewProgramCapacity float64
	ExpectedStarts     float64
}

// String describes the inputs for a log.
func (d Decision) String() string {
	text := fmt.Sprintf("bucket holds %.1f, rate %g/s, burst %g, totals are %d ms old, alone %t",
		d.Level, d.Limit.RatePerSecond, d.Limit.Burst, d.TotalsAge.Milliseconds(), d.Disconnected)
	if d.Priority == NewProgram {
		text += fmt.Sprintf(", %d programs under way need %.1f, room for %.1f new ones of %.1f expected", d.Programs, d.ForecastDemand, d.NewProgramCapacity, d.ExpectedStarts)
	}
	return text
}

// Admit takes one request from the account's bucket.
func (g *Gateway) Admit(now time.Time, request Request) Decision {
	limit, limited := g.limits(request.Program.Account)
	if !limited || limit.RatePerSecond <= 0 {
		g.programs.requestStarted(now, request.Program)
		return Decision{Admitted: true}
	}
	g.checkSilence(now)
	b := g.currentBucket(now, request.Program.Account, limit)
	d := Decision{
		Level: b.level, Limit: limit, TotalsAge: now.Sub(g.lastAnswer), Disconnected: g.disconnected,
		Priority: g.programs.priority(now, request.Program, request.IsTurn, request.HasPrevious),
	}
	if d.Priority == NewProgram {
		d.RetryAfter = request.startRetryAfter()
		g.decideNew(&d, request.Program.Account, b)
	} else {
		g.decideActive(&d, b)
	}
	if d.Admitted {
		b.take()
		g.programs.requestStarted(now, request.Program)
	}
	return d
}

// Ended reports the end of an admitted request.
func (g *Gateway) Ended(now time.Time, program tokens.Program) { g.programs.requestEnded(now, program) }

// currentBucket returns the account's bucket as of now.
func (g *Gateway) currentBucket(now time.Time, account domain.Account, limit Limit) *bucket {
	// Active accounts have a bucket since the last answer, so a new one here is
	// full, unless no answer has come.
	share := 1.0
	if g.disconnected {
		share = 1 / float64(g.gateways)
	}
	b := g.refill(now, account, limit, share)
	b.estimated = b.estimated || !g.disconnected
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

// decideActive admits a plain call or a program's later turn while the bucket
// holds more than its reserve.
func (g *Gateway) decideActive(d *Decision, b *bucket) {
	least := min(b.capacity, 1+reserveFractions[d.Priority]*b.capacity)
	d.Admitted = b.level >= least
	d.RetryAfter = time.Duration((least - b.level) / g.refillRate(b, d.Limit) * float64(time.Second))
}

// decideNew admits a new program when enough remains for those under way. The
// other gateways decide from the same level until the next reports, so each attempt
// succeeds with the chance that there is room for all that are expected until then.
func (g *Gateway) decideNew(d *Decision, account domain.Account, b *bucket) {
	g.forecast(d, account, b)
	least := 1 + reserveFractions[NewProgram]*b.capacity + d.ForecastDemand
	d.NewProgramCapacity = (b.level-least)/(g.programs.requestRate()*forecastSpan.Seconds()) - float64(b.startedPrograms)
	d.ExpectedStarts = max(1, b.startsPerSecond*ReportInterval.Seconds())
	b.startAttempts++
	switch {
	case b.level >= b.capacity-1:
		// A full bucket admits any program: its account sends nothing else.
		d.Admitted = true
	case b.level >= contendedFraction*b.capacity:
		d.Admitted = b.level >= least
	default:
		d.Admitted = g.rand.Float64()*d.ExpectedStarts <= d.NewProgramCapacity
	}
	if d.Admitted {
		b.startedPrograms++
	}
}

// forecast sets the number of the account's programs that are under way and what
// they and one more will take from the bucket beyond what it gains.
func (g *Gateway) forecast(d *Decision, account domain.Account, b *bucket) {
	d.Programs = g.programs.active[account]
	gained := d.Limit.RatePerSecond
	if g.disconnected {
		gained = g.refillRate(b, d.Limit)
	} else {
		d.Programs += b.otherPrograms
	}
	needed := float64(d.Programs+1) * g.programs.requestRate()
	d.ForecastDemand = max(0, (needed-gained)*forecastSpan.Seconds())
}
