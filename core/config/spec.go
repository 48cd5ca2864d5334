// Package config holds the configuration state machine that the replicated log
// drives, and the immutable view that every VM serves from.
package config

import (
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
)

// KeyHash is the SHA-256 of a caller's key. The key itself is never stored.
type KeyHash [32]byte

// KeyID identifies a key to operators without revealing it.
type KeyID string

// AccountSpec configures a client account.
type AccountSpec struct {
	Name domain.Account
	// RatePerSecond and Burst are the token bucket of the account's requests,
	// over all VMs together.
	RatePerSecond float64
	Burst         float64
	// Weight is the account's weight in fair scheduling, at least 1.
	Weight int
	// MonthlyBudget is the limit of charges in one calendar month (UTC).
	MonthlyBudget domain.Micros
	// ProgramBudget is the limit of charges of each program.
	ProgramBudget domain.Micros
	// Concurrency is the maximum number of in-flight calls; 0 means no limit.
	Concurrency int
	// Disabled rejects every request with a key of the account and ends its
	// programs.
	Disabled bool
}

// KeySpec configures an API key of a client account.
type KeySpec struct {
	ID        KeyID
	Hash      KeyHash
	Account   domain.Account
	Withdrawn bool
}

// QueueOrder selects the order of one account's calls in queues.
type QueueOrder string

// The queue orders.
const (
	OrderLeastAttained QueueOrder = "least_attained"
	OrderArrival       QueueOrder = "arrival"
	OrderProgramAge    QueueOrder = "program_age"
)

// PresetName names one of the three presets.
type PresetName string

// The presets.
const (
	PresetOrdinary    PresetName = "ordinary"
	PresetPeak        PresetName = "peak"
	PresetMaintenance PresetName = "maintenance"
)

// PresetSpec holds the limits on spending that apply while a preset is in force.
type PresetSpec struct {
	Name PresetName
	// DailySpendPermille is the limit of an account's charges in one day, in
	// 1/1000 of its monthly budget.
	DailySpendPermille int
	// MaxGeneratedTokens is the limit of generated tokens of one call.
	MaxGeneratedTokens domain.Tokens
	// AllowedModels lists the models that may be called; an empty list allows all.
	AllowedModels []domain.ModelName
	// AccountConcurrency is the maximum number of in-flight calls of each
	// account; 0 means no limit.
	AccountConcurrency int
	QueueOrder         QueueOrder
	// NewPrograms reports whether calls may start new programs.
	NewPrograms bool
	// MaxTurns, MaxWallTime and MaxRepeatedCalls end runaway programs.
	MaxTurns         int
	MaxWallTime      time.Duration
	MaxRepeatedCalls int
}

// AllowsModel reports whether calls of the model may run under the preset.
func (p *PresetSpec) AllowsModel(model domain.ModelName) bool {
	return len(p.AllowedModels) == 0 || slices.Contains(p.AllowedModels, model)
}

// ModelSpec holds a model's prices per 1,000,000 tokens and its context size.
type ModelSpec struct {
	Name           domain.ModelName
	PromptPrice    domain.Micros
	CachedPrice    domain.Micros
	GeneratedPrice domain.Micros
	MaxContext     domain.Tokens
}

// RouteSpec configures the route of a plain service.
type RouteSpec struct {
	Name string
	// Open routes need no key and belong to no account.
	Open bool
	// Repeatable routes may be called again after a failure; calls of other
	// routes run at most once.
	Repeatable bool
	Timeout    time.Duration
	// Price is charged for each served call, in micros.
	Price   domain.Micros
	Targets []domain.Target
}

// TargetKind distinguishes model engines from plain services.
type TargetKind string

// The target kinds.
const (
	TargetEngine  TargetKind = "engine"
	TargetService TargetKind = "service"
)

// TargetSpec configures a target: a back end that runs calls.
type TargetSpec struct {
	Name       domain.Target
	Kind       TargetKind
	Address    string
	DataCentre domain.DataCentre
	Region     domain.Region
	Models     []domain.ModelName
	// Leaving reports whether the target is draining and gets no new calls.
	Leaving bool
	// Fencing reports whether the target rejects requests with an old fencing
	// token.
	Fencing bool
	// CacheTokens is the capacity of the engine's prefix cache.
	CacheTokens domain.Tokens
	// MaxBatch is the largest useful number of in-flight calls.
	MaxBatch int
}

// Serves reports whether the target is an engine that has the model loaded.
func (t *TargetSpec) Serves(model domain.ModelName) bool {
	return slices.Contains(t.Models, model)
}

// VMSpec registers a VM of the system.
type VMSpec struct {
	Name       domain.VM
	DataCentre domain.DataCentre
	Region     domain.Region
	// PeerAddress is the IP address and port on which other VMs reach this one.
	PeerAddress string
	// HasDisk reports whether the VM stores records on a disk.
	HasDisk bool
	// Incarnation identifies the process that registered. A VM that has applied
	// its own registration has applied every change accepted before it started.
	Incarnation uint64
}

// Assignment names the VMs that hold a shard.
type Assignment struct {
	Shard  domain.ShardID
	Epoch  domain.Epoch
	Owner  domain.VM
	Backup domain.VM
	// Learner receives a copy of the shard and then becomes its backup.
	Learner domain.VM
}
