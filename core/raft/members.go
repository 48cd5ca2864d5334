package raft

import (
	"fmt"
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
)

// ChangeKind is the kind of a VoterChange.
type ChangeKind int

// The kinds of voter changes.
const (
	AddLearner ChangeKind = iota + 1
	Promote
	Remove
)

// VoterChange changes the member set by one VM.
type VoterChange struct {
	Kind ChangeKind
	VM   domain.VM
}

// ProposeVoters appends a voter change and returns its index. It rejects a change
// while an earlier one is not committed, because majorities are guaranteed to
// overlap only if two sets differ by one VM.
func (r *Raft) ProposeVoters(now time.Time, change VoterChange) (Index, error) {
	if err := r.checkCanPropose(); err != nil {
		return 0, err
	}
	if r.membersIndex > r.commit {
		return 0, ErrChangePending
	}
	members, err := r.membersAfter(change)
	if err != nil {
		return 0, err
	}
	i := r.appendEntry(Entry{Members: &members})
	r.trackMembers(now)
	return i, nil
}

func (r *Raft) membersAfter(c VoterChange) (Members, error) {
	m := r.members
	without := func(list []domain.VM) []domain.VM {
		return slices.DeleteFunc(slices.Clone(list), func(vm domain.VM) bool { return vm == c.VM })
	}
	known := slices.Contains(m.replicas(), c.VM)
	switch {
	case c.Kind == AddLearner && !known && c.VM != "":
		return Members{Voters: m.Voters, Learners: append(without(m.Learners), c.VM), Removed: without(m.Removed)}, nil
	case c.Kind == Promote && slices.Contains(m.Learners, c.VM):
		if r.progress[c.VM].match+Index(r.cfg.MaxAppendEntries) < r.commit || r.progress[c.VM].match == 0 {
			return Members{}, ErrNotCaughtUp
		}
		return Members{Voters: append(without(m.Voters), c.VM), Learners: without(m.Learners), Removed: m.Removed}, nil
	case c.Kind == Remove && c.VM == r.cfg.ID:
		return Members{}, fmt.Errorf("%w: the leader cannot remove itself; transfer leadership first", ErrInvalidChange)
	case c.Kind == Remove && known:
		return Members{Voters: without(m.Voters), Learners: without(m.Learners), Removed: append(without(m.Removed), c.VM)}, nil
	}
	return Members{}, fmt.Errorf("%w: VM %q: add it as a learner, then promote it, then remove the old voter", ErrInvalidChange, c.VM)
}

// transfer is a leadership transfer in progress.
type transfer struct {
	to       domain.VM
	deadline time.Time
	sent     bool
}

// TransferLeadership hands over leadership to a voter before a planned stop. With
// an empty name the voter with the highest match index is chosen. Proposals are
// rejected until the transfer ends, which takes at most one election timeout.
func (r *Raft) TransferLeadership(now time.Time, to domain.VM) error {
	if err := r.checkCanPropose(); err != nil {
		return err
	}
	if to == "" {
		to = r.successor()
	}
	if to == r.cfg.ID || !r.members.voter(to) {
		return fmt.Errorf("%w: %q is not another voter; name one that status lists", ErrInvalidChange, to)
	}
	r.transfer = &transfer{to: to, deadline: now.Add(r.cfg.ElectionTimeout)}
	r.finishTransfer(to, r.progress[to])
	return nil
}

func (r *Raft) successor() domain.VM {
	var best domain.VM
	for _, vm := range r.others() {
		if r.members.voter(vm) && (best == "" || r.progress[vm].match > r.progress[best].match) {
			best = vm
		}
	}
	return best
}

func (r *Raft) finishTransfer(from domain.VM, p *progress) {
	if r.transfer == nil || r.transfer.to != from || r.transfer.sent || p.match < r.log.last() {
		return
	}
	r.transfer.sent = true
	r.sendNow(from, &TimeoutNow{Term: r.hardState.Term})
}

// abortTransfer ends a transfer that timed out and reports whether the leader
// stepped down. Once TimeoutNow was sent, its late delivery could start an
// election during the lease, so the leader steps down instead of resuming.
func (r *Raft) abortTransfer(now time.Time) bool {
	sent := r.transfer.sent
	r.transfer = nil
	if sent {
		r.becomeFollower(now, r.hardState.Term, "")
	}
	return sent
}
