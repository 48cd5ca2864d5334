package shard

import (
	"time"

	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/domain"
)

// proposalInterval is the time after which an unanswered proposal is sent again.
const proposalInterval = time.Second

// pendingWrite maps a write token to the last index that it makes durable.
type pendingWrite struct {
	token, index uint64
}

// replica is the state of one shard on this VM, in whatever role.
type replica struct {
	id         domain.ShardID
	m          *Manager
	assignment config.Assignment

	log shardLog
	// complete says that the copy holds every committed record. A VM whose copy
	// is not complete never leads.
	complete  bool
	persisted uint64
	writes    []pendingWrite

	// floor is the epoch of the first configuration of this process, which an
	// earlier process may have used. The VM leads only at a higher one.
	floor domain.Epoch

	// Owner. A leading replica replicates; it is active, and known to the user,
	// once the inherited records are committed and a lease is held.
	leading, active          bool
	since                    domain.Epoch
	inherited, committed     uint64
	peers                    map[domain.VM]*peer
	backupLease, leaderLease leaseHold

	// proposed lists the assignments proposed at this epoch. Any of them may
	// come into force, so a commit needs the backups of all of them.
	proposed     []config.Assignment
	nextProposal time.Time
	// frozen stops new records before a planned handover.
	frozen, handedOver bool

	// Backup and learner.
	promised  promise
	notBefore time.Time
	// accepted is the highest epoch at which this VM took or made entries. Data
	// of a lower one may be a delayed message of an owner that was replaced since.
	accepted domain.Epoch
	matched  uint64
	source   domain.VM
	incoming *incomingCopy
}

// assign applies a newer assignment.
func (s *replica) assign(now time.Time, a config.Assignment) {
	old := s.assignment
	s.assignment = a
	s.proposed, s.frozen, s.handedOver = nil, false, false
	s.nextProposal = now
	self := s.m.config.Self
	if a.Backup != old.Backup {
		s.backupLease.drop(s.m.sequence)
	}
	if a.Owner != self {
		s.stopLeading()
		return
	}
	if s.leading {
		s.accepted = a.Epoch
	}
	if a.Epoch == 1 && s.floor == 0 {
		s.markComplete() // the shard was created while this process ran
	}
}

func (s *replica) stopLeading() {
	if s.active {
		s.m.out.Deactivated = append(s.m.out.Deactivated, s.id)
	}
	s.leading, s.active, s.peers = false, false, nil
	s.leaderLease.drop(s.m.sequence)
	s.backupLease.drop(s.m.sequence)
}

func (s *replica) progress(now time.Time) {
	if s.assignment.Owner != s.m.config.Self {
		return
	}
	if !s.leading {
		s.tryLead(now)
	}
	if !s.leading {
		s.proposeRestart(now)
		return
	}
	s.commit(now)
	s.activate(now)
	s.propose(now)
}

// tryLead starts to lead when no promise of this VM, or of an earlier process
// on it, still protects another owner.
func (s *replica) tryLead(now time.Time) {
	if !s.complete || s.assignment.Epoch <= s.floor || s.assignment.Epoch < s.accepted {
		return
	}
	if at := s.m.promisesEnd(s); now.Before(at) {
		s.m.wakeAt(at)
		return
	}
	s.leading, s.since = true, s.assignment.Epoch
	s.accepted = s.assignment.Epoch
	s.inherited, s.committed = s.log.last().Index, s.log.base.Index
	s.peers = map[domain.VM]*peer{}
	s.m.nextRenew = now
	s.replicate()
}

func (s *replica) activate(now time.Time) {
	if s.active || s.committed < s.inherited || !s.leased(now) {
		return
	}
	s.active = true
	s.m.out.Activated = append(s.m.out.Activated, s.id)
}

// commit advances over the records that the owner and every possible backup
// hold. It needs a lease, like every other act of the owner.
func (s *replica) commit(now time.Time) {
	if !s.leased(now) {
		return
	}
	n := s.persisted
	for _, vm := range s.requiredBackups() {
		n = min(n, s.peer(vm).acked)
	}
	for index := s.committed + 1; index <= n; index++ {
		if index > s.inherited {
			e := s.log.entries[index-s.log.base.Index-1]
			s.m.out.Committed = append(s.m.out.Committed, Committed{s.id, e.Position, e.Record})
		}
	}
	s.committed = max(s.committed, n)
}

