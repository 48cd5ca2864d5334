package controller

import (
	"maps"
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/entry"
	"github.com/mangoknot/mangoknot/core/program"
	"github.com/mangoknot/mangoknot/core/schedule"
	"github.com/mangoknot/mangoknot/core/share"
)

// programReplyTimeout limits the wait for an owner's reply to a program request.
const programReplyTimeout = 8 * time.Second

// programRetryInterval is the time after which an unanswered program request is
// sent again.
const programRetryInterval = 500 * time.Millisecond

// entryCall is the entry VM's state of one call.
type entryCall struct {
	ticket Ticket
	key    config.KeyID
	begin  program.BeginCall
	// admitting is set while the call waits for a request token.
	admitting bool
}

// programRequest is a pending request of a caller to end or read a program.
type programRequest struct {
	ticket    Ticket
	program   domain.ProgramID
	message   domain.Message
	startedAt time.Time
	sentAt    time.Time
}

// entryCalls holds the entry VM's state of traffic operations.
type entryCalls struct {
	calls           map[domain.CallID]*entryCall
	tickets         map[share.Ticket]domain.CallID
	programRequests map[domain.CallID]*programRequest
	next            uint64
	afterSync       []pendingSends
}

func newCallers() entryCalls {
	return entryCalls{
		calls:           map[domain.CallID]*entryCall{},
		tickets:         map[share.Ticket]domain.CallID{},
		programRequests: map[domain.CallID]*programRequest{},
	}
}

// beginCall applies the account's rate limit to a call and, once it is admitted,
// sends it to the owner of its program.
func (c *Controller) beginCall(in BeginCall) {
	if refusal := c.entryRefusal(in); refusal != nil {
		c.reply(in.Ticket, refusal, true)
		return
	}
	id := in.Begin.Call
	c.callers.calls[id] = &entryCall{ticket: in.Ticket, key: in.Key, begin: in.Begin, admitting: true}
	decision, sends := c.admission.Admit(c.now, in.Begin.Program.Account, share.Ticket(in.Ticket))
	c.sendAll(sends)
	switch decision {
	case share.Admitted:
		c.admitted(id)
	case share.Refused:
		delete(c.callers.calls, id)
		c.reply(in.Ticket, c.admission.Refusal(in.Begin.Program.Account), true)
	default:
		c.callers.tickets[share.Ticket(in.Ticket)] = id
	}
}

// entryRefusal repeats the checks whose result may have changed since the
// traffic side made them.
func (c *Controller) entryRefusal(in BeginCall) *domain.Refusal {
	switch {
	case !c.traffic.Serving:
		return Starting()
	case c.traffic.Isolated:
		return Isolated()
	case c.traffic.Withdrawn[in.Key]:
		return KeyWithdrawn()
	default:
		return nil
	}
}

// Starting returns the refusal of a request on a VM that does not serve yet.
func Starting() *domain.Refusal {
	return domain.NotRun(domain.ReasonOverloaded, "the VM is starting; send the request again").After(time.Second)
}

// Isolated returns the refusal of a keyed request on a VM that cannot check
// keys.
func Isolated() *domain.Refusal {
	return domain.NotRun(domain.ReasonIsolated, "the VM is cut off from the other VMs and cannot check keys; send the request again to another VM").After(time.Second)
}

// KeyWithdrawn returns the refusal of a request with a withdrawn key.
func KeyWithdrawn() *domain.Refusal {
	return domain.NotRun(domain.ReasonKeyWithdrawn, "the key was withdrawn; ask the operator for a new one")
}

func (c *Controller) admitted(id domain.CallID) {
	caller := c.callers.calls[id]
	caller.admitting = false
	c.applyEntry(c.calls.Begin(c.now, caller.begin))
}

// applyAdmission carries out the outcomes of requests that waited for request
// tokens.
func (c *Controller) applyAdmission(e share.Effects) {
	c.sendAll(e.Sends)
	for _, outcome := range e.Outcomes {
		id, ok := c.callers.tickets[outcome.Ticket]
		delete(c.callers.tickets, outcome.Ticket)
		if !ok || c.callers.calls[id] == nil {
			continue
		}
		if outcome.Refusal == nil {
			c.admitted(id)
			continue
		}
		c.reply(c.callers.calls[id].ticket, outcome.Refusal, true)
		delete(c.callers.calls, id)
	}
}

