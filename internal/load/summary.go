package load

import (
	"cmp"
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"
	"time"
)

// Percentiles are the count, mean and percentiles of a set of durations.
type Percentiles struct {
	Count int           `json:"count"`
	Mean  time.Duration `json:"mean_ns"`
	P50   time.Duration `json:"p50_ns"`
	P95   time.Duration `json:"p95_ns"`
	P99   time.Duration `json:"p99_ns"`
}

func percentilesOf(values []time.Duration) Percentiles {
	p := Percentiles{Count: len(values)}
	if p.Count == 0 {
		return p
	}
	slices.Sort(values)
	var sum time.Duration
	for _, v := range values {
		sum += v
	}
	at := func(q float64) time.Duration { return values[int(math.Ceil(q*float64(p.Count)))-1] }
	p.Mean, p.P50, p.P95, p.P99 = sum/time.Duration(p.Count), at(0.50), at(0.95), at(0.99)
	return p
}

// Summary is the result of a run.
type Summary struct {
	Programs       []Result    `json:"programs"`
	ProgramLatency Percentiles `json:"program_latency"`
	FirstToken     Percentiles `json:"first_token"`
	// Refusals counts the attempts that were not served, by code.
	Refusals map[string]int `json:"refusals"`
	// CachedRatio is the fraction of the prompt tokens that came from a cache.
	CachedRatio float64 `json:"cached_ratio"`
	// WastedCache is the fraction of the prefilled tokens that had been cached
	// before.
	WastedCache float64 `json:"wasted_cache"`
	// WorstAccount is the account that received the smallest fraction of its
	// weighted fair share, and WorstShare that fraction.
	WorstAccount string  `json:"worst_account"`
	WorstShare   float64 `json:"worst_share"`
	// RefusedInsideRate counts the load refusals of requests within the agreed
	// rate of their account.
	RefusedInsideRate int `json:"refused_inside_rate"`
}

// Summarize computes the summary of a run.
func Summarize(results []Result, records []Record, accounts map[string]Account) Summary {
	slices.SortFunc(results, func(a, b Result) int { return cmp.Compare(a.Program, b.Program) })
	s := Summary{Programs: results, Refusals: map[string]int{}}
	var latencies, first []time.Duration
	for _, r := range results {
		if r.Parent == "" && r.Outcome == OutcomeComplete {
			latencies = append(latencies, r.Latency)
		}
	}
	for _, r := range records {
		if r.Code != CodeServed {
			s.Refusals[r.Code]++
		}
		if r.Code == CodeServed && r.FirstToken > 0 && !r.Replayed {
			first = append(first, r.FirstToken)
		}
	}
	s.ProgramLatency, s.FirstToken = percentilesOf(latencies), percentilesOf(first)
	s.CachedRatio, s.WastedCache = cacheUse(records)
	s.WorstAccount, s.WorstShare = worstShare(records, accounts)
	s.RefusedInsideRate = refusedInsideRate(records, accounts)
	return s
}

// cacheBlock is the usual block size of prefix caches, in tokens. The last,
// incomplete block of a prompt is not cached, so it does not count as wasted.
const cacheBlock = 16

// cacheUse returns CachedRatio and WastedCache. It compares each prompt with the
// previous turn of the same program, whose prompt and answer were cached.
func cacheUse(records []Record) (cached, wasted float64) {
	records = slices.Clone(records)
	slices.SortStableFunc(records, func(a, b Record) int { return a.Sent.Compare(b.Sent) })
	held := map[string]int{}
	var prompt, hit, recomputed int
	for _, r := range records {
		if r.Code != CodeServed || r.Usage == nil || r.Replayed {
			continue
		}
		prompt += r.Usage.Prompt
		hit += r.Usage.Details.Cached
		before := min(held[r.Program], r.Usage.Prompt) / cacheBlock * cacheBlock
		recomputed += max(0, before-r.Usage.Details.Cached)
		held[r.Program] = r.Usage.Prompt + r.Usage.Generated
	}
	if prompt == 0 {
		return 0, 0
	}
	return float64(hit) / float64(prompt), float64(recomputed) / float64(max(1, prompt-hit))
}

