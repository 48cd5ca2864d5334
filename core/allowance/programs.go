package allowance

import (
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/tokens"
)

const (
	// programKnownFor is the time after its last request for which a program
	// counts as known. Tool pauses are shorter.
	programKnownFor = 10 * time.Second
	// programLimit bounds the remembered programs.
	programLimit = 20_000
	// pauseAtMost is the pause after a request within which a program under way
	// sends its next one. On the days measured 99 in 100 pauses were shorter.
	pauseAtMost = 350 * time.Millisecond
	// usualProgramRate is the number of requests a second of one program that is
	// assumed until enough programs were seen. Turns last some hundred
	// milliseconds and have about one tool call each.
	usualProgramRate = 8.0
	// usualWeight is the time of one program, in seconds, that the assumed rate
	// weighs.
	usualWeight = 5.0
	// rateMemory is the time over which the measured rate of programs fades. It
	// spans many programs and still follows a change of the workload.
	rateMemory = 15 * time.Second
)

// Standing says what is lost when a request is refused.
type Standing int

// The standings.
const (
	// Begins is the first request of a program: nothing was spent on it yet.
	Begins Standing = iota
	// Continues is a later turn of a program. Its caller sends it again some times.
	Continues
	// Calls is a plain call. A program ends when one of its calls is refused, and
	// all that it received is wasted.
	Calls
)

// programUse is what a gateway knows of one program.
type programUse struct {
	inFlight int
	ended    time.Time
}

func (u *programUse) underWay(now time.Time) bool {
	return u.inFlight > 0 || now.Sub(u.ended) < pauseAtMost
}

// programs knows which programs a gateway serves and how many requests a
// program sends. Both forecast what the programs under way will need.
type programs struct {
	known map[tokens.Program]*programUse
	// underWay counts the programs of each account that are under way, as of the
	// last count and with those that began since.
	underWay map[domain.Account]int
	// requests and seconds fade; their ratio is the rate of one program.
	requests, seconds float64
	counted           time.Time
}

func newPrograms(now time.Time) *programs {
	return &programs{known: map[tokens.Program]*programUse{}, underWay: map[domain.Account]int{}, counted: now}
}

// standing says what a refusal of a program's request loses. hasPrevious is true
// for a turn that continues another one, which may have come to another gateway.
func (p *programs) standing(now time.Time, program tokens.Program, isTurn, hasPrevious bool) Standing {
	if program.Name == "" || !isTurn {
		return Calls
	}
	u := p.known[program]
	if hasPrevious || (u != nil && (u.inFlight > 0 || now.Sub(u.ended) < programKnownFor)) {
		return Continues
	}
	return Begins
}

// began counts an admitted request.
func (p *programs) began(now time.Time, program tokens.Program) {
	if program.Name == "" {
		return
	}
	p.requests++
	u := p.known[program]
	if u == nil {
		if len(p.known) >= programLimit {
			return
		}
		u = &programUse{}
		p.known[program] = u
	}
	if !u.underWay(now) {
		p.underWay[program.Account]++
	}
	u.inFlight++
}

// ended counts the end of an admitted request.
func (p *programs) ended(now time.Time, program tokens.Program) {
	if u := p.known[program]; u != nil {
		u.inFlight = max(0, u.inFlight-1)
		u.ended = now
	}
}

// count brings the number of programs under way up to date.
func (p *programs) count(now time.Time) {
	seconds := now.Sub(p.counted).Seconds()
	fade := max(0, 1-seconds/rateMemory.Seconds())
	p.counted = now
	total := 0
	clear(p.underWay)
	for program, u := range p.known {
		switch {
		case u.underWay(now):
			p.underWay[program.Account]++
			total++
		case now.Sub(u.ended) >= programKnownFor:
			delete(p.known, program)
		}
	}
	p.requests *= fade
	p.seconds = p.seconds*fade + seconds*float64(total)
}

// rate is the number of requests a second that a program under way sends. It is
// measured over the programs of all accounts, because refusals lower the rate of
// an account at its limit.
func (p *programs) rate() float64 {
	return (p.requests + usualWeight*usualProgramRate) / (p.seconds + usualWeight)
}
