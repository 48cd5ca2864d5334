package shard

import (
	"time"

	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/domain"
)

// proposeAfterRestart proposes an epoch that no earlier process of this VM used,
// so that a restarted owner can lead again. An owner whose copy is lost proposes
// its backup as the owner instead, and itself as the learner.
func (r *replica) proposeAfterRestart(now time.Time) {
	a := r.assignment
	switch {
	case a.Epoch > r.initialEpoch && r.complete:
		return // leases that this VM granted have not expired yet
	case r.complete:
	case a.Backup != "":
		a.Owner, a.Backup, a.Learner = a.Backup, "", r.manager.config.Self
	default:
		return // the only copy is lost; see AcceptLoss
	}
	r.proposeAssignment(now, a)
}

// propose proposes a change of backup, or a handover to the backup, for a shard that
// this VM leads. A handover needs a backup that holds the whole log, so new records
// are refused until it does.
func (r *replica) propose(now time.Time) {
	if r.handedOver {
		r.proposeAssignment(now, r.proposed[len(r.proposed)-1])
		return
	}
	if next := r.replacementAssignment(); next != nil {
		r.frozen = false
		if now.Before(r.leaderLease.expires) {
			r.proposeAssignment(now, *next)
		}
		return
	}
	r.frozen = r.active && len(r.proposed) == 0 && r.shouldHandOver()
	last := r.log.lastPosition().Index
	if r.frozen && r.committedIndex == last && r.peer(r.assignment.Backup).caughtUpTo(last) {
		r.handOver(now)
	}
}

// replacementAssignment returns the assignment that should replace the current
// one, or nil: a learner with a complete copy becomes the backup, and a dead
// backup is removed. Proposing it requires the configuration leader's lease,
// since the backup's lease no longer counts afterwards. A data centre that is cut
// off from the leader therefore keeps its pairs of owner and backup.
func (r *replica) replacementAssignment() *config.Assignment {
	a := r.assignment
	copied := max(r.committedIndex, r.inheritedIndex)
	switch {
	case a.Learner != "" && r.manager.alive(a.Learner) && r.peer(a.Learner).caughtUpTo(copied):
		a.Backup, a.Learner = a.Learner, ""
	case a.Backup != "" && !r.manager.alive(a.Backup):
		a.Backup = ""
	default:
		return nil
	}
	return &a
}

// caughtUpTo reports whether the peer has a complete copy with all entries up to
// the index, so that it could become the owner.
func (p *peer) caughtUpTo(index uint64) bool {
	return p.acknowledged && p.complete && p.ackedIndex >= index
}

// shouldHandOver reports whether the backup should become the owner: during a
// planned stop, or when no learner is assigned and the backup has the higher rank
// for the shard.
func (r *replica) shouldHandOver() bool {
	b := r.assignment.Backup
	if b == "" || !r.manager.alive(b) || !r.manager.candidates[b].Eligible {
		return false
	}
	return r.manager.draining || r.assignment.Learner == "" && rank(r.id, b) > rank(r.id, r.manager.config.Self)
}

// handOver proposes to swap owner and backup. The owner stops acting before it
// proposes, and releases both leases so that the new owner need not wait until
// they expire.
func (r *replica) handOver(now time.Time) {
	a := r.assignment
	a.Owner, a.Backup, a.Learner = a.Backup, a.Owner, ""
	r.handedOver = true
	r.leaderLease.invalidate(r.manager.requestSequence)
	r.backupLease.invalidate(r.manager.requestSequence)
	release := &Release{r.manager.config.Incarnation, r.manager.requestSequence, []domain.ShardID{r.id}}
	r.manager.send(r.assignment.Backup, release)
	if r.manager.leader != "" && r.manager.leader != r.assignment.Backup {
		r.manager.send(r.manager.leader, release)
	}
	r.proposeAssignment(now, a)
}

// proposeAssignment proposes an assignment at the next epoch, at most once in a
// proposalRetryInterval.
func (r *replica) proposeAssignment(now time.Time, a config.Assignment) {
	if now.Before(r.nextProposal) {
		return
	}
	r.nextProposal = now.Add(proposalRetryInterval)
	a.Epoch = r.assignment.Epoch + 1
	r.proposed = append(r.proposed, a)
	if len(r.proposed) > 1 && r.proposed[len(r.proposed)-2] == a {
		r.proposed = r.proposed[:len(r.proposed)-1]
	}
	if a.Backup != r.assignment.Backup {
		r.backupLease.invalidate(r.manager.requestSequence)
	}
	c := &config.AssignShard{PreviousEpoch: r.assignment.Epoch, Assignment: a}
	r.manager.effects.Proposals = append(r.manager.effects.Proposals, c)
}

// alive reports whether a VM counts as alive. It is false only for a VM that
// membership has declared dead; an unknown VM counts as alive.
func (m *Manager) alive(vm domain.VM) bool {
	c, known := m.candidates[vm]
	return !known || c.Alive
}
