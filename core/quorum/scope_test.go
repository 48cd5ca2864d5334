package quorum

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/mangoknot/mangoknot/core/domain"
)

// regionalOf returns a set of n members with a tolerance of 2.
func regionalOf(n int) *Set {
	s := setOf(n)
	s.Scope, s.Tolerance = "north", 2
	return s
}

// Guards against a small set that acknowledges a turn on fewer disks than may be lost at once, and
// against an absence that misses a write quorum.
func TestQuorumsOfSmallSets(t *testing.T) {
	for n, want := range map[int]struct{ write, absence int }{0: {1, 0}, 1: {1, 1}, 2: {2, 2}, 3: {3, 2}, 4: {3, 3}, 5: {3, 3}, 7: {4, 4}} {
		s := regionalOf(n)
		must.Eq(t, want.write, s.WriteQuorum(), must.Sprintf("n=%d", n))
		must.Eq(t, want.absence, s.AbsenceQuorum(), must.Sprintf("n=%d", n))
	}
	must.Eq(t, 2, setOf(3).WriteQuorum())
	must.Eq(t, 2, setOf(3).AbsenceQuorum())
}

// Guards against a frozen member that was replaced, wakes and is enough to take a turn of the next set for
// absent: of the members of the former set, a record of the next one is known to all holders.
func TestReplacedMemberIsNoAbsenceQuorum(t *testing.T) {
	for n := 2; n <= 7; n++ {
		s := regionalOf(n)
		next := s.Replace("a/1", Member{ID: "z/1"})
		// The holders of a record know the next set, and if the joined member is one of them, so do its sources.
		unaware := n - max(next.WriteQuorum()-1, next.CopySources())
		must.Less(t, s.AbsenceQuorum(), unaware, must.Sprintf("n=%d", n))
	}
}

// Guards against members that leave and take the records below their quorum with them: for each
// write quorum before the mark, and for each after it, every absence quorum of the set with the
// mark and of the smaller set includes a holder. After the second step all remaining members hold
// what was acknowledged before the mark.
func TestLeavingMembersKeepQuorums(t *testing.T) {
	for n := 2; n <= 7; n++ {
		for leaving := 1; leaving <= 2; leaving++ {
			checkLeaving(t, n, leaving)
		}
	}
}

func checkLeaving(t *testing.T, n, leaving int) {
	before, left := regionalOf(n), 1<<leaving-1
	former, marked := before, before
	for _, m := range before.Members[:leaving] {
		former, marked = marked, marked.MarkLeaving(m.ID)
	}
	after := marked.WithoutLeaving()
	must.Len(t, n-leaving, after.Members)
	must.Less(t, marked.AbsenceQuorum(), n-after.WriteQuorum(), must.Sprintf("n=%d", n))
	for holders := range 1 << n {
		written := popcount(holders) == before.WriteQuorum()
		writtenMarked := marked.IsStored(popcount(holders&^left), popcount(holders&left))
		if writtenMarked {
			// Who reads with the former set meets a member that knows of the next one.
			must.Less(t, former.AbsenceQuorum(), n-popcount(holders), must.Sprintf("n=%d holders=%b", n, holders))
		}
		for asked := range 1 << n {
			if (written || writtenMarked) && popcount(asked) == marked.AbsenceQuorum() {
				must.NotEq(t, 0, holders&asked, must.Sprintf("n=%d holders=%b asked=%b", n, holders, asked))
			}
			if writtenMarked && asked&left == 0 && popcount(asked) == after.AbsenceQuorum() {
				must.True(t, holders&asked != 0 || len(after.Members) == 0, must.Sprintf("n=%d holders=%b asked=%b after", n, holders, asked))
			}
		}
	}
}

// Guards against a set that loses its scope or quorum when a member is replaced, and against a
// first member of an empty set that waits for copies of nobody.
func TestSetKeepsItsScope(t *testing.T) {
	next := regionalOf(4).Replace("a/1", Member{ID: "a/2"})
	must.Eq(t, Scope("north"), next.Scope)
	must.Eq(t, 3, next.WriteQuorum())
	next = regionalOf(0).Replace("", Member{ID: "a/2"})
	must.Eq(t, domain.Epoch(0), next.Members[0].Joined)
	must.Eq(t, []Scope{"north"}, setOf(3).WithScopes([]Scope{"north"}).Replace("a/1", Member{ID: "a/2"}).Scopes)
	must.False(t, Scope("north").Contains(""))
	must.False(t, Scope("north").Contains("south"))
	must.True(t, Global.Contains(""))
}
