package tokens

import (
	"fmt"
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
)

const (
	// advanceReservationTTL is the time after which an unused advance reservation
	// expires. It begins before the write of the reservation. 95% of turns arrive within
	// 190 ms of the end of the one before; unused tokens must be released
	// within a second of it.
	advanceReservationTTL = 400 * time.Millisecond
	// advanceLapseMargin is the time after the validity of an advance reservation at which it
	// lapses at a storage VM. The record that a turn holds it has arrived by then.
	advanceLapseMargin = 400 * time.Millisecond
	// headroomTurns is the number of further turns that must fit in the budget beside
	// an advance reservation, so that it blocks no turn of another gateway.
	headroomTurns = 2
	// idleTTL is the time without a turn after which a gateway removes its share of
	// a program, and idleCheckInterval the time between two checks for such shares. A
	// later turn of the program creates a share under another writer name.
	idleTTL           = 30 * time.Second
	idleCheckInterval = 5 * time.Second
	// repairInterval is the time between two repairs of a program's shares at the storage VMs. A
	// repair guards against a loss after minutes, and most shares change again within a second.
	repairInterval = 5 * time.Second
)

// ProgramShare is a share of the budget of a program.
type ProgramShare struct {
	Program Program
	Share   Share
}

// AdvanceState is the result of an attempt to use an advance reservation.
type AdvanceState int

// Results of TakeAdvance.
const (
	// AdvanceNone means that the turn needs a reservation of its own.
	AdvanceNone AdvanceState = iota
	// AdvancePending means that the write of the advance reservation is pending.
	AdvancePending
	// AdvanceTaken means that the turn holds the reserved tokens.
	AdvanceTaken
)

type shareState struct {
	share Share
	// othersWeight is the last known weight of the shares of all other writers.
	othersWeight domain.Tokens
	// advanceConfirmed reports whether the write of the advance reservation has
	// succeeded. advanceBudget is the budget against which the reservation was
	// checked, advanceVersion is the version of the share that first included it, and
	// advanceExpires the time from which no turn may use it.
	advanceConfirmed bool
	advanceBudget    domain.Tokens
	advanceVersion   uint64
	advanceExpires   time.Time
	lastUse          time.Time
	// repairedAt is the time of the last repair of the program's shares at the storage VMs.
	repairedAt time.Time
}

type expiry struct {
	program Program
	version uint64
	at      time.Time
}

// ShareSet holds the shares of one gateway, one for each program. It is not safe for
// concurrent use.
type ShareSet struct {
	process       string
	sharesCreated uint64
	states        map[Program]*shareState
	expiries      []expiry
	// unwritten is the set of programs whose shares have changed since they were last
	// returned for a write. urgent reports whether one of the changes has to be written soon.
	unwritten     map[Program]bool
	urgent        bool
	nextIdleCheck time.Time
}

// NewShareSet returns an empty set. The process name is unique for each start.
func NewShareSet(process string) *ShareSet {
	return &ShareSet{process: process, states: map[Program]*shareState{}, unwritten: map[Program]bool{}}
}

func (s *ShareSet) state(now time.Time, p Program) *shareState {
	state := s.states[p]
	if state == nil {
		s.sharesCreated++
		state = &shareState{share: Share{Writer: fmt.Sprintf("%s.%d", s.process, s.sharesCreated)}}
		s.states[p] = state
	}
	state.lastUse = now
	return state
}

// Reserve reserves the token limit of a turn in the share and returns the share to be
// written.
func (s *ShareSet) Reserve(now time.Time, p Program, maxTokens domain.Tokens) Share {
	state := s.state(now, p)
	state.share.Reserved += maxTokens
	return s.nextVersion(p, state)
}

// nextVersion increments the version of a share and returns the share to be written.
func (s *ShareSet) nextVersion(p Program, state *shareState) Share {
	state.share.Version++
	delete(s.unwritten, p)
	return state.share
}

// TakenAdvance is an advance reservation that was assigned to a turn.
type TakenAdvance struct {
	Tokens domain.Tokens
	// Share is to be written before the caller receives any of the tokens: until then the reservation
	// may lapse, and another gateway may use them.
	Share Share
	// LapsesAt is the time before which no storage VM reports the reservation as lapsed. A write of
	// Share that was acknowledged before then is seen by every later reservation.
	LapsesAt time.Time
}

// TakeAdvance assigns the advance reservation to a turn if it covers the turn's token
// limit, was made for the same budget and has not expired.
func (s *ShareSet) TakeAdvance(now time.Time, p Program, budget, maxTokens domain.Tokens) (TakenAdvance, AdvanceState) {
	state := s.states[p]
	if state == nil || state.share.Advance < maxTokens || state.share.Advance == 0 || state.advanceBudget != budget || !now.Before(state.advanceExpires) {
		return TakenAdvance{}, AdvanceNone
	}
	if !state.advanceConfirmed {
		return TakenAdvance{}, AdvancePending
	}
	taken := state.share.Advance
	state.setAdvance(0)
	state.share.Reserved += taken
	state.lastUse = now
	return TakenAdvance{Tokens: taken, Share: s.nextVersion(p, state), LapsesAt: state.advanceExpires.Add(advanceLapseMargin)}, AdvanceTaken
}

