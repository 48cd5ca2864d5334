package shard

import (
	"time"

	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/domain"
)

// proposalRetryInterval is the time after which a pending proposal is sent again.
const proposalRetryInterval = time.Second

// pendingWrite is a write that is not yet synced, with the last index that it makes
// durable.
type pendingWrite struct {
	token, index uint64
}

// replica is the state of one shard on this VM, whether the VM is its owner, backup
// or learner or has no role in it.
type replica struct {
	id         domain.ShardID
	manager    *Manager
	assignment config.Assignment

	log shardLog
	// complete is true when the copy holds every committed record. A VM whose copy
	// is not complete must not lead.
	complete       bool
	persistedIndex uint64
	pendingWrites  []pendingWrite

	// initialEpoch is the epoch in the first configuration of this process. An
	// earlier process may have used it, so the VM leads only at a higher one.
	initialEpoch domain.Epoch

	// Owner. A leading replica sends its log to its followers. It becomes active, and
	// is reported in Effects.Activated, once the records that it held when it started
	// to lead are committed and it holds a lease. leadEpoch is the epoch at which it
	// started to lead.
	leading, active                bool
	leadEpoch                      domain.Epoch
	inheritedIndex, committedIndex uint64
	peers                          map[domain.VM]*peer
	backupLease, leaderLease       heldLease

	// proposed lists the assignments proposed at this epoch. Any of them may be
	// committed, so a record is committed only when the backups of all of them hold
	// it.
	proposed     []config.Assignment
	nextProposal time.Time
	// frozen rejects new records before a planned handover. handedOver is set once
	// the owner has released its leases.
	frozen, handedOver bool

	// Backup and learner. granted is the last lease granted to another VM;
	// priorGrantsExpire is when the leases of all earlier holders have expired.
	granted           grantedLease
	priorGrantsExpire time.Time
	// acceptedEpoch is the highest epoch at which this VM accepted or appended
	// entries. Data of a lower epoch is ignored: it may come in a delayed message of
	// an owner that has been replaced. matchedIndex is the last index up to which the
	// log is known to match the one of the sender, source.
	acceptedEpoch    domain.Epoch
	matchedIndex     uint64
	source           domain.VM
	incomingSnapshot *snapshotParts
}

// assign applies an assignment with a higher epoch.
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
		r.markComplete() // the shard is newer than this process, so no earlier records exist
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

// tryLead starts to lead if the copy is complete, the epoch is one that no earlier
// process used, and no lease granted by this VM, or by an earlier process on it,
// is still valid.
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

// commit advances the committed index to the last record that the owner and every
// possible backup hold durably. Like every other action of the owner, it requires
// a lease.
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

// requiredBackups lists the backups that must hold a record before it is committed:
// the current one, and those of the assignments proposed at this epoch that keep
// this VM as owner. The list may contain duplicates.
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

// hasLease reports whether the VM holds a lease and may act as owner now.
func (r *replica) hasLease(now time.Time) bool {
	if !r.leading || r.handedOver {
		return false
	}
	return now.Before(r.leaderLease.expires) || r.usesBackupLease() && now.Before(r.backupLease.expires)
}

// usesBackupLease reports whether a lease of the backup entitles the VM to act as
// owner. It is false once the VM has proposed to replace the backup, because the
// new owner and backup would not wait for the lease that the old backup granted.
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

// requestsLeases reports whether the replica requests leases.
func (r *replica) requestsLeases() bool { return r.leading && !r.handedOver }

// needsLeaderLease reports whether to request the configuration leader's lease:
// when the backup's lease has not been renewed for about half a term or does not
// count, and before the backup is replaced.
func (r *replica) needsLeaderLease(now time.Time) bool {
	healthy := r.usesBackupLease() && now.Add(r.manager.config.LeaseTerm/2).Before(r.backupLease.expires)
	return !healthy || r.replacementAssignment() != nil
}

// recordGrant records a lease granted to another VM. A lease granted to an earlier
// holder remains valid until it expires.
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

// store emits a write of records that makes the log durable up to its last index.
// Without a disk the log counts as durable at once.
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

// completeWrites marks the writes up to the token as durable. A follower then
// acknowledges their entries.
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

// lowerPersistedIndex limits the durable index, and that of each pending write, to
// the given one. It is called when the entries after the index are discarded.
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

// restoreEntry applies a stored entry, which replaces all entries from its index on.
func (r *replica) restoreEntry(e Entry) {
	if last := r.log.lastPosition().Index; e.Index <= last && e.Index > r.log.base.Index {
		r.log.truncate(e.Index)
	}
	if e.Index == r.log.lastPosition().Index+1 {
		r.log.append(e)
	}
	r.acceptedEpoch = max(r.acceptedEpoch, e.Epoch)
}

// restoreSnapshot applies a stored snapshot. It compacts the log when the log holds
// the snapshot's base and Reset is not set, and replaces the log otherwise.
func (r *replica) restoreSnapshot(stored *StoredSnapshot) {
	if known, ok := r.log.positionAt(stored.Base.Index); ok && known == stored.Base && !stored.Reset {
		r.log.compact(stored.Base, stored.Records)
		return
	}
	r.log = shardLog{base: stored.Base, snapshot: stored.Records}
	r.complete = r.complete && !stored.Reset
	r.acceptedEpoch = max(r.acceptedEpoch, stored.Base.Epoch)
}
