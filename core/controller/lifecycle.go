package controller

import (
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/raft"
)

// maxWakeInterval is the maximum time between two wake-ups.
const maxWakeInterval = 100 * time.Millisecond

// tick advances every part whose wake-up time has been reached.
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
	c.expireQueries()
	c.expireVoterRequests()
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

// runPeriodicTasks runs the tasks that no message triggers, at most once in each
// periodicTaskInterval.
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

// recordLeaderContact updates the time of the last contact to the leader on a VM
// that is not a voter, which reaches the leader through the relay.
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
	// A shard without a lease is not ticked, so its overdue time must be ignored
	// here. Otherwise it would wake the VM continuously.
	for id, owned := range c.stores {
		if _, owns := c.shards.Owns(c.now, id); owns {
			consider(owned.store.NextWake())
		}
	}
	return wake
}

// persisted passes the completion of a write to the part that requested it.
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

// storageFailed marks the VM as failed, because it is unknown which records
// reached the disk. The backups take over its shards.
func (c *Controller) storageFailed(err error) {
	if c.fatal != nil {
		return
	}
	c.fatal = domain.NotRun(domain.ReasonStorageFailed, "the disk of this VM failed (%v); repair it and start the VM again", err)
	c.log("disk", "a write failed; stopping the VM", "error", err.Error())
	c.publish()
}

// publishChanges updates the state that the traffic side reads if the
// configuration changed in this step.
func (c *Controller) publishChanges() {
	if c.out.View == nil {
		return
	}
	c.traffic.Serving = c.current() && len(c.state.View().Homes()) > 0
	c.traffic.Addresses = c.addresses()
	c.publish()
}

// updateIsolation starts or stops the refusal of keyed requests on this VM.
func (c *Controller) updateIsolation() {
	isolated := c.isolated() || c.config.RefuseWhenCutOff && c.cutOff()
	if isolated == c.traffic.Isolated {
		return
	}
	c.log("node", "the VM started or stopped refusing keyed requests", "refuses", isolated)
	c.traffic.Isolated = isolated
	c.publish()
}

func (c *Controller) publish() {
	state := c.traffic
	state.Fatal = c.fatal
	c.out.State = &state
}

// startDrain starts a planned stop.
func (c *Controller) startDrain(t Ticket) {
	c.drainTickets = append(c.drainTickets, t)
	if c.draining {
		return
	}
	c.draining = true
	c.log("node", "starting a drain; handing over shards to other VMs")
	c.updateReadiness()
	c.applyMembership(c.members.Leave(c.now))
	c.applyShards(c.shards.Drain(c.now))
}

// finishDrain replies to the pending drain requests when the VM is not the leader
// and its shards are handed over. It does not wait for the shards if no other VM
// in the data centre can take them over.
func (c *Controller) finishDrain() {
	if !c.draining || len(c.drainTickets) == 0 {
		return
	}
	if c.transferLeadership() || c.hasSuccessor() && !c.shards.Drained() {
		return
	}
	for _, t := range c.drainTickets {
		c.reply(t, Drained{}, true)
	}
	c.drainTickets = nil
}

func (c *Controller) hasSuccessor() bool {
	for _, candidate := range c.candidates {
		if candidate.VM != c.config.VM && candidate.DataCentre == c.config.DataCentre && candidate.Alive && candidate.Eligible {
			return true
		}
	}
	return false
}

// transferLeadership starts the transfer of the configuration leadership to
// another voter once the shards are handed over. It reports whether the drain
// must wait, because this VM is still the leader and another voter can take over.
func (c *Controller) transferLeadership() bool {
	if c.raft == nil || c.raft.Status().Role != raft.Leader {
		return false
	}
	if c.hasSuccessor() && !c.shards.Drained() {
		return true
	}
	for _, voter := range c.raft.Status().Members.Voters {
		if voter != c.config.VM && c.members.Alive(voter) {
			// An error means that a transfer is already in progress.
			_ = c.raft.TransferLeadership(c.now, voter)
			return true
		}
	}
	return false
}
