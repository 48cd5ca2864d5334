// Package measure runs the same agent programs under several scheduling
// policies and records the project's measures.
//
// A run starts the real daemons of 6 VMs in 3 data centres and 2 regions, 9
// stand-in engines and 6 stand-in tool services in one process. They talk over
// loopback sockets. docs/measurements.md defines the fields of a Record.
package measure

// TimeScale divides the simulated times of engines and the tool pauses of
// programs. Control delays are real, so they weigh TimeScale times more in the
// results than in a system with these engines.
const TimeScale = 4.0

// The stand-in engines. Prefill and decoding are as slow as those of a large
// model on one accelerator; the cache holds a few programs of each engine's
// share.
const (
	engineCount      = 9
	serviceCount     = 6
	maxBatch         = 8
	prefillPerSecond = 4000
	decodePerSecond  = 30
	cacheTokens      = 60_000
)

// Record holds the measures of one run. Times are in seconds of the
// wall clock, that is compressed by TimeScale.
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
	// Programs, Failed and Refusals explain the measures above.
	Programs int            `json:"programs"`
	Failed   int            `json:"failed"`
	Refusals map[string]int `json:"refusals,omitempty"`
	// Rate is the offered rate in programs a second.
	Rate float64 `json:"rate"`
}
