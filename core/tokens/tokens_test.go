package tokens

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/mangoknot/mangoknot/core/domain"
)

// Guards against a program that receives more tokens than its budget plus one turn. The
// writes of three gateways reach three stores in random order, and each reservation
// reads the shares of two stores. Advance reservations are used, released, or lost when
// their gateway restarts.
func TestBudgetAcrossMajorities(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const budget, maxTokens = 200, 20
		program := Program{Account: "a", Name: "p"}
		now := time.Unix(1000, 0)
		stores := [3]Union{{}, {}, {}}
		sets := []*ShareSet{NewShareSet("g0"), NewShareSet("g1"), NewShareSet("g2")}
		var received domain.Tokens
		write := func(share Share, pair [2]int) Union {
			union := Union{}
			for _, i := range pair {
				stores[i].Merge(share)
				for _, s := range stores[i] {
					union.Merge(s)
				}
			}
			return union
		}
		pairs := [][2]int{{0, 1}, {1, 2}, {0, 2}}
		for round := range 15 {
			type race struct {
				set      *ShareSet
				pair     [2]int
				own      Share
				reserved domain.Tokens
				advance  bool
				union    Union
			}
			var races []*race
			for g, set := range sets {
				if !rapid.Bool().Draw(t, "takes part") {
					continue
				}
				if rapid.IntRange(0, 9).Draw(t, "restarts") == 0 {
					set = NewShareSet(fmt.Sprint("g", g, "/", round))
					sets[g] = set
				}
				r := &race{set: set, pair: pairs[rapid.IntRange(0, 2).Draw(t, "pair")], union: Union{}}
				taken, state := set.TakeAdvance(now, program, budget, maxTokens)
				if r.advance = state == AdvanceTaken; r.advance {
					r.reserved = taken
				} else {
					r.own, r.reserved = set.Reserve(now, program, maxTokens), maxTokens
				}
				races = append(races, r)
			}
			// The writes of one round reach the stores in any order.
			for _, k := range rapid.Permutation([]int{0, 1, 2, 3, 4, 5}).Draw(t, "order") {
				if k/2 >= len(races) || races[k/2].advance {
					continue
				}
				r := races[k/2]
				store := stores[r.pair[k%2]]
				store.Merge(r.own)
				for _, s := range store {
					r.union.Merge(s)
				}
			}
			for _, r := range races {
				runs := r.advance || CheckBudget(budget, r.own, r.union) == WithinBudget
				used := domain.Tokens(0)
				if runs {
					used = domain.Tokens(rapid.IntRange(0, maxTokens).Draw(t, "used"))
					received += used
				}
				if !r.advance {
					others, _ := r.union.SumOthers(r.own.Writer)
					r.set.SetOthersWeight(program, others)
				}
				r.set.Finish(now, program, r.reserved, used)
				share, advance := r.set.ReserveAdvance(now, program, budget, maxTokens)
				if rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
					r.set.ConfirmAdvance(now, program, share.Version, false)
					r.set.WriteFailed(program)
					continue
				}
				union := write(share, r.pair)
				if advance {
					others, _ := union.SumOthers(share.Writer)
					r.set.SetOthersWeight(program, others)
					r.set.ConfirmAdvance(now, program, share.Version, true)
				}
			}
			if rapid.Bool().Draw(t, "time passes") {
				now = now.Add(advanceReservationTTL)
			}
			for _, set := range sets {
				set.Expire(now)
				for _, e := range set.Flush() {
					write(e.Share, pairs[rapid.IntRange(0, 2).Draw(t, "flushed to")])
				}
			}
		}
		if received > budget+maxTokens {
			t.Fatalf("the program received %d tokens with a budget of %d", received, budget)
		}
	})
}

// Guards against a late write of an older version that reverts a change of a share.
func TestOlderShareIsIgnored(t *testing.T) {
	union := Union{}
	union.Merge(Share{Writer: "g", Version: 2, Used: 5}, Share{Writer: "g", Version: 1, Reserved: 20})
	weight, _ := union.SumOthers("")
	must.Eq(t, 5, weight)
}

// Guards against Spent for a turn that only advance reservations block, and against a
// turn that runs as if advance reservations did not count.
func TestCheckBudget(t *testing.T) {
	own := Share{Writer: "g", Reserved: 20}
	cases := []struct {
		other Share
		want  BudgetDecision
	}{
		{Share{Writer: "h", Used: 80}, WithinBudget},
		{Share{Writer: "h", Used: 70, Advance: 20}, BlockedByAdvance},
		{Share{Writer: "h", Used: 81, Advance: 20}, Spent},
		{Share{Writer: "h", Used: 61, Reserved: 20}, Spent},
	}
	for _, c := range cases {
		union := Union{}
		union.Merge(own, c.other)
		must.Eq(t, c.want, CheckBudget(100, own, union), must.Sprint(c.other))
	}
}

// Guards against advance reservations that block turns of other gateways, or that do
// not expire.
func TestAdvanceReservation(t *testing.T) {
	now := time.Unix(1000, 0)
	program := Program{Account: "a", Name: "p"}
	b := NewShareSet("g")
	_, advance := b.ReserveAdvance(now, program, 100, 34)
	must.False(t, advance)
	share, advance := b.ReserveAdvance(now, program, 100, 33)
	must.True(t, advance)
	_, state := b.TakeAdvance(now, program, 100, 33)
	must.Eq(t, AdvancePending, state)
	// The weight of the other shares leaves too little headroom.
	b.SetOthersWeight(program, 2)
	b.ConfirmAdvance(now, program, share.Version, true)
	_, state = b.TakeAdvance(now, program, 100, 33)
	must.Eq(t, AdvanceNone, state)
	must.Eq(t, 0, b.Flush()[0].Share.Advance)
	share, _ = b.ReserveAdvance(now, program, 100, 20)
	b.ConfirmAdvance(now, program, share.Version, true)
	_, state = b.TakeAdvance(now, program, 90, 20) // another budget
	must.Eq(t, AdvanceNone, state)
	must.Eq(t, now.Add(advanceReservationTTL), b.Expire(now))
	b.Expire(now.Add(advanceReservationTTL))
	_, state = b.TakeAdvance(now, program, 100, 20)
	must.Eq(t, AdvanceNone, state)
	must.Eq(t, 0, b.Flush()[0].Share.Weight())
}

// Guards against a new share under the writer name of a removed one: its versions would
// be lower than the stored version, so its changes would be ignored.
func TestRemovedShareGetsNewWriter(t *testing.T) {
	now := time.Unix(1000, 0)
	program := Program{Account: "a", Name: "p"}
	b := NewShareSet("g")
	first := b.Reserve(now, program, 20)
	b.Expire(now.Add(2 * idleTTL))
	must.Eq(t, first.Writer, b.Reserve(now.Add(2*idleTTL), program, 20).Writer)
	b.Finish(now.Add(2*idleTTL), program, 40, 10)
	b.Expire(now.Add(4 * idleTTL))
	must.True(t, b.HasUnwritten())
	b.Flush()
	b.Expire(now.Add(6 * idleTTL))
	must.NotEq(t, first.Writer, b.Reserve(now.Add(6*idleTTL), program, 20).Writer)
}
