package program

import (
	"maps"
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/ledger"
)

func crashRefusal(o domain.Outcome) *domain.Refusal {
	r := domain.NotRun(domain.ReasonRequestCrashes, "two targets crashed while they ran this request; change the request")
	r.Outcome = o
	return r
}

func endedRefusal(reason domain.Reason, o domain.Outcome) *domain.Refusal {
	r := domain.NotRun(domain.ReasonProgramEnded, "the program has ended (%s); use another name for a new program", reason)
	r.Outcome = o
	return r
}

// runningCall returns the call of a report, or nil if the report is not about
// the attempt in flight.
func (s *Store) runningCall(id domain.CallID, entry domain.VM, p domain.ProgramID, attempt uint32) *call {
	c := s.calls[id]
	if c == nil || c.state != running || c.Entry != entry || c.Program != p || c.attempt != attempt {
		return nil
	}
	return c
}

// answerEnded answers a message about a call that is not in flight.
func (s *Store) answerEnded(id domain.CallID, entry domain.VM, p domain.ProgramID, e *Effects) {
	if d := s.done[id]; d != nil {
		s.replyDone(entry, d, e)
		return
	}
	refusal := domain.Unknown(domain.ReasonOutcomeUnknown, "the call is not in flight at the owner of its program; check its effect before sending it again")
	e.reply(entry, &CallRefused{Call: id, Program: p, Refusal: *refusal})
}

func (s *Store) finish(now time.Time, m *FinishCall, e *Effects) {
	c := s.runningCall(m.Call, m.Entry, m.Program, m.Attempt)
	if c == nil {
		s.answerEnded(m.Call, m.Entry, m.Program, e)
		return
	}
	p := c.program
	s.removeRunning(c)
	s.emit(e, &CallFinished{
		Program: p.id, Call: c.Call, Attempt: c.attempt, Turn: m.Turn, Answer: m.Answer, Conversation: m.Conversation,
		Charge: ledger.Settle(c.reservation, s.cost(c, m.Usage)), At: now,
	})
	s.replyDone(c.Entry, s.done[c.Call], e)
	if s.vm.clear(c.Fingerprint) {
		e.Broadcast = append(e.Broadcast, &Cleared{c.Fingerprint})
	}
	if c.Single {
		s.end(now, p, domain.ReasonProgramEnded, e)
	}
	s.activateNext(now, p, e)
	s.retryBudget(now, e)
}

// cost returns the cost of a finished call. A model that has been removed since
// the start has no price, so its last calls are not charged.
func (s *Store) cost(c *call, u domain.Usage) domain.Micros {
	if c.Model == "" {
		return s.worstCaseCost(c)
	}
	if m := s.view.Model(c.Model); m != nil {
		return ledger.Cost(m, u)
	}
	return 0
}

// removeRunning removes a running call from the VM's counts.
func (s *Store) removeRunning(c *call) {
	s.vm.inFlightByAccount[c.Program.Account]--
	s.vm.removeInFlight(c.target, c.Call)
}

func (s *Store) fail(now time.Time, m *FailCall, e *Effects) {
	if c := s.runningCall(m.Call, m.Entry, m.Program, m.Attempt); c != nil {
		s.failRunning(now, c, m, e)
		return
	}
	if c := s.calls[m.Call]; c != nil {
		// The report is about an earlier attempt, which has already failed.
		return
	}
	s.answerEnded(m.Call, m.Entry, m.Program, e)
}

func (s *Store) failRunning(now time.Time, c *call, m *FailCall, e *Effects) {
	if m.Kind == FailCrashed {
		e.Broadcast = append(e.Broadcast, s.vm.recordCrash(now, m, c.Fingerprint))
	}
	refusal, retry := s.failure(now, c, m)
	if c.mayHaveRun {
		refusal.Outcome = domain.OutcomeUnknown
	}
	p := c.program
	s.removeRunning(c)
	s.emit(e, &CallFailed{
		Program: p.id, Call: c.Call, Kind: m.Kind, Retry: retry, Refusal: *refusal,
		Charge: ledger.Settle(c.reservation, 0), At: now,
	})
	if retry {
		again := &call{
			BeginCall: c.BeginCall, program: p, attempt: c.attempt,
			mayHaveRun: c.mayHaveRun || m.Kind != FailRefused && m.Kind != FailUnreachable,
		}
		s.register(again)
		p.queue = slices.Insert(p.queue, 0, again)
	} else if m.Kind != FailEntryDead {
		e.refuse(&c.BeginCall, refusal)
	}
	if c.Single && !retry {
		s.end(now, p, domain.ReasonProgramEnded, e)
	}
	s.activateNext(now, p, e)
	s.retryBudget(now, e)
}