func (c *Controller) callerDisconnected(id domain.CallID) {
	caller := c.callers.calls[id]
	if caller == nil {
		return
	}
	if caller.admitting {
		c.endAdmitting(id, domain.NotRun(domain.ReasonCallerGone, "the caller closed its connection"))
		return
	}
	c.applyEntry(c.calls.CallerDisconnected(id))
}

// endAdmitting ends a call that waits for a request token.
func (c *Controller) endAdmitting(id domain.CallID, refusal *domain.Refusal) {
	caller := c.callers.calls[id]
	c.admission.Cancel(caller.begin.Program.Account, share.Ticket(caller.ticket))
	delete(c.callers.tickets, share.Ticket(caller.ticket))
	delete(c.callers.calls, id)
	c.reply(caller.ticket, refusal, true)
}

// applyEntry passes the events of calls to their traffic operations.
func (c *Controller) applyEntry(e entry.Effects) {
	c.sendAll(e.Sends)
	for _, event := range e.Events {
		caller := c.callers.calls[event.Call]
		if caller == nil {
			continue
		}
		last := event.Committed != nil || event.Refused != nil
		if last {
			delete(c.callers.calls, event.Call)
		}
		c.reply(caller.ticket, event, last)
	}
}

// cancelCallsWithKey cancels every call that was authenticated with the key.
func (c *Controller) cancelCallsWithKey(key config.KeyID) {
	for _, id := range slices.Sorted(maps.Keys(c.callers.calls)) {
		caller := c.callers.calls[id]
		switch {
		case caller.key != key:
		case caller.admitting:
			c.endAdmitting(id, KeyWithdrawn())
		default:
			c.applyEntry(c.calls.Cancel(id, KeyWithdrawn()))
		}
	}
}

// enqueue passes a call whose budget is reserved to the scheduler. A suspect that
// must be placed alone on a target replaces its earlier entry in the queue.
func (c *Controller) enqueue(r program.Ready) {
	id, err := c.state.View().ShardOfProgram(r.Program)
	if err != nil {
		return
	}
	c.callShards[r.Call] = id
	if r.Alone {
		c.scheduler.Cancel(c.now, r.Call)
	}
	call := schedule.Call{
		ID: r.Call, Program: r.Program, ProgramStarted: r.Arrived,
		Pool:   schedule.PoolID{Model: r.Model, Service: r.Route},
		Prompt: r.PromptTokens, PromptBytes: int64(r.PromptTokens) * promptBytesPerToken, MaxGenerated: r.TokenLimit,
		Repeatable: true, Suspect: r.Alone,
	}
	c.scheduler.Enqueue(c.now, call)
}

// promptBytesPerToken estimates the size of a prompt on a link.
const promptBytesPerToken = 4

// dispatch places the calls for which the scheduler has capacity and refuses
// those that have expired in its queue.
func (c *Controller) dispatch() {
	placed := c.scheduler.Dispatch(c.now)
	for _, p := range slices.Clone(placed) {
		c.place(p)
	}
	for _, expired := range c.scheduler.Expired() {
		if owned := c.owned(c.callShards[expired.Call]); owned != nil {
			id := c.callShards[expired.Call]
			delete(c.callShards, expired.Call)
			c.applyStore(id, owned.store.Refuse(c.now, expired.Call, expired.Refusal))
		}
	}
	c.sendAll(c.scheduler.Sends())
	c.scheduler.CacheCommands()
}

// place records the target that the scheduler chose. The call starts when the
// record is committed.
func (c *Controller) place(p schedule.Placement) {
	id := c.callShards[p.Call]
	owned := c.owned(id)
	if owned == nil {
		c.scheduler.Cancel(c.now, p.Call)
		delete(c.callShards, p.Call)
		return
	}
	effects, err := owned.store.Place(c.now, p.Call, p.Target, c.scheduler.HasReservedTarget(p.Call))
	if err != nil {
		c.scheduler.Cancel(c.now, p.Call)
	}
	c.applyStore(id, effects)
}

