package quorum

import (
	"slices"

	"github.com/mangoknot/mangoknot/core/domain"
)

// maxFormer is the number of former members that a set lists. It covers several changes in a row
// in the largest sets, while the members that have joined still copy.
const maxFormer = 10

// addFormer lists the members of the set before that this one lacks.
func (s *Set) addFormer(before *Set, left ...StoreID) {
	if s.Since == 0 {
		s.Since = before.Epoch
	}
	s.Former = slices.Clone(s.Former)
	for _, id := range left {
		if m, ok := before.Member(id); ok {
			m.Left = s.Epoch
			s.Former = append(s.Former, m)
		}
	}
	for len(s.Former) > maxFormer {
		s.Since = max(s.Since, s.Former[0].Left)
		s.Former = s.Former[1:]
	}
}

// Contact is a member, or a former one, with which a joining member has compared its records after
// it had adopted the set. Complete reports whether it holds every record acknowledged before it
// joined; no write has counted one that does not.
type Contact struct {
	Member   Member
	Complete bool
}

// HoldsAllBefore reports whether a member that joined in an epoch holds every record acknowledged
// before it, once it has copied what it lacked of the contacts. A record of an earlier epoch is
// on a write quorum of the members that were complete in that epoch, so one of its holders is among the
// contacts if fewer others than a write quorum may have been complete then.
func (s *Set) HoldsAllBefore(joined domain.Epoch, contacts []Contact) bool {
	if s.Since == 0 || joined <= s.Since {
		return false
	}
	for epoch := s.Since; epoch < joined; epoch++ {
		if !s.covers(epoch, contacts) {
			return false
		}
	}
	return s.Since <= FirstEpoch || s.coversBefore(s.Since, contacts)
}

// membersIn returns the members of the set in an epoch that is not before Since.
func (s *Set) membersIn(epoch domain.Epoch) []Member {
	return slices.DeleteFunc(slices.Concat(s.Members, s.Former), func(m Member) bool {
		return m.Joined > epoch || (m.Left > 0 && m.Left <= epoch)
	})
}

// covers reports whether the contacts include a holder of each record of an epoch. A record of a set
// of n members is on writeQuorumOf(n) of them, also while some were leaving.
func (s *Set) covers(epoch domain.Epoch, contacts []Contact) bool {
	if hasJoinedAfter(epoch, contacts) {
		return true
	}
	members := s.membersIn(epoch)
	others := 0
	for _, m := range members {
		if _, asked := contactOf(m, contacts); !asked {
			others++
		}
	}
	return others < s.writeQuorumOf(len(members))
}

// coversBefore reports whether the contacts include a holder of each record from before an epoch. Of
// those the members are not known, but all complete members of the epoch together hold them as
// CopySources says, whether the others were replaced before or not.
func (s *Set) coversBefore(epoch domain.Epoch, contacts []Contact) bool {
	if hasJoinedAfter(epoch-1, contacts) {
		return true
	}
	members := s.membersIn(epoch)
	sources := 0
	for _, m := range members {
		if c, asked := contactOf(m, contacts); asked && c.Complete {
			sources++
		}
	}
	return sources > len(members)-s.writeQuorumOf(len(members))
}

// contactOf returns the contact with a member in the seat that it joined.
func contactOf(m Member, contacts []Contact) (Contact, bool) {
	i := slices.IndexFunc(contacts, func(c Contact) bool { return c.Member.ID == m.ID && c.Member.Joined == m.Joined })
	if i < 0 {
		return Contact{}, false
	}
	return contacts[i], true
}

// hasJoinedAfter reports whether a contact holds every record up to an epoch, because it has
// joined later and is complete.
func hasJoinedAfter(epoch domain.Epoch, contacts []Contact) bool {
	return slices.ContainsFunc(contacts, func(c Contact) bool { return c.Complete && c.Member.Joined > epoch })
}
