package shard

import (
	"slices"

	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/domain"
)

// Candidate describes a VM to which shards can be assigned.
type Candidate struct {
	VM         domain.VM
	DataCentre domain.DataCentre
	// Alive is false only when membership has declared the VM dead.
	Alive bool
	// Eligible is true when the VM is ready and not leaving.
	Eligible bool
}

// Planner computes assignments for the configuration leader.
type Planner struct{}

// Plan returns the changes of assignment that are needed now, at most one for each
// shard.
func (Planner) Plan(v *config.View, candidates []Candidate) []*config.AssignShard {
	alive := map[domain.VM]bool{}
	eligible := map[domain.DataCentre][]domain.VM{}
	for _, c := range candidates {
		alive[c.VM] = c.Alive
		if c.Alive && c.Eligible {
			eligible[c.DataCentre] = append(eligible[c.DataCentre], c.VM)
		}
	}
	var out []*config.AssignShard
	for _, dc := range v.DataCentres() {
		for n := range config.ShardsPerDataCentre {
			id := domain.ShardID{DataCentre: dc, Number: n}
			if c := planShard(id, v.Assignment(id), eligible[dc], alive); c != nil {
				out = append(out, c)
			}
		}
	}
	return out
}

// planShard returns the next assignment of a shard, or nil when the current one
// stays. It names the first owner, replaces a dead owner with its live backup, and
// sets the learner. It never removes a backup while the owner is alive: the owner
// proposes that itself.
func planShard(id domain.ShardID, current config.Assignment, eligible []domain.VM, alive map[domain.VM]bool) *config.AssignShard {
	next := current
	next.Shard = id
	switch {
	case current.Epoch == 0:
		next.Owner = highestRanked(id, eligible, "")
		if next.Owner == "" {
			return nil
		}
	case !alive[current.Owner]:
		if current.Backup == "" || !alive[current.Backup] {
			return nil
		}
		next.Owner, next.Backup = current.Backup, ""
	}
	next.Learner = chooseLearner(id, next, eligible)
	if next == current {
		return nil
	}
	next.Epoch = current.Epoch + 1
	return &config.AssignShard{PreviousEpoch: current.Epoch, Assignment: next}
}

// chooseLearner returns the VM with the highest rank except the owner, or "" when
// that VM is the backup already.
func chooseLearner(id domain.ShardID, a config.Assignment, eligible []domain.VM) domain.VM {
	wanted := highestRanked(id, eligible, a.Owner)
	if wanted == a.Backup {
		return ""
	}
	return wanted
}

// highestRanked returns the VM with the highest rank for the shard among those other
// than the excluded one, or "" when there is none.
func highestRanked(id domain.ShardID, vms []domain.VM, excluded domain.VM) domain.VM {
	var found domain.VM
	for _, vm := range slices.Sorted(slices.Values(vms)) {
		if vm != excluded && (found == "" || rank(id, vm) > rank(id, found)) {
			found = vm
		}
	}
	return found
}

// rank returns the weight of a VM for a shard in rendezvous hashing.
func rank(id domain.ShardID, vm domain.VM) uint64 {
	return domain.Hash64("place", id.String(), string(vm))
}
