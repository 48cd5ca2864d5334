package schedule

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/mangoknot/mangoknot/core/domain"
)

// Guards against an invalid comparison with a baseline, which results if
// windows limit the baseline or if it does not dispatch calls according to its
// policy.
func TestBaselinePlacement(t *testing.T) {
	for _, test := range []struct {
		policy Policy
		// Bounds of the calls in flight on a target after two of the first six
		// calls have ended on targets other than the first.
		minRunning, maxRunning int
	}{
		{BaselineRoundRobin, 2, 4},
		{BaselineLeastLoaded, 3, 4},
	} {
		s := New(Config{DataCentre: "d", Region: "r", Rand: rand.New(rand.NewPCG(1, 2)), Policy: test.policy}, origin)
		targets := []TargetInfo{engine("a", 1), engine("b", 1), engine("c", 1)}
		for i := range targets {
			targets[i].Manager = "manager"
		}
		s.SetTargets(origin, targets)
		placed := map[domain.CallID]domain.Target{}
		add := func(from, to int) {
			for i := from; i < to; i++ {
				s.Enqueue(origin, testCall(fmt.Sprint(i), "account", fmt.Sprint("p", i)))
				for id, target := range targetsOf(s.Dispatch(origin)) {
					placed[id] = target
				}
			}
		}
		add(0, 6)
		must.MapLen(t, 6, placed)
		ended := 0
		for id, target := range placed {
			if target != "a" && ended < 2 {
				s.Finished(origin, id, domain.Usage{Prompt: 10, Generated: 10})
				ended++
			}
		}
		add(6, 12)
		for _, target := range s.targets {
			must.Between(t, test.minRunning, target.running, test.maxRunning)
		}
	}
}