// worstShare returns the account with the smallest ratio of received tokens to fair
// share, and that ratio. The fair share is the account's weighted part of all
// tokens, at most its demand.
func worstShare(records []Record, accounts map[string]Account) (string, float64) {
	type step struct {
		program string
		number  int
	}
	served, demand, lastAttempts := map[string]float64{}, map[string]float64{}, map[step]Record{}
	total := 0.0
	for _, r := range records {
		if r.Model == "" {
			continue
		}
		id := step{r.Program, r.Step}
		if r.Code == CodeServed {
			got := float64(r.Usage.Prompt + r.Usage.Generated)
			served[r.Account] += got
			demand[r.Account] += got
			total += got
			lastAttempts[id] = r
		} else if lastAttempts[id].Code != CodeServed {
			lastAttempts[id] = r
		}
	}
	for _, r := range lastAttempts {
		if r.Code != CodeServed {
			demand[r.Account] += float64(r.Expected)
		}
	}
	worst, share := "", 1.0
	for account, fair := range fairShares(demand, accounts, total) {
		if got := served[account] / fair; fair > 0 && (worst == "" || got < share) {
			worst, share = account, got
		}
	}
	return worst, share
}

// fairShares divides a total by weight with max-min fairness: the part of a share
// above an account's demand goes to the others.
func fairShares(demand map[string]float64, accounts map[string]Account, total float64) map[string]float64 {
	out, unsettled := map[string]float64{}, map[string]float64{}
	for name := range demand {
		unsettled[name] = max(accounts[name].Weight, 1e-9)
	}
	for len(unsettled) > 0 {
		weights := 0.0
		for _, w := range unsettled {
			weights += w
		}
		rest, limited := total, false
		for name, w := range unsettled {
			if demand[name] <= rest*w/weights {
				out[name], limited = demand[name], true
				total -= demand[name]
				delete(unsettled, name)
			}
		}
		if !limited {
			for name, w := range unsettled {
				out[name] = total * w / weights
			}
			return out
		}
	}
	return out
}

// loadCodes are the codes of refusals because of load, which an account within its
// rate must not receive.
var loadCodes = map[string]bool{"rate_exceeded": true, "overloaded": true, "queue_timeout": true, "no_target": true}

// refusedInsideRate applies a token bucket with each account's rate and burst to
// its requests, and counts load refusals of those within the rate.
func refusedInsideRate(records []Record, accounts map[string]Account) int {
	records = slices.Clone(records)
	slices.SortStableFunc(records, func(a, b Record) int { return a.Sent.Compare(b.Sent) })
	type bucket struct {
		tokens float64
		last   time.Time
	}
	buckets, count := map[string]*bucket{}, 0
	for _, r := range records {
		account := accounts[r.Account]
		if account.Rate <= 0 || r.VM == "" || r.Code == CodeNotConnected {
			continue
		}
		b := buckets[r.Account]
		if b == nil {
			b = &bucket{account.Burst, r.Sent}
			buckets[r.Account] = b
		}
		b.tokens = min(account.Burst, b.tokens+r.Sent.Sub(b.last).Seconds()*account.Rate)
		b.last = r.Sent
		inside := b.tokens >= 1
		if inside {
			b.tokens--
		}
		if inside && loadCodes[r.Code] {
			count++
		}
	}
	return count
}

// Violations returns the violated guarantees of all programs.
func (s Summary) Violations() []string {
	var out []string
	for _, p := range s.Programs {
		for _, b := range p.Violations {
			out = append(out, p.Program+": "+b)
		}
	}
	return out
}

// Print writes the summary as text.
func (s Summary) Print(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(table, "PROGRAM\tACCOUNT\tOUTCOME\tTURNS\tLATENCY\tSPENT\tBUDGET")
	for _, p := range s.Programs {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%s\t%.6f\t%.6f\n", p.Program, p.Account, p.Outcome, p.Turns,
			p.Latency.Round(time.Millisecond), float64(p.Spent)/1e6, float64(p.Budget)/1e6)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	round := func(p Percentiles) string {
		return fmt.Sprintf("mean %s, p50 %s, p95 %s, p99 %s of %d", p.Mean.Round(time.Millisecond), p.P50.Round(time.Millisecond),
			p.P95.Round(time.Millisecond), p.P99.Round(time.Millisecond), p.Count)
	}
	fmt.Fprintf(w, "\nprogram latency: %s\nfirst token: %s\n", round(s.ProgramLatency), round(s.FirstToken))
	fmt.Fprintf(w, "cached prompt tokens: %.1f%%, wasted cache: %.1f%% of the prefill\n", 100*s.CachedRatio, 100*s.WastedCache)
	fmt.Fprintf(w, "worst-served account: %s with %.2f of its fair share\n", s.WorstAccount, s.WorstShare)
	fmt.Fprintf(w, "refusals inside the rate: %d; attempts not served by code: %v\n", s.RefusedInsideRate, s.Refusals)
	for _, p := range s.Programs {
		if p.Message != "" {
			fmt.Fprintf(w, "note: %s: %s\n", p.Program, p.Message)
		}
	}
	return nil
}
