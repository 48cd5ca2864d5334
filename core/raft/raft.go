package raft

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
)

// Default values of Config.
const (
	DefaultHeartbeat        = 100 * time.Millisecond
	DefaultElectionTimeout  = time.Second
	DefaultMaxAppendEntries = 256
)

// maxInFlightBatches limits the unacknowledged entries to one follower, in units
// of MaxAppendEntries, so that an unresponsive follower does not fill its send
// queue.
const maxInFlightBatches = 8

// rewriteInterval is the pause before the log is written again after a failed write.
const rewriteInterval = 250 * time.Millisecond

// maxClockDriftPercent is the assumed limit of the difference in rate between
// two clocks over the duration of a lease.
const maxClockDriftPercent = 1

// Config holds the settings of one voter or learner.
type Config struct {
	ID domain.VM
	// Voters is the initial set. It is empty on a VM that joins as a learner or
	// restarts with an empty disk. Such a VM does not vote before it has received
	// the log.
	Voters                     []domain.VM
	Heartbeat, ElectionTimeout time.Duration
	// MaxAppendEntries limits the entries of one Append. The limit is a count and
	// not a size, because only the codec knows the encoded size of a record.
	MaxAppendEntries int
	// ElectAfterRestart lets voters that have all restarted elect a leader before
	// the leases expire that they may have granted before the restart.
	ElectAfterRestart bool
	Rand              *rand.Rand
}

// Role is the role of a VM in the current term.
type Role int

// The roles of a VM.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// PersistToken numbers the writes of Ready. Completion of a token implies
// completion of all lower ones.
type PersistToken uint64

// Ready is the output since the previous call.
type Ready struct {
	// Records must be appended to the voter's stream, or replace its content if
	// Replace is set. Writes must complete in the order of their tokens.
	Records []domain.Record
	Replace bool
	Token   PersistToken
	// Now may be sent at once, AfterSync only once Token is durable.
	Now, AfterSync []domain.Send
	// Snapshot must be restored before Committed is applied.
	Snapshot  *Snapshot
	Committed []Entry
}

// Status describes the state of a voter or learner for operators and tests.
type Status struct {
	Role                   Role
	Term                   Term
	Leader                 domain.VM
	Last, Commit, Snapshot Index
	Members                Members
	Fenced                 bool
	// Failed is the error of the last write, until the log is durable again.
	Failed error
}

type pendingPersist struct {
	token PersistToken
	index Index
	term  Term
}

// Raft is one voter or learner. It is not safe for concurrent use.
type Raft struct {
	cfg       Config
	role      Role
	hardState HardState
	log       memoryLog

	leader       domain.VM
	commit       Index
	delivered    Index // highest index returned in Ready.Committed
	members      Members
	membersIndex Index
	fenced       bool

	// failed is the error of the last write, or nil. rewriteDue is the time of the next
	// attempt to write the whole log, and rewriting is set while one is in progress.
	failed     error
	rewriteDue time.Time
	rewriting  bool

	// withholdVotesUntil is the end of the lease that this VM granted to the
	// leader: until then it does not vote for another VM. The lease is not
	// stored, so a restarted voter withholds its votes for a full election
	// timeout.
	withholdVotesUntil time.Time
	// bootID identifies this start of the VM. With ElectAfterRestart,
	// noLeaderSinceBoot is set until the VM has received a message from a leader
	// or become one, and probe is the current check for an existing leader.
	bootID             uint64
	noLeaderSinceBoot  bool
	probe              *probe
	probeDue           time.Time
	ignoreLeaseBootIDs map[domain.VM]uint64

	electionDeadline time.Time
	votes            map[domain.VM]bool
	transferVote     bool

	heartbeatDue time.Time
	progress     map[domain.VM]*progress
	round        uint64
	rounds       []sentRound
	transfer     *transfer

	issuedToken, durableToken      PersistToken
	pendingWrites                  []pendingPersist
	persistedIndex                 Index
	hardStateDirty                 bool
	selfVoteToken                  PersistToken
	firstUnwritten                 Index // first index not yet in Ready.Records, 0 if none
	rewriteLog                     bool
	pendingSnapshot                *Snapshot
	immediateSends, afterSyncSends []domain.Send
	appendDue                      bool
}

