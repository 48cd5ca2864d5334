// Package raft implements the Raft consensus algorithm of the voters: a
// replicated log with pre-vote, check-quorum, a leader lease, snapshots and
// membership changes by one VM at a time. It does no I/O. The caller drains
// Ready, writes its records, sends its messages and reports completed writes
// with Persisted.
package raft

import (
	"errors"
	"fmt"
	"slices"

	"github.com/mangoknot/mangoknot/core/domain"
)

// Index is a position in the log. The first entry has index 1.
type Index uint64

// Term is a leader's term. At most one leader exists in a term.
type Term uint64

// Members is the set of VMs that take part in consensus.
type Members struct {
	Voters, Learners []domain.VM
	// Removed lists former voters. They stay fenced until they are added again.
	Removed []domain.VM
}

func (m Members) replicas() []domain.VM { return slices.Concat(m.Voters, m.Learners) }

func (m Members) voter(vm domain.VM) bool { return slices.Contains(m.Voters, vm) }

// Entry is one entry of the log. An entry without Data carries no command.
type Entry struct {
	Index Index
	Term  Term
	Data  domain.Record
	// Members is set on voter changes and on the first entry of each leader, so
	// that a VM that joins with an empty log receives the member set with the
	// log.
	Members *Members
}

// Snapshot replaces the log up to and including Index.
type Snapshot struct {
	Index   Index
	Term    Term
	Members Members
	Data    domain.Record
}

// RecordName implements domain.Record.
func (*Snapshot) RecordName() string { return "raft.Snapshot" }

// HardState is the current term and the vote that was cast in it.
type HardState struct {
	Term Term
	Vote domain.VM
}

// RecordName implements domain.Record.
func (*HardState) RecordName() string { return "raft.HardState" }

// Entries is a sequence of consecutive log entries. It replaces all earlier
// entries at or above the index of its first one.
type Entries struct{ Entries []Entry }

// RecordName implements domain.Record.
func (*Entries) RecordName() string { return "raft.Entries" }

// Records returns the record types of the package, for codecs.
func Records() []domain.Record { return []domain.Record{&Snapshot{}, &HardState{}, &Entries{}} }

// Restored is the durable state. It is built by applying the records of the
// stream in order.
type Restored struct {
	HardState HardState
	Snapshot  *Snapshot
	Entries   []Entry
}

// Apply adds one record of the stream. It returns an error if the record is of
// another package or leaves a gap in the log.
func (s *Restored) Apply(record domain.Record) error {
	switch record := record.(type) {
	case *HardState:
		s.HardState = *record
	case *Snapshot:
		s.Snapshot, s.Entries = record, nil
	case *Entries:
		return s.addEntries(record.Entries)
	default:
		return fmt.Errorf("raft: record %T does not belong to the log; restore the folder from a backup or rejoin as a learner", record)
	}
	return nil
}

func (s *Restored) addEntries(entries []Entry) error {
	first := Index(1)
	if s.Snapshot != nil {
		first = s.Snapshot.Index + 1
	}
	for _, e := range entries {
		if e.Index < first || e.Index > first+Index(len(s.Entries)) {
			return fmt.Errorf("raft: log entry %d does not follow the stored log; restore the folder from a backup or rejoin as a learner", e.Index)
		}
		s.Entries = append(s.Entries[:e.Index-first], e)
	}
	return nil
}

// PreVote asks whether the receiver would grant its vote, without changing its
// term.
type PreVote struct {
	Term      Term
	LastIndex Index
	LastTerm  Term
}

// MessageName implements domain.Message.
func (*PreVote) MessageName() string { return "raft.PreVote" }

// PreVoteReply answers PreVote. Term is the requested term if Granted is set,
// and the term of the sender otherwise.
type PreVoteReply struct {
	Term    Term
	Granted bool
	// Fenced reports that the removal of the requesting VM is committed.
	Fenced bool
}

// MessageName implements domain.Message.
func (*PreVoteReply) MessageName() string { return "raft.PreVoteReply" }

