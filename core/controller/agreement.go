package controller

import (
	"fmt"
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/raft"
	"github.com/mangoknot/mangoknot/core/relay"
	"github.com/mangoknot/mangoknot/core/shard"
)

const (
	// compactAfter is the number of log entries after which a voter replaces
	// them by a snapshot.
	compactAfter = 1024
	// proposeRetryInterval is the minimum time between two proposals of the same
	// internal command.
	proposeRetryInterval = time.Second
)

// hasLeaderLease reports whether this VM is the leader and no other leader can
// exist now.
func (c *Controller) hasLeaderLease() bool { return c.raft != nil && c.raft.LeaderLease(c.now) }

// processRaft carries out all pending output of Raft and then propagates a
// change of leader.
func (c *Controller) processRaft() {
	if c.raft == nil {
		return
	}
	for {
		r := c.raft.Ready()
		if r.Snapshot == nil && len(r.Records) == 0 && len(r.Now) == 0 && len(r.AfterSync) == 0 && len(r.Committed) == 0 {
			break
		}
		c.applyRaftReady(r)
	}
	c.leaderChanged()
}

func (c *Controller) applyRaftReady(r raft.Ready) {
	if r.Snapshot != nil {
		c.installSnapshot(r.Snapshot)
	}
	if len(r.Records) > 0 {
		c.out.Writes = append(c.out.Writes, Write{Stream: StreamRaft, Token: uint64(r.Token), Replace: r.Replace, Records: r.Records})
	}
	c.sendAll(r.Now)
	if len(r.AfterSync) > 0 {
		c.callers.afterSync = append(c.callers.afterSync, pendingSends{uint64(r.Token), r.AfterSync})
	}
	if len(r.Committed) > 0 {
		c.applyCommitted(r.Committed)
	}
}

// pendingSends are messages to send once the log write with the token is
// durable.
type pendingSends struct {
	token uint64
	sends []domain.Send
}

func (c *Controller) raftPersisted(token uint64, err error) {
	if err != nil {
		if c.raft.Status().Failed == nil {
			c.log("raft", "the disk rejects writes and this voter is silent until its log is written again; check the free space and the device", "error", err.Error())
		}
		c.raft.PersistFailed(c.now, err)
		c.callers.afterSync = nil
		return
	}
	if c.raft.Status().Failed != nil {
		c.log("raft", "the log is durable again; this voter takes part again")
	}
	waiting := c.callers.afterSync
	for len(waiting) > 0 && waiting[0].token <= token {
		c.sendAll(waiting[0].sends)
		waiting = waiting[1:]
	}
	c.callers.afterSync = waiting
	c.raft.Persisted(c.now, raft.PersistToken(token))
}

func (c *Controller) installSnapshot(s *raft.Snapshot) {
	snapshot, ok := s.Data.(*config.Snapshot)
	if !ok || uint64(s.Index) <= c.state.AppliedIndex() {
		return
	}
	c.state = config.Restore(snapshot)
	c.relay.Restored(s.Index)
	c.applyConfiguration()
}

// applyCommitted applies committed log entries and relays them to the
// followers.
func (c *Controller) applyCommitted(entries []raft.Entry) {
	relayed := make([]relay.Entry, 0, len(entries))
	for _, e := range entries {
		change, _ := e.Data.(*config.Change)
		relayed = append(relayed, relay.Entry{Index: e.Index, Term: e.Term, Change: change})
		if e.Term == c.raft.Status().Term {
			c.termApplied(e.Term)
		}
	}
	c.applyEntries(relayed)
	c.applyRelay(c.relay.Committed(c.now, relayed))
	c.compactLog()
}

// termApplied enables the leader tasks once an entry of the leader's own term is
// applied.
func (c *Controller) termApplied(term raft.Term) {
	if c.raft.Status().Role == raft.Leader && c.leaderTerm != term {
		c.leaderTerm = term
		c.grantor.Elected(c.now)
		c.log("raft", "this VM became the configuration leader", "term", uint64(term))
	}
}

func (c *Controller) applyEntries(entries []relay.Entry) {
	for _, e := range entries {
		if e.Change == nil {
			c.state.Skip(uint64(e.Index))
			continue
		}
		result := c.state.Apply(uint64(e.Index), e.Change)
		if result.Rejection != config.Applied {
			c.log("config", "a configuration change was rejected", "object", e.Change.Command.Object(), "reason", result.Message)
		}
		c.applyRelay(c.relay.Answer(c.now, e.Change.Operation, result))
	}
	c.applyConfiguration()
}

func (c *Controller) compactLog() {
	status := c.raft.Status()
	if status.Commit-status.Snapshot >= compactAfter {
		c.raft.Compact(raft.Index(c.state.AppliedIndex()), c.state.Snapshot())
	}
}

// leaderChanged passes the leader that Raft reports to the relay and the shard
// manager.
func (c *Controller) leaderChanged() {
	status := c.raft.Status()
	if !c.isVoter() {
		return
	}
	if status.Leader != "" {
		c.lastLeaderContact = c.now
	}
	if status.Leader != c.relay.Leader() {
		c.applyRelay(c.relay.SetLeader(c.now, status.Leader))
		c.observe()
	}
}

