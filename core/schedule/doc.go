// Package schedule queues calls in front of targets and decides when and where
// each call is dispatched.
//
// Calls to the same model or plain service form a pool. Start-time fair
// queueing divides the service of a pool between client accounts. The cost of a
// call is counted in tokens: prompt tokens that are not expected in a prefix
// cache plus generated tokens. A call to a plain service costs 1. The estimated
// cost is charged when the call is dispatched or parked and is corrected to the
// measured usage when the call finishes. While an account has queued calls in a
// pool, the tokens it receives fall behind its weighted share of the pool by at
// most (W+2)*C, where W is the number of calls in flight and C the largest cost
// of a call. The bound depends neither on earlier idleness nor on earlier
// overload by other accounts.
//
// Inside an account, the queue order is least attained service with ageing:
// calls of programs that have received less service go first, but a call waits
// behind younger calls for at most Config.MaxAge.
//
// A call goes to the target with the lowest estimated completion time. The
// estimate is the sum of the wait for capacity, the prefill of the tokens not
// expected in the target's prefix cache, the generation under the target's
// load, and a penalty for traffic between regions. If the best target is full,
// the call is parked: it waits at that target for as long as this is expected
// to be faster than any target with free capacity.
package schedule

import (
	"math/rand/v2"
	"time"

	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/domain"
)

// Config configures a Scheduler. A zero MaxAge, QueueTimeout or
// CrossRegionPenalty selects its default.
type Config struct {
	DataCentre domain.DataCentre
	Region     domain.Region
	Order      config.QueueOrder
	// MaxAge is the longest time that a call waits behind younger calls of its
	// account.
	MaxAge time.Duration
	// QueueTimeout is the longest time that a call waits in the queue before it
	// is rejected.
	QueueTimeout time.Duration
	// CrossRegionPenalty is the latency added to the estimate of a target in
	// another region for each MB of prompt. A prompt crosses the link between
	// regions only if this saves more time than the penalty.
	CrossRegionPenalty time.Duration
	Rand               *rand.Rand
	// Policy selects the dispatch policy. Only experiments set a baseline.
	Policy Policy
}

// Default values of Config.
const (
	DefaultMaxAge       = 30 * time.Second
	DefaultQueueTimeout = 60 * time.Second
	// DefaultCrossRegionPenalty exceeds the 0.4 s that 1 MB takes on a link of
	// 20 Mbit/s, because all traffic shares this link and it is billed by
	// volume.
	DefaultCrossRegionPenalty = 4 * time.Second
)

// AccountInfo sets the weight of a client account in fair queueing.
type AccountInfo struct {
	Name   domain.Account
	Weight int // at least 1
}

// TargetInfo describes a target.
type TargetInfo struct {
	Name       domain.Target
	DataCentre domain.DataCentre
	Region     domain.Region
	// Pools lists the models or services that the target serves.
	Pools []PoolID
	// Leaving is set while the target drains: it receives no new calls.
	Leaving bool
	// CacheTokens is the capacity of the engine's prefix cache. It is 0 for a
	// target without a prefix cache.
	CacheTokens domain.Tokens
	// MaxBatch is the upper limit of the window. For a plain service the window
	// is always MaxBatch.
	MaxBatch int
	// Manager is the VM whose WindowManager leases the permits of the target.
	// If it is empty, this scheduler is the only user of the target and adapts
	// the window itself.
	Manager domain.VM
	// ExportBytesPerSecond is the speed at which the engine exports and imports
	// cached prefixes, or 0 if it supports neither. BytesPerToken is the cache
	// memory of one token in bytes.
	ExportBytesPerSecond, BytesPerToken float64
}

// PoolID identifies a pool by its model or its plain service. Exactly one field
// is set.
type PoolID struct {
	Model   domain.ModelName
	Service string
}

// Call describes a call to be dispatched.
type Call struct {
	ID             domain.CallID
	Program        domain.ProgramID
	ProgramStarted time.Time
	Pool           PoolID
	// Prompt is the estimated number of prompt tokens including the history,
	// and PromptBytes is the encoded size of the prompt.
	Prompt      domain.Tokens
	PromptBytes int64
	// MaxGenerated is the call's limit of generated tokens, or 0 without a
	// limit.
	MaxGenerated domain.Tokens
	// Repeatable calls may be dispatched again after a failure.
	Repeatable bool
	// Suspect marks a call that may crash its target. It runs only on a target
	// that has no other call in flight.
	Suspect bool
}

// Placement is a decision to dispatch a call to a target.
type Placement struct {
	Call   domain.CallID
	Target domain.Target
	// Attempt is the number of this attempt, starting at 1.
	Attempt int
	// Cached is the number of prompt tokens expected in the target's prefix
	// cache.
	Cached domain.Tokens
}

// FailureKind classifies the failure of an attempt.
type FailureKind int

// The kinds of failure.
const (
	// FailureNotRun means that the target has not run the call: the call was not
	// sent, or the target refused it.
	FailureNotRun FailureKind = iota
	// FailureUnreachable means that no connection to the target could be made.
	FailureUnreachable
	// FailureError means any other failure, such as an error of the target or a
	// time-out.
	FailureError
	// FailureCrash means that the target crashed or the connection broke.
	FailureCrash
)

// LoadReport is the load that a target has measured. Reports arrive with a
// delay.
type LoadReport struct {
	Target           domain.Target
	At               time.Time // time of the measurement
	Running, Waiting int
}

// CacheEventKind is the kind of a change of a prefix cache.
type CacheEventKind int

// The kinds of cache event.
const (
	CacheStored CacheEventKind = iota
	CacheEvicted
	CacheCleared
)

// CacheEvent reports a change of a target's prefix cache. Events arrive with a
// delay. A gap in Seq means that events were lost.
type CacheEvent struct {
	Target  domain.Target
	Seq     uint64
	At      time.Time
	Kind    CacheEventKind
	Program domain.ProgramID
	Tokens  domain.Tokens
}

// Sample aggregates measurements of finished calls.
type Sample struct {
	Calls int
	// TokenInterval is the mean time between two generated tokens.
	// FirstTokenRatio is the mean ratio of the measured time to first token to
	// the estimate for an idle target.
	TokenInterval   time.Duration `cbor:"Between"`
	FirstTokenRatio float64       `cbor:"FirstSlow"`
}

// PermitRequest requests permits from a target's window manager, renews those
// in use and reports measurements.
type PermitRequest struct {
	Target domain.Target
	Seq    uint64
	// AppliedSeq is the Seq of the last grant that the sender has applied.
	AppliedSeq uint64 `cbor:"Taken"`
	// Want is the number of permits that the sender needs, and InUse the number
	// of its calls in flight.
	Want, InUse int
	// Exclusive requests the whole target, to isolate a crash suspect.
	Exclusive bool
	Sample    Sample
}

// PermitGrant replaces the receiver's permits of a target. Term is the duration
// of the lease, counted from the time at which the request was sent.
type PermitGrant struct {
	Target    domain.Target
	Seq       uint64
	Permits   int
	Exclusive bool
	// Window is the target's whole window, and TotalInUse the number of calls
	// in flight from all VMs.
	Window     int
	TotalInUse int `cbor:"Total"`
	Term       time.Duration
}

// MessageName implements domain.Message.
func (*PermitRequest) MessageName() string { return "schedule.PermitRequest" }

// MessageName implements domain.Message.
func (*PermitGrant) MessageName() string { return "schedule.PermitGrant" }

// Messages returns a zero value of each message type.
func Messages() []domain.Message {
	return []domain.Message{&PermitRequest{}, &PermitGrant{}}
}