// Vote requests a vote.
type Vote struct {
	Term      Term
	LastIndex Index
	LastTerm  Term
	// Transfer reports that the former leader released its lease in favour of
	// the candidate.
	Transfer bool
	// IgnoreLeaseBootID is a boot ID of the receiver, or 0. The candidate has
	// proved that no leader relies on a lease that the receiver granted before
	// that boot.
	IgnoreLeaseBootID uint64 `cbor:"IgnoredStart"`
}

// MessageName implements domain.Message.
func (*Vote) MessageName() string { return "raft.Vote" }

// VoteReply answers Vote.
type VoteReply struct {
	Term    Term
	Granted bool
}

// MessageName implements domain.Message.
func (*VoteReply) MessageName() string { return "raft.VoteReply" }

// Append replicates entries. Without entries it serves as a heartbeat.
type Append struct {
	Term      Term
	PrevIndex Index
	PrevTerm  Term
	Commit    Index
	// Round is returned in the reply. The leader maps it to the send time, from
	// which its lease counts.
	Round   uint64
	Entries []Entry
}

// MessageName implements domain.Message.
func (*Append) MessageName() string { return "raft.Append" }

// Validate returns an error unless the entries follow PrevIndex without a gap.
func (m *Append) Validate() error {
	for i, e := range m.Entries {
		if e.Index != m.PrevIndex+1+Index(i) {
			return errMalformed
		}
	}
	return nil
}

// errMalformed is returned for a message that no voter of a compatible version sends.
var errMalformed = errors.New("raft: the message is malformed; check that all VMs run compatible versions")

// AppendReply answers Append and InstallSnapshot.
type AppendReply struct {
	Term  Term
	Round uint64
	Match Index
	// Rejected is the PrevIndex that did not match. It is valid if Conflict is
	// set.
	Rejected      Index
	Conflict      bool
	ConflictTerm  Term
	ConflictIndex Index
}

// MessageName implements domain.Message.
func (*AppendReply) MessageName() string { return "raft.AppendReply" }

// InstallSnapshot replaces the log of a follower that needs entries that the
// leader has compacted.
type InstallSnapshot struct {
	Term     Term
	Round    uint64
	Snapshot *Snapshot
}

// MessageName implements domain.Message.
func (*InstallSnapshot) MessageName() string { return "raft.InstallSnapshot" }

// Validate returns an error if the snapshot is missing.
func (m *InstallSnapshot) Validate() error {
	if m.Snapshot == nil {
		return errMalformed
	}
	return nil
}

// TimeoutNow asks the target of a leadership transfer to start an election at
// once.
type TimeoutNow struct{ Term Term }

// MessageName implements domain.Message.
func (*TimeoutNow) MessageName() string { return "raft.TimeoutNow" }

// Messages returns the message types of the package, for codecs.
func Messages() []domain.Message {
	return []domain.Message{
		&PreVote{}, &PreVoteReply{}, &Vote{}, &VoteReply{}, &Append{}, &AppendReply{}, &InstallSnapshot{}, &TimeoutNow{},
		&Probe{}, &ProbeReply{},
	}
}

// Errors returned for proposals, for use with errors.Is.
var (
	ErrNotLeader     = errors.New("raft: this voter is not the leader")
	ErrTransferring  = errors.New("raft: leadership is being transferred; retry at the next leader")
	ErrChangePending = errors.New("raft: an earlier voter change or the first entry of the leader is not committed yet; retry after it")
	ErrNotCaughtUp   = errors.New("raft: the learner has not caught up with the log; retry when status shows that it has")
	ErrInvalidChange = errors.New("raft: the voter change is not valid for the current member set")
	ErrDiskFailed    = errors.New("raft: this voter is silent because its disk rejects writes; send the proposal to another voter, and check the free space and the device of this one")
)

// NotLeaderError rejects a proposal. It names the leader if one is known.
type NotLeaderError struct{ Leader domain.VM }

func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return ErrNotLeader.Error() + " and knows no leader; retry after an election timeout"
	}
	return fmt.Sprintf("%v; send the proposal to %s", ErrNotLeader, e.Leader)
}

// Is reports whether target is ErrNotLeader.
func (e *NotLeaderError) Is(target error) bool { return target == ErrNotLeader }
