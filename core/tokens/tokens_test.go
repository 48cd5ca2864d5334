package tokens

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/mangoknot/mangoknot/core/domain"
)

// Guards against a program that gets more than its budget and one turn, however
// the writes of concurrent turns reach three stores: each turn reads the grants
// of two of them, in the order in which they arrived there.
func TestBudgetOverMajorities(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const budget, most = 100, 20
		stores := [3]map[string]Grant{{}, {}, {}}
		var ran domain.Tokens
		// Turns of one gateway come one after the other; three gateways race.
		for round := range 12 {
			type race struct {
				id    string
				pair  [2]int
				union map[string]Grant
			}
			var races []race
			for g := range rapid.IntRange(1, 3).Draw(t, "gateways") {
				skip := rapid.IntRange(0, 2).Draw(t, "skip")
				races = append(races, race{fmt.Sprint(round, "/", g), [2]int{(skip + 1) % 3, (skip + 2) % 3}, map[string]Grant{}})
			}
			for _, i := range rapid.Permutation([]int{0, 1, 2, 3, 4, 5}).Draw(t, "order") {
				if i/2 < len(races) {
					r := &races[i/2]
					store := stores[r.pair[i%2]]
					store[r.id] = Grant{ID: r.id, Most: most}
					for _, g := range store {
						Merge(r.union, []Grant{g})
					}
				}
			}
			for _, r := range races {
				settled := Grant{ID: r.id, Most: most, Settled: true}
				if Fits(budget, r.union) {
					settled.Used = domain.Tokens(rapid.IntRange(0, most).Draw(t, "used"))
					ran += settled.Used
				}
				for _, i := range r.pair {
					stores[i][r.id] = settled
				}
			}
		}
		if ran > budget+most {
			t.Fatalf("the program got %d tokens with a budget of %d", ran, budget)
		}
	})
}

// Guards against a settlement that an older reply takes back.
func TestSettlementStays(t *testing.T) {
	union := map[string]Grant{}
	Merge(union, []Grant{{ID: "1", Most: 20, Settled: true, Used: 5}})
	Merge(union, []Grant{{ID: "1", Most: 20}})
	must.Eq(t, 5, union["1"].Weight())
}
