// Package measure runs the same agent programs under several scheduling
// policies and records latency, cache use, fairness and refusals.
//
// A run starts the production daemons of 6 VMs in 3 data centres and 2 regions,
// 9 stand-in engines and 6 stand-in tool services in one process. They
// communicate over loopback sockets. docs/measurements.md defines the fields of
// a Record.
package measure

import "github.com/mangoknot/mangoknot/internal/measure/record"

// TimeScale divides the simulated times of engines and the pauses of programs.
// Control delays are not scaled, so their part of the results is TimeScale times
// larger than in a system with real engines of this speed.
const TimeScale = 4.0

// Configuration of the stand-in engines. Rates are in tokens a second. Prefill
// and decoding have the speed of a large model on one accelerator. The cache
// holds only a few of the programs that an engine serves, so placement matters.
const (
	engineCount      = 9
	serviceCount     = 6
	maxBatch         = 8
	prefillPerSecond = 4000
	decodePerSecond  = 30
	cacheTokens      = 60_000
)

// Record holds the measures of one run.
type Record = record.Record
