package port

import (
	"context"
	"time"

	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/domain"
)

// InForce says where a configuration version is in force.
type InForce struct {
	Version uint64
	// Everywhere lists the VMs that serve from the version or a later one.
	Everywhere []domain.VM
	// NotYet lists the registered VMs that have not reported it.
	NotYet []domain.VM
}

// VMStatus is what the answering VM knows of one VM of the system.
type VMStatus struct {
	Name       domain.VM
	DataCentre domain.DataCentre
	Region     domain.Region
	// State is alive, suspect, dead or leaving.
	State string
	// Version is the configuration version that the VM last reported.
	Version uint64
	// Shards counts the shards that the configuration assigns to it as owner.
	Shards int
}

// Status is the answering VM's view of the system.
type Status struct {
	VM     domain.VM
	Leader domain.VM
	Term   uint64
	// Voters lists the VMs that agree on configuration.
	Voters  []domain.VM
	Version uint64
	Preset  config.PresetName
	Ready   bool
	// Isolated says that the VM holds no lease and refuses keyed requests.
	Isolated bool
	VMs      []VMStatus
	// UnassignedShards and ShardsWithoutBackup count shards that need care.
	UnassignedShards    int
	ShardsWithoutBackup int
	// CallsInFlight counts the calls that this VM runs for callers.
	CallsInFlight int
}

// AccountSpend is the money side of one client account in the current month.
type AccountSpend struct {
	Account domain.Account
	Budget  domain.Micros
	Charged domain.Micros
	// Reserved is held for calls in flight.
	Reserved domain.Micros
	// Unknown counts run-once calls with an unknown outcome, which are not
	// charged.
	Unknown int
}

// SpendReport collects the spend of all accounts over the VMs that answered.
type SpendReport struct {
	Accounts []AccountSpend
	// Missing lists VMs whose shards are not included.
	Missing []domain.VM
}

// AccountForecast is next month's bill of one account under a preset.
type AccountForecast struct {
	Account  domain.Account
	Floor    domain.Micros
	Expected domain.Micros
	// Ceiling cannot be passed.
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

// ProgramReport lists programs over the VMs that answered.
type ProgramReport struct {
	Programs []ProgramSummary
	Missing  []domain.VM
}

// Operations is what the operators' front end needs from the node.
type Operations interface {
	View() *config.View
	// Change proposes a configuration change and returns when it is accepted
	// or rejected. Rejections are *domain.Refusal.
	Change(ctx context.Context, change config.Change) (InForce, error)
	// WithdrawKey refuses the key at once on this VM and spreads the
	// withdrawal, also without a majority.
	WithdrawKey(ctx context.Context, operation domain.OperationID, key config.KeyID) (InForce, error)
	// InForce says where a version is in force now.
	InForce(ctx context.Context, version uint64) (InForce, error)
	Status(ctx context.Context) (Status, error)
	Spend(ctx context.Context) (SpendReport, error)
	Forecast(ctx context.Context, preset config.PresetName) ([]AccountForecast, error)
	Programs(ctx context.Context, account domain.Account) (ProgramReport, error)
	// AddVoter makes a VM with a disk take part in agreement, as a learner first;
	// RemoveVoter ends that. Both return when the leader has taken the change.
	AddVoter(ctx context.Context, vm domain.VM) error
	RemoveVoter(ctx context.Context, vm domain.VM) error
	// Drain starts a planned stop of the answering VM.
	Drain(ctx context.Context) error
}
