// Package schedule keeps the queues in front of targets and decides which call
// starts when and where.
//
// Calls of a model or of a plain service form a pool. Between the client
// accounts of a pool, start-time fair queueing counts tokens (prompt tokens not
// expected in a cache plus generated tokens; plain services count calls). A call
// is charged by estimate when it gets a place and corrected by its real usage.
// While an account has queued calls in a pool, the tokens it gets fall behind
// its weighted share of the pool by at most (W+2)*C: W is the number of calls in
// flight and C the largest cost of a call. No history of idleness or of overload
// of other accounts adds to this loss.
//
// Inside an account, the order is least attained service with ageing: a call
// waits behind younger calls for at most Config.MaxAge.
//
// A call goes to the target with the least estimated time: wait for a place,
// prefill of the tokens not expected in the target's prefix cache, generation
// under the target's load, and the price of the link between regions. A call
// whose target is full waits at that target (it is parked) when this is faster
// than any free target, and for no longer than that.
package schedule

import (
	"math/rand/v2"
	"time"

	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/domain"
)

// Config sets the policy of a Scheduler. Zero durations take the defaults.
type Config struct {
	DataCentre domain.DataCentre
	Region     domain.Region
	Order      config.QueueOrder
	// MaxAge bounds the time a call waits behind younger calls of its account.
	MaxAge time.Duration
	// QueueTimeout ends calls that have waited in the queue.
	QueueTimeout time.Duration
	// CrossRegionPenalty is the latency that 1 MB over the link between regions has to
	// save before a prompt crosses it.
	CrossRegionPenalty time.Duration
	Rand               *rand.Rand
	// Policy selects a baseline in experiments.
	Policy Policy
}

// Defaults of Config.
const (
	DefaultMaxAge       = 30 * time.Second
	DefaultQueueTimeout = 60 * time.Second
	// DefaultCrossRegionPenalty follows from the links of today: 1 MB takes 0.4 s of a
	// link of 20 Mbit/s, which all traffic shares, and is billed by volume.
	DefaultCrossRegionPenalty = 4 * time.Second
)

// AccountInfo configures a client account's share of service.
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
	// Leaving targets get no new work.
	Leaving bool
	// CacheTokens is the size of an engine's prefix cache.
	CacheTokens domain.Tokens
	// MaxBatch bounds the window; for a plain service it is the window.
	MaxBatch int
	// Manager is the VM that leases the permits of the target. When it is
	// empty, this scheduler is the only user and adapts the window itself.
	Manager domain.VM
	// ExportBytesPerSecond is the engine's speed of cache export and import, 0
	// without these. BytesPerToken is the cache size of one token.
	ExportBytesPerSecond, BytesPerToken float64
}

// PoolID names a model or a plain service. Exactly one field is set.
type PoolID struct {
	Model   domain.ModelName
	Service string
}

// Call is a call that waits for a target.
type Call struct {
	ID             domain.CallID
	Program        domain.ProgramID
	ProgramStarted time.Time
	Pool           PoolID
	// Prompt is the estimated number of prompt tokens including the history, and
	// PromptBytes its size on the wire.
	Prompt      domain.Tokens
	PromptBytes int64
	// MaxGenerated is the call's own limit of generated tokens.
	MaxGenerated domain.Tokens
	// Repeatable calls may be sent again after a failure.
	Repeatable bool
	// Suspect calls run only on a target with nothing else in flight.
	Suspect bool
}

// Placement starts a call on a target.
type Placement struct {
	Call   domain.CallID
	Target domain.Target
	// Attempt counts from 1.
	Attempt int
	// Cached is the number of prompt tokens expected in the target's cache.
	Cached domain.Tokens
}

// FailureKind says how a call failed.
type FailureKind int

// The kinds of failure.
const (
	// FailureNotRun says that the target has not received the call.
	FailureNotRun FailureKind = iota
	// FailureUnreachable says that no connection to the target could be made.
	FailureUnreachable
	// FailureError says that the target reported an error.
	FailureError
	// FailureCrash says that the target died or the connection broke.
	FailureCrash
)

// LoadReport is a target's own view of its load. It arrives late.
type LoadReport struct {
	Target           domain.Target
	At               time.Time // when the target measured it
	Running, Waiting int
}

// CacheEventKind says what happened to a prefix.
type CacheEventKind int

// The kinds of cache event.
const (
	CacheStored CacheEventKind = iota
	CacheEvicted
	CacheCleared
)

// CacheEvent reports a change of a target's prefix cache. Events arrive late;
// a jump of Seq shows a gap.
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
	// TokenInterval is the mean time between two tokens. FirstSlow is the mean ratio
	// of the time to first token and its estimate on an idle target.
	TokenInterval   time.Duration `cbor:"Between"`
	FirstTokenRatio float64       `cbor:"FirstSlow"`
}

// PermitRequest asks a target's window manager for permits, renews those in
// use and carries measurements.
type PermitRequest struct {
	Target domain.Target
	Seq    uint64
	// AppliedSeq is the Seq of the last grant that the sender has applied.
	AppliedSeq uint64 `cbor:"Taken"`
	// Want and InUse count calls in flight that the sender needs and has.
	Want, InUse int
	// Exclusive asks for the whole target, to isolate a crash suspect.
	Exclusive bool
	Sample    Sample
}

// PermitGrant replaces the receiver's permits of a target. The term counts
// from the send time of the request.
type PermitGrant struct {
	Target    domain.Target
	Seq       uint64
	Permits   int
	Exclusive bool
	// Window and TotalInUse are the whole window and the calls in flight of all VMs.
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