func (s *replica) requiredBackups() []domain.VM {
	var out []domain.VM
	if s.assignment.Backup != "" {
		out = append(out, s.assignment.Backup)
	}
	for _, a := range s.proposed {
		if a.Backup != "" && a.Owner == s.m.config.Self {
			out = append(out, a.Backup)
		}
	}
	return out
}

// leased reports whether the VM may act as owner now.
func (s *replica) leased(now time.Time) bool {
	if !s.leading || s.handedOver {
		return false
	}
	return now.Before(s.leaderLease.until) || s.usesBackupLease() && now.Before(s.backupLease.until)
}

// usesBackupLease is false from the VM's own proposal to replace the backup on,
// because the new pair would not wait for the old backup's promise.
func (s *replica) usesBackupLease() bool {
	if s.assignment.Backup == "" {
		return false
	}
	for _, a := range s.proposed {
		if a.Backup != s.assignment.Backup {
			return false
		}
	}
	return true
}

func (s *replica) claims() bool { return s.leading && !s.handedOver }

// needsLeader reports whether the leader's lease is wanted: when the backup's
// lease was not renewed for about half a term, or before the backup is replaced.
func (s *replica) needsLeader(now time.Time) bool {
	healthy := s.usesBackupLease() && now.Add(s.m.config.Term/2).Before(s.backupLease.until)
	return !healthy || s.replacement() != nil
}

// promise records a lease given to another VM. A promise to an earlier holder
// keeps running.
func (s *replica) promise(p promise) {
	if s.promised.holder != p.holder && s.promised.until.After(s.notBefore) {
		s.notBefore = s.promised.until
	}
	s.promised = p
}

func (s *replica) markComplete() {
	if s.complete {
		return
	}
	s.complete = true
	s.store(&StoredComplete{Shard: s.id})
}

// store emits durable records. Without a disk they count as durable at once.
func (s *replica) store(records ...domain.Record) {
	last := s.log.last().Index
	if !s.m.config.HasDisk {
		s.persisted = last
		return
	}
	s.m.token++
	s.writes = append(s.writes, pendingWrite{s.m.token, last})
	s.m.out.Writes = append(s.m.out.Writes, Write{s.m.token, records})
}

func (s *replica) synced(token uint64) {
	done := 0
	for _, w := range s.writes {
		if w.token > token {
			break
		}
		s.persisted = w.index
		done++
	}
	s.writes = s.writes[done:]
	if done > 0 && !s.leading && s.source != "" {
		s.acknowledge(s.source)
	}
}

// forget lowers what counts as durable after entries were replaced.
func (s *replica) forget(index uint64) {
	s.persisted = min(s.persisted, index)
	for i := range s.writes {
		s.writes[i].index = min(s.writes[i].index, index)
	}
}

func (s *replica) extend(entries []Entry) {
	records := make([]domain.Record, 0, len(entries))
	for _, e := range entries {
		s.log.add(e)
		records = append(records, &Stored{s.id, e})
	}
	s.store(records...)
}

func (s *replica) restoreEntry(e Entry) {
	if last := s.log.last().Index; e.Index <= last && e.Index > s.log.base.Index {
		s.log.truncate(e.Index)
	}
	if e.Index == s.log.last().Index+1 {
		s.log.add(e)
	}
	s.accepted = max(s.accepted, e.Epoch)
}

func (s *replica) restoreSnapshot(r *StoredSnapshot) {
	if known, ok := s.log.at(r.Base.Index); ok && known == r.Base && !r.Reset {
		s.log.compact(r.Base, r.Records)
		return
	}
	s.log = shardLog{base: r.Base, snapshot: r.Records}
	s.complete = s.complete && !r.Reset
	s.accepted = max(s.accepted, r.Base.Epoch)
}
