package controller

import (
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/raft"
)

// maxWakeInterval bounds the time between two wake-ups.
const maxWakeInterval = 100 * time.Millisecond

// tick runs what is due.
func (c *Controller) tick() {
	now := c.now
	if c.raft != nil && due(now, c.raft.NextWake()) {
		c.raft.Tick(now)
	}
	if due(now, c.relay.NextWake()) {
		c.applyRelay(c.relay.Tick(now))
	}
	if due(now, c.members.NextWake()) {
		c.applyMembership(c.members.Tick(now))
	}
	if !now.Before(c.shards.NextWake()) {
		c.applyShards(c.shards.Tick(now))
	}
	for _, id := range c.ownedIDs() {
		if owned := c.owned(id); owned != nil && due(now, owned.store.NextWake()) {
			c.applyStore(id, owned.store.Tick(now))
		}
	}
	c.tickShares(now)
	if due(now, c.calls.NextWake()) {
		c.applyEntry(c.calls.Tick(now))
	}
	c.tickProgramRequests()
	c.tickQueries()
	c.tickVoters()
	c.runPeriodicTasks()
}

func (c *Controller) tickShares(now time.Time) {
	if due(now, c.root.NextWake()) {
		c.sendAll(c.root.Tick(now))
	}
	if due(now, c.holder.NextWake()) {
		c.sendAll(c.holder.Tick(now))
	}
	if due(now, c.admission.NextWake()) {
		c.applyAdmission(c.admission.Tick(now))
	}
}

// runPeriodicTasks does the duties that no message triggers.
func (c *Controller) runPeriodicTasks() {
	if c.now.Before(c.nextPeriodicRun) {
		return
	}
	c.nextPeriodicRun = c.now.Add(periodicTaskInterval)
	if c.raft == nil || !c.isVoter() {
		c.recordLeaderContact()
	}
	c.candidates = c.listCandidates()
	c.observe()
	c.watchPeers()
	c.decideRaftStart()
	c.register()
	c.runLeaderTasks()
	c.reactivateShards()
	c.updateIsolation()
	c.rewriteShards()
	c.proposeWithdrawals()
	c.pruneProposed()
}

func (c *Controller) isVoter() bool {
	return slices.Contains(c.raft.Status().Members.Voters, c.config.VM)
}

// recordLeaderContact remembers when a VM that is not a voter last followed a voter.
func (c *Controller) recordLeaderContact() {
	if c.relay.Connected(c.now) && c.relay.Leader() != "" {
		c.lastLeaderContact = c.now
	}
}

func due(now, at time.Time) bool { return !at.IsZero() && !now.Before(at) }

// NextWake returns the time at which Wake is due.
func (c *Controller) NextWake() time.Time {
	wake := c.now.Add(maxWakeInterval)
	consider := func(at time.Time) {
		if !at.IsZero() && at.Before(wake) {
			wake = at
		}
	}
	if c.raft != nil {
		consider(c.raft.NextWake())
	}
	consider(c.relay.NextWake())
	consider(c.members.NextWake())
	consider(c.shards.NextWake())
	consider(c.root.NextWake())
	consider(c.holder.NextWake())
	consider(c.admission.NextWake())
	consider(c.calls.NextWake())
	consider(c.scheduler.NextWake())
	consider(c.nextPeriodicRun)
	// A shard without a lease is not ticked, so its overdue time must not wake
	// the VM again and again.
	for id, owned := range c.stores {
		if _, owns := c.shards.Owns(c.now, id); owns {
			consider(owned.store.NextWake())
		}
	}
	return wake
}

// persisted passes the completion of a write to its part.
func (c *Controller) persisted(in Persisted) {
	switch in.Stream {
	case StreamRaft:
		c.raftPersisted(in.Token, in.Err)
	case StreamShards:
		if in.Err != nil {
			c.storageFailed(in.Err)
			return
		}
		c.applyShards(c.shards.Persisted(c.now, in.Token))
	case StreamKeys:
		c.keysPersisted(in)
	}
}

// storageFailed stops the VM: its shards go to their backups, and what reached
// the disk is unknown.
func (c *Controller) storageFailed(err error) {
	if c.fatal != nil {
		return
	}
	c.fatal = domain.NotRun(domain.ReasonStorageFailed, "the disk of this VM failed (%v); repair it and start the VM again", err)
	c.log("disk", "a write failed, so the VM stops", "error", err.Error())
	c.publish()
}

// publishChanges updates what the traffic side reads after a change of the
// configuration.
func (c *Controller) publishChanges() {
	if c.out.View == nil {
		return
	}
	c.traffic.Serving = c.current() && len(c.state.View().Homes()) > 0
	c.traffic.Addresses = c.addresses()
	c.publish()
}

// updateIsolation closes or opens the VM to keyed requests.
func (c *Controller) updateIsolation() {
	isolated := c.isolated() || c.config.RefuseWhenCutOff && c.cutOff()
	if isolated == c.traffic.Isolated {
		return
	}
	c.log("node", "the VM changed whether it refuses keyed requests", "refuses", isolated)
	c.traffic.Isolated = isolated
	c.publish()
}

func (c *Controller) publish() {
	state := c.traffic
	state.Fatal = c.fatal
	c.out.State = &state
}

// startDrain begins a planned stop.
func (c *Controller) startDrain(t Ticket) {
	c.drain = append(c.drain, t)
	if c.draining {
		return
	}
	c.draining = true
	c.log("node", "the VM hands its shards over")
	c.updateReadiness()
	c.applyMembership(c.members.Leave(c.now))
	c.applyShards(c.shards.Drain(c.now))
}

// finishDrain answers when nothing is left to hand over. A VM without another
// one in its data centre has nobody to hand its shards to.
func (c *Controller) finishDrain() {
	if !c.draining || len(c.drain) == 0 {
		return
	}
	if c.transferLeadership() || c.hasSuccessor() && !c.shards.Drained() {
		return
	}
	for _, t := range c.drain {
		c.reply(t, Drained{}, true)
	}
	c.drain = nil
}

func (c *Controller) hasSuccessor() bool {
	for _, candidate := range c.candidates {
		if candidate.VM != c.config.VM && candidate.DataCentre == c.config.DataCentre && candidate.Alive && candidate.Eligible {
			return true
		}
	}
	return false
}

// transferLeadership hands the configuration's leadership to another voter once the
// shards are gone, and says whether the VM still leads.
func (c *Controller) transferLeadership() bool {
	if c.raft == nil || c.raft.Status().Role != raft.Leader {
		return false
	}
	if c.hasSuccessor() && !c.shards.Drained() {
		return true
	}
	for _, voter := range c.raft.Status().Members.Voters {
		if voter != c.config.VM && c.members.Alive(voter) {
			// An error means that a transfer is under way already.
			_ = c.raft.TransferLeadership(c.now, voter)
			return true
		}
	}
	return false
}
