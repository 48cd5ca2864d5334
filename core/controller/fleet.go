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
	// startupGracePeriod is the time after a start in which VMs that have not been heard
	// yet count as alive, so that a restart of all VMs moves no shard.
	startupGracePeriod = 5 * time.Second
	// cutOffTimeout is the time without the leader after which a data centre
	// counts as cut off.
	cutOffTimeout = 5 * time.Second
)

// current says whether the VM has applied its own registration, and with it
// every change that was accepted before its process started.
func (c *Controller) current() bool {
	spec := c.state.View().VM(c.config.VM)
	return spec != nil && spec.Incarnation == c.config.Incarnation
}

// register proposes this process, until the registration is applied.
func (c *Controller) register() {
	if c.current() || c.draining {
		return
	}
	c.propose(fmt.Sprintf("register-%s-%d", c.config.VM, c.config.Incarnation), &config.PutVM{VM: config.VMSpec{
		Name: c.config.VM, DataCentre: c.config.DataCentre, Region: c.config.Region,
		PeerAddress: c.config.PeerAddress, HasDisk: c.config.HasDisk, Incarnation: c.config.Incarnation,
	}})
}

// vmList takes the platform's list. It names VMs of the system and VMs of
// targets; a leaving one gets no new work.
func (c *Controller) vmList(list []membership.Member) {
	clear(c.platform)
	clear(c.leavingTargets)
	view := c.state.View()
	for _, m := range list {
		leaving := m.State == membership.Leaving
		switch target := domain.Target(m.VM); {
		case view.Target(target) == nil:
			c.platform[m.VM] = m
		case leaving:
			c.leavingTargets[target] = true
		}
		if leaving && m.VM == c.config.VM && !c.traffic.Leaving {
			c.log("node", "the platform will take this VM away, so a planned stop begins")
			c.traffic.Leaving = true
			c.publish()
		}
	}
	c.listChanged()
	c.reconfigure = true
}

// listChanged gives membership every VM that settings, configuration or the
// platform name.
func (c *Controller) listChanged() {
	all := map[domain.VM]membership.Member{}
	for vm := range c.config.Seeds {
		all[vm] = membership.Member{VM: vm}
	}
	for _, spec := range c.state.View().VMs() {
		all[spec.Name] = membership.Member{VM: spec.Name, DataCentre: spec.DataCentre, Region: spec.Region}
	}
	for vm, m := range c.platform {
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
	c.log("membership", "a VM changed its state", "vm", m.VM, "state", m.State.String())
	if m.State != membership.Dead {
		return
	}
	for _, id := range c.ownedIDs() {
		c.applyStore(id, c.stores[id].store.VMDead(c.now, m.VM))
	}
}

// membersChanged passes the live VMs on to the other parts.
func (c *Controller) membersChanged() {
	c.candidates = c.listCandidates()
	c.applyRelay(c.relay.SetNodes(c.now, c.relayNodes()))
	c.observe()
	c.applyEntry(c.calls.OwnersChanged(c.now))
}

// listCandidates returns the VMs as the planner sees them. A registered VM that
// was never heard counts as alive during the grace time and as dead afterwards.
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
		// No VM knows the address of this one before its registration, so none
		// answers its heartbeats. The seeds must still get the registration.
		_, seed := c.config.Seeds[m.VM]
		if m.State == membership.Dead && (registered || !seed) {
			continue
		}
		voter := slices.Contains(voters, m.VM)
		if m.VM == c.config.VM {
			// A listed voter without its log follows another VM.
			voter = voter && c.raft != nil
		}
		out = append(out, relay.Node{VM: m.VM, DataCentre: m.DataCentre, Region: m.Region, Voter: voter})
	}
	return out
}

// seedVoters returns the voters of the first start. A VM that joins later takes
// its seeds for voters until it knows the configuration.
func (c *Controller) seedVoters() []domain.VM {
	if len(c.config.Voters) > 0 {
		return c.config.Voters
	}
	return slices.Sorted(maps.Keys(c.config.Seeds))
}

// watchPeers probes the VMs without whose answers work stops: the other
// holders of this VM's shards, and the owners that calls wait for.
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

// alive says whether a VM may answer.
func (c *Controller) alive(vm domain.VM) bool { return vm == c.config.VM || c.members.Alive(vm) }

// applyConfiguration brings every part up to the configuration in force.
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

// updateReadiness announces that the VM can hold shards and take calls.
func (c *Controller) updateReadiness() {
	c.applyMembership(c.members.SetReady(c.now, c.current() && !c.draining))
}

// isolated says whether the VM hears from no other VM although others are
// registered in its data centre. Such a VM cannot tell a withdrawn key from a
// valid one, and its leases have ended.
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

// cutOff says whether the data centre has been without the leader for long.
func (c *Controller) cutOff() bool { return c.now.Sub(c.lastLeaderContact) >= cutOffTimeout }

// directory finds owners for the entry side.
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
