package node

import (
	"context"
	"time"

	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/controller"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/program"
	"github.com/mangoknot/mangoknot/core/raft"
	"github.com/mangoknot/mangoknot/port"
)

// operationTimeout bounds an operator's request and a caller's program query.
const operationTimeout = 10 * time.Second

// Change implements port.Operations.
func (n *Node) Change(ctx context.Context, change config.Change) (port.InForce, error) {
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	version, err := n.propose(ctx, func(t controller.Ticket) controller.Input {
		return controller.Change{Ticket: t, Change: change}
	})
	if err != nil {
		return port.InForce{}, err
	}
	return n.InForce(ctx, version)
}

// WithdrawKey implements port.Operations.
func (n *Node) WithdrawKey(ctx context.Context, _ domain.OperationID, key config.KeyID) (port.InForce, error) {
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	version, err := n.propose(ctx, func(t controller.Ticket) controller.Input {
		return controller.WithdrawKey{Ticket: t, Key: key}
	})
	if err != nil {
		return port.InForce{}, err
	}
	return n.InForce(ctx, version)
}

// propose requests a change and returns the configuration version in which it
// was accepted.
func (n *Node) propose(ctx context.Context, inputFor func(controller.Ticket) controller.Input) (uint64, error) {
	reply, err := requestOnce[controller.ChangeReply](ctx, n.mailbox, inputFor)
	if err != nil {
		return 0, operationError(err)
	}
	if reply.Refusal != nil {
		return 0, reply.Refusal
	}
	return reply.Version, nil
}

// AddVoter implements port.Operations.
func (n *Node) AddVoter(ctx context.Context, vm domain.VM) error {
	spec := n.View().VM(vm)
	if spec == nil || !spec.HasDisk {
		return domain.NotRun(domain.ReasonBadRequest, "VM %q is not registered with a disk; start it with --data-dir first", vm)
	}
	return n.changeVoters(ctx, raft.VoterChange{Kind: raft.AddLearner, VM: vm})
}

// RemoveVoter implements port.Operations.
func (n *Node) RemoveVoter(ctx context.Context, vm domain.VM) error {
	return n.changeVoters(ctx, raft.VoterChange{Kind: raft.Remove, VM: vm})
}

func (n *Node) changeVoters(ctx context.Context, change raft.VoterChange) error {
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	_, err := n.propose(ctx, func(t controller.Ticket) controller.Input {
		return controller.ChangeVoters{Ticket: t, Change: change}
	})
	return err
}

// operationError returns refusals unchanged and converts other errors to a
// refusal with an unknown outcome, because no answer arrived in time.
func operationError(err error) error {
	if _, ok := domain.AsRefusal(err); ok {
		return err
	}
	return domain.Unknown(domain.ReasonNoLeader, "no answer from the configuration leader in time; resend with the same operation id, or check that a majority of the voters runs").After(time.Second)
}

// GetProgram implements port.Frontend.
func (n *Node) GetProgram(ctx context.Context, identity port.Identity, name domain.ProgramName) (port.ProgramStatus, error) {
	reply, err := n.getProgram(ctx, identity, name)
	if err != nil {
		return port.ProgramStatus{}, err
	}
	return port.ProgramStatus{
		Name: name, Ended: reply.EndReason != "", Reason: reply.EndReason, Turns: len(reply.History), Spent: reply.Spent, Budget: reply.Budget,
	}, nil
}

func (n *Node) getProgram(ctx context.Context, identity port.Identity, name domain.ProgramName) (*program.GetProgramReply, error) {
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	id := domain.ProgramID{Account: identity.Account, Name: name}
	reply, err := requestOnce[*program.GetProgramReply](ctx, n.mailbox, func(t controller.Ticket) controller.Input {
		return controller.GetProgram{Ticket: t, Program: id}
	})
	if err != nil {
		return nil, unreachableError(err, name)
	}
	if !reply.Found {
		return nil, domain.NotRun(domain.ReasonProgramUnknown, "no program %q of this client account is known; check the name", name)
	}
	return reply, nil
}

// unreachableError returns refusals unchanged and converts other errors to a
// refusal, because the owner of the program did not answer.
func unreachableError(err error, name domain.ProgramName) error {
	if _, ok := domain.AsRefusal(err); ok {
		return err
	}
	return domain.NotRun(domain.ReasonUnreachable, "the owner of program %s cannot be reached; send the request again", name).After(time.Second)
}

// EndProgram implements port.Frontend.
func (n *Node) EndProgram(ctx context.Context, identity port.Identity, name domain.ProgramName) (port.ProgramStatus, error) {
	limited, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	id := domain.ProgramID{Account: identity.Account, Name: name}
	reply, err := requestOnce[*program.EndProgramReply](limited, n.mailbox, func(t controller.Ticket) controller.Input {
		return controller.EndProgram{Ticket: t, Program: id}
	})
	if err != nil {
		return port.ProgramStatus{}, unreachableError(err, name)
	}
	if reply.Refusal != nil {
		return port.ProgramStatus{}, reply.Refusal
	}
	return n.GetProgram(ctx, identity, name)
}

// History implements port.Frontend.
func (n *Node) History(ctx context.Context, identity port.Identity, name domain.ProgramName) ([][]byte, error) {
	reply, err := n.getProgram(ctx, identity, name)
	if err != nil {
		return nil, err
	}
	return n.fetchTurns(ctx, domain.ProgramID{Account: identity.Account, Name: name}, reply.History)
}
