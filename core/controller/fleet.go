package controller

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/membership"
	"github.com/mangoknot/mangoknot/core/relay"
	"github.com/mangoknot/mangoknot/core/shard"
)

const (
	// startupGracePeriod is the time after a start in which VMs that have not yet
	// responded count as alive, so that a restart of all VMs moves no shard.
	startupGracePeriod = 5 * time.Second
	// cutOffTimeout is the time without contact to the leader after which a data
	// centre counts as cut off.
	cutOffTimeout = 5 * time.Second
)

// current reports whether the VM has applied the registration of this process,
// and with it every change that was committed before the process started.
func (c *Controller) current() bool {
	spec := c.state.View().VM(c.config.VM)
	return spec != nil && spec.Incarnation == c.config.Incarnation
}

// register proposes the registration of this process until it is applied.
func (c *Controller) register() {
	if c.current() || c.draining {
		return
	}
	c.propose(fmt.Sprintf("register-%s-%d", c.config.VM, c.config.Incarnation), &config.PutVM{VM: config.VMSpec{
		Name: c.config.VM, DataCentre: c.config.DataCentre, Region: c.config.Region,
		PeerAddress: c.config.PeerAddress, HasDisk: c.config.HasDisk, Incarnation: c.config.Incarnation,
	}})
}

// vmList replaces the platform's list of VMs. The list contains VMs of the system
// and VMs of targets. A VM that is leaving receives no new work.
func (c *Controller) vmList(list []membership.Member) {
	clear(c.platformMembers)
	clear(c.leavingTargets)
	view := c.state.View()
	for _, m := range list {
		leaving := m.State == membership.Leaving
		switch target := domain.Target(m.VM); {
		case view.Target(target) == nil:
			c.platformMembers[m.VM] = m
		case leaving:
			c.leavingTargets[target] = true
		}
		if leaving && m.VM == c.config.VM && !c.traffic.Leaving {
			c.log("node", "the platform will remove this VM; starting a planned stop")
			c.traffic.Leaving = true
			c.publish()
		}
	}
	c.listChanged()
	c.reconfigure = true
}

// listChanged passes every VM that the settings, the configuration or the platform
// lists to membership.
func (c *Controller) listChanged() {
	all := map[domain.VM]membership.Member{}
	for vm := range c.config.Seeds {
		all[vm] = membership.Member{VM: vm}
	}
	for _, spec := range c.state.View().VMs() {
		all[spec.Name] = membership.Member{VM: spec.Name, DataCentre: spec.DataCentre, Region: spec.Region}
	}
	for vm, m := range c.platformMembers {
		known := all[vm]
		if known.DataCentre == "" {
			known.DataCentre, known.Region = m.DataCentre, m.Region
		}
		known.VM, known.State = vm, m.State
		all[vm] = known
	}
	list := make([]membership.Member, 0, len(all))
	for _, vm := range slices.Sorted(maps.Keys(all)) {
		list = append(list, all[vm])
	}
	c.applyMembership(c.members.UpdateList(c.now, list))
	c.membersChanged()
}

func (c *Controller) addresses() map[domain.VM]string {
	out := maps.Clone(c.config.Seeds)
	if out == nil {
		out = map[domain.VM]string{}
	}
	for _, spec := range c.state.View().VMs() {
		out[spec.Name] = spec.PeerAddress
	}
	return out
}

// applyMembership carries out the effects of failure detection.
func (c *Controller) applyMembership(e membership.Effects) {
	c.sendAll(e.Sends)
	c.out.ReplaceConnections = append(c.out.ReplaceConnections, e.ReplaceConnections...)
	for _, m := range e.Changes {
		c.memberChanged(m)
	}
	if len(e.Changes) > 0 {
		c.membersChanged()
	}
}

func (c *Controller) memberChanged(m membership.Member) {
	if m.VM == c.config.VM {
		return
	}
	c.log("membership", "the state of a VM changed", "vm", m.VM, "state", m.State.String())
	if m.State != membership.Dead {
		return
	}
	for _, id := range c.ownedIDs() {
		c.applyStore(id, c.stores[id].store.VMDead(c.now, m.VM))
	}
}

// membersChanged passes the current members to the parts that depend on them.
func (c *Controller) membersChanged() {
	c.candidates = c.listCandidates()
	c.applyRelay(c.relay.SetNodes(c.now, c.relayNodes()))
	c.observe()
	c.applyEntry(c.calls.OwnersChanged(c.now))
}

// listCandidates returns the VMs that the planner may consider. A registered VM
// that has never responded counts as alive during the grace period and as dead
// afterwards.
func (c *Controller) listCandidates() []shard.Candidate {
	var out []shard.Candidate
	known := map[domain.VM]bool{}
	grace := c.now.Sub(c.started) < startupGracePeriod
	for _, m := range c.members.Members() {
		known[m.VM] = true
		alive := m.State != membership.Dead
		eligible := m.Ready && m.State == membership.Alive
		out = append(out, shard.Candidate{VM: m.VM, DataCentre: m.DataCentre, Alive: alive || grace, Eligible: eligible})
	}
	for _, spec := range c.state.View().VMs() {
		if !known[spec.Name] {
			out = append(out, shard.Candidate{VM: spec.Name, DataCentre: spec.DataCentre, Alive: grace})
		}
	}
	return out
}

