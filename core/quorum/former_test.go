package quorum

import (
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// Guards against a joined member that is taken to hold every record and lacks one: for each earlier
// epoch and each write quorum of the members that may have been complete in it, a holder must be
// among the contacts. Members were replaced in any order, whether they had copied their
// records or not.
func TestHoldsAllBeforeCoversEveryQuorum(t *testing.T) {
	held := 0
	rapid.Check(t, func(t *rapid.T) {
		s := &Set{Epoch: 1, Tolerance: rapid.SampledFrom([]int{0, 2}).Draw(t, "tolerance")}
		for i := range rapid.SampledFrom([]int{3, 5}).Draw(t, "size") {
			s.Members = append(s.Members, Member{ID: StoreID(fmt.Sprint("h", i))})
		}
		sets := []*Set{s}
		for i := range rapid.IntRange(1, 4).Draw(t, "changes") {
			old := s.Members[rapid.IntRange(0, len(s.Members)-1).Draw(t, "old")].ID
			s = s.Replace(old, Member{ID: StoreID(fmt.Sprint("n", i))})
			sets = append(sets, s)
		}
		// A record of an epoch is on a write quorum of members that had copied theirs.
		complete := map[StoreID]bool{}
		for _, m := range slices.Concat(s.Members, s.Former) {
			complete[m.ID] = m.Joined == 0 || rapid.Bool().Draw(t, "complete")
		}
		self := s.Members[len(s.Members)-1]
		var contacts []Contact
		for _, m := range slices.Concat(s.Members, s.Former) {
			if m.ID != self.ID && rapid.Bool().Draw(t, "contact") {
				contacts = append(contacts, Contact{Member: m, Complete: complete[m.ID]})
			}
		}
		if !s.HoldsAllBefore(self.Joined, contacts) {
			return
		}
		held++
		for _, in := range sets[:len(sets)-1] {
			if hasJoinedAfter(in.Epoch, contacts) {
				continue
			}
			missed := 0 // members that may hold a record of the epoch and were not asked
			for _, m := range in.Members {
				asked := slices.ContainsFunc(contacts, func(c Contact) bool { return c.Member.ID == m.ID })
				if !asked && complete[m.ID] {
					missed++
				}
			}
			must.Less(t, in.WriteQuorum(), missed, must.Sprintf("epoch %d of %+v, contacts %+v", in.Epoch, s, contacts))
		}
	})
	must.Positive(t, held)
}

// Guards against a list of former members that grows for ever, or that is taken to be whole after
// some were dropped or an earlier build has changed the set.
func TestFormerMembersAreBounded(t *testing.T) {
	s := setOf(3)
	var contacts []Contact
	for i := range maxFormer {
		contacts = append(contacts, Contact{Member: s.Members[1], Complete: true}, Contact{Member: s.Members[2], Complete: true})
		s = s.Replace(s.Members[0].ID, Member{ID: StoreID(fmt.Sprint("n", i))})
	}
	must.Len(t, maxFormer, s.Former)
	must.Eq(t, FirstEpoch, s.Since)
	s = s.Replace(s.Members[0].ID, Member{ID: "last"})
	must.Len(t, maxFormer, s.Former)
	must.Eq(t, 2, s.Since)

	earlier := *s.Replace(s.Members[0].ID, Member{ID: "earlier build"})
	earlier.Former, earlier.Since = nil, 0
	must.False(t, earlier.HoldsAllBefore(earlier.Epoch, contacts))
	next := earlier.Replace(earlier.Members[0].ID, Member{ID: "this build"})
	must.Eq(t, earlier.Epoch, next.Since)
	// Of what was before the list, each source must be complete.
	asked := []Contact{{Member: next.Members[0], Complete: true}, {Member: next.Members[1]}}
	must.False(t, next.HoldsAllBefore(next.Epoch, asked))
	asked = append(asked, Contact{Member: next.Former[0], Complete: true})
	must.True(t, next.HoldsAllBefore(next.Epoch, asked))
}
