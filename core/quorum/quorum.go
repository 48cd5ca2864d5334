// Package quorum describes a set of storage VMs and defines how many members a write, an
// absence or a copy needs. A record is acknowledged when a write quorum of the members has
// synced it. Any write quorum and any absence quorum share a member, so every absence quorum
// includes a member that holds the record.
package quorum

import (
	"slices"
	"strings"

	"github.com/mangoknot/mangoknot/core/domain"
)

// StoreID identifies one disk of a storage VM as address/disk. The ID of a VM that
// lost its disk has another disk part, so that the VM is not taken for the previous
// member.
type StoreID string

// Address returns the peer address of the VM.
func (s StoreID) Address() string {
	address, _, _ := strings.Cut(string(s), "/")
	return address
}

// FirstEpoch is the epoch of the first set.
const FirstEpoch domain.Epoch = 1

// Member is a storage VM in a set.
type Member struct {
	ID         StoreID
	Name       string
	DataCentre domain.DataCentre
	Region     domain.Region
	// Joined is the epoch of the set that added the member. Until the member has copied
	// the records of the others, its replies about absent records are not
	// authoritative.
	Joined domain.Epoch
	// Leaving reports that the member is to be removed without a replacement. It serves reads and
	// copies, and writes do not count it.
	Leaving bool `cbor:",omitempty"`
	// Left is the epoch of the first set without the member. It is 0 for members.
	Left domain.Epoch `cbor:",omitempty"`
}

// Set is the replica set of storage VMs that the coordinators have committed. A
// higher epoch supersedes a lower one of the same scope.
type Set struct {
	Epoch   domain.Epoch
	Members []Member
	// Scope is Global or the region of all members.
	Scope Scope `cbor:",omitempty"`
	// Tolerance is the number of members whose simultaneous loss an acknowledged record
	// survives, whatever the size of the set. Without it, a majority holds each record.
	Tolerance int `cbor:",omitempty"`
	// Scopes lists the regional sets that may hold records. It is part of the global set only.
	Scopes []Scope `cbor:",omitempty"`
	// Former lists the members that left last, oldest first. A member that was only silent still has
	// its records, and a member that joins may copy from it when it is back. Since is the earliest
	// epoch whose members are all listed in Members or Former, or 0 without a list.
	Former []Member     `cbor:",omitempty"`
	Since  domain.Epoch `cbor:",omitempty"`
}

// Majority returns the size of a majority of the members.
func (s *Set) Majority() int { return len(s.Members)/2 + 1 }

// Member returns the member with the given ID. The second result reports whether the
// set contains it.
func (s *Set) Member(id StoreID) (Member, bool) {
	i := slices.IndexFunc(s.Members, func(m Member) bool { return m.ID == id })
	if i < 0 {
		return Member{}, false
	}
	return s.Members[i], true
}

// SharesAddress reports whether another member has the address of m. The VM then answers for both
// with one disk, because it has lost the other one.
func (s *Set) SharesAddress(m Member) bool {
	return slices.ContainsFunc(s.Members, func(o Member) bool { return o.ID != m.ID && o.ID.Address() == m.ID.Address() })
}

// CopySources returns the number of other members from which a joining member has to
// copy. Every acknowledged record is on a write quorum of the previous set. The replaced
// member may have been one of that quorum, so a smaller number of sources could miss
// a record.
func (s *Set) CopySources() int {
	others := len(s.Members) - 1
	holders := s.WriteQuorum() - 1
	return others - holders + 1
}

// Contacts counts the other members of a set with which a member has compared its records
// after they had adopted the set.
type Contacts struct {
	// Complete is the number of members that hold every record acknowledged before they joined.
	// Incomplete is that of members of an earlier set that do not: no write has counted them.
	Complete, Incomplete int
	// Whole reports whether one of them holds every record acknowledged before this epoch.
	Whole bool
}

// HoldsAll reports whether a member holds every record acknowledged before the epoch of the set,
// once it has copied what it lacked of the contacts. complete reports whether the member is
// itself complete, and whole is the newest epoch for which it held all records before.
//
// A record of an earlier epoch is on a write quorum of the members that were complete then. The
// member has it if it has compared its records with enough of them, or if it was in every such
// quorum itself: it held all records of the epochs before the last one, and in the last one no
// more members were complete than a write quorum has.
func (s *Set) HoldsAll(c Contacts, complete bool, whole domain.Epoch) bool {
	if c.Whole || !complete {
		return c.Whole || c.Complete >= s.CopySources()
	}
	wasInAll := whole+1 == s.Epoch && s.InEveryQuorum(c.Incomplete)
	return whole == s.Epoch || wasInAll || c.Complete+1 >= s.CopySources()
}

// InEveryQuorum reports whether a complete member is in each write quorum, because no more members
// are complete than a write quorum has. The others are incomplete: no write counts them.
func (s *Set) InEveryQuorum(incomplete int) bool { return len(s.Members)-incomplete <= s.WriteQuorum() }

// MembersByDistance returns the members ordered by their distance from a data centre:
// the same data centre, the same region, then the rest. Members at equal distance keep
// the order of the set.
func (s *Set) MembersByDistance(dataCentre domain.DataCentre, region domain.Region) []Member {
	return ByDistance(s.Members, dataCentre, region)
}

// ByDistance is MembersByDistance for any members.
func ByDistance(members []Member, dataCentre domain.DataCentre, region domain.Region) []Member {
	members = slices.Clone(members)
	from := domain.Location{DataCentre: dataCentre, Region: region}
	distance := func(m Member) domain.Distance {
		return from.DistanceTo(domain.Location{DataCentre: m.DataCentre, Region: m.Region})
	}
	slices.SortStableFunc(members, func(a, b Member) int { return int(distance(a) - distance(b)) })
	return members
}

// Replace returns the next set, in which next takes the place of the member old. When
// no member has the ID old, next is added.
func (s *Set) Replace(old StoreID, next Member) *Set {
	out := s.next()
	if len(s.Members) > 0 {
		next.Joined = out.Epoch
	} else {
		next.Joined = 0 // an empty set has no records to copy
	}
	members := slices.DeleteFunc(slices.Clone(s.Members), func(m Member) bool { return m.ID == old })
	out.Members = append(members, next)
	out.addFormer(s, old)
	return out
}

// next returns a copy of the set with the next epoch.
func (s *Set) next() *Set {
	out := *s
	out.Epoch++
	return &out
}
