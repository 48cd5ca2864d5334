package quorum

import (
	"slices"

	"github.com/mangoknot/mangoknot/core/domain"
)

// Scope names a set: Global, or the region whose storage VMs it consists of.
type Scope domain.Region

// Global is the scope of the set over all regions.
const Global Scope = ""

// Contains reports whether a storage VM of a region may be a member of a set of this scope. A VM
// of an unknown region may only be a member of the global set.
func (s Scope) Contains(r domain.Region) bool { return s == Global || (r != "" && s == Scope(r)) }

// remaining returns the number of members that are not leaving.
func (s *Set) remaining() int {
	n := 0
	for _, m := range s.Members {
		if !m.Leaving {
			n++
		}
	}
	return n
}

// WriteQuorum returns the number of members that must sync a record before it is acknowledged,
// without those that are leaving. It exceeds the number of members of an empty set.
func (s *Set) WriteQuorum() int {
	if s.Tolerance == 0 {
		return s.Majority()
	}
	return s.writeQuorumOf(s.remaining())
}

// writeQuorumOf returns the write quorum of n members that do not leave. Without a tolerance it is a
// majority.
func (s *Set) writeQuorumOf(n int) int { return max(n/2+1, min(n, s.Tolerance+1)) }

// IsStored reports whether a record is acknowledged that a number of remaining and leaving members
// have synced. While a member is leaving, the quorum of the larger set must have synced it too:
// fewer members than an absence quorum of that set are then left that do not know this epoch.
func (s *Set) IsStored(remaining, leaving int) bool {
	if s.Tolerance > 0 && len(s.Members) > s.remaining() && remaining+leaving < s.writeQuorumOf(len(s.Members)) {
		return false
	}
	return remaining >= s.WriteQuorum()
}

// Writable reports whether the set has enough members for a write.
func (s *Set) Writable() bool { return s.remaining() >= s.WriteQuorum() }

// FirstWrites returns the number of members to which a write is sent at first: a quorum of the
// nearest ones, or all while a member is leaving.
func (s *Set) FirstWrites() int {
	if len(s.Members) > s.remaining() {
		return len(s.Members)
	}
	return s.WriteQuorum()
}

// AbsenceQuorum returns the number of members that must lack a record before it is taken for
// absent. It is a majority at least: a member that was frozen while it was replaced knows of no
// newer set, and a gateway that knows of none either would take its word. While a member is leaving
// it is larger than that of the set with this member, so that it also includes a member that knows
// of a record of the set without it.
func (s *Set) AbsenceQuorum() int {
	if s.Tolerance > 0 && len(s.Members) == 0 {
		return 0
	}
	return max(s.Majority(), len(s.Members)-s.WriteQuorum()+1)
}

// WithScopes returns the next set, which lists the regional sets.
func (s *Set) WithScopes(scopes []Scope) *Set {
	out := s.next()
	out.Scopes = slices.Clone(scopes)
	return out
}

// MarkLeaving returns the next set, in which a member is leaving.
func (s *Set) MarkLeaving(id StoreID) *Set {
	out := s.next()
	out.Members = slices.Clone(s.Members)
	for i := range out.Members {
		if out.Members[i].ID == id {
			out.Members[i].Leaving = true
		}
	}
	return out
}

// WithoutLeaving returns the next set, which lacks the members that are leaving. The caller makes
// sure that all others hold every record acknowledged before the epoch of this set.
func (s *Set) WithoutLeaving() *Set {
	out := s.next()
	out.Members = slices.DeleteFunc(slices.Clone(s.Members), func(m Member) bool { return m.Leaving })
	for _, m := range s.Members {
		if m.Leaving {
			out.addFormer(s, m.ID)
		}
	}
	return out
}
