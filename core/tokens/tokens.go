// Package tokens decides whether a turn fits in the token budget of its program.
// Each gateway has one share of a program's budget: the tokens that its ended turns
// used and the tokens reserved for its running turns. Only that gateway changes the
// share, and each change increments its version. A reservation is written to a
// majority of the storage VMs, and each of them answers with all shares of the
// program that it stores. Any two majorities intersect, so for any two reservations
// the answers to at least one of them include the other.
//
// The state of a program is one share for each gateway that served it, regardless of
// the number of turns.
package tokens

import (
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
)

// Program identifies a program of a client account.
type Program struct {
	Account domain.Account
	Name    string
}

// Share is the part of a program's budget that one writer, a gateway, has used or
// reserved.
type Share struct {
	Writer string
	// Version increases with each change; the highest version is current.
	Version uint64
	// Used is the number of tokens that callers received in ended turns.
	Used domain.Tokens
	// Reserved is the sum of the token limits of running turns.
	Reserved domain.Tokens
	// Advance is the advance reservation: tokens for a turn that has not arrived yet.
	Advance domain.Tokens `cbor:"Ahead"`
	// AdvanceValidity is the time after the write of the share began in which its gateway may
	// assign Advance to a turn. The gateway records that before it passes on any token of the turn. It
	// is 0 without an advance reservation, and on builds that do not record it.
	AdvanceValidity time.Duration `cbor:",omitempty"`
}

// Weight returns the number of tokens that the share counts against the budget.
func (s Share) Weight() domain.Tokens { return s.Used + s.Reserved + s.Advance }

// Union maps each writer to the highest known version of its share.
type Union map[string]Share

// Add adds a share unless the same or a higher version of it is known. It reports
// whether the share was added.
func (u Union) Add(s Share) bool {
	if known, ok := u[s.Writer]; ok && known.Version >= s.Version {
		return false
	}
	u[s.Writer] = s
	return true
}

// Merge adds shares. Older versions of known shares are ignored.
func (u Union) Merge(shares ...Share) {
	for _, s := range shares {
		u.Add(s)
	}
}

// NewerThan returns the shares of the union that are missing or older in held.
func (u Union) NewerThan(held []Share) []Share {
	known := Union{}
	known.Merge(held...)
	var newer []Share
	for _, s := range u {
		if known.Add(s) {
			newer = append(newer, s)
		}
	}
	return newer
}

// Held is what storage VMs hold of a program's budget.
type Held struct {
	// Union holds the newest share of each writer.
	Union Union
	// lapsed maps writers to the version of their share whose advance reservation has lapsed.
	lapsed map[string]uint64
}

// Merge adds the shares that a storage VM holds. Of those of the writers in lapsed, the advance
// reservation has lapsed.
func (h *Held) Merge(shares []Share, lapsed []string) {
	if h.Union == nil {
		h.Union, h.lapsed = Union{}, map[string]uint64{}
	}
	h.Union.Merge(shares...)
	for _, s := range shares {
		if slices.Contains(lapsed, s.Writer) {
			h.lapsed[s.Writer] = max(h.lapsed[s.Writer], s.Version)
		}
	}
}

// Lapsed returns the tokens of the advance reservations that have lapsed.
func (h Held) Lapsed() domain.Tokens {
	var sum domain.Tokens
	for _, s := range h.Union {
		if h.hasLapsed(s) {
			sum += s.Advance
		}
	}
	return sum
}

func (h Held) hasLapsed(s Share) bool {
	version, ok := h.lapsed[s.Writer]
	return ok && version == s.Version
}

// SumOthers sums the shares of all writers except one. It returns their weight and the
// advance reservations included in it. One that has lapsed counts in neither: its gateway has
// assigned it to no turn, or a newer version of the share says so.
func (h Held) SumOthers(writer string) (weight, advance domain.Tokens) {
	for _, s := range h.Union {
		if s.Writer == writer {
			continue
		}
		weight += s.Used + s.Reserved
		if !h.hasLapsed(s) {
			weight += s.Advance
			advance += s.Advance
		}
	}
	return weight, advance
}

// BudgetDecision is the result of CheckBudget.
type BudgetDecision int

// Results of CheckBudget.
const (
	// WithinBudget means that the turn may run.
	WithinBudget BudgetDecision = iota
	// BlockedByAdvance means that the turn would fit without the advance reservations
	// of other gateways. They may be released soon, so the budget is not yet spent.
	BlockedByAdvance
	// Spent means that the turn exceeds the rest of the budget.
	Spent
)

// CheckBudget decides whether a turn may run. Its reservation is included in own, the
// share as it was written; held is what a majority of the storage VMs returned.
func CheckBudget(budget domain.Tokens, own Share, held Held) BudgetDecision {
	weight, advance := held.SumOthers(own.Writer)
	switch sum := own.Weight() + weight; {
	case sum <= budget:
		return WithinBudget
	case sum-advance <= budget:
		return BlockedByAdvance
	default:
		return Spent
	}
}
