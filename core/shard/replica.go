package shard

import (
	"time"

	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/domain"
)

// proposalRetryInterval is the time after which an unanswered proposal is sent again.
const proposalRetryInterval = time.Second

// pendingWrite maps a write token to the last index that it makes durable.
type pendingWrite struct {
	token, index uint64
}

// replica is the state of one shard on this VM, in whatever role.
type replica struct {
	id         domain.ShardID
	manager    *Manager
	assignment config.Assignment

	log shardLog
	// complete says that the copy holds every committed record. A VM whose copy
	// is not complete never leads.
	complete       bool
	persistedIndex uint64
	pendingWrites  []pendingWrite

	// initialEpoch is the epoch of the first configuration of this process, which an
	// earlier process may have used. The VM leads only at a higher one.
	initialEpoch domain.Epoch

	// Owner. A leading replica replicates; it is active, and known to the user,
	// once the inherited records are committed and a lease is held.
	leading, active                bool
	leadEpoch                      domain.Epoch
	inheritedIndex, committedIndex uint64
	peers                          map[domain.VM]*peer
	backupLease, leaderLease       heldLease

	// proposed lists the assignments proposed at this epoch. Any of them may
	// come into force, so a commit needs the backups of all of them.
	proposed     []config.Assignment
	nextProposal time.Time
	// frozen stops new records before a planned handover.
	frozen, handedOver bool

	// Backup and learner.
	granted           grantedLease
	priorGrantsExpire time.Time
	// acceptedEpoch is the highest epoch at which this VM took or made entries. Data
	// of a lower one may be a delayed message of an owner that was replaced since.
	acceptedEpoch    domain.Epoch
	matchedIndex     uint64
	source           domain.VM
	incomingSnapshot *snapshotParts
}

// assign applies a newer assignment.
func (r *replica) assign(now time.Time, a config.Assignment) {
	old := r.assignment
	r.assignment = a
	r.proposed, r.frozen, r.handedOver = nil, false, false
	r.nextProposal = now
	self := r.manager.config.Self
	if a.Backup != old.Backup {
		r.backupLease.invalidate(r.manager.requestSequence)
	}
	if a.Owner != self {
		r.stopLeading()
		return
	}
	if r.leading {
		r.acceptedEpoch = a.Epoch
	}
	if a.Epoch == 1 && r.initialEpoch == 0 {
		r.markComplete() // the shard was created while this process ran
	}
}

func (r *replica) stopLeading() {
	if r.active {
		r.manager.effects.Deactivated = append(r.manager.effects.Deactivated, r.id)
	}
	r.leading, r.active, r.peers = false, false, nil
	r.leaderLease.invalidate(r.manager.requestSequence)
	r.backupLease.invalidate(r.manager.requestSequence)
}

func (r *replica) progress(now time.Time) {
	if r.assignment.Owner != r.manager.config.Self {
		return
	}
	if !r.leading {
		r.tryLead(now)
	}
	if !r.leading {
		r.proposeAfterRestart(now)
		return
	}
	r.commit(now)
	r.activate(now)
	r.propose(now)
}

// tryLead starts to lead when no promise of this VM, or of an earlier process
// on it, still protects another owner.
func (r *replica) tryLead(now time.Time) {
	if !r.complete || r.assignment.Epoch <= r.initialEpoch || r.assignment.Epoch < r.acceptedEpoch {
		return
	}
	if at := r.manager.grantsExpireAt(r); now.Before(at) {
		r.manager.scheduleLeadAttempt(at)
		return
	}
	r.leading, r.leadEpoch = true, r.assignment.Epoch
	r.acceptedEpoch = r.assignment.Epoch
	r.inheritedIndex, r.committedIndex = r.log.lastPosition().Index, r.log.base.Index
	r.peers = map[domain.VM]*peer{}
	r.manager.nextRenew = now
	r.replicate()
}

func (r *replica) activate(now time.Time) {
	if r.active || r.committedIndex < r.inheritedIndex || !r.hasLease(now) {
		return
	}
	r.active = true
	r.manager.effects.Activated = append(r.manager.effects.Activated, r.id)
}

// commit advances over the records that the owner and every possible backup
// hold. It needs a lease, like every other act of the owner.
func (r *replica) commit(now time.Time) {
	if !r.hasLease(now) {
		return
	}
	n := r.persistedIndex
	for _, vm := range r.requiredBackups() {
		n = min(n, r.peer(vm).ackedIndex)
	}
	for index := r.committedIndex + 1; index <= n; index++ {
		if index > r.inheritedIndex {
			e := r.log.entries[index-r.log.base.Index-1]
			r.manager.effects.Committed = append(r.manager.effects.Committed, Committed{r.id, e.Position, e.Record})
		}
	}
	r.committedIndex = max(r.committedIndex, n)
}

