package program

import (
	"maps"
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
)

// Summary describes a program for operators.
type Summary struct {
	Program domain.ProgramID
	Started time.Time
	// EndReason states why the program ended; it is empty while the program is
	// open.
	EndReason domain.Reason `cbor:"Ended"`
	Turns     int
	Spent     domain.Micros
}

// Programs returns up to limit started programs of an account in the order of
// their names. An empty account selects all accounts.
func (s *Store) Programs(account domain.Account, limit int) []Summary {
	var out []Summary
	for _, id := range slices.SortedFunc(maps.Keys(s.programs), compareIDs) {
		p := s.programs[id]
		if len(out) >= limit || p.started == 0 || account != "" && id.Account != account {
			continue
		}
		out = append(out, Summary{Program: id, Started: timeOf(p.started), EndReason: p.reason, Turns: len(p.turns), Spent: p.spent})
	}
	return out
}

// Started returns the time of the program's first call, or the zero time if the
// program is not known or has not started one.
func (s *Store) Started(id domain.ProgramID) time.Time {
	p := s.programs[id]
	if p == nil || p.started == 0 {
		return time.Time{}
	}
	return timeOf(p.started)
}

// UnknownOutcomes returns the number of run-once calls of an account that may
// have run and have no answer. They are not charged. Only calls with an
// idempotency key are counted, for as long as the key is kept.
func (s *Store) UnknownOutcomes(account domain.Account) int {
	count := 0
	for _, k := range s.keys {
		if k.Program.Account == account && k.State == keyUnknown {
			count++
		}
	}
	return count
}
