package controller

import (
	"maps"
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/raft"
)

// electionTimeout leaves room for a second election within the 3 s in which the
// next turn is served after the death of an owner that also led. Voters draw up
// to twice the value, and the new leader waits one lease term.
const electionTimeout = 500 * time.Millisecond

// bootstrapQueryInterval spaces the questions of a VM that decides how to start.
const bootstrapQueryInterval = 500 * time.Millisecond

// BootstrapQuery asks a voter of the settings whether the system exists.
type BootstrapQuery struct{ Incarnation uint64 }

// MessageName implements domain.Message.
func (*BootstrapQuery) MessageName() string { return "controller.BootstrapQuery" }

// BootstrapReply answers BootstrapQuery.
type BootstrapReply struct {
	// Empty says that the sender has no log and has not started one.
	Empty       bool
	Incarnation uint64
	// Founders are the processes with which the sender started the system, if it
	// did so in its current process.
	Founders map[domain.VM]uint64
}

// MessageName implements domain.Message.
func (*BootstrapReply) MessageName() string { return "controller.BootstrapReply" }

// bootstrap decides how a VM with a disk and without a log takes part in
// agreement. A voter that has lost its disk has forgotten votes and entries
// that it acknowledged, so it must not vote again before it was removed and
// added as a learner. It cannot tell itself from a new voter; the others can.
type bootstrap struct {
	emptyVoters map[domain.VM]uint64
	founders    map[domain.VM]uint64
	nextQuery   time.Time
}

// startRaft creates the agreement state of a VM whose part is known.
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

// decideRaftStart asks the other voters of the settings, or joins passively
// once the configuration in force says that this VM is not a voter.
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

// bootstrapReply starts the system when every voter of the settings is new, or
// joins it when one of them started it with this very process.
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
	c.log("raft", "the voters of the settings start a new system")
	c.membersChanged()
}
