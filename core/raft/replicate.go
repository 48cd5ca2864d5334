package raft

import (
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
)

// progress is the replication state of one follower at the leader.
type progress struct {
	match, next Index
	// probing limits replication to one Append at a time until the follower has
	// accepted one, so that a wrong value of next costs one message.
	probing, probeSent bool
	snapshotSentAt     time.Time
	lastReply          time.Time // receipt time of the last reply
	ackedRoundSentAt   time.Time // send time of the newest acknowledged round
}

type sentRound struct {
	round  uint64
	sentAt time.Time
}

func (r *Raft) trackMembers(now time.Time) {
	for vm := range r.progress {
		if !slices.Contains(r.members.replicas(), vm) {
			delete(r.progress, vm)
		}
	}
	for _, vm := range r.others() {
		if r.progress[vm] == nil {
			r.progress[vm] = &progress{next: r.log.last() + 1, probing: true, lastReply: now}
		}
	}
}

func (r *Raft) appendEntry(e Entry) Index {
	e.Index, e.Term = r.log.last()+1, r.hardState.Term
	r.log.append(e)
	r.markUnwritten(e.Index)
	r.appendDue = true
	if e.Members != nil {
		r.members, r.membersIndex = *e.Members, e.Index
	}
	return e.Index
}

// Propose appends a record to the log and returns its index. The entry is
// committed once Ready.Committed contains it with this index and the current
// term.
func (r *Raft) Propose(_ time.Time, data domain.Record) (Index, error) {
	if err := r.checkCanPropose(); err != nil {
		return 0, err
	}
	return r.appendEntry(Entry{Data: data}), nil
}

func (r *Raft) checkCanPropose() error {
	switch {
	case r.failed != nil:
		return ErrDiskFailed
	case r.role != Leader:
		return &NotLeaderError{r.leader}
	case r.transfer != nil:
		return ErrTransferring
	}
	return nil
}

func (r *Raft) tickLeader(now time.Time) {
	if now.Before(r.heartbeatDue) && len(r.rounds) > 0 {
		return
	}
	if r.transfer != nil && !now.Before(r.transfer.deadline) && r.abortTransfer(now) {
		return
	}
	if now.Sub(r.quorumTime(now, func(p *progress) time.Time { return p.lastReply })) > r.cfg.ElectionTimeout {
		r.becomeFollower(now, r.hardState.Term, "")
		return
	}
	r.round++
	r.rounds = append(r.rounds, sentRound{r.round, now})
	for now.Sub(r.rounds[0].sentAt) > r.cfg.ElectionTimeout {
		r.rounds = r.rounds[1:]
	}
	r.heartbeatDue = now.Add(r.cfg.Heartbeat)
	r.sendAppends(true)
}

func (r *Raft) sendAppends(heartbeat bool) {
	for _, vm := range r.others() {
		r.sendAppend(vm, r.progress[vm], heartbeat)
	}
}

// sendAppend sends the entries that the follower lacks. A heartbeat includes the
// check of the entry before next, so the loss of an Append is detected when the
// follower rejects the heartbeat.
func (r *Raft) sendAppend(to domain.VM, p *progress, heartbeat bool) {
	if p.next <= r.log.snapshotIndex() {
		r.sendSnapshot(to, p, heartbeat)
		return
	}
	if heartbeat {
		p.probeSent = false
	}
	hi := min(r.log.last(), p.next+Index(r.cfg.MaxAppendEntries)-1)
	if r.replicationPaused(p) {
		hi = p.next - 1
	}
	if hi < p.next && !heartbeat {
		return
	}
	prevTerm, _ := r.log.term(p.next - 1)
	r.sendNow(to, &Append{
		Term: r.hardState.Term, PrevIndex: p.next - 1, PrevTerm: prevTerm, Commit: r.commit,
		Round: r.round, Entries: r.log.slice(p.next, hi),
	})
	if p.probing {
		p.probeSent = true
	} else {
		p.next = hi + 1
	}
}

