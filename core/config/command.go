package config

import (
	"github.com/mangoknot/mangoknot/core/domain"
)

// Command changes one object of the configuration.
type Command interface {
	domain.Record
	// Object names the object for conflict checks, as kind/name.
	Object() string
}

// Change is the log entry that carries one command.
type Change struct {
	Operation domain.OperationID
	// Base is the version the operator saw. A later change of the same object
	// makes this one a conflict. Zero skips the check, for the system's own
	// commands, which carry fencing numbers instead.
	Base     uint64
	Operator string
	Command  Command
}

// RecordName implements domain.Record.
func (*Change) RecordName() string { return "config.Change" }

// PutAccount creates or replaces a client account.
type PutAccount struct{ Account AccountSpec }

// RecordName implements domain.Record.
func (*PutAccount) RecordName() string { return "config.PutAccount" }

// Object implements Command.
func (c *PutAccount) Object() string { return "account/" + string(c.Account.Name) }

// PutKey registers the hash of a new key.
type PutKey struct{ Key KeySpec }

// RecordName implements domain.Record.
func (*PutKey) RecordName() string { return "config.PutKey" }

// Object implements Command.
func (c *PutKey) Object() string { return "key/" + string(c.Key.ID) }

// WithdrawKey withdraws a key for good.
type WithdrawKey struct{ ID KeyID }

// RecordName implements domain.Record.
func (*WithdrawKey) RecordName() string { return "config.WithdrawKey" }

// Object implements Command.
func (c *WithdrawKey) Object() string { return "key/" + string(c.ID) }

// SetPreset puts a preset in force.
type SetPreset struct{ Name PresetName }

// RecordName implements domain.Record.
func (*SetPreset) RecordName() string { return "config.SetPreset" }

// Object implements Command.
func (*SetPreset) Object() string { return "preset" }

// PutPreset replaces the limits of a preset.
type PutPreset struct{ Preset PresetSpec }

// RecordName implements domain.Record.
func (*PutPreset) RecordName() string { return "config.PutPreset" }

// Object implements Command.
func (c *PutPreset) Object() string { return "preset/" + string(c.Preset.Name) }

// PutModel creates or replaces a model and its prices.
type PutModel struct{ Model ModelSpec }

// RecordName implements domain.Record.
func (*PutModel) RecordName() string { return "config.PutModel" }

// Object implements Command.
func (c *PutModel) Object() string { return "model/" + string(c.Model.Name) }

// PutRoute creates or replaces a plain service.
type PutRoute struct{ Route RouteSpec }

// RecordName implements domain.Record.
func (*PutRoute) RecordName() string { return "config.PutRoute" }

// Object implements Command.
func (c *PutRoute) Object() string { return "route/" + c.Route.Name }

// RemoveRoute deletes a plain service.
type RemoveRoute struct{ Name string }

// RecordName implements domain.Record.
func (*RemoveRoute) RecordName() string { return "config.RemoveRoute" }

// Object implements Command.
func (c *RemoveRoute) Object() string { return "route/" + c.Name }

// PutTarget creates or replaces a target.
type PutTarget struct{ Target TargetSpec }

// RecordName implements domain.Record.
func (*PutTarget) RecordName() string { return "config.PutTarget" }

// Object implements Command.
func (c *PutTarget) Object() string { return "target/" + string(c.Target.Name) }

// RemoveTarget deletes a target that serves nothing any more.
type RemoveTarget struct{ Name domain.Target }

// RecordName implements domain.Record.
func (*RemoveTarget) RecordName() string { return "config.RemoveTarget" }

// Object implements Command.
func (c *RemoveTarget) Object() string { return "target/" + string(c.Name) }

// SetTargetLeaving stops or resumes new work for a target.
type SetTargetLeaving struct {
	Name    domain.Target
	Leaving bool
}

// RecordName implements domain.Record.
func (*SetTargetLeaving) RecordName() string { return "config.SetTargetLeaving" }

// Object implements Command.
func (c *SetTargetLeaving) Object() string { return "target/" + string(c.Name) }

// PutVM registers a VM of the system.
type PutVM struct{ VM VMSpec }

// RecordName implements domain.Record.
func (*PutVM) RecordName() string { return "config.PutVM" }

// Object implements Command.
func (c *PutVM) Object() string { return "vm/" + string(c.VM.Name) }

// RemoveVM deletes a VM that has left for good.
type RemoveVM struct{ Name domain.VM }

// RecordName implements domain.Record.
func (*RemoveVM) RecordName() string { return "config.RemoveVM" }

// Object implements Command.
func (c *RemoveVM) Object() string { return "vm/" + string(c.Name) }

// SetHomes fixes the data centres that home programs whose names carry no
// suffix.
type SetHomes struct{ DataCentres []domain.DataCentre }

// RecordName implements domain.Record.
func (*SetHomes) RecordName() string { return "config.SetHomes" }

// Object implements Command.
func (*SetHomes) Object() string { return "homes" }

// SetVoters records which VMs agree on configuration, so that other VMs can
// follow them.
type SetVoters struct{ Voters []domain.VM }

// RecordName implements domain.Record.
func (*SetVoters) RecordName() string { return "config.SetVoters" }

// Object implements Command.
func (*SetVoters) Object() string { return "voters" }

// AssignShard replaces the holders of a shard. It applies only when the
// shard's epoch is still PreviousEpoch, and the new epoch must be higher.
type AssignShard struct {
	PreviousEpoch domain.Epoch
	Assignment    Assignment
}

// RecordName implements domain.Record.
func (*AssignShard) RecordName() string { return "config.AssignShard" }

// Object implements Command.
func (c *AssignShard) Object() string { return "shard/" + c.Assignment.Shard.String() }

// Records lists the record types of the package for codecs.
func Records() []domain.Record {
	return []domain.Record{
		&Change{}, &PutAccount{}, &PutKey{}, &WithdrawKey{}, &SetPreset{}, &PutPreset{}, &PutModel{},
		&PutRoute{}, &RemoveRoute{}, &PutTarget{}, &RemoveTarget{}, &SetTargetLeaving{}, &PutVM{}, &RemoveVM{},
		&SetHomes{}, &SetVoters{}, &AssignShard{}, &Snapshot{},
	}
}
