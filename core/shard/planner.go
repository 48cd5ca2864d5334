package shard

import (
	"slices"

	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/domain"
)

// Candidate is a VM as the planner sees it.
type Candidate struct {
	VM         domain.VM
	DataCentre domain.DataCentre
	// Alive is false only when membership has declared the VM dead.
	Alive bool
	// Eligible VMs are ready and not leaving.
	Eligible bool
}

// Planner computes assignments for the configuration leader.
type Planner struct{}

// Plan returns the changes needed now, at most one for each shard.
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

// chooseLearner returns the best VM beside the owner, unless it is the backup already.
func chooseLearner(id domain.ShardID, a config.Assignment, eligible []domain.VM) domain.VM {
	wanted := highestRanked(id, eligible, a.Owner)
	if wanted == a.Backup {
		return ""
	}
	return wanted
}

func highestRanked(id domain.ShardID, vms []domain.VM, excluded domain.VM) domain.VM {
	var found domain.VM
	for _, vm := range slices.Sorted(slices.Values(vms)) {
		if vm != excluded && (found == "" || rank(id, vm) > rank(id, found)) {
			found = vm
		}
	}
	return found
}

// rank is the rendezvous weight of a VM for a shard.
func rank(id domain.ShardID, vm domain.VM) uint64 {
	return domain.Hash64("place", id.String(), string(vm))
}
