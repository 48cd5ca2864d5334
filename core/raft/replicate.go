package raft

import (
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
)

// progress is what the leader knows of one follower.
type progress struct {
	match, next Index
	// probing holds further entries back until the follower has accepted one
	// Append, so that a wrong guess of next costs one message.
	probing, probeSent bool
	snapshotSent       time.Time
	contact            time.Time // last receipt of a reply
	acknowledged       time.Time // send time of the newest answered round
}

type sentRound struct {
	round uint64
	at    time.Time
}

func (r *Raft) trackMembers(now time.Time) {
	for vm := range r.progress {
		if !slices.Contains(r.members.replicas(), vm) {
			delete(r.progress, vm)
		}
	}
	for _, vm := range r.others() {
		if r.progress[vm] == nil {
			r.progress[vm] = &progress{next: r.log.last() + 1, probing: true, contact: now}
		}
	}
}

func (r *Raft) appendOwn(e Entry) Index {
	e.Index, e.Term = r.log.last()+1, r.hard.Term
	r.log.append(e)
	r.markUnwritten(e.Index)
	r.appendDue = true
	if e.Members != nil {
		r.members, r.membersIndex = *e.Members, e.Index
	}
	return e.Index
}

// Propose appends a record to the log. The entry is committed when it appears
// in Ready.Committed with the returned index and the current term.
func (r *Raft) Propose(_ time.Time, data domain.Record) (Index, error) {
	if err := r.mayPropose(); err != nil {
		return 0, err
	}
	return r.appendOwn(Entry{Data: data}), nil
}