// callFinished reports a finished call to the scheduler before the shard's store
// settles it.
func (c *Controller) callFinished(m *program.FinishCall) {
	if _, ok := c.callShards[m.Call]; !ok {
		return
	}
	c.scheduler.FirstTokenAfter(m.Call, m.FirstToken)
	c.scheduler.Finished(c.now, m.Call, m.Usage)
	delete(c.callShards, m.Call)
}

// handleFailCall passes a failed attempt to the scheduler, which delays retries
// and limits them to the account's retry budget, and to the shard's store, which
// decides whether the call may run again.
func (c *Controller) handleFailCall(id domain.ShardID, m *program.FailCall) {
	owned := c.owned(id)
	if owned == nil {
		return
	}
	fail := *m
	fail.Crash = c.crashNumber(m.Target)
	refusal := c.scheduler.Failed(c.now, m.Call, failureKind(m.Kind))
	effects := owned.store.Step(c.now, &fail)
	retry := slices.ContainsFunc(effects.Ready, func(r program.Ready) bool { return r.Call == m.Call })
	if !retry {
		c.scheduler.Cancel(c.now, m.Call)
		delete(c.callShards, m.Call)
	}
	c.applyStore(id, effects)
	if retry && refusal != nil && c.stores[id] == owned {
		c.scheduler.Cancel(c.now, m.Call)
		delete(c.callShards, m.Call)
		c.applyStore(id, owned.store.Refuse(c.now, m.Call, refusal))
		return
	}
	if retry {
		c.out.Retried = append(c.out.Retried, string(m.Kind))
	}
}

func failureKind(kind program.FailKind) schedule.FailureKind {
	switch kind {
	case program.FailCrashed:
		return schedule.FailureCrash
	case program.FailUnreachable:
		return schedule.FailureUnreachable
	case program.FailRefused, program.FailNotSent:
		return schedule.FailureNotRun
	default:
		return schedule.FailureError
	}
}

func (c *Controller) endProgram(in EndProgram) {
	id := c.newRequestID()
	c.sendToOwner(id, in.Ticket, in.Program, &program.EndProgram{Request: id, From: c.config.VM, Program: in.Program})
}

func (c *Controller) getProgram(in GetProgram) {
	id := c.newRequestID()
	c.sendToOwner(id, in.Ticket, in.Program, &program.GetProgram{Request: id, From: c.config.VM, Program: in.Program})
}

func (c *Controller) newRequestID() domain.CallID {
	c.callers.next++
	return domain.CallID(requestIDPrefix + string(c.config.VM) + "-" + formatUint(c.config.Incarnation) + "-" + formatUint(c.callers.next))
}

const requestIDPrefix = "question-"

func (c *Controller) sendToOwner(id domain.CallID, t Ticket, p domain.ProgramID, m domain.Message) {
	r := &programRequest{ticket: t, program: p, message: m, startedAt: c.now}
	c.callers.programRequests[id] = r
	c.sendProgramRequest(r)
}

func (c *Controller) sendProgramRequest(r *programRequest) {
	owner, _ := directory{c}.Owner(r.program)
	r.sentAt = c.now
	c.send(domain.Send{To: owner, Body: r.message})
}

func (c *Controller) programReply(m domain.Message) {
	var id domain.CallID
	switch m := m.(type) {
	case *program.EndProgramReply:
		id = m.Request
	case *program.GetProgramReply:
		id = m.Request
	}
	if r := c.callers.programRequests[id]; r != nil {
		delete(c.callers.programRequests, id)
		c.reply(r.ticket, m, true)
	}
}

func (c *Controller) tickProgramRequests() {
	for id, r := range c.callers.programRequests {
		switch {
		case c.now.Sub(r.startedAt) >= programReplyTimeout:
			delete(c.callers.programRequests, id)
			c.reply(r.ticket, domain.NotRun(domain.ReasonUnreachable, "the owner of program %s cannot be reached; send the request again", r.program.Name).After(time.Second), true)
		case c.now.Sub(r.sentAt) >= programRetryInterval:
			c.sendProgramRequest(r)
		}
	}
}
