package allowance

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/tokens"
)

// simulatedProgram is one program: requests turns, each sent pause after the one before.
type simulatedProgram struct {
	request   Request
	gateway   int
	remaining int
	next      time.Time
	started   time.Time
	answered  bool
	// refusals counts those in a row.
	refusals int
}

const (
	programRequests = 10
	programPause    = 100 * time.Millisecond
	// programDeadline is the time in which a program should end: half as long again as
	// it takes.
	programDeadline = programRequests * programPause * 3 / 2
	// callerRetry is when a caller sends a refused request again at the earliest.
	callerRetry = 100 * time.Millisecond
	// maxRefusals is the number of refusals after which a caller gives up.
	maxRefusals = 6
)

// programStats is what became of offered programs.
type programStats struct {
	admitted int
	// refused counts the requests refused to programs under way.
	refused int
	// offered, started, ended and onTime count programs.
	offered, started, ended, onTime int
}

// runPrograms offers programs at a rate.
func (f *fleet) runPrograms(d time.Duration, perSecond float64) (w programStats) {
	var list []*simulatedProgram
	names := 0
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(tick) {
		f.report()
		for range f.arrivals(perSecond * tick.Seconds()) {
			names++
			w.offered++
			list = append(list, &simulatedProgram{request: firstTurn(names), gateway: f.rand.IntN(len(f.gateways)), remaining: programRequests, next: f.now, started: f.now})
		}
		for _, p := range list {
			if p.remaining == 0 || f.now.Before(p.next) {
				continue
			}
			f.send(p, &w)
		}
	}
	return w
}

func (f *fleet) send(p *simulatedProgram, w *programStats) {
	g := f.gateways[p.gateway]
	p.request.TimeLeft = p.started.Add(programDeadline).Sub(f.now)
	d := g.Admit(f.now, p.request)
	if d.Admitted {
		g.Ended(f.now, p.request.Program)
		w.admitted++
		if !p.answered {
			w.started++
		}
		p.remaining, p.next, p.answered, p.refusals = p.remaining-1, f.now.Add(programPause), true, 0
		if p.remaining == 0 {
			w.ended++
			if f.now.Sub(p.started) <= programDeadline {
				w.onTime++
			}
		}
		return
	}
	if p.answered {
		w.refused++
	}
	p.next = f.now.Add(max(callerRetry, d.RetryAfter))
	p.refusals++
	if p.refusals == maxRefusals {
		p.remaining = 0
	}
}

// Guards against an account above its rate that begins more programs than it can
// serve: then programs under way are refused, and what they received is wasted.
// It must still use its rate.
func TestActiveProgramsAreServed(t *testing.T) {
	atLimit := Limit{RatePerSecond: 40, Burst: 50}
	for seed := range uint64(5) {
		f := newFleet(6, seed)
		for i := range f.gateways {
			f.gateways[i] = NewGateway(func(domain.Account) (Limit, bool) { return atLimit, true }, f.rand, f.now)
		}
		f.runPrograms(3*time.Second, 2)
		const seconds = 20
		w := f.runPrograms(seconds*time.Second, 8)
		must.GreaterEq(t, int(0.8*atLimit.RatePerSecond*seconds), w.admitted, must.Sprintf("seed %d: %+v", seed, w))
		must.GreaterEq(t, w.started*8/10, w.onTime, must.Sprintf("seed %d: %+v", seed, w))
	}
}

// Guards against a large fleet in which the programs of a small account find no
// room, because each gateway has hardly any part of it. The programs need half of
// the rate.
func TestSmallAccountInLargeFleetStartsPrograms(t *testing.T) {
	small := Limit{RatePerSecond: 20, Burst: 30}
	for seed := range uint64(5) {
		f := newFleet(60, seed)
		for i := range f.gateways {
			f.gateways[i] = NewGateway(func(domain.Account) (Limit, bool) { return small, true }, f.rand, f.now)
		}
		f.run(time.Second, 1)
		w := f.runPrograms(30*time.Second, 1)
		must.GreaterEq(t, w.offered*9/10, w.onTime, must.Sprintf("seed %d: %+v", seed, w))
	}
}

// Guards against an account whose burst is smaller than the forecast of a single
// program, which could then never begin one.
func TestSmallAccountStartsPrograms(t *testing.T) {
	now := time.Unix(1000, 0)
	small := Limit{RatePerSecond: 1, Burst: 2}
	g := NewGateway(func(domain.Account) (Limit, bool) { return small, true }, fixedRand(), now)
	g.ApplyTotals(now, Totals{Origin: "1", Gateways: 6})
	must.True(t, g.Admit(now, firstTurn(1)).Admitted)
}

// Guards against programs that count as under way after they have ended, which
// would refuse new ones for good.
func TestEndedProgramsAreRemoved(t *testing.T) {
	now := time.Unix(1000, 0)
	p := newProgramTracker(now)
	program := tokens.Program{Account: "a", Name: "p"}
	p.requestStarted(now, program)
	p.update(now.Add(time.Minute))
	must.Eq(t, 1, p.active["a"])
	p.requestEnded(now.Add(time.Minute), program)
	p.update(now.Add(time.Minute + 2*maxPause))
	must.Eq(t, 0, p.active["a"])
	must.Eq(t, LaterTurn, p.priority(now.Add(time.Minute+2*maxPause), program, true, false))
	p.update(now.Add(2 * time.Minute))
	must.MapEmpty(t, p.states)
}
