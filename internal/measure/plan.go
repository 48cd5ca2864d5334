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

// policies lists the compared policies with their names in a Record.
var policies = []struct {
	name   string
	policy schedule.Policy
}{
	{"round_robin", schedule.BaselineRoundRobin},
	{"least_loaded", schedule.BaselineLeastLoaded},
	{"mangoknot", schedule.PolicyDefault},
}

// scenario is one offered load.
type scenario struct {
	name             string
	capacityFraction float64 // offered rate as a fraction of the capacity
	noisy            bool    // one account exceeds its rate
	loseTarget       bool    // one engine fails during the run
}

// scenarios run one after another on one fleet. The scenario that loses a target
// is the last, because the engine is not restarted.
var scenarios = []scenario{
	{name: "half", capacityFraction: 0.5},
	{name: "0.9", capacityFraction: 0.9},
	{name: "1.3", capacityFraction: 1.3},
	{name: "account_at_5x", capacityFraction: 0.9, noisy: true},
	{name: "target_lost", capacityFraction: 0.9, loseTarget: true},
}

// Options configures a measurement.
type Options struct {
	// Seeds is the number of runs of each scenario.
	Seeds int
	// Window is the time in which programs arrive.
	Window time.Duration
	// Capacity is in programs a second; 0 measures it.
	Capacity float64
	// Scenarios limits the run to scenarios of these names; empty runs all.
	Scenarios []string
	// Log receives one line for each result.
	Log io.Writer
}

// Result holds the records of a measurement and the capacities it is based on.
type Result struct {
	TimeScale float64 `json:"time_scale"`
	// Capacity holds, by policy, the highest rate that the policy sustains.
	Capacity map[string]float64 `json:"capacity_programs_per_s"`
	Records  []Record           `json:"records"`
}

// Parameters of the accounts' request rates. The rate limit of an account covers
// its part of the load at 0.9 of capacity, with headroom for the variance of
// programs.
const (
	requestsPerProgram = 6.1 // mean of makeScripts
	rateHeadroom       = 1.5
	unlimitedRate      = 1000.0 // programs a second
)

// requestRate returns the rate limit of an account in requests a second, for an
// offered rate in programs a second.
func requestRate(rate float64, account int) float64 {
	return rate * float64(accountShares[account]) / 100 * requestsPerProgram * rateHeadroom
}

// rateBurst returns the burst size for a rate in requests a second. It covers
// programs of an account that arrive at the same time.
func rateBurst(requests float64) float64 { return 40 + 4*requests }

// Run measures all policies. The policies run concurrently, so that other load on
// the machine affects them equally. On an error it returns the results so far.
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

// forEachPolicy calls f concurrently for the index of each policy, waits for all
// calls and returns the first error in the order of the policies. f updates shared
// results through locked, which runs its argument under a mutex.
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

// Parameters of the capacity search; rates are in programs a second.
const (
	minSearchRate  = 6.0
	maxSearchRate  = 22.0
	capacitySteps  = 4
	capacityWindow = 8 * time.Second
	// capacityDrain lets programs of one step end before the next step starts.
	capacityDrain = 4 * time.Second
)

// measureCapacity finds by bisection the highest rate that each policy sustains
// and stores it in out under the policy's name.
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
