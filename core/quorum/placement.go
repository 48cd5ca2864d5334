package quorum

import (
	"slices"

	"github.com/mangoknot/mangoknot/core/domain"
)

// Placement tells in which sets the turns of a request are stored and looked for. It is immutable.
type Placement struct {
	scopes  []Scope
	refused bool
}

// NewPlacement returns the placement for the constraint of a request of an account that a gateway
// of the region own serves. A constrained turn is stored in the set of the gateway's region if
// that is allowed, otherwise in that of an allowed region which is the same at all gateways
// outside of the allowed regions.
func NewPlacement(c domain.RegionConstraint, own domain.Region, account domain.Account) Placement {
	if c.Unrestricted() {
		return Placement{}
	}
	regions := c.Regions()
	slices.SortStableFunc(regions, func(a, b domain.Region) int {
		if (a == own) != (b == own) {
			if a == own {
				return -1
			}
			return 1
		}
		if domain.Hash64(string(account), string(a)) > domain.Hash64(string(account), string(b)) {
			return -1
		}
		return 1
	})
	p := Placement{refused: len(regions) == 0}
	for _, r := range regions {
		p.scopes = append(p.scopes, Scope(r))
	}
	return p
}

// Write returns the scope of the set in which the turn is stored. The second result is false if
// no region is allowed.
func (p Placement) Write() (Scope, bool) {
	if len(p.scopes) == 0 {
		return Global, !p.refused
	}
	return p.scopes[0], true
}

// Search is a search for a turn over several sets. A turn of an earlier constraint may be in any
// set. It is absent when the global set and each regional set that may hold turns lack it.
type Search struct {
	next []Scope
	// unknown holds the scopes of sets that the process does not know, and failed reports that one
	// did not answer.
	unknown []Scope
	asked   []Scope
	failed  bool
	global  *Set
}

// Search starts a search in the order of the placement: the set for writes, the other allowed
// regions, the global set and the remaining regions. The sets in first are asked before them.
func (p Placement) Search(first ...Scope) *Search {
	s := &Search{}
	s.add(first...)
	s.add(p.scopes...)
	s.add(Global)
	return s
}

func (s *Search) add(scopes ...Scope) {
	for _, scope := range scopes {
		if !slices.Contains(s.next, scope) && !slices.Contains(s.asked, scope) {
			s.next = append(s.next, scope)
		}
	}
}

// Next returns the next scope to ask, or false at the end.
func (s *Search) Next() (Scope, bool) {
	if len(s.next) == 0 {
		return "", false
	}
	scope := s.next[0]
	s.next = s.next[1:]
	s.asked = append(s.asked, scope)
	return scope, true
}

// Absent records that a set lacks the turn. After the global set, the search covers the regional
// sets that it lists, and those in known, which the process knows. A list that an earlier build of
// the coordinators has dropped is thereby no end of the search.
func (s *Search) Absent(set *Set, known []Scope) {
	if set.Scope != Global {
		return
	}
	s.global = set
	s.add(set.Scopes...)
	s.add(known...)
}

// Unknown records that the process does not know the set of a scope. The set holds no turn if the
// global set does not list it.
func (s *Search) Unknown(scope Scope) { s.unknown = append(s.unknown, scope) }

// Failed records that too few members of a set answered.
func (s *Search) Failed() { s.failed = true }

// IsAbsent reports whether the turn exists in no set, at the end of the search.
func (s *Search) IsAbsent() bool {
	if s.failed || s.global == nil {
		return false
	}
	return !slices.ContainsFunc(s.unknown, func(scope Scope) bool { return slices.Contains(s.global.Scopes, scope) })
}
