package schedule_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/schedule"
)

// Two calls wait for a target with capacity for one. Guards against an
// interface that cannot be used without the controller.
func Example() {
	now := time.Unix(0, 0)
	s := schedule.New(schedule.Config{DataCentre: "a", Region: "r", Rand: rand.New(rand.NewPCG(1, 1))}, now)
	pool := schedule.PoolID{Service: "lookup"}
	s.SetAccounts([]schedule.AccountInfo{{Name: "acme", Weight: 1}})
	// Without a manager this scheduler is the only user of the target.
	s.SetTargets(now, []schedule.TargetInfo{{Name: "worker-1", DataCentre: "a", Region: "r", Pools: []schedule.PoolID{pool}, MaxBatch: 1}})
	for _, id := range []domain.CallID{"first", "second"} {
		s.Enqueue(now, schedule.Call{ID: id, Program: domain.ProgramID{Account: "acme", Name: domain.ProgramName(id)}, ProgramStarted: now, Pool: pool})
	}
	for range 2 {
		for _, p := range s.Dispatch(now) {
			fmt.Println(p.Call, "on", p.Target)
			now = now.Add(time.Second)
			s.Finished(now, p.Call, domain.Usage{})
		}
	}
	// Output:
	// first on worker-1
	// second on worker-1
}
