package allowance

import (
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/tokens"
)

const (
	// programRetention is the time after its last request for which a program
	// counts as known. Tool pauses are shorter.
	programRetention = 10 * time.Second
	// maxPrograms bounds the remembered programs.
	maxPrograms = 20_000
	// maxPause is the pause after a request within which a program under way
	// sends its next one. On the days measured 99 in 100 pauses were shorter.
	maxPause = 350 * time.Millisecond
	// defaultProgramRate is the number of requests a second of one program that is
	// assumed until enough programs were seen. Turns last some hundred
	// milliseconds and have about one tool call each.
	defaultProgramRate = 8.0
	// defaultRateWeightSeconds is the time of one program, in seconds, that the assumed rate
	// weighs.
	defaultRateWeightSeconds = 5.0
	// rateDecayPeriod is the time over which the measured rate of programs fades. It
	// spans many programs and still follows a change of the workload.
	rateDecayPeriod = 15 * time.Second
)

// Priority says what is lost when a request is refused.
type Priority int

// The standings.
const (
	// NewProgram is the first request of a program: nothing was spent on it yet.
	NewProgram Priority = iota
	// LaterTurn is a later turn of a program. Its caller sends it again some times.
	LaterTurn
	// PlainCall is a plain call. A program ends when one of its calls is refused, and
	// all that it received is wasted.
	PlainCall
)

// programState is what a gateway knows of one program.
type programState struct {
	inFlight int
	ended    time.Time
}

func (u *programState) isActive(now time.Time) bool {
	return u.inFlight > 0 || now.Sub(u.ended) < maxPause
}

// programTracker knows which programTracker a gateway serves and how many requests a
// program sends. Both forecast what the programTracker under way will need.
type programTracker struct {
	states map[tokens.Program]*programState
	// active counts the programs of each account that are under way, as of the
	// last count and with those that began since.
	active map[domain.Account]int
	// requests and seconds fade; their ratio is the rate of one program.
	requests, seconds float64
	updated           time.Time
}

func newProgramTracker(now time.Time) *programTracker {
	return &programTracker{states: map[tokens.Program]*programState{}, active: map[domain.Account]int{}, updated: now}
}

// priority says what a refusal of a program's request loses. hasPrevious is true
// for a turn that continues another one, which may have come to another gateway.
func (p *programTracker) priority(now time.Time, program tokens.Program, isTurn, hasPrevious bool) Priority {
	if program.Name == "" || !isTurn {
		return PlainCall
	}
	u := p.states[program]
	if hasPrevious || (u != nil && (u.inFlight > 0 || now.Sub(u.ended) < programRetention)) {
		return LaterTurn
	}
	return NewProgram
}

// requestStarted counts an admitted request.
func (p *programTracker) requestStarted(now time.Time, program tokens.Program) {
	if program.Name == "" {
		return
	}
	p.requests++
	u := p.states[program]
	if u == nil {
		if len(p.states) >= maxPrograms {
			return
		}
		u = &programState{}
		p.states[program] = u
	}
	if !u.isActive(now) {
		p.active[program.Account]++
	}
	u.inFlight++
}

// requestEnded counts the end of an admitted request.
func (p *programTracker) requestEnded(now time.Time, program tokens.Program) {
	if u := p.states[program]; u != nil {
		u.inFlight = max(0, u.inFlight-1)
		u.ended = now
	}
}

// update brings the number of programs under way up to date.
func (p *programTracker) update(now time.Time) {
	seconds := now.Sub(p.updated).Seconds()
	fade := max(0, 1-seconds/rateDecayPeriod.Seconds())
	p.updated = now
	total := 0
	clear(p.active)
	for program, u := range p.states {
		switch {
		case u.isActive(now):
			p.active[program.Account]++
			total++
		case now.Sub(u.ended) >= programRetention:
			delete(p.states, program)
		}
	}
	p.requests *= fade
	p.seconds = p.seconds*fade + seconds*float64(total)
}

// requestRate is the number of requests a second that a program under way sends. It is
// measured over the programs of all accounts, because refusals lower the requestRate of
// an account at its limit.
func (p *programTracker) requestRate() float64 {
	return (p.requests + defaultRateWeightSeconds*defaultProgramRate) / (p.seconds + defaultRateWeightSeconds)
}
