// Package tokens decides whether a turn fits in the token budget of its
// program. Each gateway has one share of a program's budget: what its turns have
// used and what its running turns may use at most. Only that gateway changes the
// share, and each change has a higher version. A reservation is written to a
// majority of the storage VMs, each of which answers with the shares of all
// gateways that it knows: of any two reservations at least one sees the other.
//
// The state of a program is one share for each gateway that served it, however
// many turns it has.
package tokens

import (
	"github.com/mangoknot/mangoknot/core/domain"
)

// Program identifies a program of a client account.
type Program struct {
	Account domain.Account
	Name    string
}

// Share is what one writer, a gateway, has taken of a program's budget.
type Share struct {
	Writer string
	// Version increases with each change; the newest one counts.
	Version uint64
	// Used is what callers received in turns that ended.
	Used domain.Tokens
	// Reserved is the most that running turns may generate.
	Reserved domain.Tokens
	// Advance is reserved for a turn that has not come yet.
	Advance domain.Tokens `cbor:"Ahead"`
}

// Weight is what the share counts against the budget.
func (s Share) Weight() domain.Tokens { return s.Used + s.Reserved + s.Advance }

// Union holds the newest known share of each writer.
type Union map[string]Share

// Add takes a share unless this or a newer version of it is known, and says
// whether it did.
func (u Union) Add(s Share) bool {
	if known, ok := u[s.Writer]; ok && known.Version >= s.Version {
		return false
	}
	u[s.Writer] = s
	return true
}

// Merge adds shares. An older version of a share changes nothing.
func (u Union) Merge(shares ...Share) {
	for _, s := range shares {
		u.Add(s)
	}
}

// SumOthers sums the shares of all writers but one: what they count against the
// budget, and how much of that is reserved ahead.
func (u Union) SumOthers(writer string) (weight, advance domain.Tokens) {
	for _, s := range u {
		if s.Writer != writer {
			weight += s.Weight()
			advance += s.Advance
		}
	}
	return weight, advance
}

// BudgetDecision is the outcome of a reservation.
type BudgetDecision int

// The verdicts.
const (
	// WithinBudget means that the turn may run.
	WithinBudget BudgetDecision = iota
	// BlockedByAdvance means that only tokens that others reserved ahead keep the turn
	// out. They may be free soon, so the budget is not known to be spent.
	BlockedByAdvance
	// Spent means that the budget does not hold the turn.
	Spent
)

// CheckBudget decides about a reservation that is part of the own share, as it was
// written, from what a majority knows of the others.
func CheckBudget(budget domain.Tokens, own Share, union Union) BudgetDecision {
	weight, advance := union.SumOthers(own.Writer)
	switch sum := own.Weight() + weight; {
	case sum <= budget:
		return WithinBudget
	case sum-advance <= budget:
		return BlockedByAdvance
	default:
		return Spent
	}
}
