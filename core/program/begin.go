package program

import (
	"errors"
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/ledger"
)

// Errors of Place.
var (
	// ErrNotReady reports that the call does not wait for a target any more.
	ErrNotReady = errors.New("the call no longer waits for a target")
	// ErrNotAlone reports that the call has become a crash suspect. The call is
	// ready again, with Ready.Alone set.
	ErrNotAlone = errors.New("the call is suspected to crash targets; place it on a target with nothing else in flight")
)

// begin queues a call, or answers it if its ID or idempotency key is known.
func (s *Store) begin(now time.Time, m *BeginCall, e *Effects) {
	if c := s.calls[m.Call]; c != nil {
		if c.state == running {
			s.sendStart(c, e)
		}
		return
	}
	if d := s.done[m.Call]; d != nil {
		s.replyDone(m.Entry, d, e)
		return
	}
	if m.Key != "" && s.answerKnownKey(m, e) {
		return
	}
	if m.RunOnce && m.Attempts > 0 {
		// The entry VM has received StartCall, so the start was recorded; both
		// copies of the record are lost.
		s.answerEnded(m.Call, m.Entry, m.Program, e)
		return
	}
	c := &call{BeginCall: *m, attempt: m.Attempts, mayHaveRun: m.Attempts > 0}
	if refusal := s.admit(now, c); refusal != nil {
		e.refuseCall(c, refusal)
		return
	}
	s.register(c)
	c.program.queue = append(c.program.queue, c)
	s.activateNext(now, c.program, e)
}

// register adds a call that has no record yet. If the call has an idempotency
// key, register adds the key too.
func (s *Store) register(c *call) {
	s.calls[c.Call] = c
	if c.Key != "" {
		s.keys[keyID{c.Program, c.Key}] = &KeyState{Program: c.Program, Key: c.Key, Fingerprint: c.Fingerprint, Call: c.Call}
	}
}

// answerKnownKey answers a call whose idempotency key another call has used,
// and reports whether it did. While that call is in progress the outcome is
// unknown, because its target may run it.
func (s *Store) answerKnownKey(m *BeginCall, e *Effects) bool {
	k := s.keys[keyID{m.Program, m.Key}]
	switch {
	case k == nil:
		return false
	case k.Fingerprint != m.Fingerprint:
		e.refuse(m, domain.NotRun(domain.ReasonKeyReused, "the idempotency key was used with another request body; use a new key"))
	case k.State == keyDone:
		e.reply(m.Entry, &CallCommitted{Call: m.Call, Program: m.Program, Stored: k.Answer})
	case k.State == keyUnknown:
		e.refuse(m, domain.Unknown(domain.ReasonOutcomeUnknown, "an earlier attempt with this idempotency key may have run; check its effect and use a new key"))
	default:
		e.refuse(m, domain.Unknown(domain.ReasonInProgress, "an earlier attempt with this idempotency key is in progress; send the request again later").After(time.Second))
	}
	return true
}

func (s *Store) replyDone(to domain.VM, d *DoneState, e *Effects) {
	if d.Refusal != nil {
		e.reply(to, &CallRefused{Call: d.Call, Program: d.Program, Refusal: *d.Refusal})
		return
	}
	e.reply(to, &CallCommitted{Call: d.Call, Program: d.Program, Turn: d.Turn, Charge: d.Charge})
}

