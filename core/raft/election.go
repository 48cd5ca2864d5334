package raft

import (
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
)

// resetElection sets a random election deadline of one to two election timeouts,
// so that voters rarely start elections at the same time.
func (r *Raft) resetElection(now time.Time) {
	jitter := time.Duration(r.cfg.Rand.Int64N(int64(r.cfg.ElectionTimeout)))
	r.electionDeadline = now.Add(r.cfg.ElectionTimeout + jitter)
}

func (r *Raft) electable() bool {
	return !r.isFenced() && r.members.voter(r.cfg.ID)
}

func (r *Raft) isFenced() bool {
	return r.fenced || (slices.Contains(r.members.Removed, r.cfg.ID) && r.membersIndex <= r.commit)
}

// mayVote reports whether this VM may grant votes. A VM that joined with an empty
// disk and has not received the member set must not vote, because it may have voted
// in this term before it lost its disk.
func (r *Raft) mayVote() bool { return len(r.members.Voters) > 0 && !r.isFenced() }

func (r *Raft) becomeFollower(now time.Time, term Term, leader domain.VM) {
	if term > r.hardState.Term {
		r.setHardState(HardState{Term: term})
	}
	if r.role != Follower {
		r.resetElection(now)
	}
	r.role, r.leader, r.transfer, r.progress, r.rounds = Follower, leader, nil, nil, nil
}

func (r *Raft) startPreVote(now time.Time) {
	r.role, r.leader, r.transferVote = PreCandidate, "", false
	r.votes = map[domain.VM]bool{}
	m := &PreVote{Term: r.hardState.Term + 1, LastIndex: r.log.last(), LastTerm: r.log.lastTerm()}
	for _, vm := range r.others() {
		if r.members.voter(vm) {
			r.sendNow(vm, m)
		}
	}
	r.countVote(now, r.cfg.ID)
}

func (r *Raft) startElection(now time.Time) {
	r.role, r.leader = Candidate, ""
	r.votes = map[domain.VM]bool{}
	r.setHardState(HardState{Term: r.hardState.Term + 1, Vote: r.cfg.ID})
	r.resetElection(now)
	// The candidate's own vote counts once the write with the next token is
	// durable.
	r.selfVoteToken = r.issuedToken + 1
	for _, vm := range r.others() {
		if r.members.voter(vm) {
			r.sendAfterSync(vm, &Vote{
				Term: r.hardState.Term, LastIndex: r.log.last(), LastTerm: r.log.lastTerm(),
				Transfer: r.transferVote, IgnoreLeaseBootID: r.ignoreLeaseBootIDs[vm],
			})
		}
	}
}

func (r *Raft) countVote(now time.Time, from domain.VM) {
	if !r.members.voter(from) {
		return
	}
	r.votes[from] = true
	if len(r.votes) < r.quorum() {
		return
	}
	if r.role == PreCandidate {
		r.startElection(now)
	} else {
		r.becomeLeader(now)
	}
}

func (r *Raft) upToDate(index Index, term Term) bool {
	lastTerm := r.log.lastTerm()
	return term > lastTerm || (term == lastTerm && index >= r.log.last())
}

// withholdsVotes reports whether this VM leads or a leader may rely on it not to
// vote for another VM.
func (r *Raft) withholdsVotes(now time.Time) bool {
	return r.role == Leader || now.Before(r.withholdVotesUntil)
}

func (r *Raft) stepPreVote(now time.Time, from domain.VM, m *PreVote) {
	if slices.Contains(r.members.Removed, from) {
		fenced := r.membersIndex <= r.commit
		r.sendNow(from, &PreVoteReply{Term: r.hardState.Term, Fenced: fenced})
		return
	}
	if r.mayVote() && m.Term > r.hardState.Term && !r.withholdsVotes(now) && r.upToDate(m.LastIndex, m.LastTerm) {
		r.sendNow(from, &PreVoteReply{Term: m.Term, Granted: true})
		return
	}
	r.sendAfterSync(from, &PreVoteReply{Term: r.hardState.Term})
}

func (r *Raft) stepPreVoteReply(now time.Time, from domain.VM, m *PreVoteReply) {
	switch {
	case m.Fenced && r.role != Leader && r.members.voter(from):
		r.fenced = true
		r.becomeFollower(now, r.hardState.Term, "")
	case m.Granted && r.role == PreCandidate && m.Term == r.hardState.Term+1:
		r.countVote(now, from)
	case !m.Granted && m.Term > r.hardState.Term:
		r.becomeFollower(now, m.Term, "")
	}
}

// stepVote ignores candidates of a higher term while this VM has granted a lease,
// so the lease holds even against a candidate that skipped the pre-vote. The
// exceptions are a leadership transfer and mayIgnoreLease.
func (r *Raft) stepVote(now time.Time, from domain.VM, m *Vote) {
	if slices.Contains(r.members.Removed, from) || !r.mayVote() {
		return
	}
	if m.Term > r.hardState.Term {
		if r.withholdsVotes(now) && !m.Transfer && !r.mayIgnoreLease(m) {
			return
		}
		r.becomeFollower(now, m.Term, "")
	}
	granted := m.Term == r.hardState.Term && r.role == Follower && (r.hardState.Vote == "" || r.hardState.Vote == from) && r.upToDate(m.LastIndex, m.LastTerm)
	if granted {
		r.setHardState(HardState{Term: m.Term, Vote: from})
		r.resetElection(now)
		r.probe = nil
	}
	r.sendAfterSync(from, &VoteReply{Term: r.hardState.Term, Granted: granted})
}

func (r *Raft) stepVoteReply(now time.Time, from domain.VM, m *VoteReply) {
	switch {
	case m.Term > r.hardState.Term:
		r.becomeFollower(now, m.Term, "")
	case m.Granted && m.Term == r.hardState.Term && r.role == Candidate:
		r.countVote(now, from)
	}
}

func (r *Raft) stepTimeoutNow(now time.Time, from domain.VM, m *TimeoutNow) {
	if m.Term != r.hardState.Term || from != r.leader || !r.electable() {
		return
	}
	r.transferVote = true
	r.startElection(now)
}

func (r *Raft) becomeLeader(now time.Time) {
	r.role, r.leader, r.transfer = Leader, r.cfg.ID, nil
	r.progress, r.rounds = map[domain.VM]*progress{}, nil
	r.clearNoLeader()
	r.trackMembers(now)
	members := r.members
	r.appendEntry(Entry{Members: &members})
	r.tickLeader(now)
}
