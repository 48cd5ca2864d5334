package quorum

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/mangoknot/mangoknot/core/domain"
)

func setOf(n int) *Set {
	s := &Set{Epoch: 1}
	for i := range n {
		s.Members = append(s.Members, Member{ID: StoreID(string(rune('a'+i)) + "/1"), DataCentre: domain.DataCentre(rune('a' + i))})
	}
	return s
}

// Guards against a joining member that copies from too few members and misses an
// acknowledged record. For every majority that may hold a record, each choice of copy
// sources must include a holder that is not the replaced member.
func TestCopySourcesOverlapEveryMajority(t *testing.T) {
	for n := 2; n <= 7; n++ {
		s := setOf(n)
		for holders := range 1 << n {
			if popcount(holders) != s.Majority() {
				continue
			}
			others := holders >> 1 // member 0 is replaced
			for sources := range 1 << (n - 1) {
				if popcount(sources) == s.CopySources() {
					must.NotEq(t, 0, others&sources, must.Sprintf("n=%d holders=%b sources=%b", n, holders, sources))
				}
			}
		}
	}
}

func popcount(x int) int {
	n := 0
	for ; x > 0; x >>= 1 {
		n += x & 1
	}
	return n
}

// Guards against a replaced disk that still counts as a member, and against a new disk
// that is taken for the previous member.
func TestReplaceRemovesOldMember(t *testing.T) {
	s := setOf(3)
	next := s.Replace("a/1", Member{ID: "a/2"})
	must.Eq(t, 2, next.Epoch)
	_, in := next.Member("a/1")
	must.False(t, in)
	joined, in := next.Member("a/2")
	must.True(t, in)
	must.Eq(t, 2, joined.Joined)
	must.Eq(t, "a", joined.ID.Address())
	must.Len(t, 3, s.Members)
}

// Guards against traffic to remote members, which is billed: the nearest members come
// first.
func TestMembersByDistance(t *testing.T) {
	s := &Set{Members: []Member{
		{ID: "far", DataCentre: "c", Region: "south"}, {ID: "same", DataCentre: "b", Region: "north"}, {ID: "own", DataCentre: "a", Region: "north"},
	}}
	var ids []StoreID
	for _, m := range s.MembersByDistance("a", "north") {
		ids = append(ids, m.ID)
	}
	must.Eq(t, []StoreID{"own", "same", "far"}, ids)
}

// Guards against a member that is taken to hold every acknowledged record and lacks one, so that
// the successors of lost members copy from it alone: for every majority of complete members that
// may hold a record of the epoch before, it must be in the majority itself or have compared its
// records with a holder. Member 0 was lost, member 1 compares, the last one has just joined.
func TestHoldsAllCoversEveryMajority(t *testing.T) {
	for n := 3; n <= 5; n++ {
		s := setOf(n)
		s.Epoch = 5
		for incomplete := range 1 << (n - 2) { // of members 2 to n-1
			for asked := range 1 << (n - 2) {
				contacts := Contacts{Complete: popcount(asked &^ incomplete), Incomplete: popcount(asked & incomplete)}
				for _, whole := range []domain.Epoch{0, 4} {
					if !s.HoldsAll(contacts, true, whole) {
						continue
					}
					complete := 3 | (1<<(n-2)-1)&^incomplete<<2
					for holders := range 1 << n {
						if holders&^complete != 0 || popcount(holders) != s.Majority() {
							continue
						}
						compared := 2 | asked<<2
						must.NotEq(t, 0, holders&compared, must.Sprintf("n=%d incomplete=%b asked=%b holders=%b whole=%d", n, incomplete, asked, holders, whole))
					}
				}
			}
		}
	}
}
