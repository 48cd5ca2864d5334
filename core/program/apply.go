package program

import (
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/ledger"
)

// Apply applies a record of the shard's log to the state and reports whether it
// knows the record's type. A record changes only the program that it names, the
// program's ancestors and the ledger.
func (s *Store) Apply(record domain.Record) bool {
	switch r := record.(type) {
	case *CallStarted:
		s.applyStarted(r)
	case *CallFinished:
		s.applyFinished(r)
	case *CallFailed:
		s.applyFailed(r)
	case *ProgramEnded:
		s.applyEnded(r)
	case *ReleaseConfirmed:
		if p := s.programs[r.Program]; p != nil {
			p.targets = slices.DeleteFunc(p.targets, func(t domain.Target) bool { return t == r.Target })
			delete(s.releases, Release{Program: r.Program, Target: r.Target})
		}
	case *ProgramState:
		s.applyState(r)
	case *KeyState:
		k := *r
		s.setKey(&k)
	case *DoneState:
		s.setDone(r)
	default:
		return s.ledger.Apply(record)
	}
	return true
}

func (s *Store) applyStarted(r *CallStarted) {
	p := s.programs[r.Begin.Program]
	if p == nil || p.ended != 0 {
		p = s.newProgram(&r.Begin)
	}
	if r.First {
		p.started, p.budgetLimit = r.At.UnixNano(), r.BudgetLimit
		if parent := s.parentOf(p); parent != nil {
			parent.children++
		}
	}
	p.lastUsed = r.At.UnixNano()
	s.forSelfAndAncestors(p, func(q *program) { q.reserved += r.Reservation.Amount })
	s.ledger.Apply(&r.Reservation)
	s.run(p, r)
	if r.Begin.Key != "" {
		s.setKey(&KeyState{
			Program: p.id, Key: r.Begin.Key, Fingerprint: r.Begin.Fingerprint,
			Call: r.Begin.Call, State: keyStarted, At: r.At,
		})
	}
}

// run makes a started call the active one of its program.
func (s *Store) run(p *program, r *CallStarted) {
	c := s.calls[r.Begin.Call]
	if c == nil {
		c = &call{BeginCall: r.Begin, program: p}
		s.calls[c.Call] = c
	}
	c.state, c.attempt, c.target = running, r.Attempt, domain.Target(s.intern(string(r.Target)))
	c.reservation, c.started = r.Reservation, r
	p.active = c
	// Only engines keep memory of a program after a call; services do not.
	if r.Begin.Model != "" && !slices.Contains(p.targets, c.target) {
		p.targets = append(p.targets, c.target)
	}
}

func (s *Store) newProgram(b *BeginCall) *program {
	id := domain.ProgramID{Account: domain.Account(s.intern(string(b.Program.Account))), Name: b.Program.Name}
	p := &program{id: id, parent: b.Parent, lastUsed: b.Arrived.UnixNano()}
	s.programs[id] = p
	return p
}

// settle ends the reservation of the active call and applies its charge.
func (s *Store) settle(p *program, charge *ledger.Charge) {
	s.forSelfAndAncestors(p, func(q *program) {
		q.reserved -= charge.Reserved
		q.spent += charge.Amount
	})
	s.ledger.Apply(charge)
	delete(s.calls, p.active.Call)
	delete(s.cancels, p.active.Call)
	p.active = nil
}

// activeCall returns the program whose running call a record ends, or nil if
// that call is not running.
func (s *Store) activeCall(id domain.ProgramID, c domain.CallID) *program {
	p := s.programs[id]
	if p == nil || p.active == nil || p.active.Call != c || p.active.state != running {
		return nil
	}
	return p
}

