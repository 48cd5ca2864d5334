// Package measure runs the same agent programs under several scheduling
// policies and records the project's measures.
//
// A run starts the real daemons of 6 VMs in 3 data centres and 2 regions, 9
// stand-in engines and 6 stand-in tool services in one process. They talk over
// loopback sockets. docs/measurements.md defines the fields of a Record.
package measure

import "github.com/mangoknot/mangoknot/internal/measure/record"

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

// Record holds the measures of one run.
type Record = record.Record
