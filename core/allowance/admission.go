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
	// contendedPart is the part of a full bucket below which the gateways share the
	// room for new programs. Above it there is room for what all of them begin
	// until their next reports.
	contendedPart = 0.9
	// beginRetryPart is the part of the time that is left to a program, as a divisor,
	// after which its caller may try to begin it again. A caller tries a few times,
	// so a program begins in time for its aim or not at all: one that begins late
	// uses as much of the allowance as one that ends in time.
	beginRetryPart = 12
	// minBeginRetry and maxBeginRetry bound that time. The first one is also told
	// when the time left is unknown.
	minBeginRetry = 50 * time.Millisecond
	maxBeginRetry = time.Second
)

// reserves are the parts of the burst that a request leaves to those with more
// to lose. What programs under way will need is kept besides for them.
var reserves = map[Standing]float64{Begins: 0.3, Continues: 0.1, Calls: 0}

// Ask is one request that wants to be admitted.
type Ask struct {
	// Program has an empty name for a request of no program.
	Program tokens.Program
	// IsTurn says that the request is a turn, HasPrevious that it continues one.
	IsTurn, HasPrevious bool
	// TimeLeft is the time after which the program should have ended; 0 is unknown.
	TimeLeft time.Duration
}

// beginRetry is when the caller of a program that may not begin tries again.
func (a Ask) beginRetry() time.Duration {
	return max(minBeginRetry, min(maxBeginRetry, a.TimeLeft/beginRetryPart))
}

// Decision is the outcome of Admit with what decided it.
type Decision struct {
	Admitted bool
	// Retry is the time until another attempt can succeed.
	Retry time.Duration
	// Level is what the bucket holds, Limit the account's allowance.
	Level float64
	Limit Limit
	// Age is the time since the last totals; Alone says that the gateway uses only
	// its own fraction of the rate.
	Age   time.Duration
	Alone bool
	// Standing is what a refusal loses. Programs is the number of programs of the
	// account that are under way, Needs what they are taken to need of the bucket
	// beyond what it gains, Room the number of programs that may begin until the
	// next answer, and Expected the number of attempts until then; they are known for
	// new programs only.
	Standing Standing
	Programs int
	Needs    float64
	Room     float64
	Expected float64
}

// String describes the inputs for a log.
func (d Decision) String() string {
	text := fmt.Sprintf("bucket holds %.1f, rate %g/s, burst %g, totals are %d ms old, alone %t",
		d.Level, d.Limit.RatePerSecond, d.Limit.Burst, d.Age.Milliseconds(), d.Alone)
	if d.Standing == Begins {
		text += fmt.Sprintf(", %d programs under way need %.1f, room for %.1f new ones of %.1f expected", d.Programs, d.Needs, d.Room, d.Expected)
	}
	return text
}

// Admit takes one request from the account's bucket.
func (g *Gateway) Admit(now time.Time, ask Ask) Decision {
	limit, limited := g.limits(ask.Program.Account)
	if !limited || limit.RatePerSecond <= 0 {
		g.programs.began(now, ask.Program)
		return Decision{Admitted: true}
	}
	g.checkSilence(now)
	b := g.current(now, ask.Program.Account, limit)
	d := Decision{
		Level: b.level, Limit: limit, Age: now.Sub(g.answered), Alone: g.alone,
		Standing: g.programs.standing(now, ask.Program, ask.IsTurn, ask.HasPrevious),
	}
	if d.Standing == Begins {
		d.Retry = ask.beginRetry()
		g.decideNew(&d, ask.Program.Account, b)
	} else {
		g.decideUnderWay(&d, b)
	}
	if d.Admitted {
		b.take()
		g.programs.began(now, ask.Program)
	}
	return d
}

// Ended reports the end of an admitted request.
func (g *Gateway) Ended(now time.Time, program tokens.Program) { g.programs.ended(now, program) }

// current returns the account's bucket as of now.
func (g *Gateway) current(now time.Time, account domain.Account, limit Limit) *bucket {
	// Active accounts have a bucket since the last answer, so a new one here is
	// full, unless no answer has come.
	share := 1.0
	if g.alone {
		share = 1 / float64(g.gateways)
	}
	b := g.fill(now, account, limit, share)
	b.estimated = b.estimated || !g.alone
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

// decideUnderWay admits a plain call or a program's later turn while the bucket
// holds more than its reserve.
func (g *Gateway) decideUnderWay(d *Decision, b *bucket) {
	least := min(b.capacity, 1+reserves[d.Standing]*b.capacity)
	d.Admitted = b.level >= least
	d.Retry = time.Duration((least - b.level) / g.usableRate(b, d.Limit) * float64(time.Second))
}

// decideNew admits a new program when enough remains for those under way. The
// other gateways decide from the same level until the next reports, so each attempt
// succeeds with the chance that there is room for all that are expected until then.
func (g *Gateway) decideNew(d *Decision, account domain.Account, b *bucket) {
	g.forecast(d, account, b)
	least := 1 + reserves[Begins]*b.capacity + d.Needs
	d.Room = (b.level-least)/(g.programs.rate()*forecastSpan.Seconds()) - float64(b.begun)
	d.Expected = max(1, b.startsPerSecond*ReportInterval.Seconds())
	b.starts++
	switch {
	case b.level >= b.capacity-1:
		// A full bucket admits any program: its account sends nothing else.
		d.Admitted = true
	case b.level >= contendedPart*b.capacity:
		d.Admitted = b.level >= least
	default:
		d.Admitted = g.rand.Float64()*d.Expected <= d.Room
	}
	if d.Admitted {
		b.begun++
	}
}

// forecast sets the number of the account's programs that are under way and what
// they and one more will take from the bucket beyond what it gains.
func (g *Gateway) forecast(d *Decision, account domain.Account, b *bucket) {
	d.Programs = g.programs.underWay[account]
	gained := d.Limit.RatePerSecond
	if g.alone {
		gained = g.usableRate(b, d.Limit)
	} else {
		d.Programs += b.otherPrograms
	}
	needed := float64(d.Programs+1) * g.programs.rate()
	d.Needs = max(0, (needed-gained)*forecastSpan.Seconds())
}