func (c *Controller) relayNodes() []relay.Node {
	voters := c.state.View().Voters()
	if len(voters) == 0 {
		voters = c.seedVoters()
	}
	registered := c.state.View().VM(c.config.VM) != nil
	var out []relay.Node
	for _, m := range c.members.Members() {
		// Before this VM is registered, no other VM knows its address, so its
		// heartbeats get no reply and the seeds appear dead. They are kept because
		// the registration must be sent to them.
		_, seed := c.config.Seeds[m.VM]
		if m.State == membership.Dead && (registered || !seed) {
			continue
		}
		voter := slices.Contains(voters, m.VM)
		if m.VM == c.config.VM {
			// A listed voter that has not started Raft follows another VM.
			voter = voter && c.raft != nil
		}
		out = append(out, relay.Node{VM: m.VM, DataCentre: m.DataCentre, Region: m.Region, Voter: voter})
	}
	return out
}

// seedVoters returns the voters of the first start. A VM without this setting
// joins an existing system and treats its seeds as voters until it has the
// configuration.
func (c *Controller) seedVoters() []domain.VM {
	if len(c.config.Voters) > 0 {
		return c.config.Voters
	}
	return slices.Sorted(maps.Keys(c.config.Seeds))
}

// watchPeers selects the VMs to probe directly because work depends on their
// replies: the other replicas of this VM's shards, and the owners for which calls
// are waiting.
func (c *Controller) watchPeers() {
	peers := c.calls.AwaitedOwners()
	for _, a := range c.state.View().Assignments() {
		holders := []domain.VM{a.Owner, a.Backup, a.Learner}
		if slices.Contains(holders, c.config.VM) {
			peers = append(peers, holders...)
		}
	}
	slices.Sort(peers)
	c.members.Watch(slices.Compact(peers))
}

func (c *Controller) observe() {
	c.applyShards(c.shards.Observe(c.now, c.candidates, c.leader()))
}

// alive reports whether a VM is this one or is alive according to membership.
func (c *Controller) alive(vm domain.VM) bool { return vm == c.config.VM || c.members.Alive(vm) }

// applyConfiguration passes the changed parts of the configuration in force to
// the components that use them.
func (c *Controller) applyConfiguration() {
	view, earlier := c.state.View(), c.appliedView
	c.appliedView = view
	c.out.View = view
	c.grantor.Configure(view)
	if c.current() && (view.Changed(earlier, config.PartShards) || !c.shardsConfigured) {
		c.shardsConfigured = true
		c.applyShards(c.shards.Configure(c.now, view))
	}
	if view.Changed(earlier, config.PartKeys) {
		c.mergeWithdrawn(view)
	}
	if view.Changed(earlier, config.PartVMs, config.PartVoters) {
		c.listChanged()
	}
	if view.Changed(earlier, config.PartAccounts, config.PartPresets, config.PartModels, config.PartRoutes, config.PartTargets, config.PartHomes) {
		for _, id := range c.ownedIDs() {
			c.applyStore(id, c.stores[id].store.Configure(c.now, view))
		}
	}
	if view.Changed(earlier, config.PartAccounts, config.PartPresets, config.PartRoutes, config.PartTargets, config.PartShards, config.PartHomes) {
		c.reconfigure = true
	}
	if view.Changed(earlier, config.PartShards, config.PartHomes) {
		c.applyEntry(c.calls.OwnersChanged(c.now))
	}
	c.updateReadiness()
}

// updateReadiness announces to the other VMs whether this VM can hold shards.
func (c *Controller) updateReadiness() {
	c.applyMembership(c.members.SetReady(c.now, c.current() && !c.draining))
}

// isolated reports whether no other VM is reachable although others are
// registered in this VM's data centre and the startup grace period has passed.
// Such a VM cannot distinguish a withdrawn key from a valid one, and its leases
// have expired.
func (c *Controller) isolated() bool {
	view := c.state.View()
	peers := 0
	for _, spec := range view.VMs() {
		if spec.Name == c.config.VM {
			continue
		}
		if c.members.Alive(spec.Name) {
			return false
		}
		if spec.DataCentre == c.config.DataCentre {
			peers++
		}
	}
	return peers > 0 && c.now.Sub(c.started) >= startupGracePeriod
}

// cutOff reports whether the VM has had no contact to the leader for
// cutOffTimeout.
func (c *Controller) cutOff() bool { return c.now.Sub(c.lastLeaderContact) >= cutOffTimeout }

// directory looks up the owners of programs for the entry side.
type directory struct{ c *Controller }

// Owner implements entry.Directory.
func (d directory) Owner(id domain.ProgramID) (domain.VM, bool) {
	view := d.c.state.View()
	shardID, err := view.ShardOfProgram(id)
	if err != nil {
		return "", false
	}
	owner := view.Assignment(shardID).Owner
	return owner, owner != "" && d.c.alive(owner)
}
