package config

import (
	"github.com/mangoknot/mangoknot/core/domain"
)

// Command creates, replaces or deletes one object of the configuration.
type Command interface {
	domain.Record
	// Object returns the object's key for conflict checks, as kind/name.
	Object() string
}

// Change is the payload of a log entry: one command and who issued it.
type Change struct {
	Operation domain.OperationID
	// Base is the configuration version that the operator read. The change is a
	// conflict if its object was changed after that version. Zero skips the
	// check; the system's own commands set zero and carry fencing tokens instead.
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

// PutKey registers a new key by its hash.
type PutKey struct{ Key KeySpec }

// RecordName implements domain.Record.
func (*PutKey) RecordName() string { return "config.PutKey" }

// Object implements Command.
func (c *PutKey) Object() string { return "key/" + string(c.Key.ID) }

// WithdrawKey withdraws a key permanently.
type WithdrawKey struct{ ID KeyID }

// RecordName implements domain.Record.
func (*WithdrawKey) RecordName() string { return "config.WithdrawKey" }

// Object implements Command.
func (c *WithdrawKey) Object() string { return "key/" + string(c.ID) }

// SetPreset selects the preset in force.
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

// PutRoute creates or replaces the route of a plain service.
type PutRoute struct{ Route RouteSpec }

// RecordName implements domain.Record.
func (*PutRoute) RecordName() string { return "config.PutRoute" }

// Object implements Command.
func (c *PutRoute) Object() string { return "route/" + c.Route.Name }

// RemoveRoute deletes the route of a plain service.
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

// RemoveTarget deletes a target that no longer serves calls.
type RemoveTarget struct{ Name domain.Target }

// RecordName implements domain.Record.
func (*RemoveTarget) RecordName() string { return "config.RemoveTarget" }

// Object implements Command.
func (c *RemoveTarget) Object() string { return "target/" + string(c.Name) }

// SetTargetLeaving stops or resumes the dispatch of new calls to a target.
type SetTargetLeaving struct {
	Name    domain.Target
	Leaving bool
}

// RecordName implements domain.Record.
func (*SetTargetLeaving) RecordName() string { return "config.SetTargetLeaving" }

// Object implements Command.
func (c *SetTargetLeaving) Object() string { return "target/" + string(c.Name) }

// PutVM registers a VM or replaces its registration.
type PutVM struct{ VM VMSpec }

// RecordName implements domain.Record.
func (*PutVM) RecordName() string { return "config.PutVM" }

// Object implements Command.
func (c *PutVM) Object() string { return "vm/" + string(c.VM.Name) }

// RemoveVM deletes a VM that was decommissioned.
type RemoveVM struct{ Name domain.VM }

// RecordName implements domain.Record.
func (*RemoveVM) RecordName() string { return "config.RemoveVM" }

// Object implements Command.
func (c *RemoveVM) Object() string { return "vm/" + string(c.Name) }

// SetHomes sets the home data centres of programs whose names carry no suffix.
// The list cannot be changed afterwards.
type SetHomes struct{ DataCentres []domain.DataCentre }

// RecordName implements domain.Record.
func (*SetHomes) RecordName() string { return "config.SetHomes" }

// Object implements Command.
func (*SetHomes) Object() string { return "homes" }

// SetVoters records which VMs vote in the configuration log, so that other VMs
// can follow them.
type SetVoters struct{ Voters []domain.VM }

// RecordName implements domain.Record.
func (*SetVoters) RecordName() string { return "config.SetVoters" }

// Object implements Command.
func (*SetVoters) Object() string { return "voters" }

// AssignShard replaces the holders of a shard. It is rejected unless the shard's
// epoch is PreviousEpoch and the new epoch is higher.
type AssignShard struct {
	PreviousEpoch domain.Epoch
	Assignment    Assignment
}

// RecordName implements domain.Record.
func (*AssignShard) RecordName() string { return "config.AssignShard" }

// Object implements Command.
func (c *AssignShard) Object() string { return "shard/" + c.Assignment.Shard.String() }

// Records returns one value of each record type of the package, for codecs.
func Records() []domain.Record {
	return []domain.Record{
		&Change{}, &PutAccount{}, &PutKey{}, &WithdrawKey{}, &SetPreset{}, &PutPreset{}, &PutModel{},
		&PutRoute{}, &RemoveRoute{}, &PutTarget{}, &RemoveTarget{}, &SetTargetLeaving{}, &PutVM{}, &RemoveVM{},
		&SetHomes{}, &SetVoters{}, &AssignShard{}, &Snapshot{},
	}
}