func (r *Raft) mayPropose() error {
	switch {
	case r.failed != nil:
		return ErrStopped
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
	if r.transfer != nil && !now.Before(r.transfer.deadline) && r.endTransfer(now) {
		return
	}
	if now.Sub(r.quorumTime(now, func(p *progress) time.Time { return p.contact })) > r.cfg.ElectionTimeout {
		r.becomeFollower(now, r.hard.Term, "")
		return
	}
	r.round++
	r.rounds = append(r.rounds, sentRound{r.round, now})
	for now.Sub(r.rounds[0].at) > r.cfg.ElectionTimeout {
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

// sendAppend sends what the follower lacks. A heartbeat checks the entry before
// next, so a lost Append is found by its rejection.
func (r *Raft) sendAppend(to domain.VM, p *progress, heartbeat bool) {
	if p.next <= r.log.base() {
		r.sendSnapshot(to, p, heartbeat)
		return
	}
	if heartbeat {
		p.probeSent = false
	}
	hi := min(r.log.last(), p.next+Index(r.cfg.MaxAppendEntries)-1)
	if r.holdsBack(p) {
		hi = p.next - 1
	}
	if hi < p.next && !heartbeat {
		return
	}
	prevTerm, _ := r.log.term(p.next - 1)
	r.sendNow(to, &Append{
		Term: r.hard.Term, PrevIndex: p.next - 1, PrevTerm: prevTerm, Commit: r.commit,
		Round: r.round, Entries: r.log.slice(p.next, hi),
	})
	if p.probing {
		p.probeSent = true
	} else {
		p.next = hi + 1
	}
}

// holdsBack says that entries wait for a reply: the probe is under way, the
// window is full, or the follower is silent and gets empty heartbeats only.
func (r *Raft) holdsBack(p *progress) bool {
	silent := r.rounds[len(r.rounds)-1].at.Sub(p.contact) > r.cfg.ElectionTimeout
	full := p.next > p.match+Index(inFlightBatches*r.cfg.MaxAppendEntries)
	return p.probing && (p.probeSent || silent) || full
}

// sendSnapshot resends at most once in an election timeout, because snapshots
// are large. The follower answers a heartbeat in between.
func (r *Raft) sendSnapshot(to domain.VM, p *progress, heartbeat bool) {
	at := r.rounds[len(r.rounds)-1].at
	if p.snapshotSent.IsZero() || at.Sub(p.snapshotSent) >= r.cfg.ElectionTimeout {
		p.snapshotSent = at
		r.sendNow(to, &InstallSnapshot{Term: r.hard.Term, Round: r.round, Snapshot: r.log.snapshot})
		return
	}
	if heartbeat {
		r.sendNow(to, &Append{Term: r.hard.Term, PrevIndex: r.log.base(), PrevTerm: r.log.snapshot.Term, Commit: r.commit, Round: r.round})
	}
}

// hearLeader starts a new promise to the leader of the term.
func (r *Raft) hearLeader(now time.Time, term Term, leader domain.VM) {
	r.becomeFollower(now, term, leader)
	r.heard()
	r.promiseUntil = now.Add(r.cfg.ElectionTimeout)
	r.resetElection(now)
}

func (r *Raft) stepAppend(now time.Time, from domain.VM, m *Append) {
	if m.Term < r.hard.Term {
		r.sendAfterSync(from, &AppendReply{Term: r.hard.Term})
		return
	}
	r.hearLeader(now, m.Term, from)
	reply := &AppendReply{Term: m.Term, Round: m.Round}
	r.sendAfterSync(from, reply)
	if m.PrevIndex < r.commit && m.PrevIndex+Index(len(m.Entries)) <= r.commit {
		reply.Match = r.commit
		return
	}
	if t, ok := r.log.term(m.PrevIndex); m.PrevIndex >= r.log.base() && (!ok || t != m.PrevTerm) {
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

// storeEntries keeps entries that are present already, because an old Append
// that arrives late must not cut entries that were acknowledged since.
func (r *Raft) storeEntries(entries []Entry) {
	for i, e := range entries {
		if e.Index <= r.log.base() {
			continue
		}
		t, ok := r.log.term(e.Index)
		if ok && t == e.Term {
			continue
		}
		if ok {
			r.log.truncate(e.Index)
			r.persisted = min(r.persisted, e.Index-1)
		}
		r.log.append(entries[i:]...)
		r.markUnwritten(e.Index)
		// A scan for every Append would cost the length of the log.
		if ok || slices.ContainsFunc(entries[i:], func(e Entry) bool { return e.Members != nil }) {
			r.loadMembers()
		}
		return
	}
}

func (r *Raft) stepSnapshot(now time.Time, from domain.VM, m *InstallSnapshot) {
	if m.Term < r.hard.Term {
		r.sendAfterSync(from, &AppendReply{Term: r.hard.Term})
		return
	}
	r.hearLeader(now, m.Term, from)
	if m.Snapshot.Index > r.commit {
		r.log.compact(m.Snapshot)
		r.commit, r.delivered = m.Snapshot.Index, m.Snapshot.Index
		r.install, r.rewrite, r.persisted = m.Snapshot, true, 0
		r.loadMembers()
	}
	r.sendAfterSync(from, &AppendReply{Term: m.Term, Round: m.Round, Match: r.commit})
}

func (r *Raft) stepAppendReply(now time.Time, from domain.VM, m *AppendReply) {
	if m.Term > r.hard.Term {
		r.becomeFollower(now, m.Term, "")
		return
	}
	p := r.progress[from]
	if r.role != Leader || m.Term != r.hard.Term || p == nil {
		return
	}
	p.contact = now
	r.acknowledgeRound(p, m.Round)
	if m.Conflict {
		r.backTrack(from, p, m)
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
	if ok && r.rounds[i].at.After(p.acknowledged) {
		p.acknowledged = r.rounds[i].at
	}
}

// backTrack moves next below the conflict by whole terms. A rejection of an
// index that is known to match is late and is ignored.
func (r *Raft) backTrack(to domain.VM, p *progress, m *AppendReply) {
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

// advanceCommit counts only entries of the own term: an older entry on a
// majority can still be replaced by a later leader.
func (r *Raft) advanceCommit() {
	matches := make([]Index, 0, len(r.members.Voters))
	for _, vm := range r.members.Voters {
		if vm == r.cfg.ID {
			matches = append(matches, r.persisted)
		} else {
			matches = append(matches, r.progress[vm].match)
		}
	}
	slices.Sort(matches)
	n := matches[len(matches)-r.quorum()]
	if t, ok := r.log.term(n); ok && n > r.commit && t == r.hard.Term {
		r.commit = n
	}
}

// quorumTime returns the newest time that a majority has reached.
func (r *Raft) quorumTime(now time.Time, of func(*progress) time.Time) time.Time {
	times := make([]time.Time, 0, len(r.members.Voters))
	for _, vm := range r.members.Voters {
		if vm == r.cfg.ID {
			times = append(times, now)
		} else {
			times = append(times, of(r.progress[vm]))
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times[len(times)-r.quorum()]
}

// LeaderLease is true while no other leader can exist. It counts from the send
// time of a round that a majority answered; they count their promise from its
// later receipt. The drift bound is subtracted twice, once for each clock.
func (r *Raft) LeaderLease(now time.Time) bool {
	if r.role != Leader || r.failed != nil || (r.transfer != nil && r.transfer.sent) {
		return false
	}
	lease := r.cfg.ElectionTimeout * (100 - 2*driftPercent) / 100
	since := r.quorumTime(now, func(p *progress) time.Time { return p.acknowledged })
	return now.Before(since.Add(lease))
}
