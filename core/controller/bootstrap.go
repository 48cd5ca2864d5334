package controller

import (
	"maps"
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/raft"
)

// electionTimeout allows a second election within the 3 s limit for serving the
// next turn after the failure of an owner that was also the leader. Voters draw
// a random timeout of up to twice this value, and the new leader waits for one
// lease term.
const electionTimeout = 500 * time.Millisecond

// bootstrapQueryInterval is the time between two rounds of BootstrapQuery
// messages.
const bootstrapQueryInterval = 500 * time.Millisecond

// BootstrapQuery asks a voter of the settings whether the system has already
// been started. Incarnation is that of the sender.
type BootstrapQuery struct{ Incarnation uint64 }

// MessageName implements domain.Message.
func (*BootstrapQuery) MessageName() string { return "controller.BootstrapQuery" }

// BootstrapReply answers BootstrapQuery.
type BootstrapReply struct {
	// Empty reports that the sender has a disk, has no log and has not started
	// one.
	Empty       bool
	Incarnation uint64
	// Founders holds the incarnations of the voters that started the system
	// together with the current process of the sender. It is empty if this process
	// did not start the system.
	Founders map[domain.VM]uint64
}

// MessageName implements domain.Message.
func (*BootstrapReply) MessageName() string { return "controller.BootstrapReply" }

// bootstrap holds the state for deciding how a VM with a disk and without a log
// starts Raft. A voter that has lost its disk has lost votes and acknowledged
// entries, so it must not vote until it has been removed and added again as a
// learner. It cannot distinguish itself from a new voter, so it asks the other
// voters.
type bootstrap struct {
	emptyVoters map[domain.VM]uint64
	founders    map[domain.VM]uint64
	nextQuery   time.Time
}

// startRaft creates the Raft state of a VM that has a stored log or is the only
// voter. Other VMs with a disk start Raft in decideRaftStart.
func (c *Controller) startRaft(restored raft.Restored) {
	switch {
	case !c.config.HasDisk:
	case restored.Snapshot != nil || len(restored.Entries) > 0 || restored.HardState != (raft.HardState{}):
		c.raft = c.newRaft(c.config.Voters, restored)
	case slices.Equal(c.config.Voters, []domain.VM{c.config.VM}):
		c.raft = c.newRaft(c.config.Voters, restored)
	}
}

func (c *Controller) newRaft(voters []domain.VM, restored raft.Restored) *raft.Raft {
	return raft.New(raft.Config{
		ID: c.config.VM, Voters: voters, Rand: c.config.Rand, ElectionTimeout: electionTimeout,
	}, restored, c.now)
}

// decideRaftStart queries the other voters of the settings. If the configuration
// in force does not list this VM as a voter, it starts Raft without voters, so
// that the VM can be added as a learner.
func (c *Controller) decideRaftStart() {
	if c.raft != nil || !c.config.HasDisk {
		return
	}
	if view := c.state.View(); c.current() && len(view.Voters()) > 0 && !slices.Contains(view.Voters(), c.config.VM) {
		c.raft = c.newRaft(nil, raft.Restored{})
		c.membersChanged()
		return
	}
	if !slices.Contains(c.config.Voters, c.config.VM) || c.now.Before(c.boot.nextQuery) {
		return
	}
	c.boot.nextQuery = c.now.Add(bootstrapQueryInterval)
	for _, vm := range c.config.Voters {
		if vm != c.config.VM {
			c.send(domain.Send{To: vm, Body: &BootstrapQuery{Incarnation: c.config.Incarnation}})
		}
	}
}

func (c *Controller) answerBootstrap(from domain.VM) {
	reply := &BootstrapReply{Empty: c.raft == nil && c.config.HasDisk, Incarnation: c.config.Incarnation, Founders: c.boot.founders}
	c.send(domain.Send{To: from, Body: reply})
}

// bootstrapReply handles a reply of another voter. It starts the system when every
// voter of the settings has reported Empty. It joins a system that another voter has
// started if this process is one of the founders.
func (c *Controller) bootstrapReply(from domain.VM, m *BootstrapReply) {
	if c.raft != nil || !slices.Contains(c.config.Voters, from) {
		return
	}
	if !m.Empty {
		if m.Founders[c.config.VM] == c.config.Incarnation {
			c.startSystem(maps.Clone(m.Founders))
		}
		return
	}
	if c.boot.emptyVoters == nil {
		c.boot.emptyVoters = map[domain.VM]uint64{}
	}
	c.boot.emptyVoters[from] = m.Incarnation
	if len(c.boot.emptyVoters) == len(c.config.Voters)-1 {
		founders := maps.Clone(c.boot.emptyVoters)
		founders[c.config.VM] = c.config.Incarnation
		c.startSystem(founders)
	}
}

func (c *Controller) startSystem(founders map[domain.VM]uint64) {
	c.boot.founders = founders
	c.raft = c.newRaft(c.config.Voters, raft.Restored{})
	c.log("raft", "starting a new system with the voters of the settings")
	c.membersChanged()
}
