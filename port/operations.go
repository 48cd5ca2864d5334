package port

import (
	"context"
	"time"

	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/domain"
)

// InForce lists where a configuration version is in force.
type InForce struct {
	Version uint64
	// Everywhere lists the VMs that serve from the version or a later one.
	Everywhere []domain.VM
	// NotYet lists the registered VMs that have not reported it.
	NotYet []domain.VM
}

// VMStatus is the state of one VM of the system, as known to the answering VM.
type VMStatus struct {
	Name       domain.VM
	DataCentre domain.DataCentre
	Region     domain.Region
	// State is alive, suspect, dead or leaving.
	State string
	// Version is the configuration version that the VM last reported.
	Version uint64
	// Shards is the number of shards that the configuration assigns to the VM as
	// owner.
	Shards int
}

// Status is the state of the system, as known to the answering VM.
type Status struct {
	VM     domain.VM
	Leader domain.VM
	Term   uint64
	// Voters lists the VMs that vote on the configuration.
	Voters  []domain.VM
	Version uint64
	Preset  config.PresetName
	Ready   bool
	// Isolated means that the VM holds no lease and refuses keyed requests.
	Isolated bool
	VMs      []VMStatus
	// UnassignedShards and ShardsWithoutBackup count the shards without an owner
	// and without a backup. Both need an operator's attention.
	UnassignedShards    int
	ShardsWithoutBackup int
	// CallsInFlight is the number of callers' calls that this VM runs.
	CallsInFlight int
}

// AccountSpend is the spend of one client account in the current month.
type AccountSpend struct {
	Account domain.Account
	Budget  domain.Micros
	Charged domain.Micros
	// Reserved is the amount reserved for calls in flight.
	Reserved domain.Micros
	// Unknown is the number of run-once calls with an unknown outcome, which are
	// not charged.
	Unknown int
}

// SpendReport is the spend of all accounts on the VMs that answered.
type SpendReport struct {
	Accounts []AccountSpend
	// Missing lists the VMs whose shards are not included.
	Missing []domain.VM
}

// AccountForecast is next month's bill of one account under a preset.
type AccountForecast struct {
	Account  domain.Account
	Floor    domain.Micros
	Expected domain.Micros
	// Ceiling is a hard upper limit of the bill.
	Ceiling domain.Micros
}

// ProgramSummary describes one program for operators.
type ProgramSummary struct {
	Program domain.ProgramID
	Shard   domain.ShardID
	Owner   domain.VM
	Ended   bool
	Reason  domain.Reason
	Turns   int
	Spent   domain.Micros
	Started time.Time
}

// ProgramReport lists the programs of the VMs that answered.
type ProgramReport struct {
	Programs []ProgramSummary
	// Missing lists the VMs whose shards are not included.
	Missing []domain.VM
}

// Operations is the part of the node that the operators' front end uses.
type Operations interface {
	View() *config.View
	// Change proposes a configuration change and returns after it is accepted or
	// rejected. A rejection is a *domain.Refusal.
	Change(ctx context.Context, change config.Change) (InForce, error)
	// WithdrawKey makes this VM refuse the key at once and sends the withdrawal to
	// the other VMs. It does not need a majority.
	WithdrawKey(ctx context.Context, operation domain.OperationID, key config.KeyID) (InForce, error)
	// InForce returns where a version is in force now.
	InForce(ctx context.Context, version uint64) (InForce, error)
	Status(ctx context.Context) (Status, error)
	Spend(ctx context.Context) (SpendReport, error)
	Forecast(ctx context.Context, preset config.PresetName) ([]AccountForecast, error)
	Programs(ctx context.Context, account domain.Account) (ProgramReport, error)
	// AddVoter adds a VM with a disk to the voters; it joins as a learner first.
	// RemoveVoter removes a voter. Both return after the leader has accepted the
	// change.
	AddVoter(ctx context.Context, vm domain.VM) error
	RemoveVoter(ctx context.Context, vm domain.VM) error
	// Drain starts a planned stop of the answering VM.
	Drain(ctx context.Context) error
}
