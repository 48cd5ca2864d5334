package allowance

import (
	"hash/fnv"
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
)

// ProgramKind identifies the programs of one route; it is a hash of the route's name. Programs
// of one kind have a similar demand.
type ProgramKind uint32

// ProgramKindOf returns the kind of the programs whose turns use a route.
func ProgramKindOf(route string) ProgramKind {
	return ProgramKind(hash32(route))
}

// ProgramHash identifies a program in reports. Two programs with the same hash count as
// one, which is rare and changes only a forecast or a priority.
type ProgramHash uint32

func hashOf(program tokens.Program) ProgramHash {
	h := fnv.New32a()
	h.Write([]byte(program.Account))
	h.Write([]byte{0})
	h.Write([]byte(program.Name))
	return ProgramHash(h.Sum32())
}

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
	kind     ProgramKind
	// unreported is the number of admitted requests since the last report.
	unreported int
	// memory is the use of the memory of engines since the last report, or nil.
	memory *ProgramMemory
}

// isActive reports whether the program has a request in flight or ended one within
// maxPause.
func (u *programState) isActive(now time.Time) bool {
	return u.inFlight > 0 || now.Sub(u.ended) < maxPause
}

// programTracker tracks the programs that a gateway serves.
type programTracker struct {
	states map[tokens.Program]*programState
	// active is the number of active programs of each account at the last update,
	// plus those that became active since.
	active map[domain.Account]int
	// announced holds the programs that other gateways have started, in two generations
	// of programRetention each. announcedSince is the start of the first one.
	announced      [2]map[ProgramHash]bool
	announcedSince time.Time
}

func newProgramTracker() *programTracker {
	return &programTracker{states: map[tokens.Program]*programState{}, active: map[domain.Account]int{}}
}

// announce records programs that were started at any gateway.
func (p *programTracker) announce(now time.Time, hashes []ProgramHash) {
	if now.Sub(p.announcedSince) >= programRetention || len(p.announced[0]) >= maxPrograms {
		p.announced[0], p.announced[1] = map[ProgramHash]bool{}, p.announced[0]
		p.announcedSince = now
	}
	for _, h := range hashes {
		p.announced[0][h] = true
	}
}

// hasStarted reports whether any gateway is known to have admitted a request of the
// program. The load pattern that it answers: in a large fleet nearly every turn of a
// program reaches a gateway that has not seen the program before.
func (p *programTracker) hasStarted(now time.Time, program tokens.Program) bool {
	if u := p.states[program]; u != nil && (u.inFlight > 0 || now.Sub(u.ended) < programRetention) {
		return true
	}
	hash := hashOf(program)
	return p.announced[0][hash] || p.announced[1][hash]
}

// priority returns the admission priority of a request. hasPrevious is true for a turn
// that continues an earlier one, which another gateway may have served.
func (p *programTracker) priority(now time.Time, program tokens.Program, isTurn, hasPrevious bool) Priority {
	if program.Name == "" || !isTurn {
		return PlainCall
	}
	if hasPrevious || p.hasStarted(now, program) {
		return LaterTurn
	}
	return NewProgram
}

// requestStarted records the start of an admitted request.
func (p *programTracker) requestStarted(now time.Time, request Request) {
	program, kind := request.Program, request.Kind
	if program.Name == "" {
		return
	}
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
	u.unreported++
	u.addTurn(request.Memory)
	if kind != 0 {
		u.kind = kind
	}
}

// requestEnded records the end of an admitted request.
func (p *programTracker) requestEnded(now time.Time, program tokens.Program) {
	if u := p.states[program]; u != nil {
		u.inFlight = max(0, u.inFlight-1)
		u.ended = now
	}
}

// update recounts the active programs and removes expired ones.
func (p *programTracker) update(now time.Time) {
	clear(p.active)
	for program, u := range p.states {
		switch {
		case u.isActive(now):
			p.active[program.Account]++
		case now.Sub(u.ended) >= programRetention:
			delete(p.states, program)
		}
	}
}

// activities returns the programs of each account that had a request since the last
// report.
func (p *programTracker) activities() map[domain.Account][]Activity {
	out := map[domain.Account][]Activity{}
	for program, u := range p.states {
		if u.inFlight == 0 && u.unreported == 0 {
			continue
		}
		out[program.Account] = append(out[program.Account], Activity{Program: hashOf(program), Kind: u.kind, Requests: u.unreported, Memory: u.memory})
		u.unreported, u.memory = 0, nil
	}
	return out
}