func (r *replica) requiredBackups() []domain.VM {
	var out []domain.VM
	if r.assignment.Backup != "" {
		out = append(out, r.assignment.Backup)
	}
	for _, a := range r.proposed {
		if a.Backup != "" && a.Owner == r.manager.config.Self {
			out = append(out, a.Backup)
		}
	}
	return out
}

// hasLease reports whether the VM may act as owner now.
func (r *replica) hasLease(now time.Time) bool {
	if !r.leading || r.handedOver {
		return false
	}
	return now.Before(r.leaderLease.expires) || r.usesBackupLease() && now.Before(r.backupLease.expires)
}

// usesBackupLease is false from the VM's own proposal to replace the backup on,
// because the new pair would not wait for the old backup's promise.
func (r *replica) usesBackupLease() bool {
	if r.assignment.Backup == "" {
		return false
	}
	for _, a := range r.proposed {
		if a.Backup != r.assignment.Backup {
			return false
		}
	}
	return true
}

func (r *replica) requestsLeases() bool { return r.leading && !r.handedOver }

// needsLeaderLease reports whether the leader's lease is wanted: when the backup's
// lease was not renewed for about half a term, or before the backup is replaced.
func (r *replica) needsLeaderLease(now time.Time) bool {
	healthy := r.usesBackupLease() && now.Add(r.manager.config.LeaseTerm/2).Before(r.backupLease.expires)
	return !healthy || r.replacementAssignment() != nil
}

// recordGrant records a lease given to another VM. A recordGrant to an earlier holder
// keeps running.
func (r *replica) recordGrant(lease grantedLease) {
	if r.granted.holder != lease.holder && r.granted.expires.After(r.priorGrantsExpire) {
		r.priorGrantsExpire = r.granted.expires
	}
	r.granted = lease
}

func (r *replica) markComplete() {
	if r.complete {
		return
	}
	r.complete = true
	r.store(&StoredComplete{Shard: r.id})
}

// store emits durable records. Without a disk they count as durable at once.
func (r *replica) store(records ...domain.Record) {
	last := r.log.lastPosition().Index
	if !r.manager.config.HasDisk {
		r.persistedIndex = last
		return
	}
	r.manager.writeToken++
	r.pendingWrites = append(r.pendingWrites, pendingWrite{r.manager.writeToken, last})
	r.manager.effects.Writes = append(r.manager.effects.Writes, Write{r.manager.writeToken, records})
}

func (r *replica) completeWrites(token uint64) {
	done := 0
	for _, w := range r.pendingWrites {
		if w.token > token {
			break
		}
		r.persistedIndex = w.index
		done++
	}
	r.pendingWrites = r.pendingWrites[done:]
	if done > 0 && !r.leading && r.source != "" {
		r.acknowledge(r.source)
	}
}

// lowerPersistedIndex lowers what counts as durable after entries were replaced.
func (r *replica) lowerPersistedIndex(index uint64) {
	r.persistedIndex = min(r.persistedIndex, index)
	for i := range r.pendingWrites {
		r.pendingWrites[i].index = min(r.pendingWrites[i].index, index)
	}
}

func (r *replica) appendEntries(entries []Entry) {
	records := make([]domain.Record, 0, len(entries))
	for _, e := range entries {
		r.log.append(e)
		records = append(records, &Stored{r.id, e})
	}
	r.store(records...)
}

func (r *replica) restoreEntry(e Entry) {
	if last := r.log.lastPosition().Index; e.Index <= last && e.Index > r.log.base.Index {
		r.log.truncate(e.Index)
	}
	if e.Index == r.log.lastPosition().Index+1 {
		r.log.append(e)
	}
	r.acceptedEpoch = max(r.acceptedEpoch, e.Epoch)
}

func (r *replica) restoreSnapshot(stored *StoredSnapshot) {
	if known, ok := r.log.positionAt(stored.Base.Index); ok && known == stored.Base && !stored.Reset {
		r.log.compact(stored.Base, stored.Records)
		return
	}
	r.log = shardLog{base: stored.Base, snapshot: stored.Records}
	r.complete = r.complete && !stored.Reset
	r.acceptedEpoch = max(r.acceptedEpoch, stored.Base.Epoch)
}
