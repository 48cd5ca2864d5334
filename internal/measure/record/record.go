// Package record defines the records of a measurement. It is separate from the
// code that produces them, so that tools can read records without importing it.
package record

// Record holds the measures of one run. Times are in wall-clock seconds, which are
// shorter than simulated times by the time scale of the measurement.
type Record struct {
	Scenario           string  `json:"scenario"`
	Policy             string  `json:"policy"`
	Seed               uint64  `json:"seed"`
	ProgramLatencyMean float64 `json:"program_latency_mean_s"`
	ProgramLatencyP95  float64 `json:"program_latency_p95_s"`
	ProgramLatencyP99  float64 `json:"program_latency_p99_s"`
	FirstTokenP95      float64 `json:"first_token_p95_s"`
	WastedCacheRatio   float64 `json:"wasted_cache_ratio"`
	WorstAccountShare  float64 `json:"worst_account_share"`
	RefusedInsideRate  float64 `json:"refused_inside_rate"`
	CrossRegionBytes   int64   `json:"cross_region_bytes"`
	// Programs and Failed count programs. Refusals counts the attempts that were
	// not served, by refusal code or cause of failure.
	Programs int            `json:"programs"`
	Failed   int            `json:"failed"`
	Refusals map[string]int `json:"refusals,omitempty"`
	// Rate is the offered rate in programs a second.
	Rate float64 `json:"rate"`
}
