package config

import (
	"maps"
	"slices"

	"github.com/mangoknot/mangoknot/core/domain"
)

// ShardsPerDataCentre is the number of shards of each data centre. Programs are
// placed by a hash modulo this number, so changing it would move them.
const ShardsPerDataCentre uint32 = 16

// View is an immutable, indexed copy of the configuration. Callers must not
// modify the values that its methods return.
type View struct {
	version      uint64
	appliedIndex uint64
	accounts     map[domain.Account]*AccountSpec
	keysByHash   map[KeyHash]*KeySpec
	keys         []KeySpec
	presets      map[PresetName]PresetSpec
	preset       PresetSpec
	models       map[domain.ModelName]*ModelSpec
	routes       map[string]*RouteSpec
	targets      map[domain.Target]*TargetSpec
	vms          map[domain.VM]*VMSpec
	assignments  map[domain.ShardID]Assignment
	homes        []domain.DataCentre
	voters       []domain.VM
	// The lists below are sorted by name.
	accountList []*AccountSpec
	modelList   []*ModelSpec
	routeList   []*RouteSpec
	targetList  []*TargetSpec
	vmList      []*VMSpec
	// assignmentList is sorted by shard.
	assignmentList []Assignment
	dataCentres    []domain.DataCentre
	// partVersions holds the log index at which each part last changed.
	partVersions [partCount]uint64
}

func pointerMap[K comparable, V any](m map[K]V) map[K]*V {
	out := make(map[K]*V, len(m))
	for k, value := range m {
		out[k] = &value
	}
	return out
}

func dataCentresOf(s *Snapshot) []domain.DataCentre {
	seen := map[domain.DataCentre]bool{}
	for _, dc := range s.Homes {
		seen[dc] = true
	}
	for _, vm := range s.VMs {
		seen[vm.DataCentre] = true
	}
	return slices.Sorted(maps.Keys(seen))
}

// Version returns the configuration version of the view.
func (v *View) Version() uint64 { return v.version }

// AppliedIndex returns the log index of the last entry that the view includes.
func (v *View) AppliedIndex() uint64 { return v.appliedIndex }

// Account returns the client account with the name, or nil.
func (v *View) Account(name domain.Account) *AccountSpec { return v.accounts[name] }

// Accounts returns all client accounts in the order of their names.
func (v *View) Accounts() []*AccountSpec { return v.accountList }

// KeyByHash returns the key with the hash, or nil. Withdrawn keys are included.
func (v *View) KeyByHash(hash KeyHash) *KeySpec { return v.keysByHash[hash] }

// Keys returns all keys in the order of their ids.
func (v *View) Keys() []KeySpec { return v.keys }

// Preset returns the preset in force.
func (v *View) Preset() *PresetSpec { return &v.preset }

// PresetByName returns the preset with the name and whether it exists.
func (v *View) PresetByName(name PresetName) (PresetSpec, bool) {
	p, ok := v.presets[name]
	return p, ok
}

// Model returns the model with the name, or nil.
func (v *View) Model(name domain.ModelName) *ModelSpec { return v.models[name] }

// Models returns all models in the order of their names.
func (v *View) Models() []*ModelSpec { return v.modelList }

// Route returns the route of a plain service, or nil.
func (v *View) Route(name string) *RouteSpec { return v.routes[name] }

// Routes returns the routes of all plain services in the order of their names.
func (v *View) Routes() []*RouteSpec { return v.routeList }

// Target returns the target with the name, or nil.
func (v *View) Target(name domain.Target) *TargetSpec { return v.targets[name] }

// Targets returns all targets in the order of their names.
func (v *View) Targets() []*TargetSpec { return v.targetList }

// VM returns the registered VM with the name, or nil.
func (v *View) VM(name domain.VM) *VMSpec { return v.vms[name] }

// VMs returns all registered VMs in the order of their names.
func (v *View) VMs() []*VMSpec { return v.vmList }

// Assignment returns the holders of a shard. Before the first assignment it
// returns the zero value, with epoch 0.
func (v *View) Assignment(id domain.ShardID) Assignment { return v.assignments[id] }

// Assignments returns all assignments in the order of their shards.
func (v *View) Assignments() []Assignment { return v.assignmentList }

func sortedAssignments(m map[domain.ShardID]Assignment) []Assignment {
	return slices.SortedFunc(maps.Values(m), func(a, b Assignment) int { return a.Shard.Compare(b.Shard) })
}

// Homes returns the home data centres of programs without a suffix, sorted. The
// list is empty until the first leader has set it.
func (v *View) Homes() []domain.DataCentre { return v.homes }

// Voters returns the voters of the configuration log, as last recorded.
func (v *View) Voters() []domain.VM { return v.voters }

// DataCentres returns the home data centres and those of all VMs, sorted.
func (v *View) DataCentres() []domain.DataCentre { return v.dataCentres }

// ShardOfProgram returns the shard that holds a program. It returns
// domain.ErrNoDataCentre while no home data centre is configured.
func (v *View) ShardOfProgram(id domain.ProgramID) (domain.ShardID, error) {
	dc, err := domain.HomeDataCentre(id, v.homes, v.dataCentres)
	if err != nil {
		return domain.ShardID{}, err
	}
	return domain.ShardOf(id, dc, ShardsPerDataCentre), nil
}

func sortedValues[K ~string, V any](m map[K]*V) []*V {
	out := make([]*V, 0, len(m))
	for _, k := range slices.Sorted(maps.Keys(m)) {
		out = append(out, m[k])
	}
	return out
}