// admit checks the conditions that do not depend on earlier calls of the
// program, and finds or creates the program.
func (s *Store) admit(now time.Time, c *call) *domain.Refusal {
	account := s.view.Account(c.Program.Account)
	if account == nil || account.Disabled {
		return domain.NotRun(domain.ReasonKeyWithdrawn, "the client account is disabled; ask the operator")
	}
	if refusal := s.checkModel(c); refusal != nil {
		return refusal
	}
	if _, _, refused := s.vm.Suspicion(now, c.Fingerprint); refused {
		return crashRefusal(domain.OutcomeNotRun)
	}
	p := s.programs[c.Program]
	switch {
	case p != nil && p.ended != 0:
		return endedRefusal(p.reason, domain.OutcomeNotRun)
	case p != nil && len(p.queue) >= maxQueuedCalls:
		return domain.NotRun(domain.ReasonOverloaded, "%d calls of the program are already queued; wait for their answers", maxQueuedCalls).After(time.Second)
	case p == nil && !s.view.Preset().NewPrograms:
		return domain.NotRun(domain.ReasonNewPrograms, "the preset in force allows no new programs; continue a running program or retry later").After(time.Minute)
	case p == nil && c.Parent != "" && !s.isOpen(domain.ProgramID{Account: c.Program.Account, Name: c.Parent}):
		return domain.NotRun(domain.ReasonProgramUnknown, "the parent program %s is not running here; start it first", c.Parent)
	case p == nil:
		p = s.newProgram(&c.BeginCall)
	}
	c.program, c.Parent = p, p.parent
	return nil
}

func (s *Store) isOpen(id domain.ProgramID) bool {
	p := s.programs[id]
	return p != nil && p.started != 0 && p.ended == 0
}

func (s *Store) checkModel(c *call) *domain.Refusal {
	preset := s.view.Preset()
	if c.Model == "" {
		if s.view.Route(c.Route) == nil {
			return domain.NotRun(domain.ReasonRouteUnknown, "no route %q is configured; check the path", c.Route)
		}
		return nil
	}
	m := s.view.Model(c.Model)
	switch {
	case m == nil:
		return domain.NotRun(domain.ReasonModelUnknown, "no model %q is configured; list the models", c.Model)
	case !preset.AllowsModel(c.Model):
		return domain.NotRun(domain.ReasonModelNotAllowed, "the preset in force does not allow model %s; use another model or retry later", c.Model)
	case m.MaxContext > 0 && s.promptTokens(c) > m.MaxContext:
		return domain.NotRun(domain.ReasonTooLarge, "the prompt has about %d tokens and the model accepts %d; shorten it", s.promptTokens(c), m.MaxContext)
	}
	if limit := preset.MaxGeneratedTokens; limit > 0 && (c.TokenLimit <= 0 || c.TokenLimit > limit) {
		c.TokenLimit = limit
	}
	return nil
}

// activateNext selects the active call of a program that has none: the first
// queued call that is within the limits. It refuses the calls before it.
func (s *Store) activateNext(now time.Time, p *program, e *Effects) {
	for p.ended == 0 && p.active == nil && len(p.queue) > 0 {
		c := p.queue[0]
		p.queue = slices.Delete(p.queue, 0, 1)
		if refusal := s.checkLimits(now, p, c); refusal != nil {
			s.removeCall(c)
			e.refuseCall(c, refusal)
			if refusal.Reason == domain.ReasonTurnLimit || refusal.Reason == domain.ReasonTimeLimit {
				s.end(now, p, refusal.Reason, e)
			}
			continue
		}
		p.active = c
		c.state, c.budgetDeadline = waitingForBudget, now.Add(budgetTimeout)
		s.vm.inFlightByAccount[c.Program.Account]++
		if s.tryHoldBudget(now, c, e) {
			s.waitingForBudget = append(s.waitingForBudget, c)
		}
	}
	s.removeUnused(p)
}

// removeUnused removes a program that has no call and has not started one.
func (s *Store) removeUnused(p *program) {
	if p.started == 0 && p.active == nil && len(p.queue) == 0 && s.programs[p.id] == p {
		delete(s.programs, p.id)
	}
}

