package config

import (
	"fmt"
	"maps"
	"slices"

	"github.com/mangoknot/mangoknot/core/domain"
)

// maxRememberedOperations is the number of operations whose results are stored to
// make resends idempotent. At 16,000 changes a day they cover about one day.
const maxRememberedOperations = 16_384

// Rejection classifies a change that was not applied.
type Rejection string

// The kinds of rejection. Applied is the zero value: the change was applied.
const (
	Applied  Rejection = ""
	Conflict Rejection = "conflict"
	Invalid  Rejection = "invalid"
)

// Result is the outcome of a change. A resent operation gets the result of the
// first one.
type Result struct {
	// Version is the configuration version after the change.
	Version   uint64
	Rejection Rejection
	// Message is the reason of a rejection and its remedy.
	Message string
}

// Err returns the rejection as a *domain.Refusal, or nil if the change was applied.
func (r Result) Err() error {
	switch r.Rejection {
	case Applied:
		return nil
	case Conflict:
		return domain.NotRun(domain.ReasonConflict, "%s", r.Message)
	default:
		return domain.NotRun(domain.ReasonBadRequest, "%s", r.Message)
	}
}

// Snapshot is the complete configuration state. Voters store it as a record and
// send it to followers.
type Snapshot struct {
	Version        uint64
	AppliedIndex   uint64
	Accounts       map[domain.Account]AccountSpec
	Keys           map[KeyID]KeySpec
	Presets        map[PresetName]PresetSpec
	PresetInForce  PresetName
	Models         map[domain.ModelName]ModelSpec
	Routes         map[string]RouteSpec
	Targets        map[domain.Target]TargetSpec
	VMs            map[domain.VM]VMSpec
	Homes          []domain.DataCentre
	Voters         []domain.VM
	Assignments    map[domain.ShardID]Assignment
	ObjectVersions map[string]uint64
	Operations     map[domain.OperationID]Result
	// OperationOrder lists the remembered operations, oldest first.
	OperationOrder []domain.OperationID
}

// RecordName implements domain.Record.
func (*Snapshot) RecordName() string { return "config.Snapshot" }

// State is the replicated configuration state machine. It is deterministic: the
// same changes in the same order give the same state on every VM.
type State struct {
	data Snapshot
	view *View
	// changed marks the parts that differ from view.
	changed   [partCount]bool
	viewStale bool
}

// NewState returns the configuration of a new system with the default presets.
func NewState() *State {
	presets := map[PresetName]PresetSpec{}
	for _, p := range defaultPresets() {
		presets[p.Name] = p
	}
	return Restore(&Snapshot{Presets: presets, PresetInForce: PresetOrdinary})
}

// Restore returns a state with the content of a snapshot, which it copies.
func Restore(s *Snapshot) *State { return &State{data: *cloneSnapshot(s)} }

// Snapshot returns a copy of the complete state.
func (s *State) Snapshot() *Snapshot { return cloneSnapshot(&s.data) }

// Version returns the log index of the last change that was applied.
func (s *State) Version() uint64 { return s.data.Version }

// AppliedIndex returns the log index of the last entry that was processed,
// including rejected changes and entries without a change.
func (s *State) AppliedIndex() uint64 { return s.data.AppliedIndex }

// Apply executes the change of a committed log entry. It rejects entries at or
// below the applied index, so that a replay cannot revert a later change.
func (s *State) Apply(index uint64, c *Change) Result {
	if index <= s.data.AppliedIndex {
		return Result{Version: s.data.Version, Rejection: Invalid, Message: "the log entry was applied before"}
	}
	s.data.AppliedIndex = index
	if known, ok := s.data.Operations[c.Operation]; ok && c.Operation != "" {
		return known
	}
	result := s.execute(c)
	s.remember(c.Operation, result)
	return result
}

// Skip advances the applied index over a log entry without a change.
func (s *State) Skip(index uint64) {
	s.data.AppliedIndex = max(s.data.AppliedIndex, index)
}

func (s *State) execute(c *Change) Result {
	object := c.Command.Object()
	if last := s.data.ObjectVersions[object]; c.Base != 0 && last > c.Base {
		return s.rejected(Conflict, fmt.Sprintf(
			"%s was changed in version %d after version %d, which this change is based on; read it again and repeat the change", object, last, c.Base))
	}
	if err := s.data.apply(c.Command); err != nil {
		return s.rejected(Invalid, err.Error())
	}
	s.data.Version = s.data.AppliedIndex
	s.data.ObjectVersions[object] = s.data.Version
	s.changed[partOf(object)] = true
	s.viewStale = true
	return Result{Version: s.data.Version}
}

func (s *State) rejected(kind Rejection, message string) Result {
	return Result{Version: s.data.Version, Rejection: kind, Message: message}
}

func (s *State) remember(operation domain.OperationID, r Result) {
	if operation == "" {
		return
	}
	s.data.Operations[operation] = r
	s.data.OperationOrder = append(s.data.OperationOrder, operation)
	if len(s.data.OperationOrder) > maxRememberedOperations {
		delete(s.data.Operations, s.data.OperationOrder[0])
		s.data.OperationOrder = slices.Clone(s.data.OperationOrder[1:])
	}
}

// View returns an immutable view of the current state.
func (s *State) View() *View {
	if s.view == nil || s.viewStale {
		s.view = nextView(s.view, &s.data, s.changed)
		s.changed, s.viewStale = [partCount]bool{}, false
	}
	return s.view
}

func cloneSnapshot(s *Snapshot) *Snapshot {
	c := *s
	c.Accounts = cloneMap(s.Accounts)
	c.Keys = cloneMap(s.Keys)
	c.Presets = cloneMap(s.Presets)
	c.Models = cloneMap(s.Models)
	c.Routes = cloneMap(s.Routes)
	c.Targets = cloneMap(s.Targets)
	c.VMs = cloneMap(s.VMs)
	c.Assignments = cloneMap(s.Assignments)
	c.ObjectVersions = cloneMap(s.ObjectVersions)
	c.Operations = cloneMap(s.Operations)
	c.Homes = slices.Clone(s.Homes)
	c.Voters = slices.Clone(s.Voters)
	c.OperationOrder = slices.Clone(s.OperationOrder)
	return &c
}

// cloneMap returns a copy of m, or an empty map if m is nil.
func cloneMap[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return map[K]V{}
	}
	return maps.Clone(m)
}
