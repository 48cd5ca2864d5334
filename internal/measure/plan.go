package measure

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/mangoknot/mangoknot/core/schedule"
)

// The policies by the name in a Record.
var policies = []struct {
	name   string
	policy schedule.Policy
}{
	{"round_robin", schedule.BaselineRoundRobin},
	{"least_loaded", schedule.BaselineLeastLoaded},
	{"mangoknot", schedule.PolicyDefault},
}

// scenario is one load. The rate is a part of the capacity.
type scenario struct {
	name             string
	capacityFraction float64
	noisy            bool
	loseTarget       bool
}

// scenarios run one after another on one fleet; the one that loses a target is
// the last.
var scenarios = []scenario{
	{name: "half", capacityFraction: 0.5},
	{name: "0.9", capacityFraction: 0.9},
	{name: "1.3", capacityFraction: 1.3},
	{name: "account_at_5x", capacityFraction: 0.9, noisy: true},
	{name: "target_lost", capacityFraction: 0.9, loseTarget: true},
}

// Options of a whole measurement.
type Options struct {
	Seeds  int
	Window time.Duration
	// Capacity in programs a second; 0 measures it.
	Capacity float64
	// Scenarios limits the run to scenarios of these names; empty runs all.
	Scenarios []string
	Log       io.Writer
}

// Result is the file of a measurement.
type Result struct {
	TimeScale float64 `json:"time_scale"`
	// Capacity is the rate of programs a second that a policy just keeps up with.
	Capacity map[string]float64 `json:"capacity_programs_per_s"`
	Records  []Record           `json:"records"`
}

// Rates of the accounts: the account's part of the load at 0.9 of capacity, with
// headroom for the variation of programs.
const (
	requestsPerProgram = 6.1 // mean of the script generator
	rateHeadroom       = 1.5
	unlimitedRate      = 1000.0
)

func requestRate(rate float64, account int) float64 {
	return rate * float64(accountShares[account]) / 100 * requestsPerProgram * rateHeadroom
}

// rateBurst covers the programs of an account that arrive together.
func rateBurst(requests float64) float64 { return 40 + 4*requests }

// Run measures all policies. The policies run at the same time, so that other
// use of the machine affects them alike.
func Run(ctx context.Context, o Options) (Result, error) {
	out := Result{TimeScale: TimeScale, Capacity: map[string]float64{}}
	if o.Capacity == 0 {
		if err := measureCapacity(ctx, o, out.Capacity); err != nil {
			return out, err
		}
		o.Capacity = out.Capacity["round_robin"]
	}
	for seed := range o.Seeds {
		err := forEachPolicy(func(i int, locked func(func())) error {
			records, err := o.runSeed(ctx, i, uint64(seed+1))
			locked(func() { out.Records = append(out.Records, records...) })
			return err
		})
		if err != nil {
			return out, err
		}
	}
	return out, nil
}

// forEachPolicy calls f for each policy at the same time. done runs its argument
// alone.
func forEachPolicy(f func(i int, locked func(func())) error) error {
	var wait sync.WaitGroup
	var mu sync.Mutex
	errs := make([]error, len(policies))
	done := func(g func()) { mu.Lock(); defer mu.Unlock(); g() }
	for i := range policies {
		wait.Go(func() { errs[i] = f(i, done) })
	}
	wait.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func (o Options) runSeed(ctx context.Context, i int, seed uint64) ([]Record, error) {
	rate := o.Capacity * 0.9
	f, err := startFleet(ctx, policies[i].policy, rate)
	if err != nil {
		return nil, err
	}
	defer f.close()
	var out []Record
	for number, s := range scenarios {
		if len(o.Scenarios) > 0 && !slices.Contains(o.Scenarios, s.name) {
			continue
		}
		noisy := -1
		if s.noisy {
			noisy = noisyAccount
		}
		scripts := makeScripts(seed*100+uint64(number), o.Capacity*s.capacityFraction, o.Window, s.noisy)
		r := runPrograms(ctx, f, scripts, o.Window, drainTimeout, s.loseTarget).summary(noisy)
		r.Scenario, r.Policy, r.Seed, r.Rate = s.name, policies[i].name, seed, o.Capacity*s.capacityFraction
		out = append(out, r)
		fmt.Fprintf(o.Log, "%-13s %-12s seed %d: %d programs (%d failed), latency mean %.2f p95 %.2f p99 %.2f s, first token p95 %.2f s, wasted %.3f, worst share %.3f, refused %.4f %v, cross region %d\n",
			r.Scenario, r.Policy, seed, r.Programs, r.Failed, r.ProgramLatencyMean, r.ProgramLatencyP95, r.ProgramLatencyP99, r.FirstTokenP95, r.WastedCacheRatio, r.WorstAccountShare, r.RefusedInsideRate, r.Refusals, r.CrossRegionBytes)
	}
	return out, nil
}

// Bounds and steps of the capacity search in programs a second.
const (
	minSearchRate  = 6.0
	maxSearchRate  = 22.0
	capacitySteps  = 4
	capacityWindow = 8 * time.Second
	// capacityDrain frees the fleet for the next step.
	capacityDrain = 4 * time.Second
)

// measureCapacity finds by bisection the highest rate that each policy keeps up
// with.
func measureCapacity(ctx context.Context, o Options, out map[string]float64) error {
	return forEachPolicy(func(i int, locked func(func())) error {
		f, err := startFleet(ctx, policies[i].policy, unlimitedRate)
		if err != nil {
			return err
		}
		defer f.close()
		low, high := minSearchRate, maxSearchRate
		for step := range capacitySteps {
			rate := (low + high) / 2
			kept := runPrograms(ctx, f, makeScripts(uint64(9000+step), rate, capacityWindow, false), capacityWindow, capacityDrain, false).keepsUp()
			fmt.Fprintf(o.Log, "capacity %-12s %.1f programs/s: keeps up %t\n", policies[i].name, rate, kept)
			if kept {
				low = rate
			} else {
				high = rate
			}
		}
		locked(func() { out[policies[i].name] = low })
		return nil
	})
}