// New returns a voter or learner with the restored state. The snapshot and the
// committed entries are output by Ready again, because the commit index is not
// stored.
func New(c Config, restored Restored, now time.Time) *Raft {
	if c.Heartbeat <= 0 {
		c.Heartbeat = DefaultHeartbeat
	}
	if c.ElectionTimeout <= 0 {
		c.ElectionTimeout = DefaultElectionTimeout
	}
	if c.MaxAppendEntries <= 0 {
		c.MaxAppendEntries = DefaultMaxAppendEntries
	}
	r := &Raft{cfg: c, hardState: restored.HardState}
	r.log.snapshot = restored.Snapshot
	r.log.append(restored.Entries...)
	r.commit, r.delivered = r.log.snapshotIndex(), r.log.snapshotIndex()
	r.pendingSnapshot = restored.Snapshot
	r.persistedIndex = r.log.last()
	r.loadMembers()
	r.withholdVotesUntil = now.Add(c.ElectionTimeout)
	r.resetElection(now)
	if c.ElectAfterRestart {
		r.startProbing(now)
	}
	return r
}

func (r *Raft) loadMembers() {
	r.members, r.membersIndex = r.log.members(r.log.last(), Members{Voters: r.cfg.Voters})
	if r.membersIndex > 0 && slices.Contains(r.members.replicas(), r.cfg.ID) {
		r.fenced = false
	}
}

// Status returns a description of the current state.
func (r *Raft) Status() Status {
	return Status{
		Role: r.role, Term: r.hardState.Term, Leader: r.leader, Last: r.log.last(), Commit: r.commit,
		Snapshot: r.log.snapshotIndex(), Members: r.members, Fenced: r.isFenced(), Failed: r.failed,
	}
}

// Step handles a message. The message must come from an authenticated
// connection, because votes are counted by the sender's name.
func (r *Raft) Step(now time.Time, from domain.VM, m domain.Message) {
	if r.failed != nil {
		return
	}
	switch m := m.(type) {
	case *PreVote:
		r.stepPreVote(now, from, m)
	case *PreVoteReply:
		r.stepPreVoteReply(now, from, m)
	case *Vote:
		r.stepVote(now, from, m)
	case *VoteReply:
		r.stepVoteReply(now, from, m)
	case *Append:
		r.stepAppend(now, from, m)
	case *AppendReply:
		r.stepAppendReply(now, from, m)
	case *InstallSnapshot:
		r.stepSnapshot(now, from, m)
	case *TimeoutNow:
		r.stepTimeoutNow(now, from, m)
	case *Probe:
		r.stepProbe(now, from, m)
	case *ProbeReply:
		r.stepProbeReply(now, from, m)
	}
}

// Tick runs the timers that are due. It must be called at or after NextWake.
func (r *Raft) Tick(now time.Time) {
	if r.failed != nil {
		r.tickRewrite(now)
		return
	}
	if r.role == Leader {
		r.tickLeader(now)
		return
	}
	r.tickProbe(now)
	if now.Before(r.electionDeadline) {
		return
	}
	r.resetElection(now)
	if r.electable() {
		r.startPreVote(now)
	}
}

// NextWake returns when Tick is due.
func (r *Raft) NextWake() time.Time {
	switch {
	case r.failed != nil:
		return r.rewriteDue
	case r.role == Leader:
		return r.heartbeatDue
	case r.noLeaderSinceBoot && r.probeDue.Before(r.electionDeadline):
		return r.probeDue
	}
	return r.electionDeadline
}

// Ready returns the pending output and clears it.
func (r *Raft) Ready() Ready {
	if r.failed != nil {
		return r.readyToRewrite()
	}
	if r.role == Leader && r.appendDue {
		r.appendDue = false
		r.sendAppends(false)
	}
	out := Ready{Now: r.immediateSends, Snapshot: r.pendingSnapshot, Replace: r.rewriteLog}
	out.Records = r.takeRecords()
	out.Token = r.issuedToken
	if r.durableToken == r.issuedToken {
		out.Now = append(out.Now, r.afterSyncSends...)
	} else {
		out.AfterSync = r.afterSyncSends
	}
	if r.commit > r.delivered {
		out.Committed = r.log.slice(r.delivered+1, r.commit)
		r.delivered = r.commit
	}
	r.immediateSends, r.afterSyncSends, r.pendingSnapshot = nil, nil, nil
	return out
}