// replicationPaused reports whether no entries may be sent before a reply. That
// is so if the in-flight limit is reached, or if a follower that is being probed
// has an unanswered Append or is unresponsive. While it is unresponsive, it
// receives empty heartbeats only.
func (r *Raft) replicationPaused(p *progress) bool {
	silent := r.rounds[len(r.rounds)-1].sentAt.Sub(p.lastReply) > r.cfg.ElectionTimeout
	full := p.next > p.match+Index(maxInFlightBatches*r.cfg.MaxAppendEntries)
	return p.probing && (p.probeSent || silent) || full
}

// sendSnapshot sends the snapshot at most once per election timeout, because
// snapshots are large. In between it sends heartbeats that the follower can
// answer.
func (r *Raft) sendSnapshot(to domain.VM, p *progress, heartbeat bool) {
	at := r.rounds[len(r.rounds)-1].sentAt
	if p.snapshotSentAt.IsZero() || at.Sub(p.snapshotSentAt) >= r.cfg.ElectionTimeout {
		p.snapshotSentAt = at
		r.sendNow(to, &InstallSnapshot{Term: r.hardState.Term, Round: r.round, Snapshot: r.log.snapshot})
		return
	}
	if heartbeat {
		r.sendNow(to, &Append{Term: r.hardState.Term, PrevIndex: r.log.snapshotIndex(), PrevTerm: r.log.snapshot.Term, Commit: r.commit, Round: r.round})
	}
}

// followLeader accepts the leader of the term and grants it a new lease.
func (r *Raft) followLeader(now time.Time, term Term, leader domain.VM) {
	r.becomeFollower(now, term, leader)
	r.clearNoLeader()
	r.withholdVotesUntil = now.Add(r.cfg.ElectionTimeout)
	r.resetElection(now)
}

func (r *Raft) stepAppend(now time.Time, from domain.VM, m *Append) {
	if m.Term < r.hardState.Term {
		r.sendAfterSync(from, &AppendReply{Term: r.hardState.Term})
		return
	}
	r.followLeader(now, m.Term, from)
	reply := &AppendReply{Term: m.Term, Round: m.Round}
	r.sendAfterSync(from, reply)
	if m.PrevIndex < r.commit && m.PrevIndex+Index(len(m.Entries)) <= r.commit {
		reply.Match = r.commit
		return
	}
	if t, ok := r.log.term(m.PrevIndex); m.PrevIndex >= r.log.snapshotIndex() && (!ok || t != m.PrevTerm) {
		r.rejectAppend(reply, m.PrevIndex)
		return
	}
	r.storeEntries(m.Entries)
	reply.Match = m.PrevIndex + Index(len(m.Entries))
	r.commit = max(r.commit, min(m.Commit, reply.Match))
}

func (r *Raft) rejectAppend(reply *AppendReply, prev Index) {
	reply.Conflict, reply.Rejected = true, prev
	if prev > r.log.last() {
		reply.ConflictIndex = r.log.last() + 1
		return
	}
	reply.ConflictTerm, _ = r.log.term(prev)
	reply.ConflictIndex = max(r.log.firstOfTerm(prev), r.commit+1)
}

// storeEntries appends the entries that are missing and replaces conflicting
// ones. It does not truncate after entries that match, because a delayed Append
// must not remove entries that were acknowledged after it was sent.
func (r *Raft) storeEntries(entries []Entry) {
	for i, e := range entries {
		if e.Index <= r.log.snapshotIndex() {
			continue
		}
		t, ok := r.log.term(e.Index)
		if ok && t == e.Term {
			continue
		}
		if ok {
			r.log.truncate(e.Index)
			r.persistedIndex = min(r.persistedIndex, e.Index-1)
		}
		r.log.append(entries[i:]...)
		r.markUnwritten(e.Index)
		// Reloading the members scans the whole log, so it is done only when they
		// may have changed.
		if ok || slices.ContainsFunc(entries[i:], func(e Entry) bool { return e.Members != nil }) {
			r.loadMembers()
		}
		return
	}
}

