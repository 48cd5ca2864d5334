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

// Times and sizes of forwarded proposals.
const (
	// proposalRetryInterval is above a commit between regions with a slow disk.
	proposalRetryInterval = 500 * time.Millisecond
	// ProposeTimeout ends a proposal without an answer.
	ProposeTimeout = 10 * time.Second
	// acceptedTTL is how long the leader drops resends of a proposal that waits
	// for its commit. A resend after it is proposed again, which is safe,
	// because the configuration applies an operation once.
	acceptedTTL         = 5 * time.Second
	maxPendingProposals = 1024
)

// Errors of proposals, for errors.Is.
var (
	ErrTooManyProposals = errors.New("relay: too many changes wait for an answer; retry when some have ended")
	ErrNoAnswer         = errors.New("relay: the leader did not answer in time; resend the change with the same operation id to learn its outcome")
)

type pendingProposal struct {
	change   *config.Change
	retryAt  time.Time
	deadline time.Time
	attempt  int
	sentTo   domain.VM
}

type acceptedProposal struct {
	origins []domain.VM
	expires time.Time
}

// Propose forwards a change to the leader until an Answer arrives. Resending a
// pending operation is harmless.
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

// sendProposal sends to the known leader first, and to the voters in turn when
// it does not answer.
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

// Answer is called on the leader when a change was applied. Every VM that
// forwarded the operation gets the result.
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

// Rejected is called on the leader when agreement refused a proposal, so that a
// resend is proposed again.
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