// failure returns the refusal of a failed call and whether to retry it. A
// run-once call is retried only if no target has run it.
func (s *Store) failure(now time.Time, c *call, m *FailCall) (refusal *domain.Refusal, retry bool) {
	canRetry := c.attempt < maxAttempts && !m.AnswerStarted
	switch m.Kind {
	case FailRefused, FailUnreachable:
		return domain.NotRun(domain.ReasonTargetFailed, "the target refused the call; retry later").After(time.Second), canRetry
	case FailNotSent:
		return domain.NotRun(domain.ReasonUnreachable, "the owner of the program answered too late; send the call again").After(time.Second), false
	}
	if c.RunOnce {
		return domain.Unknown(domain.ReasonOutcomeUnknown, "the call was sent and has no answer (%s); check its effect before sending it again", m.Kind), false
	}
	switch m.Kind {
	case FailCrashed:
		if _, _, refused := s.vm.Suspicion(now, c.Fingerprint); refused {
			return crashRefusal(domain.OutcomeUnknown), false
		}
		return domain.Unknown(domain.ReasonTargetFailed, "the target crashed; send the call again").After(time.Second), canRetry
	case FailErrored:
		return domain.Unknown(domain.ReasonTargetFailed, "the target failed and may have run the call; send the call again").After(time.Second), canRetry
	case FailTimedOut:
		return domain.Unknown(domain.ReasonToolTimeout, "the target did not answer in time; send the call again or raise the route's timeout"), false
	case FailCancelled:
		reason := domain.ReasonCallerGone
		if cancelled, ok := s.cancels[c.Call]; ok {
			reason = cancelled.reason
		}
		return domain.Unknown(reason, "the call was cancelled while it ran"), false
	default:
		return domain.Unknown(domain.ReasonCallerGone, "the connection of the caller ended while the call ran; send the call again"), false
	}
}

// callerGone ends a call whose caller has closed its connection.
func (s *Store) callerGone(now time.Time, m *CallEnded, e *Effects) {
	if c := s.calls[m.Call]; c != nil && c.Entry == m.Entry {
		s.abandon(now, c, FailCallerGone, e)
	}
}

// VMDead ends the calls of an entry VM that membership has declared dead.
func (s *Store) VMDead(now time.Time, vm domain.VM) Effects {
	var e Effects
	for _, id := range slices.Sorted(maps.Keys(s.calls)) {
		if c := s.calls[id]; c != nil && c.Entry == vm {
			s.abandon(now, c, FailEntryDead, &e)
		}
	}
	return s.result(e)
}

// abandon ends a call whose caller no longer waits for the answer.
func (s *Store) abandon(now time.Time, c *call, kind FailKind, e *Effects) {
	if c.state != running {
		s.discard(now, c, nil, e)
		return
	}
	s.failRunning(now, c, &FailCall{Call: c.Call, Entry: c.Entry, Program: c.Program, Attempt: c.attempt, Kind: kind, Target: c.target}, e)
}

// Cancel ends a call for a reason such as a withdrawn key. A call in flight
// ends when its entry VM confirms with FailCancelled.
func (s *Store) Cancel(now time.Time, id domain.CallID, reason domain.Reason) Effects {
	var e Effects
	switch c := s.calls[id]; {
	case c == nil:
	case c.state != running:
		s.discard(now, c, domain.NotRun(reason, "the call was cancelled before it was sent"), &e)
	default:
		s.cancels[id] = cancel{reason, now}
		e.cancel(c, reason)
	}
	return s.result(e)
}

// cancel sends CancelCall without waiting for a commit, because stopping a call
// needs no record.
func (e *Effects) cancel(c *call, reason domain.Reason) {
	e.Sends = append(e.Sends, domain.Send{To: c.Entry, Body: &CancelCall{c.Call, c.Program, reason}})
}
