package tokens

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/mangoknot/mangoknot/core/domain"
)

// modelStore holds the shares of one program as a storage VM does.
type modelStore struct {
	shares Union
	lapses Lapses
}

func newModelStore() *modelStore { return &modelStore{Union{}, Lapses{}} }

// write stores a share and returns what the store holds.
func (s *modelStore) write(now time.Time, share Share) (shares []Share, lapsed []string) {
	if s.shares.Add(share) {
		s.lapses.Received(now, share)
	}
	return slices.Collect(maps.Values(s.shares)), s.lapses.Lapsed(now)
}

// modelTurn is a turn of the model. Its share is written to a pair of stores, one after the other.
type modelTurn struct {
	set      *ShareSet
	pair     [2]int
	own      Share
	reserved domain.Tokens
	// advance reports whether the turn holds an advance reservation. frozen reports that its
	// gateway was frozen before the share was written.
	advance, frozen bool
	held            Held
}

// Guards against a program that receives more tokens than its budget plus one turn. The
// writes of three gateways reach three stores in random order, and each reservation
// reads the shares of two stores. Advance reservations are used, released, or lost when
// their gateway restarts, and lapse at the stores, also while their gateway is frozen.
func TestBudgetAcrossMajorities(t *testing.T) {
	lapsed := 0
	rapid.Check(t, func(t *rapid.T) {
		const budget, maxTokens = 200, 20
		program := Program{Account: "a", Name: "p"}
		now := time.Unix(1000, 0)
		stores := [3]*modelStore{newModelStore(), newModelStore(), newModelStore()}
		sets := []*ShareSet{NewShareSet("g0"), NewShareSet("g1"), NewShareSet("g2")}
		var received domain.Tokens
		write := func(share Share, pair [2]int) (held Held) {
			for _, i := range pair {
				held.Merge(stores[i].write(now, share))
			}
			return held
		}
		pairs := [][2]int{{0, 1}, {1, 2}, {0, 2}}
		var frozen []*modelTurn
		for round := range 15 {
			turns := frozen
			frozen = nil
			for g, set := range sets {
				if !rapid.Bool().Draw(t, "takes part") {
					continue
				}
				if rapid.IntRange(0, 9).Draw(t, "restarts") == 0 {
					set = NewShareSet(fmt.Sprint("g", g, "/", round))
					sets[g] = set
				}
				r := &modelTurn{set: set, pair: pairs[rapid.IntRange(0, 2).Draw(t, "pair")]}
				taken, state := set.TakeAdvance(now, program, budget, maxTokens)
				if r.advance = state == AdvanceTaken; r.advance {
					r.own, r.reserved = taken.Share, taken.Tokens
					r.frozen = rapid.IntRange(0, 3).Draw(t, "frozen") == 0
				} else {
					r.own, r.reserved = set.Reserve(now, program, maxTokens), maxTokens
				}
				turns = append(turns, r)
			}
			// The writes of one round reach the stores in any order.
			var order []int
			for k := range 2 * len(turns) {
				order = append(order, k)
			}
			if len(order) > 0 {
				order = rapid.Permutation(order).Draw(t, "order")
			}
			for _, k := range order {
				r := turns[k/2]
				if r.frozen {
					continue
				}
				shares, lapses := stores[r.pair[k%2]].write(now, r.own)
				lapsed += len(lapses)
				r.held.Merge(shares, lapses)
			}
			for _, r := range turns {
				if r.frozen {
					r.frozen = rapid.Bool().Draw(t, "still frozen")
					frozen = append(frozen, r)
					continue
				}
				decision := CheckBudget(budget, r.own, r.held)
				used := domain.Tokens(0)
				if decision == WithinBudget || (r.advance && decision != Spent) {
					used = domain.Tokens(rapid.IntRange(0, maxTokens).Draw(t, "used"))
					received += used
				}
				others, _ := r.held.SumOthers(r.own.Writer)
				r.set.SetOthersWeight(program, others)
				if !slices.Contains(sets, r.set) {
					continue // restarted while it was frozen
				}
				r.set.Finish(now, program, r.reserved, used)
				share, advance := r.set.ReserveAdvance(now, program, budget, maxTokens)
				if rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
					r.set.ConfirmAdvance(program, share.Version, false)
					r.set.WriteFailed(program)
					continue
				}
				held := write(share, r.pair)
				if advance {
					others, _ := held.SumOthers(share.Writer)
					r.set.SetOthersWeight(program, others)
					r.set.ConfirmAdvance(program, share.Version, true)
				}
			}
			now = now.Add(rapid.SampledFrom([]time.Duration{0, advanceReservationTTL / 2, advanceReservationTTL, advanceReservationTTL + advanceLapseMargin}).Draw(t, "time passes"))
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
	must.Positive(t, lapsed)
}

// Guards against a late write of an older version that reverts a change of a share.
func TestOlderShareIsIgnored(t *testing.T) {
	var held Held
	held.Merge([]Share{{Writer: "g", Version: 2, Used: 5}, {Writer: "g", Version: 1, Reserved: 20}}, nil)
	weight, _ := held.SumOthers("")
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
		var held Held
		held.Merge([]Share{own, c.other}, nil)
		must.Eq(t, c.want, CheckBudget(100, own, held), must.Sprint(c.other))
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
	b.ConfirmAdvance(program, share.Version, true)
	_, state = b.TakeAdvance(now, program, 100, 33)
	must.Eq(t, AdvanceNone, state)
	must.Eq(t, 0, b.Flush()[0].Share.Advance)
	share, _ = b.ReserveAdvance(now, program, 100, 20)
	b.ConfirmAdvance(program, share.Version, true)
	_, state = b.TakeAdvance(now, program, 90, 20) // another budget
	must.Eq(t, AdvanceNone, state)
	must.Eq(t, now.Add(advanceReservationTTL), b.Expire(now))
	b.Expire(now.Add(advanceReservationTTL))
	_, state = b.TakeAdvance(now, program, 100, 20)
	must.Eq(t, AdvanceNone, state)
	// The storage VMs report it as lapsed, so it alone is no reason for a write at once.
	unwritten, urgent := b.HasUnwritten()
	must.True(t, unwritten)
	must.False(t, urgent)
	b.Finish(now, program, 0, 0)
	_, urgent = b.HasUnwritten()
	must.True(t, urgent)
	must.Eq(t, 0, b.Flush()[0].Share.Weight())
	unwritten, urgent = b.HasUnwritten()
	must.False(t, unwritten || urgent)
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
	unwritten, _ := b.HasUnwritten()
	must.True(t, unwritten)
	b.Flush()
	b.Expire(now.Add(6 * idleTTL))
	must.NotEq(t, first.Writer, b.Reserve(now.Add(6*idleTTL), program, 20).Writer)
}

// Guards against the advance reservation of a gateway that has ended, which counts for ever (LOST in the
// second review), and against one that lapses while its gateway may still use it, or once a turn
// holds it.
func TestAdvanceReservationLapses(t *testing.T) {
	program := Program{Account: "a", Name: "p"}
	decide := func(now time.Time, stores ...*modelStore) BudgetDecision {
		var held Held
		own := Share{Writer: "other", Version: 1, Reserved: 80}
		for _, s := range stores {
			held.Merge(s.write(now, own))
		}
		return CheckBudget(100, own, held)
	}
	start := time.Unix(1000, 0)
	lapses := start.Add(advanceReservationTTL + advanceLapseMargin)
	set := NewShareSet("g")
	set.Finish(start, program, 0, 10)
	share, advance := set.ReserveAdvance(start, program, 100, 20)
	must.True(t, advance)
	a, b := newModelStore(), newModelStore()
	a.write(start, share)
	b.write(start.Add(time.Second), share) // a copy of another store
	must.Eq(t, BlockedByAdvance, decide(lapses.Add(-1), a, b))
	must.Eq(t, WithinBudget, decide(lapses, a, b))
	must.Eq(t, WithinBudget, decide(lapses, b, a))
	must.Eq(t, BlockedByAdvance, decide(lapses, b))

	set.ConfirmAdvance(program, share.Version, true)
	_, state := set.TakeAdvance(start.Add(advanceReservationTTL), program, 100, 20)
	must.Eq(t, AdvanceNone, state)
	taken, state := set.TakeAdvance(start.Add(advanceReservationTTL-1), program, 100, 20)
	must.Eq(t, AdvanceTaken, state)
	// The other gateway has used the tokens, so the turn must not run.
	var held Held
	held.Merge(a.write(lapses, taken.Share))
	must.Eq(t, Spent, CheckBudget(100, taken.Share, held))
	must.Eq(t, Spent, decide(lapses, a, b))
	must.Eq(t, Spent, decide(lapses, b, a))
}

// Guards against an advance reservation that lapses although its gateway, of a build from before, does
// not record that a turn uses it.
func TestAdvanceReservationOfEarlierBuildIsKept(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newModelStore()
	_, lapsed := s.write(now, Share{Writer: "g", Version: 1, Advance: 20})
	must.SliceEmpty(t, lapsed)
	_, lapsed = s.write(now.Add(time.Hour), Share{Writer: "h", Version: 1})
	must.SliceEmpty(t, lapsed)
}

// Guards against reservations that a planned stop leaves behind.
func TestReleaseAdvances(t *testing.T) {
	now := time.Unix(1000, 0)
	set := NewShareSet("g")
	for _, name := range []string{"p", "q"} {
		set.ReserveAdvance(now, Program{Name: name}, 100, 20)
	}
	set.ReleaseAdvances()
	batch := set.Flush()
	must.Len(t, 2, batch)
	for _, e := range batch {
		must.Eq(t, 0, e.Share.Weight())
		must.Eq(t, 2, e.Share.Version)
	}
}

// Guards against a repair of the shares of a program with each of its writes: where several gateways
// serve it, the storage VMs would write each share once more.
func TestRepairsOfSharesAreRare(t *testing.T) {
	now := time.Unix(1000, 0)
	program := Program{Name: "p"}
	set := NewShareSet("g")
	must.False(t, set.RepairDue(now, program), must.Sprint("the gateway has no share of the program"))
	set.Reserve(now, program, 20)
	must.True(t, set.RepairDue(now, program))
	must.False(t, set.RepairDue(now.Add(repairInterval-1), program))
	must.True(t, set.RepairDue(now.Add(repairInterval), program))
}
