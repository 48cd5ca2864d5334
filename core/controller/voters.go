package controller

import (
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/raft"
)

// voterChangeTimeout limits the wait for the leader's reply to a voter change.
const voterChangeTimeout = 5 * time.Second

// VoterRequest requests a change of the voters from the leader.
type VoterRequest struct {
	Request uint64
	Change  raft.VoterChange
}

// MessageName implements domain.Message.
func (*VoterRequest) MessageName() string { return "controller.VoterRequest" }

// VoterReply is the reply to VoterRequest. A nil Refusal means that the change is
// in the leader's log. The status report shows when it is in force.
type VoterReply struct {
	Request uint64
	Refusal *domain.Refusal
}

// MessageName implements domain.Message.
func (*VoterReply) MessageName() string { return "controller.VoterReply" }

type voterRequest struct {
	ticket    Ticket
	startedAt time.Time
}

type voterRequests struct {
	next uint64
	open map[uint64]voterRequest
}

// changeVoters forwards an operator's request to the leader.
func (c *Controller) changeVoters(in ChangeVoters) {
	leader := c.leader()
	if leader == "" {
		c.reply(in.Ticket, ChangeReply{Refusal: noLeader()}, true)
		return
	}
	c.voters.next++
	c.voters.open[c.voters.next] = voterRequest{in.Ticket, c.now}
	c.send(domain.Send{To: leader, Body: &VoterRequest{Request: c.voters.next, Change: in.Change}})
}

func noLeader() *domain.Refusal {
	return domain.NotRun(domain.ReasonNoLeader, "there is no configuration leader; check that a majority of the voters is running").After(time.Second)
}

func (c *Controller) handleVoterMessage(from domain.VM, m domain.Message) {
	switch m := m.(type) {
	case *VoterRequest:
		c.send(domain.Send{To: from, Body: &VoterReply{Request: m.Request, Refusal: c.proposeVoters(m.Change)}})
	case *VoterReply:
		if open, ok := c.voters.open[m.Request]; ok {
			delete(c.voters.open, m.Request)
			c.reply(open.ticket, ChangeReply{Refusal: m.Refusal}, true)
		}
	}
}

func (c *Controller) proposeVoters(change raft.VoterChange) *domain.Refusal {
	if !c.hasLeaderLease() {
		return noLeader()
	}
	if _, err := c.raft.ProposeVoters(c.now, change); err != nil {
		return domain.NotRun(domain.ReasonConflict, "%v", err)
	}
	return nil
}

// promoteLearners proposes to make learners voters. An error is ignored because
// it means that a learner has not caught up yet or that another change is in
// progress. The proposal is repeated.
func (c *Controller) promoteLearners() {
	for _, vm := range c.raft.Status().Members.Learners {
		_, _ = c.raft.ProposeVoters(c.now, raft.VoterChange{Kind: raft.Promote, VM: vm})
	}
}

func (c *Controller) expireVoterRequests() {
	for id, open := range c.voters.open {
		if c.now.Sub(open.startedAt) >= voterChangeTimeout {
			delete(c.voters.open, id)
			c.reply(open.ticket, ChangeReply{Refusal: domain.Unknown(domain.ReasonNoLeader, "the leader did not answer in time; check the status before you repeat the change")}, true)
		}
	}
}