func (r *Raft) takeRecords() []domain.Record {
	var records []domain.Record
	hard := r.hardState
	if r.rewriteLog {
		records = append(records, &hard)
		if r.log.snapshot != nil {
			records = append(records, r.log.snapshot)
		}
		r.firstUnwritten = r.log.snapshotIndex() + 1
	} else if r.hardStateDirty {
		records = append(records, &hard)
	}
	if r.firstUnwritten > 0 && r.firstUnwritten <= r.log.last() {
		records = append(records, &Entries{r.log.slice(r.firstUnwritten, r.log.last())})
	}
	r.rewriteLog, r.hardStateDirty, r.firstUnwritten = false, false, 0
	if len(records) > 0 {
		r.issuedToken++
		r.pendingWrites = append(r.pendingWrites, pendingPersist{r.issuedToken, r.log.last(), r.log.lastTerm()})
	}
	return records
}

// Persisted must be called when the records of the Ready with this token, and of
// all earlier ones, are durable. After PersistFailed the next call is for a Ready with
// Replace, or for one after it, and ends the silence of this VM.
func (r *Raft) Persisted(now time.Time, token PersistToken) {
	if token <= r.durableToken {
		return
	}
	if r.failed != nil {
		r.failed, r.rewriting = nil, false
		r.resetElection(now)
	}
	r.durableToken = token
	for len(r.pendingWrites) > 0 && r.pendingWrites[0].token <= token {
		done := r.pendingWrites[0]
		r.pendingWrites = r.pendingWrites[1:]
		// An entry that was replaced after this write is not durable.
		if t, ok := r.log.term(done.index); ok && t == done.term {
			r.persistedIndex = max(r.persistedIndex, done.index)
		}
	}
	if r.role == Candidate && token >= r.selfVoteToken {
		r.countVote(now, r.cfg.ID)
	}
	if r.role == Leader {
		r.advanceCommit()
	}
}

// PersistFailed must be called when a write has failed. The content of the disk is
// unknown from then on, so this VM neither votes nor leads nor answers. Ready returns the
// whole log at intervals, until it is durable. What was not durable before the failure was
// never sent, because the messages that wait for it are dropped.
func (r *Raft) PersistFailed(now time.Time, err error) {
	r.failed, r.rewriting = err, false
	r.rewriteDue = now.Add(rewriteInterval)
	r.becomeFollower(now, r.hardState.Term, "")
	r.immediateSends, r.afterSyncSends = nil, nil
}

// tickRewrite starts an attempt to write the whole log when it is due and none is in
// progress.
func (r *Raft) tickRewrite(now time.Time) {
	if now.Before(r.rewriteDue) {
		return
	}
	r.rewriteDue = now.Add(rewriteInterval)
	r.rewriteLog = r.rewriteLog || !r.rewriting
}

// readyToRewrite returns the whole log if an attempt to write it is due.
func (r *Raft) readyToRewrite() Ready {
	if !r.rewriteLog || r.rewriting {
		return Ready{}
	}
	r.rewriting = true
	records := r.takeRecords()
	return Ready{Records: records, Replace: true, Token: r.issuedToken}
}

// Compact replaces the log up to and including upTo by a snapshot of the state
// at upTo. It does nothing if upTo was not yet in Ready.Committed or is already
// compacted.
func (r *Raft) Compact(upTo Index, snapshot domain.Record) {
	if upTo <= r.log.snapshotIndex() || upTo > r.delivered {
		return
	}
	term, _ := r.log.term(upTo)
	members, _ := r.log.members(upTo, Members{Voters: r.cfg.Voters})
	r.log.compact(&Snapshot{Index: upTo, Term: term, Members: members, Data: snapshot})
	r.rewriteLog = true
}

func (r *Raft) setHardState(h HardState) {
	if r.hardState != h {
		r.hardState, r.hardStateDirty = h, true
	}
}

func (r *Raft) markUnwritten(i Index) {
	if r.firstUnwritten == 0 || i < r.firstUnwritten {
		r.firstUnwritten = i
	}
}

func (r *Raft) sendNow(to domain.VM, m domain.Message) {
	r.immediateSends = append(r.immediateSends, domain.Send{To: to, Body: m})
}

func (r *Raft) sendAfterSync(to domain.VM, m domain.Message) {
	r.afterSyncSends = append(r.afterSyncSends, domain.Send{To: to, Body: m})
}

func (r *Raft) others() []domain.VM {
	return slices.DeleteFunc(r.members.replicas(), func(vm domain.VM) bool { return vm == r.cfg.ID })
}

func (r *Raft) quorum() int { return len(r.members.Voters)/2 + 1 }
