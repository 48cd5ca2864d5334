package config

import (
	"maps"
	"slices"
	"strings"
)

// Part is a section of the configuration. A view rebuilds a changed part as a
// whole and shares the others with the earlier view.
type Part int

// The parts of the configuration.
const (
	PartAccounts Part = iota
	PartKeys
	PartPresets
	PartModels
	PartRoutes
	PartTargets
	PartVMs
	PartShards
	PartHomes
	PartVoters
	partCount
)

// partOf returns the part that a command's object belongs to.
func partOf(object string) Part {
	kind, _, _ := strings.Cut(object, "/")
	switch kind {
	case "account":
		return PartAccounts
	case "key":
		return PartKeys
	case "preset":
		return PartPresets
	case "model":
		return PartModels
	case "route":
		return PartRoutes
	case "target":
		return PartTargets
	case "vm":
		return PartVMs
	case "shard":
		return PartShards
	case "homes":
		return PartHomes
	default:
		return PartVoters
	}
}

// Changed reports whether one of the parts differs between two views of one
// state. With a nil earlier view every part counts as changed.
func (v *View) Changed(earlier *View, of ...Part) bool {
	for _, part := range of {
		if earlier == nil || v.partVersions[part] != earlier.partVersions[part] {
			return true
		}
	}
	return false
}

// nextView returns the view of s, in which only the changed parts differ from the
// earlier view. Unchanged parts are shared, so that a change of one object does
// not copy 1,800 accounts or 3,000 targets.
func nextView(earlier *View, s *Snapshot, changed [partCount]bool) *View {
	v := &View{}
	if earlier != nil {
		*v = *earlier
	}
	v.version, v.appliedIndex = s.Version, s.AppliedIndex
	for part := range partCount {
		if earlier == nil || changed[part] {
			v.buildPart(part, s)
			v.partVersions[part] = s.AppliedIndex
		}
	}
	return v
}

func (v *View) buildPart(part Part, s *Snapshot) {
	switch part {
	case PartAccounts:
		v.accounts = pointerMap(s.Accounts)
		v.accountList = sortedValues(v.accounts)
	case PartKeys:
		v.buildKeys(s)
	case PartPresets:
		v.presets, v.preset = maps.Clone(s.Presets), s.Presets[s.PresetInForce]
	case PartModels:
		v.models = pointerMap(s.Models)
		v.modelList = sortedValues(v.models)
	case PartRoutes:
		v.routes = pointerMap(s.Routes)
		v.routeList = sortedValues(v.routes)
	case PartTargets:
		v.targets = pointerMap(s.Targets)
		v.targetList = sortedValues(v.targets)
	case PartVMs:
		v.vms = pointerMap(s.VMs)
		v.vmList = sortedValues(v.vms)
		v.dataCentres = dataCentresOf(s)
	case PartShards:
		v.assignments = maps.Clone(s.Assignments)
		v.assignmentList = sortedAssignments(v.assignments)
	case PartHomes:
		v.homes = slices.Clone(s.Homes)
		v.dataCentres = dataCentresOf(s)
	case PartVoters:
		v.voters = slices.Clone(s.Voters)
	}
}

func (v *View) buildKeys(s *Snapshot) {
	v.keysByHash = make(map[KeyHash]*KeySpec, len(s.Keys))
	v.keys = make([]KeySpec, 0, len(s.Keys))
	for _, id := range slices.Sorted(maps.Keys(s.Keys)) {
		key := s.Keys[id]
		v.keysByHash[key.Hash] = &key
		v.keys = append(v.keys, key)
	}
}