// checkLimits checks the limits that depend on the earlier calls of the
// program.
func (s *Store) checkLimits(now time.Time, p *program, c *call) *domain.Refusal {
	preset, account := s.view.Preset(), s.view.Account(p.id.Account)
	if preset.MaxTurns > 0 && len(p.turns) >= preset.MaxTurns {
		return domain.NotRun(domain.ReasonTurnLimit, "the program has used the %d turns that the preset in force allows; start a new program", preset.MaxTurns)
	}
	if preset.MaxWallTime > 0 && p.started != 0 && now.UnixNano()-p.started >= int64(preset.MaxWallTime) {
		return domain.NotRun(domain.ReasonTimeLimit, "the program has run for the %s that the preset in force allows; start a new program", preset.MaxWallTime)
	}
	if preset.MaxRepeatedCalls > 0 && p.lastFingerprint == c.Fingerprint && int(p.repeats) >= preset.MaxRepeatedCalls {
		return domain.NotRun(domain.ReasonRepeatedCall, "the program has made this call %d times in a row; change the request", p.repeats)
	}
	if limit := concurrency(account, preset); limit > 0 && s.vm.inFlightByAccount[p.id.Account] >= limit {
		return domain.NotRun(domain.ReasonConcurrency, "the account has %d calls in flight, which is its limit; wait for an answer", limit).After(time.Second)
	}
	worst := s.worstCaseCost(c)
	if left := s.remaining(p); worst > left {
		return domain.NotRun(domain.ReasonProgramBudget, "the call may cost %s and %s is missing in the budget of the program or of a parent; lower the token limit or start a new program", worst, worst-left)
	}
	return nil
}

func concurrency(account *config.AccountSpec, preset *config.PresetSpec) int {
	limit := preset.AccountConcurrency
	if account != nil && account.Concurrency > 0 && (limit == 0 || account.Concurrency < limit) {
		limit = account.Concurrency
	}
	return limit
}

// historyBytesPerToken is set low so that the number of tokens is
// overestimated, as in the estimate of the messages by the entry VM.
const historyBytesPerToken = 2

// promptTokens returns the estimated prompt tokens of a call, including the
// stored history that precedes new messages. A reservation without the history
// would be too low and would cap the charge below the cost.
func (s *Store) promptTokens(c *call) domain.Tokens {
	tokens := c.PromptTokens
	if !c.NewMessagesOnly {
		return tokens
	}
	if p := s.programs[c.Program]; p != nil {
		for _, turn := range p.turns {
			tokens += domain.Tokens(turn.Length) / historyBytesPerToken
		}
	}
	return tokens
}

// worstCaseCost returns the upper bound of the cost of a call. It is zero for a
// model or route that is no longer configured, which has no target either.
func (s *Store) worstCaseCost(c *call) domain.Micros {
	if c.Model != "" {
		if m := s.view.Model(c.Model); m != nil {
			return ledger.MaxCost(m, s.promptTokens(c), c.TokenLimit)
		}
	} else if r := s.view.Route(c.Route); r != nil {
		return r.Price
	}
	return 0
}

// tryHoldBudget holds the worst-case cost of the active call, and reports
// whether the call has to wait for budget. It discards the call when the ledger
// refuses the hold or the budget deadline has passed.
func (s *Store) tryHoldBudget(now time.Time, c *call, e *Effects) bool {
	amount := s.worstCaseCost(c)
	hold, verdict, refusal, effects := s.ledger.Hold(now, c.Program.Account, amount)
	s.addLedger(e, effects)
	if verdict == ledger.Pending && !now.Before(c.budgetDeadline) {
		verdict, refusal = ledger.Refused, s.ledger.UnreachableRefusal(now, hold)
	}
	switch verdict {
	case ledger.Held:
		c.hold, c.state = hold, ready
		s.forSelfAndAncestors(c.program, func(q *program) { q.held += amount })
		e.Ready = append(e.Ready, s.readyCall(now, c))
	case ledger.Refused:
		s.discard(now, c, refusal, e)
	}
	return verdict == ledger.Pending
}

// retryBudget tries to hold budget for the calls that wait for it.
func (s *Store) retryBudget(now time.Time, e *Effects) {
	pending := s.waitingForBudget
	s.waitingForBudget = nil
	for _, c := range pending {
		if s.calls[c.Call] == c && c.state == waitingForBudget && s.tryHoldBudget(now, c, e) {
			s.waitingForBudget = append(s.waitingForBudget, c)
		}
	}
}

func (s *Store) readyCall(now time.Time, c *call) Ready {
	_, alone, _ := s.vm.Suspicion(now, c.Fingerprint)
	return Ready{
		Call: c.Call, Program: c.Program, Model: c.Model, Route: c.Route, PromptTokens: s.promptTokens(c), TokenLimit: c.TokenLimit,
		Arrived: c.Arrived, Alone: alone,
	}
}