func (s *Store) applyFinished(r *CallFinished) {
	p := s.activeCall(r.Program, r.Call)
	if p == nil {
		return
	}
	c := p.active
	p.turns = append(p.turns, r.Turn)
	p.conversation = r.Conversation
	p.lastUsed = r.At.UnixNano()
	if p.lastFingerprint == c.Fingerprint {
		p.repeats++
	} else {
		p.lastFingerprint, p.repeats = c.Fingerprint, 1
	}
	s.settle(p, &r.Charge)
	s.setDone(&DoneState{Program: p.id, Call: r.Call, Turn: len(p.turns), Charge: r.Charge.Amount, At: r.At})
	if c.Key != "" {
		s.setKey(&KeyState{
			Program: p.id, Key: c.Key, Fingerprint: c.Fingerprint, Call: c.Call,
			State: keyDone, Answer: r.Answer, At: r.At,
		})
	}
}

func (s *Store) applyFailed(r *CallFailed) {
	p := s.activeCall(r.Program, r.Call)
	if p == nil {
		return
	}
	c := p.active
	p.lastUsed = r.At.UnixNano()
	s.settle(p, &r.Charge)
	if r.Retry {
		delete(s.keys, keyID{c.Program, c.Key})
		return
	}
	s.setFailedOutcome(c, &r.Refusal, r)
}

// setFailedOutcome stores the outcome of a call that has no answer. The key of
// a run-once call with an unknown outcome is kept; any other key can be used
// again.
func (s *Store) setFailedOutcome(c *call, refusal *domain.Refusal, r *CallFailed) {
	s.setDone(&DoneState{Program: c.Program, Call: c.Call, Refusal: refusal, At: r.At})
	if c.Key == "" {
		return
	}
	if c.RunOnce && refusal.Outcome == domain.OutcomeUnknown {
		s.setKey(&KeyState{
			Program: c.Program, Key: c.Key, Fingerprint: c.Fingerprint, Call: c.Call, State: keyUnknown, At: r.At,
		})
		return
	}
	delete(s.keys, keyID{c.Program, c.Key})
}

func (s *Store) applyEnded(r *ProgramEnded) {
	p := s.programs[r.Program]
	if p == nil || p.ended != 0 {
		return
	}
	if c := p.active; c != nil && c.state == running {
		charge := ledger.Settle(c.reservation, 0)
		s.settle(p, &charge)
		s.setFailedOutcome(c, endedRefusal(r.Reason, domain.OutcomeUnknown), &CallFailed{At: r.At})
	}
	if parent := s.parentOf(p); parent != nil {
		parent.children--
	}
	p.ended, p.reason = r.At.UnixNano(), r.Reason
	s.indexEnded(p)
}

func (s *Store) indexEnded(p *program) {
	for _, t := range p.targets {
		s.releases[Release{Program: p.id, Target: t}] = time.Time{}
	}
	s.endOrder = append(s.endOrder, p)
}

func (s *Store) applyState(r *ProgramState) {
	p := s.newProgram(&BeginCall{Program: r.Program, Parent: r.Parent})
	p.started, p.lastUsed, p.reason = r.Started.UnixNano(), r.Used.UnixNano(), r.Reason
	p.turns, p.targets = slices.Clone(r.Turns), slices.Clone(r.Targets)
	p.conversation = r.Conversation
	p.spent, p.reserved, p.budgetLimit = r.Spent, r.Reserved, r.BudgetLimit
	p.lastFingerprint, p.repeats = r.LastFingerprint, int32(r.Repeats)
	for i, t := range p.targets {
		p.targets[i] = domain.Target(s.intern(string(t)))
	}
	if r.Running != nil {
		s.run(p, r.Running)
	}
	if !r.Ended.IsZero() {
		p.ended = r.Ended.UnixNano()
		s.indexEnded(p)
	} else if parent := s.parentOf(p); parent != nil {
		parent.children++
	}
}

// setKey stores the state of a key. All states of one call share one entry in
// the expiry order.
func (s *Store) setKey(k *KeyState) {
	id := keyID{k.Program, k.Key}
	if old := s.keys[id]; old != nil && old.Call == k.Call && old.State != keyQueued {
		*old = *k
		return
	}
	s.keys[id] = k
	s.keyOrder = append(s.keyOrder, k)
}

func (s *Store) setDone(d *DoneState) {
	s.done[d.Call] = d
	s.doneOrder = append(s.doneOrder, d)
}