// setAdvance sets the advance reservation of the share.
func (s *shareState) setAdvance(tokens domain.Tokens) {
	s.share.Advance, s.share.AdvanceValidity = tokens, 0
	if tokens > 0 {
		s.share.AdvanceValidity = advanceReservationTTL
	}
}

// SetOthersWeight records the weight of the shares of all other writers.
func (s *ShareSet) SetOthersWeight(p Program, weight domain.Tokens) {
	if state := s.states[p]; state != nil {
		state.othersWeight = weight
	}
}

// Finish settles a turn: it releases the reserved tokens and adds the used ones. The
// next Flush returns the change.
func (s *ShareSet) Finish(now time.Time, p Program, reserved, used domain.Tokens) {
	state := s.state(now, p)
	state.share.Reserved -= reserved
	state.share.Used += used
	s.markUnwritten(p)
}

// markUnwritten marks a share for the next Flush, which is to follow soon.
func (s *ShareSet) markUnwritten(p Program) { s.unwritten[p], s.urgent = true, true }

// ReserveAdvance makes an advance reservation for the next turn if enough headroom
// remains for other turns. It returns the share to be written and reports whether the
// reservation was made.
func (s *ShareSet) ReserveAdvance(now time.Time, p Program, budget, maxTokens domain.Tokens) (Share, bool) {
	state := s.state(now, p)
	reserved := state.share.Advance == 0 && maxTokens > 0 && state.hasHeadroom(budget, maxTokens)
	if reserved {
		state.setAdvance(maxTokens)
		state.advanceBudget, state.advanceConfirmed = budget, false
		state.advanceVersion, state.advanceExpires = state.share.Version+1, now.Add(advanceReservationTTL)
	}
	return s.nextVersion(p, state), reserved
}

func (s *shareState) hasHeadroom(budget, maxTokens domain.Tokens) bool {
	return s.share.Weight()+s.othersWeight+(1+headroomTurns)*maxTokens <= budget
}

// ConfirmAdvance completes the write of an advance reservation. The reservation is
// released if the write failed, or if the weight of the other shares no longer leaves
// the headroom.
func (s *ShareSet) ConfirmAdvance(p Program, version uint64, ok bool) {
	state := s.states[p]
	if state == nil || state.advanceVersion != version || state.share.Advance == 0 || state.advanceConfirmed {
		return
	}
	if !ok || state.share.Weight()+state.othersWeight+headroomTurns*state.share.Advance > state.advanceBudget {
		s.releaseAdvance(p, state)
		return
	}
	state.advanceConfirmed = true
	e := expiry{program: p, version: version, at: state.advanceExpires}
	i, _ := slices.BinarySearchFunc(s.expiries, e, func(a, b expiry) int { return a.at.Compare(b.at) })
	s.expiries = slices.Insert(s.expiries, i, e)
}

func (s *ShareSet) releaseAdvance(p Program, state *shareState) {
	state.setAdvance(0)
	s.markUnwritten(p)
}

// ReleaseAdvances releases all advance reservations, because no further turn arrives.
func (s *ShareSet) ReleaseAdvances() {
	for p, state := range s.states {
		if state.share.Advance > 0 {
			s.releaseAdvance(p, state)
		}
	}
}

// RepairDue reports whether the shares of a program that a storage VM lacks are to be sent to it, and
// counts that as done.
func (s *ShareSet) RepairDue(now time.Time, p Program) bool {
	state := s.states[p]
	if state == nil || now.Sub(state.repairedAt) < repairInterval {
		return false
	}
	state.repairedAt = now
	return true
}

// WriteFailed marks a share whose write failed, so that the next Flush returns it again.
func (s *ShareSet) WriteFailed(p Program) {
	if s.states[p] != nil {
		s.markUnwritten(p)
	}
}

// Expire releases expired advance reservations and removes idle shares. It returns the
// time at which the next advance reservation expires, or the zero time without one.
func (s *ShareSet) Expire(now time.Time) time.Time {
	for len(s.expiries) > 0 && !now.Before(s.expiries[0].at) {
		e := s.expiries[0]
		s.expiries = s.expiries[1:]
		if state := s.states[e.program]; state != nil && state.advanceVersion == e.version && state.share.Advance > 0 {
			// The storage VMs report it as lapsed, so the write of the release is not urgent.
			state.setAdvance(0)
			s.unwritten[e.program] = true
		}
	}
	s.removeIdle(now)
	if len(s.expiries) == 0 {
		return time.Time{}
	}
	return s.expiries[0].at
}

func (s *ShareSet) removeIdle(now time.Time) {
	if now.Before(s.nextIdleCheck) {
		return
	}
	s.nextIdleCheck = now.Add(idleCheckInterval)
	for p, state := range s.states {
		if !s.unwritten[p] && state.share.Reserved == 0 && state.share.Advance == 0 && now.Sub(state.lastUse) > idleTTL {
			delete(s.states, p)
		}
	}
}

// HasUnwritten reports whether Flush would return any share, and whether one is to be written soon.
func (s *ShareSet) HasUnwritten() (unwritten, urgent bool) { return len(s.unwritten) > 0, s.urgent }

// Flush returns the shares that have changed since they were last returned for a write.
func (s *ShareSet) Flush() []ProgramShare {
	s.urgent = false
	var out []ProgramShare
	for p := range s.unwritten {
		out = append(out, ProgramShare{Program: p, Share: s.nextVersion(p, s.states[p])})
	}
	return out
}
