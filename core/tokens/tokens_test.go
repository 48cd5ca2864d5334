package tokens

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/mangoknot/mangoknot/core/domain"
)

// Guards against a program that gets more than its budget and one turn, however
// the writes of three gateways reach three stores: each reservation reads the
// shares of two of them, in the order in which they arrived there. Reservations
// ahead are used, given up, or forgotten with their gateway.
func TestBudgetOverMajorities(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const budget, most = 200, 20
		program := Program{Account: "a", Name: "p"}
		now := time.Unix(1000, 0)
		stores := [3]Union{{}, {}, {}}
		books := []*ShareSet{NewShareSet("g0"), NewShareSet("g1"), NewShareSet("g2")}
		var ran domain.Tokens
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
				book     *ShareSet
				pair     [2]int
				own      Share
				reserved domain.Tokens
				ahead    bool
				union    Union
			}
			var races []*race
			for g, book := range books {
				if !rapid.Bool().Draw(t, "takes part") {
					continue
				}
				if rapid.IntRange(0, 9).Draw(t, "restarts") == 0 {
					book = NewShareSet(fmt.Sprint("g", g, "/", round))
					books[g] = book
				}
				r := &race{book: book, pair: pairs[rapid.IntRange(0, 2).Draw(t, "pair")], union: Union{}}
				taken, state := book.TakeAhead(now, program, budget, most)
				if r.ahead = state == AheadTaken; r.ahead {
					r.reserved = taken
				} else {
					r.own, r.reserved = book.Reserve(now, program, most), most
				}
				races = append(races, r)
			}
			// The writes of one round reach the stores in any order.
			for _, k := range rapid.Permutation([]int{0, 1, 2, 3, 4, 5}).Draw(t, "order") {
				if k/2 >= len(races) || races[k/2].ahead {
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
				runs := r.ahead || Judge(budget, r.own, r.union) == Fits
				used := domain.Tokens(0)
				if runs {
					used = domain.Tokens(rapid.IntRange(0, most).Draw(t, "used"))
					ran += used
				}
				if !r.ahead {
					others, _ := r.union.Others(r.own.Writer)
					r.book.Learn(program, others)
				}
				r.book.Finish(now, program, r.reserved, used)
				share, ahead := r.book.ReserveAhead(now, program, budget, most)
				if rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
					r.book.Confirm(now, program, share.Version, false)
					r.book.Rewrite(program)
					continue
				}
				union := write(share, r.pair)
				if ahead {
					others, _ := union.Others(share.Writer)
					r.book.Learn(program, others)
					r.book.Confirm(now, program, share.Version, true)
				}
			}
			if rapid.Bool().Draw(t, "time passes") {
				now = now.Add(aheadFor)
			}
			for _, book := range books {
				book.Expire(now)
				for _, e := range book.Flush() {
					write(e.Share, pairs[rapid.IntRange(0, 2).Draw(t, "flushed to")])
				}
			}
		}
		if ran > budget+most {
			t.Fatalf("the program got %d tokens with a budget of %d", ran, budget)
		}
	})
}

// Guards against a change of a share that an older write takes back.
func TestNewestShareCounts(t *testing.T) {
	union := Union{}
	union.Merge(Share{Writer: "g", Version: 2, Used: 5}, Share{Writer: "g", Version: 1, Reserved: 20})
	weight, _ := union.Others("")
	must.Eq(t, 5, weight)
}

// Guards against "spent" while only tokens reserved ahead stand in the way, and
// against a turn that runs because of them.
func TestJudge(t *testing.T) {
	own := Share{Writer: "g", Reserved: 20}
	cases := []struct {
		other Share
		want  Verdict
	}{
		{Share{Writer: "h", Used: 80}, Fits},
		{Share{Writer: "h", Used: 70, Ahead: 20}, AheadInTheWay},
		{Share{Writer: "h", Used: 81, Ahead: 20}, Spent},
		{Share{Writer: "h", Used: 61, Reserved: 20}, Spent},
	}
	for _, c := range cases {
		union := Union{}
		union.Merge(own, c.other)
		must.Eq(t, c.want, Judge(100, own, union), must.Sprint(c.other))
	}
}

// Guards against reservations ahead that take what turns of other gateways need,
// and that outlive their time.
func TestReserveAhead(t *testing.T) {
	now := time.Unix(1000, 0)
	program := Program{Account: "a", Name: "p"}
	b := NewShareSet("g")
	_, ahead := b.ReserveAhead(now, program, 100, 34)
	must.False(t, ahead)
	share, ahead := b.ReserveAhead(now, program, 100, 33)
	must.True(t, ahead)
	_, state := b.TakeAhead(now, program, 100, 33)
	must.Eq(t, AheadPending, state)
	// What others took meanwhile leaves too little.
	b.Learn(program, 2)
	b.Confirm(now, program, share.Version, true)
	_, state = b.TakeAhead(now, program, 100, 33)
	must.Eq(t, NoAhead, state)
	must.Eq(t, 0, b.Flush()[0].Share.Ahead)
	share, _ = b.ReserveAhead(now, program, 100, 20)
	b.Confirm(now, program, share.Version, true)
	_, state = b.TakeAhead(now, program, 90, 20) // another budget
	must.Eq(t, NoAhead, state)
	must.Eq(t, now.Add(aheadFor), b.Expire(now))
	b.Expire(now.Add(aheadFor))
	_, state = b.TakeAhead(now, program, 100, 20)
	must.Eq(t, NoAhead, state)
	must.Eq(t, 0, b.Flush()[0].Share.Weight())
}

// Guards against a program that comes back after its share was forgotten: a new
// share under the old name would look older than the stored one and be ignored.
func TestForgottenShareGetsAnotherName(t *testing.T) {
	now := time.Unix(1000, 0)
	program := Program{Account: "a", Name: "p"}
	b := NewShareSet("g")
	first := b.Reserve(now, program, 20)
	b.Expire(now.Add(2 * forgetAfter))
	must.Eq(t, first.Writer, b.Reserve(now.Add(2*forgetAfter), program, 20).Writer)
	b.Finish(now.Add(2*forgetAfter), program, 40, 10)
	b.Expire(now.Add(4 * forgetAfter))
	must.True(t, b.Unwritten())
	b.Flush()
	b.Expire(now.Add(6 * forgetAfter))
	must.NotEq(t, first.Writer, b.Reserve(now.Add(6*forgetAfter), program, 20).Writer)
}
