package allowance

import (
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/tokens"
)

const (
	// programRetention is the time for which a program is remembered after its last
	// request. Pauses for tool calls are shorter.
	programRetention = 10 * time.Second
	// maxPrograms bounds the remembered programs.
	maxPrograms = 20_000
	// maxPause is the time after a request for which a program still counts as
	// active. 99% of the pauses between two requests of a program are shorter.
	maxPause = 350 * time.Millisecond
	// defaultProgramRate is the assumed rate of one program, in requests a second,
	// until enough programs were observed. A turn lasts some hundred milliseconds
	// and has about one tool call.
	defaultProgramRate = 8.0
	// defaultRateWeightSeconds is the weight of the assumed rate in the average, in
	// seconds of one program.
	defaultRateWeightSeconds = 5.0
	// rateDecayPeriod is the time over which the measured rate of programs decays. It
	// spans many programs and still follows a change of the workload.
	rateDecayPeriod = 15 * time.Second
)

// Priority is the admission priority of a request. It increases with the work that is
// lost if the request is rejected.
type Priority int

// Priorities in ascending order.
const (
	// NewProgram is the first request of a program, on which no work was spent yet.
	NewProgram Priority = iota
	// LaterTurn is a later turn of a program. Its caller retries it a few times.
	LaterTurn
	// PlainCall is a plain call. A program ends if one of its calls is rejected, and
	// all its work is lost.
	PlainCall
)

// programState holds the activity of one program at the gateway.
type programState struct {
	inFlight int
	ended    time.Time
}

// isActive reports whether the program has a request in flight or ended one within
// maxPause.
func (u *programState) isActive(now time.Time) bool {
	return u.inFlight > 0 || now.Sub(u.ended) < maxPause
}

// programTracker tracks the programs that a gateway serves and the request rate of a
// program. Both are used to forecast the demand of the active programs.
type programTracker struct {
	states map[tokens.Program]*programState
	// active is the number of active programs of each account at the last update,
	// plus those that became active since.
	active map[domain.Account]int
	// requests and seconds decay over rateDecayPeriod. Their ratio is the request
	// rate of one program.
	requests, seconds float64
	updated           time.Time
}

func newProgramTracker(now time.Time) *programTracker {
	return &programTracker{states: map[tokens.Program]*programState{}, active: map[domain.Account]int{}, updated: now}
}

// priority returns the admission priority of a request. hasPrevious is true for a turn
// that continues an earlier one, which another gateway may have served.
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

// requestStarted records the start of an admitted request.
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

// requestEnded records the end of an admitted request.
func (p *programTracker) requestEnded(now time.Time, program tokens.Program) {
	if u := p.states[program]; u != nil {
		u.inFlight = max(0, u.inFlight-1)
		u.ended = now
	}
}

// update recounts the active programs, removes expired ones and decays the rate.
func (p *programTracker) update(now time.Time) {
	seconds := now.Sub(p.updated).Seconds()
	decay := max(0, 1-seconds/rateDecayPeriod.Seconds())
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
	p.requests *= decay
	p.seconds = p.seconds*decay + seconds*float64(total)
}

// requestRate returns the number of requests a second that an active program sends. It
// is measured over the programs of all accounts, because rejections lower the rate of
// an account at its limit.
func (p *programTracker) requestRate() float64 {
	return (p.requests + defaultRateWeightSeconds*defaultProgramRate) / (p.seconds + defaultRateWeightSeconds)
}