func (r *Raft) stepSnapshot(now time.Time, from domain.VM, m *InstallSnapshot) {
	if m.Term < r.hardState.Term {
		r.sendAfterSync(from, &AppendReply{Term: r.hardState.Term})
		return
	}
	r.followLeader(now, m.Term, from)
	if m.Snapshot.Index > r.commit {
		r.log.compact(m.Snapshot)
		r.commit, r.delivered = m.Snapshot.Index, m.Snapshot.Index
		r.pendingSnapshot, r.rewriteLog, r.persistedIndex = m.Snapshot, true, 0
		r.loadMembers()
	}
	r.sendAfterSync(from, &AppendReply{Term: m.Term, Round: m.Round, Match: r.commit})
}

func (r *Raft) stepAppendReply(now time.Time, from domain.VM, m *AppendReply) {
	if m.Term > r.hardState.Term {
		r.becomeFollower(now, m.Term, "")
		return
	}
	p := r.progress[from]
	if r.role != Leader || m.Term != r.hardState.Term || p == nil {
		return
	}
	p.lastReply = now
	r.acknowledgeRound(p, m.Round)
	if m.Conflict {
		r.backtrack(from, p, m)
		return
	}
	if m.Match >= p.match {
		p.match = m.Match
		p.next = max(p.next, m.Match+1)
		p.probing, p.probeSent = false, false
		r.advanceCommit()
	}
	r.sendAppend(from, p, false)
	r.finishTransfer(from, p)
}

func (r *Raft) acknowledgeRound(p *progress, round uint64) {
	i, ok := slices.BinarySearchFunc(r.rounds, round, func(s sentRound, t uint64) int { return int(int64(s.round - t)) })
	if ok && r.rounds[i].sentAt.After(p.ackedRoundSentAt) {
		p.ackedRoundSentAt = r.rounds[i].sentAt
	}
}

// backtrack moves next back to below the conflict, by whole terms. It ignores a
// rejection of an index that is known to match, because that reply is delayed.
func (r *Raft) backtrack(to domain.VM, p *progress, m *AppendReply) {
	if m.Rejected <= p.match || (p.probing && m.Rejected != p.next-1) {
		return
	}
	next := m.ConflictIndex
	if m.ConflictTerm > 0 {
		if i, ok := r.log.lastOfTerm(m.ConflictTerm, m.Rejected); ok {
			next = i + 1
		}
	}
	p.next = max(min(next, m.Rejected), p.match+1, 1)
	p.probing, p.probeSent = true, false
	r.sendAppend(to, p, false)
}

// advanceCommit sets the commit index to the highest index that is durable on a
// majority. It commits only entries of the current term by counting replicas: an
// entry of an earlier term on a majority can still be replaced by a later leader.
func (r *Raft) advanceCommit() {
	matches := make([]Index, 0, len(r.members.Voters))
	for _, vm := range r.members.Voters {
		if vm == r.cfg.ID {
			matches = append(matches, r.persistedIndex)
		} else {
			matches = append(matches, r.progress[vm].match)
		}
	}
	slices.Sort(matches)
	n := matches[len(matches)-r.quorum()]
	if t, ok := r.log.term(n); ok && n > r.commit && t == r.hardState.Term {
		r.commit = n
	}
}

// quorumTime returns the latest time that a majority of the voters has reached.
// This VM counts with the time now.
func (r *Raft) quorumTime(now time.Time, timeOf func(*progress) time.Time) time.Time {
	times := make([]time.Time, 0, len(r.members.Voters))
	for _, vm := range r.members.Voters {
		if vm == r.cfg.ID {
			times = append(times, now)
		} else {
			times = append(times, timeOf(r.progress[vm]))
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times[len(times)-r.quorum()]
}

// LeaderLease reports whether this VM is the leader and no other leader can
// exist. The lease counts from the send time of a round that a majority has
// answered. The voters of that majority withhold their votes for an election
// timeout from its receipt, which is later. The drift limit is subtracted twice,
// once for each clock.
func (r *Raft) LeaderLease(now time.Time) bool {
	if r.role != Leader || r.failed != nil || (r.transfer != nil && r.transfer.sent) {
		return false
	}
	lease := r.cfg.ElectionTimeout * (100 - 2*maxClockDriftPercent) / 100
	since := r.quorumTime(now, func(p *progress) time.Time { return p.ackedRoundSentAt })
	return now.Before(since.Add(lease))
}
