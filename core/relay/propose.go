package relay

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/domain"
)

// Time-outs and limits of forwarded proposals.
const (
	// proposalRetryInterval exceeds the time of a commit across regions with a
	// slow disk.
	proposalRetryInterval = 500 * time.Millisecond
	// ProposeTimeout is the time after which a proposal without an answer fails.
	ProposeTimeout = 10 * time.Second
	// acceptedTTL is how long the leader discards resends of a proposal whose
	// commit is pending. A later resend is proposed again, which is safe because
	// the configuration applies an operation once.
	acceptedTTL = 5 * time.Second
	// maxPendingProposals is the maximum number of proposals of this VM that wait
	// for an answer.
	maxPendingProposals = 1024
)

// Errors of proposals, to be matched with errors.Is.
var (
	ErrTooManyProposals = errors.New("relay: too many changes are pending; retry when some have completed")
	ErrNoAnswer         = errors.New("relay: the leader did not answer in time; resend the change with the same operation id to get its outcome")
)

// pendingProposal is a proposal made on this VM that has no answer yet.
type pendingProposal struct {
	change   *config.Change
	retryAt  time.Time
	deadline time.Time
	attempt  int
	sentTo   domain.VM
}

// acceptedProposal is a proposal that the leader handed to the log. The origins
// are the VMs that forwarded it and get its result.
type acceptedProposal struct {
	origins []domain.VM
	expires time.Time
}

// Propose forwards a change to the leader and retries until an Answer arrives or
// ProposeTimeout passes. It has no effect if the operation is already pending. It
// returns ErrTooManyProposals above the limit of pending proposals.
func (r *Relay) Propose(now time.Time, change *config.Change) (Effects, error) {
	var e Effects
	if r.pending[change.Operation] != nil {
		return e, nil
	}
	if len(r.pending) >= maxPendingProposals {
		return e, ErrTooManyProposals
	}
	p := &pendingProposal{change: change, deadline: now.Add(ProposeTimeout)}
	r.pending[change.Operation] = p
	r.sendProposal(&e, now, p)
	return e, nil
}

// sendProposal alternates between the known leader and the voters in turn, so that
// a proposal gets through when the known leader is dead or outdated.
func (r *Relay) sendProposal(e *Effects, now time.Time, p *pendingProposal) {
	to := r.leader
	if voters := r.voters(); len(voters) > 0 && (to == "" || p.attempt%2 == 1) {
		to = voters[p.attempt/2%len(voters)]
	}
	p.attempt++
	r.sendProposalTo(e, now, p, to)
}

func (r *Relay) sendProposalTo(e *Effects, now time.Time, p *pendingProposal, to domain.VM) {
	p.retryAt, p.sentTo = now.Add(proposalRetryInterval), to
	switch to {
	case "":
	case r.cfg.Self:
		r.stepPropose(e, now, to, &Propose{p.change})
	default:
		e.send(to, &Propose{p.change})
	}
}

func (r *Relay) voters() []domain.VM {
	var out []domain.VM
	for _, n := range r.nodes {
		if n.Voter {
			out = append(out, n.VM)
		}
	}
	return out
}

func (r *Relay) stepPropose(e *Effects, now time.Time, from domain.VM, m *Propose) {
	if m.Change == nil {
		return
	}
	if r.leader != r.cfg.Self {
		if from != r.cfg.Self {
			e.send(from, &ProposeReply{Operation: m.Change.Operation, Leader: r.leader})
		}
		return
	}
	a := r.accepted[m.Change.Operation]
	if a == nil {
		a = &acceptedProposal{}
		r.accepted[m.Change.Operation] = a
	}
	if !slices.Contains(a.origins, from) {
		a.origins = append(a.origins, from)
	}
	if now.Before(a.expires) {
		return
	}
	a.expires = now.Add(acceptedTTL)
	e.Proposals = append(e.Proposals, Proposal{from, m.Change})
}

// Answer must be called on the leader with the result of an applied change. It
// sends the result to every VM that forwarded the operation.
func (r *Relay) Answer(_ time.Time, operation domain.OperationID, result config.Result) Effects {
	var e Effects
	a := r.accepted[operation]
	if a == nil {
		return e
	}
	delete(r.accepted, operation)
	for _, origin := range a.origins {
		if origin == r.cfg.Self {
			r.finish(&e, operation, &result)
		} else {
			e.send(origin, &ProposeReply{Operation: operation, Result: &result, Leader: r.leader})
		}
	}
	return e
}

// Rejected must be called on the leader when the log rejected a proposal, so that
// a resend is proposed again.
func (r *Relay) Rejected(operation domain.OperationID) { delete(r.accepted, operation) }

func (r *Relay) finish(e *Effects, operation domain.OperationID, result *config.Result) {
	if r.pending[operation] != nil {
		delete(r.pending, operation)
		e.Answers = append(e.Answers, Answer{Operation: operation, Result: result})
	}
}

func (r *Relay) stepProposeReply(e *Effects, now time.Time, from domain.VM, m *ProposeReply) {
	p := r.pending[m.Operation]
	switch {
	case p == nil:
	case m.Result != nil:
		r.finish(e, m.Operation, m.Result)
	case m.Leader != "" && m.Leader != from && p.sentTo == from:
		r.sendProposalTo(e, now, p, m.Leader)
	}
}

// updateLeader records the leader and resends the pending proposals to a new one.
func (r *Relay) updateLeader(e *Effects, now time.Time, leader domain.VM) {
	if leader == r.leader {
		return
	}
	r.leader = leader
	clear(r.accepted)
	if leader == "" {
		return
	}
	for _, operation := range r.pendingOperations() {
		r.sendProposalTo(e, now, r.pending[operation], leader)
	}
}

func (r *Relay) pendingOperations() []domain.OperationID {
	return slices.Sorted(maps.Keys(r.pending))
}

func (r *Relay) tickProposals(e *Effects, now time.Time) {
	for _, operation := range r.pendingOperations() {
		p := r.pending[operation]
		switch {
		case !now.Before(p.deadline):
			delete(r.pending, operation)
			e.Answers = append(e.Answers, Answer{Operation: operation, Err: fmt.Errorf("operation %q: %w", operation, ErrNoAnswer)})
		case !now.Before(p.retryAt):
			r.sendProposal(e, now, p)
		}
	}
	for operation, a := range r.accepted {
		if !now.Before(a.expires) {
			delete(r.accepted, operation)
		}
	}
}
