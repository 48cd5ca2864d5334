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

// KeyID names a key for operators without revealing it.
type KeyID string

// AccountSpec configures a client account.
type AccountSpec struct {
	Name domain.Account
	// RatePerSecond and Burst bound the requests over all VMs together.
	RatePerSecond float64
	Burst         float64
	// Weight is the share of service relative to other accounts, at least 1.
	Weight int
	// MonthlyBudget bounds the charges of one calendar month (UTC).
	MonthlyBudget domain.Micros
	// ProgramBudget bounds the charges of each program.
	ProgramBudget domain.Micros
	// Concurrency bounds the calls in flight, 0 for no bound.
	Concurrency int
	// Disabled refuses every keyed request and ends the account's programs.
	Disabled bool
}

// KeySpec configures a caller's key.
type KeySpec struct {
	ID        KeyID
	Hash      KeyHash
	Account   domain.Account
	Withdrawn bool
}

// QueueOrder selects how calls of one account are ordered in queues.
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

// PresetSpec holds the limits that decide spend while a preset is in force.
type PresetSpec struct {
	Name PresetName
	// DailySpendPermille bounds an account's charges of one day, in 1/1000 of
	// its monthly budget.
	DailySpendPermille int
	// MaxGeneratedTokens bounds the generated tokens of one call.
	MaxGeneratedTokens domain.Tokens
	// AllowedModels lists the models that may be called; empty allows all.
	AllowedModels []domain.ModelName
	// AccountConcurrency bounds each account's calls in flight, 0 for no bound.
	AccountConcurrency int
	QueueOrder         QueueOrder
	// NewPrograms says whether calls may start new programs.
	NewPrograms bool
	// MaxTurns, MaxWallTime and MaxRepeatedCalls end endless programs.
	MaxTurns         int
	MaxWallTime      time.Duration
	MaxRepeatedCalls int
}

// AllowsModel says whether calls of the model may run under the preset.
func (p *PresetSpec) AllowsModel(model domain.ModelName) bool {
	return len(p.AllowedModels) == 0 || slices.Contains(p.AllowedModels, model)
}

// ModelSpec holds a model's prices for 1,000,000 tokens and its context size.
type ModelSpec struct {
	Name           domain.ModelName
	PromptPrice    domain.Micros
	CachedPrice    domain.Micros
	GeneratedPrice domain.Micros
	MaxContext     domain.Tokens
}

// RouteSpec configures a plain service.
type RouteSpec struct {
	Name string
	// Open routes need no key and belong to no account.
	Open bool
	// Repeatable routes may be called again; others run at most once.
	Repeatable bool
	Timeout    time.Duration
	// Price is charged for each served call.
	Price   domain.Micros
	Targets []domain.Target
}

// TargetKind tells model engines from plain services.
type TargetKind string

// The target kinds.
const (
	TargetEngine  TargetKind = "engine"
	TargetService TargetKind = "service"
)

// TargetSpec configures a back end.
type TargetSpec struct {
	Name       domain.Target
	Kind       TargetKind
	Address    string
	DataCentre domain.DataCentre
	Region     domain.Region
	Models     []domain.ModelName
	// Leaving targets get no new work.
	Leaving bool
	// Fencing says that the target refuses orders with an old fencing number.
	Fencing bool
	// CacheTokens is the size of the engine's prefix cache.
	CacheTokens domain.Tokens
	// MaxBatch is the largest useful number of calls in flight.
	MaxBatch int
}

// Serves says whether the target is an engine that has the model loaded.
func (t *TargetSpec) Serves(model domain.ModelName) bool {
	return slices.Contains(t.Models, model)
}

// VMSpec registers a VM of the system.
type VMSpec struct {
	Name       domain.VM
	DataCentre domain.DataCentre
	Region     domain.Region
	// PeerAddress is an IP number and port for the other VMs.
	PeerAddress string
	// HasDisk says that the VM keeps records on a disk.
	HasDisk bool
	// Incarnation identifies the process that registered. A VM that has applied
	// its own registration has every change that was accepted before its start.
	Incarnation uint64
}

// Assignment names the VMs that hold a shard.
type Assignment struct {
	Shard  domain.ShardID
	Epoch  domain.Epoch
	Owner  domain.VM
	Backup domain.VM
	// Learner receives a copy of the shard and becomes the backup afterwards.
	Learner domain.VM
}
