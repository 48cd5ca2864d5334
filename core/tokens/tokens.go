// Package tokens decides whether a turn fits in the token budget of its
// program. Each turn records a grant of the most that it may generate before it
// is sent, and settles it afterwards with what callers received. Grants are
// written to a majority of the storage VMs, each of which answers with all
// grants that it knows: of any two turns at least one sees the other.
package tokens

import (
	"github.com/mangoknot/mangoknot/core/domain"
)

// Program identifies a program of a client account.
type Program struct {
	Account domain.Account
	Name    string
}

// Grant is the reservation of one turn. The id is unique over all attempts.
type Grant struct {
	ID string
	// Most is the largest number of tokens that the turn generates.
	Most domain.Tokens
	// Settled says that the turn ended after Used tokens.
	Settled bool
	Used    domain.Tokens
}

// Weight is what the grant counts against the budget.
func (g Grant) Weight() domain.Tokens {
	if g.Settled {
		return g.Used
	}
	return g.Most
}

// Merge adds grants to a union by id. A settled grant replaces an open one.
func Merge(union map[string]Grant, grants []Grant) {
	for _, g := range grants {
		if known, ok := union[g.ID]; !ok || (g.Settled && !known.Settled) {
			union[g.ID] = g
		}
	}
}

// Fits says whether all grants together, the asking turn included, stay within
// the budget.
func Fits(budget domain.Tokens, union map[string]Grant) bool {
	var total domain.Tokens
	for _, g := range union {
		total += g.Weight()
	}
	return total <= budget
}
