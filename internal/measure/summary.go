package measure

import (
	"math"
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
)

// lateCallCutoff is a time before the end of the window. Calls sent within it do
// not count in the accounts' shares, because any policy would still be serving
// them when the window ends.
const lateCallCutoff = time.Second

// blockTokens is the block size of the engines' prefix caches. Only whole blocks
// are reused.
const blockTokens = 16

// summary computes the measures of a run. noisy is the index of the account that
// exceeds its rate, or -1.
func (o *observation) summary(noisy int) Record {
	r := Record{Programs: len(o.programs), Refusals: map[string]int{}}
	var latencies, firstTokens []float64
	for _, p := range o.programs {
		if p.failed {
			r.Failed++
		}
		latencies = append(latencies, p.ended.Sub(p.arrived).Seconds())
	}
	var prefill, wasted int64
	for _, c := range o.calls {
		if c.failure != "" {
			r.Refusals[c.failure]++
			continue
		}
		if c.modelCall {
			firstTokens = append(firstTokens, c.firstToken.Seconds())
			prefill += c.prompt - c.cached
			reusable := min(c.prefixTokens, c.prompt) / blockTokens * blockTokens
			wasted += max(reusable-c.cached, 0)
		}
	}
	r.ProgramLatencyMean, r.ProgramLatencyP95, r.ProgramLatencyP99 = mean(latencies), quantile(latencies, 0.95), quantile(latencies, 0.99)
	r.FirstTokenP95 = quantile(firstTokens, 0.95)
	if prefill > 0 {
		r.WastedCacheRatio = float64(wasted) / float64(prefill)
	}
	r.WorstAccountShare = o.worstAccountShare()
	r.RefusedInsideRate = o.refusedInsideRate(noisy)
	r.CrossRegionBytes = o.crossRegion
	return r
}

// worstAccountShare returns the lowest ratio, at most 1, of the tokens served to an
// account in the window to its weighted max-min fair share of all tokens served.
func (o *observation) worstAccountShare() float64 {
	end := o.start.Add(o.window)
	demand, served := make([]float64, len(accountShares)), make([]float64, len(accountShares))
	total := 0.0
	for _, c := range o.calls {
		if !c.modelCall || c.sent.After(end.Add(-lateCallCutoff)) || c.failure == string(domain.ReasonRateExceeded) {
			continue
		}
		demand[c.account] += float64(c.newTokens)
		if c.failure == "" && !c.done.After(end) {
			served[c.account] += float64(c.newTokens)
			total += float64(c.newTokens)
		}
	}
	fair := fairShares(demand, total)
	worst := 1.0
	for i := range fair {
		if fair[i] > 0 {
			worst = min(worst, served[i]/fair[i])
		}
	}
	return worst
}

// fairShares returns the weighted max-min fair shares of a total. Capacity that an
// account does not demand is divided among the others.
func fairShares(demand []float64, total float64) []float64 {
	out := make([]float64, len(demand))
	unsatisfied := make([]int, len(demand))
	for i := range unsatisfied {
		unsatisfied[i] = i
	}
	for len(unsatisfied) > 0 {
		weights := 0.0
		for _, i := range unsatisfied {
			weights += float64(accountShares[i])
		}
		perWeight := total / weights
		remaining := slices.DeleteFunc(slices.Clone(unsatisfied), func(i int) bool { return demand[i] <= perWeight*float64(accountShares[i]) })
		if len(remaining) == len(unsatisfied) {
			for _, i := range unsatisfied {
				out[i] = perWeight * float64(accountShares[i])
			}
			return out
		}
		for _, i := range unsatisfied {
			if !slices.Contains(remaining, i) {
				out[i] = demand[i]
				total -= demand[i]
			}
		}
		unsatisfied = remaining
	}
	return out
}

// refusedInsideRate returns the fraction of the requests within the accounts'
// rates that was refused. The noisy account and aborted calls are excluded.
func (o *observation) refusedInsideRate(noisy int) float64 {
	requests, refused := 0, 0
	for _, c := range o.calls {
		if c.account == noisy || c.failure == "aborted" {
			continue
		}
		requests++
		if c.failure != "" {
			refused++
		}
	}
	if requests == 0 {
		return 0
	}
	return float64(refused) / float64(requests)
}

// mean returns the arithmetic mean, and 0 for no values.
func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / math.Max(float64(len(values)), 1)
}

// quantile returns the smallest value that is at least as large as a fraction q of
// the values, and 0 for no values.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[max(int(math.Ceil(q*float64(len(sorted))))-1, 0)]
}