// Place records the scheduler's choice of target. The caller sets alone if
// nothing else is in flight on the target. StartCall is sent when the record is
// committed. Place returns ErrNotReady or ErrNotAlone if it does not start the
// call; the effects are valid in both cases.
func (s *Store) Place(now time.Time, id domain.CallID, target domain.Target, alone bool) (Effects, error) {
	var e Effects
	c := s.calls[id]
	if c == nil || c.state != ready {
		return s.result(e), ErrNotReady
	}
	_, suspect, refused := s.vm.Suspicion(now, c.Fingerprint)
	if refused {
		s.discard(now, c, crashRefusal(domain.OutcomeNotRun), &e)
		return s.result(e), ErrNotReady
	}
	if suspect && !alone {
		e.Ready = append(e.Ready, s.readyCall(now, c))
		return s.result(e), ErrNotAlone
	}
	first := c.program.started == 0
	if first && c.Parent != "" && !s.isOpen(domain.ProgramID{Account: c.Program.Account, Name: c.Parent}) {
		s.discard(now, c, endedRefusal(domain.ReasonProgramEnded, domain.OutcomeNotRun), &e)
		return s.result(e), ErrNotReady
	}
	r := &CallStarted{Begin: c.BeginCall, First: first, Target: target, Attempt: c.attempt + 1, Reservation: c.hold, At: now}
	s.unhold(c)
	if first && c.Parent != "" {
		r.BudgetLimit = s.remaining(s.parentOf(c.program))
	}
	s.emit(&e, r)
	s.vm.addInFlight(target, id, c.Fingerprint)
	s.sendStart(c, &e)
	return s.result(e), nil
}

// refuseCall refuses a call that is not running. The outcome is unknown if an
// earlier attempt may have run.
func (e *Effects) refuseCall(c *call, refusal *domain.Refusal) {
	r := *refusal
	if c.mayHaveRun {
		r.Outcome = domain.OutcomeUnknown
	}
	e.refuse(&c.BeginCall, &r)
}

func (s *Store) unhold(c *call) {
	s.ledger.ReleaseHold(c.hold)
	s.forSelfAndAncestors(c.program, func(q *program) { q.held -= c.hold.Amount })
	c.hold = ledger.Reservation{}
}

func (s *Store) sendStart(c *call, e *Effects) {
	m := &StartCall{
		Call: c.Call, Program: c.Program, Epoch: s.epoch, Target: c.target, Attempt: c.attempt, TokenLimit: c.TokenLimit,
		Conversation: c.program.conversation,
	}
	if c.NewMessagesOnly {
		m.History = slices.Clone(c.program.turns)
	}
	e.reply(c.Entry, m)
}

// Refuse ends a call for which the scheduler found no target. It has no effect
// on a running call.
func (s *Store) Refuse(now time.Time, id domain.CallID, refusal *domain.Refusal) Effects {
	var e Effects
	if c := s.calls[id]; c != nil && c.state != running {
		s.discard(now, c, refusal, &e)
	}
	return s.result(e)
}

// discard ends a call that is not running. It sends no answer if refusal is
// nil.
func (s *Store) discard(now time.Time, c *call, refusal *domain.Refusal, e *Effects) {
	p := c.program
	switch c.state {
	case queued:
		p.queue = slices.DeleteFunc(p.queue, func(q *call) bool { return q == c })
	case ready:
		s.unhold(c)
		e.Unready = append(e.Unready, c.Call)
		fallthrough
	default:
		s.vm.inFlightByAccount[c.Program.Account]--
		p.active = nil
	}
	s.removeCall(c)
	if refusal != nil {
		e.refuseCall(c, refusal)
	}
	s.activateNext(now, p, e)
}

// removeCall removes a call that has no record. If its idempotency key is
// queued, removeCall removes the key too.
func (s *Store) removeCall(c *call) {
	delete(s.calls, c.Call)
	id := keyID{c.Program, c.Key}
	if k := s.keys[id]; k != nil && k.State == keyQueued && k.Call == c.Call {
		delete(s.keys, id)
	}
}