// leader returns the configuration leader that this VM knows, or an empty name.
func (c *Controller) leader() domain.VM { return c.relay.Leader() }

// applyRelay carries out the effects of the relay, which distributes the log to
// VMs that are not voters.
func (c *Controller) applyRelay(e relay.Effects) {
	c.sendAll(e.Sends)
	if e.Install != nil {
		c.state = config.Restore(e.Install.State)
		c.applyConfiguration()
	}
	if len(e.Apply) > 0 {
		c.applyEntries(e.Apply)
	}
	for _, p := range e.Proposals {
		c.proposeToLog(p)
	}
	for _, a := range e.Answers {
		c.replyToChange(a)
	}
	if len(e.Withdrawn) > 0 {
		c.keysWithdrawn(e.Withdrawn)
	}
	if e.NeedSnapshot {
		c.applyRelay(c.relay.ProvideSnapshot(c.now, c.state.Snapshot()))
	}
}

// proposeToLog proposes a forwarded change to Raft. It proposes a shard assignment
// only if the lease grantor permits it, because a lease under the previous
// assignment may still be valid.
func (c *Controller) proposeToLog(p relay.Proposal) {
	if assign, ok := p.Change.Command.(*config.AssignShard); ok && !c.grantor.MayPropose(c.now, assign, c.hasLeaderLease()) {
		c.relay.Rejected(p.Change.Operation)
		return
	}
	if c.raft == nil {
		c.relay.Rejected(p.Change.Operation)
		return
	}
	if _, err := c.raft.Propose(c.now, p.Change); err != nil {
		c.relay.Rejected(p.Change.Operation)
	}
}

// propose sends an internal command to the leader. The operation id contains
// everything that makes the command unique, so that a repeated proposal has no
// effect.
func (c *Controller) propose(operation string, command config.Command) {
	if at, ok := c.proposedAt[operation]; ok && c.now.Sub(at) < proposeRetryInterval {
		return
	}
	c.proposedAt[operation] = c.now
	e, err := c.relay.Propose(c.now, &config.Change{Operation: domain.OperationID(operation), Operator: string(c.config.VM), Command: command})
	if err != nil {
		c.log("relay", "an internal configuration change could not be proposed", "error", err.Error())
	}
	c.applyRelay(e)
}

// proposalCleanupThreshold is the number of recorded proposals from which expired ones are
// removed.
const proposalCleanupThreshold = 4096

func (c *Controller) pruneProposed() {
	if len(c.proposedAt) < proposalCleanupThreshold {
		return
	}
	for operation, at := range c.proposedAt {
		if c.now.Sub(at) >= proposeRetryInterval {
			delete(c.proposedAt, operation)
		}
	}
}

// assignmentOperation returns the operation id of an assignment, which contains
// the assignment, its proposer and the time of the attempt.
func assignmentOperation(a *config.AssignShard, from domain.VM, attempt time.Time) string {
	next := a.Assignment
	return fmt.Sprintf("assign-%s-%d-%s-%s-%s-%s-%d", next.Shard, next.Epoch, next.Owner, next.Backup, next.Learner, from, attempt.UnixNano())
}

// runLeaderTasks promotes learners, fixes the home data centres, records the
// voters and plans shard assignments, if this VM is the configuration leader.
func (c *Controller) runLeaderTasks() {
	if !c.hasLeaderLease() || c.raft.Status().Term != c.leaderTerm {
		return
	}
	c.promoteLearners()
	view := c.state.View()
	if homes := c.chooseHomes(view); len(homes) > 0 {
		c.propose("homes", &config.SetHomes{DataCentres: homes})
	}
	if voters := c.raft.Status().Members.Voters; !sameVMs(voters, view.Voters()) {
		c.propose(fmt.Sprintf("voters-%v-%d", voters, view.Version()), &config.SetVoters{Voters: slices.Sorted(slices.Values(voters))})
	}
	for _, assign := range (shard.Planner{}).Plan(view, c.candidates) {
		if c.grantor.MayPropose(c.now, assign, true) {
			c.propose(assignmentOperation(assign, c.config.VM, time.Time{}), assign)
		}
	}
}

func sameVMs(a, b []domain.VM) bool {
	return slices.Equal(slices.Sorted(slices.Values(a)), slices.Sorted(slices.Values(b)))
}

// chooseHomes returns the home data centres to record, or nil if they are
// already recorded or cannot be chosen yet. They are those of the settings, or
// the data centres of all registered VMs. The latter waits until every voter has
// registered, so that a slow data centre is not left out.
func (c *Controller) chooseHomes(view *config.View) []domain.DataCentre {
	if len(view.Homes()) > 0 {
		return nil
	}
	if len(c.config.Homes) > 0 {
		return c.config.Homes
	}
	for _, voter := range c.raft.Status().Members.Voters {
		if view.VM(voter) == nil {
			return nil
		}
	}
	return view.DataCentres()
}
