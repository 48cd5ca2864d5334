// Package quorum describes the set of storage VMs and decides when a write is
// durable and when an absence is certain. A record is acknowledged when a
// majority of the members has synced it, so that any two majorities share a
// member that knows it.
package quorum

import (
	"slices"
	"strings"

	"github.com/mangoknot/mangoknot/core/domain"
)

// StoreID identifies one disk of a storage VM as address/disk. A VM that lost
// its disk comes back with another disk part, so it never counts as the member
// that it was.
type StoreID string

// Address returns the peer address of the VM.
func (s StoreID) Address() string {
	address, _, _ := strings.Cut(string(s), "/")
	return address
}

// Member is one storage VM of the set.
type Member struct {
	ID         StoreID
	Name       string
	DataCentre domain.DataCentre
	Region     domain.Region
	// Joined is the epoch of the set that admitted it. The member has to copy the
	// records of the others before its absence answers count.
	Joined domain.Epoch
}

// Set is the agreed set of storage VMs. A higher epoch supersedes a lower one.
type Set struct {
	Epoch   domain.Epoch
	Members []Member
}

// Majority is the number of members that every acknowledged record is on.
func (s *Set) Majority() int { return len(s.Members)/2 + 1 }

// Member returns the member with an id.
func (s *Set) Member(id StoreID) (Member, bool) {
	i := slices.IndexFunc(s.Members, func(m Member) bool { return m.ID == id })
	if i < 0 {
		return Member{}, false
	}
	return s.Members[i], true
}

// CopySources is the number of other members that a joining member has to copy
// from. Every acknowledged record is on a majority of the previous set, of which
// one member is gone, so any smaller number could miss a record.
func (s *Set) CopySources() int {
	others := len(s.Members) - 1
	holders := s.Majority() - 1
	return others - holders + 1
}

// MembersByDistance returns the members ordered by distance from a place: the same data
// centre, the same region, then the rest. Members at equal distance are ordered
// by the key, so that load spreads.
func (s *Set) MembersByDistance(dataCentre domain.DataCentre, region domain.Region) []Member {
	members := slices.Clone(s.Members)
	distance := func(m Member) int {
		switch {
		case m.DataCentre == dataCentre:
			return 0
		case m.Region == region:
			return 1
		default:
			return 2
		}
	}
	slices.SortStableFunc(members, func(a, b Member) int { return distance(a) - distance(b) })
	return members
}

// Replace returns the next set with one member exchanged.
func (s *Set) Replace(old StoreID, next Member) *Set {
	epoch := s.Epoch + 1
	next.Joined = epoch
	members := slices.DeleteFunc(slices.Clone(s.Members), func(m Member) bool { return m.ID == old })
	return &Set{Epoch: epoch, Members: append(members, next)}
}
