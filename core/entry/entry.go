// Package entry tracks the calls that this VM runs for its callers. It finds the
// owner of each call's program, resends requests until the owner answers, and
// starts each attempt at most once. Only the entry VM sends a call to a target, so
// it knows whether the call was sent.
package entry

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/program"
)

const (
	// resendInterval is the time after which an unanswered message to the owner is
	// resent. It exceeds a round trip between regions plus the owner's disk sync.
	resendInterval = 500 * time.Millisecond
	// ownerTimeout is the maximum wait for an owner that is dead or unknown. It
	// exceeds the time in which a backup takes over.
	ownerTimeout = 10 * time.Second
	// startTimeout is the maximum wait for the first attempt, including the time
	// in queues.
	startTimeout = 2 * time.Minute
	// reportTimeout is the maximum wait for the owner's answer to a report.
	reportTimeout = 30 * time.Second
)

// Directory returns the owner of a program's shard, or "" if it is unknown. Alive
// is false while membership considers the owner dead.
type Directory interface {
	Owner(id domain.ProgramID) (vm domain.VM, alive bool)
}

// Event instructs the traffic goroutine of a call. Exactly one field besides Call
// is set.
type Event struct {
	Call domain.CallID
	// Start starts one attempt.
	Start *program.StartCall
	// Committed ends the call: its turn was stored and charged.
	Committed *program.CallCommitted
	// Refused ends the call with a refusal.
	Refused *domain.Refusal
	// Cancel stops the attempt. The traffic goroutine then reports the failure.
	Cancel domain.Reason
}

// Effects holds the messages to send and the events to deliver.
type Effects struct {
	Sends  []domain.Send
	Events []Event
}

// phase is the state of a call's life cycle.
type phase int

const (
	// phaseWaiting means that the owner was asked to run the call and has not
	// dispatched an attempt.
	phaseWaiting phase = iota
	// phaseRunning means that an attempt is in progress on the traffic goroutine.
	phaseRunning
	// phaseReporting means that the owner's answer to FinishCall or FailCall is
	// pending.
	phaseReporting
)

// callState is the state of a call that has not ended.
type callState struct {
	begin        program.BeginCall
	phase        phase
	phaseStarted time.Time
	// report is resent until the owner answers.
	report domain.Message
	sentTo domain.VM
	sentAt time.Time
	// ownerAliveAt is the last time at which the owner was considered alive.
	ownerAliveAt time.Time
	// maybeSent reports whether an attempt may have reached a target.
	maybeSent bool
	// cancelled is the refusal of a call that was cancelled while its report was
	// pending, or nil. No further attempt of such a call is started.
	cancelled *domain.Refusal
}

// Calls is the state machine of the calls that entered at one VM. It is not safe
// for concurrent use.
type Calls struct {
	self      domain.VM
	directory Directory
	calls     map[domain.CallID]*callState
	// order lists the calls by arrival, which makes the order of resends
	// deterministic.
	order    []domain.CallID
	nextTick time.Time
	effects  Effects
}

// New returns the state of a VM without calls.
func New(self domain.VM, directory Directory) *Calls {
	return &Calls{self: self, directory: directory, calls: map[domain.CallID]*callState{}}
}

// Len returns the number of calls that have not ended.
func (c *Calls) Len() int { return len(c.calls) }

// Begin registers a call and asks the owner to run it. It sets the Entry field of
// the request.
func (c *Calls) Begin(now time.Time, begin program.BeginCall) Effects {
	begin.Entry = c.self
	call := &callState{begin: begin, phaseStarted: now, ownerAliveAt: now}
	c.calls[begin.Call] = call
	c.order = append(c.order, begin.Call)
	c.transmit(now, call)
	return c.takeEffects()
}

// Step handles a message from an owner.
func (c *Calls) Step(now time.Time, from domain.VM, message domain.Message) Effects {
	switch m := message.(type) {
	case *program.StartCall:
		c.onStart(now, from, m)
	case *program.CallCommitted:
		if call := c.calls[m.Call]; call != nil {
			c.end(m.Call, Event{Call: m.Call, Committed: m})
		}
	case *program.CallRefused:
		if call := c.calls[m.Call]; call != nil {
			refusal := m.Refusal
			if call.cancelled != nil {
				refusal.Reason, refusal.Remedy = call.cancelled.Reason, call.cancelled.Remedy
			}
			c.end(m.Call, Event{Call: m.Call, Refused: &refusal})
		}
	case *program.CancelCall:
		c.onCancel(now, from, m)
	}
	return c.takeEffects()
}

// onStart starts each attempt once. An unknown call has ended, or belonged to an
// earlier process of this VM that may have sent it.
func (c *Calls) onStart(now time.Time, from domain.VM, m *program.StartCall) {
	call := c.calls[m.Call]
	if call == nil {
		c.send(from, &program.FailCall{Call: m.Call, Entry: c.self, Program: m.Program, Attempt: m.Attempt, Kind: program.FailEntryDead, Target: m.Target})
		return
	}
	call.ownerAliveAt = now
	if m.Attempt <= call.begin.Attempts {
		return
	}
	if call.cancelled != nil {
		// The owner has a record of whether an earlier attempt may have run.
		call.begin.Attempts = m.Attempt
		c.setReport(now, m.Call, &program.FailCall{Call: m.Call, Entry: c.self, Program: m.Program, Attempt: m.Attempt, Kind: program.FailNotSent, Target: m.Target})
		return
	}
	call.begin.Attempts, call.phase, call.report, call.maybeSent = m.Attempt, phaseRunning, nil, true
	c.effects.Events = append(c.effects.Events, Event{Call: m.Call, Start: m})
}

func (c *Calls) onCancel(now time.Time, from domain.VM, m *program.CancelCall) {
	call := c.calls[m.Call]
	switch {
	case call == nil:
		c.send(from, &program.FailCall{Call: m.Call, Entry: c.self, Program: m.Program, Kind: program.FailEntryDead})
	case call.phase == phaseRunning:
		c.effects.Events = append(c.effects.Events, Event{Call: m.Call, Cancel: m.Reason})
	case call.phase == phaseReporting:
		c.transmit(now, call)
	}
}

// Finish reports a complete answer, whose bytes must be stored already, to the
// owner.
func (c *Calls) Finish(now time.Time, m program.FinishCall) Effects {
	m.Entry = c.self
	c.setReport(now, m.Call, &m)
	return c.takeEffects()
}

// Fail reports an attempt without a complete answer to the owner.
func (c *Calls) Fail(now time.Time, m program.FailCall) Effects {
	m.Entry = c.self
	if call := c.calls[m.Call]; call != nil && m.Kind == program.FailNotSent {
		call.maybeSent = false
	}
	c.setReport(now, m.Call, &m)
	return c.takeEffects()
}

// setReport sends a report to the owner and resends it until the owner answers.
func (c *Calls) setReport(now time.Time, id domain.CallID, m domain.Message) {
	call := c.calls[id]
	if call == nil {
		return
	}
	call.phase, call.report, call.phaseStarted, call.ownerAliveAt = phaseReporting, m, now, now
	c.transmit(now, call)
}

// CallerDisconnected ends a call that has not started, because its caller closed
// the connection. It has no effect on a call that has started.
func (c *Calls) CallerDisconnected(id domain.CallID) Effects {
	call := c.calls[id]
	if call == nil || call.phase != phaseWaiting {
		return Effects{}
	}
	c.abandon(id, call, domain.NotRun(domain.ReasonCallerGone, "the caller closed its connection before the call started"))
	return c.takeEffects()
}

// Cancel cancels a call on this VM's decision, such as for a withdrawn key. A call
// that has not started is refused. The attempt of a running call is stopped and
// reported. A call whose attempt has ended still gets its answer, but no retry.
func (c *Calls) Cancel(id domain.CallID, refusal *domain.Refusal) Effects {
	call := c.calls[id]
	switch {
	case call == nil:
	case call.phase == phaseRunning:
		c.effects.Events = append(c.effects.Events, Event{Call: id, Cancel: refusal.Reason})
	case call.phase == phaseWaiting:
		c.abandon(id, call, refusal)
	case call.phase == phaseReporting:
		call.cancelled = refusal
	}
	return c.takeEffects()
}

// abandon ends a waiting call and notifies the owner.
func (c *Calls) abandon(id domain.CallID, call *callState, refusal *domain.Refusal) {
	if owner, _ := c.directory.Owner(call.begin.Program); owner != "" {
		c.send(owner, &program.CallEnded{Call: id, Entry: c.self, Program: call.begin.Program})
	}
	c.end(id, Event{Call: id, Refused: refusal})
}

// OwnersChanged resends pending messages to owners that changed with the
// configuration, without waiting for the resend interval.
func (c *Calls) OwnersChanged(now time.Time) Effects {
	for _, id := range c.order {
		call := c.calls[id]
		if owner, _ := c.directory.Owner(call.begin.Program); call.phase != phaseRunning && owner != call.sentTo {
			c.transmit(now, call)
		}
	}
	return c.takeEffects()
}

// Resend resends the pending messages of the selected programs.
func (c *Calls) Resend(now time.Time, selected func(domain.ProgramID) bool) Effects {
	for _, id := range c.order {
		if call := c.calls[id]; call.phase != phaseRunning && selected(call.begin.Program) {
			c.transmit(now, call)
		}
	}
	return c.takeEffects()
}

// Tick resends unanswered messages and ends calls whose wait has timed out.
func (c *Calls) Tick(now time.Time) Effects {
	for _, id := range slices.Clone(c.order) {
		call := c.calls[id]
		if call.phase == phaseRunning {
			continue
		}
		if refusal := c.expired(now, call); refusal != nil {
			c.end(id, Event{Call: id, Refused: refusal})
			continue
		}
		if now.Sub(call.sentAt) >= resendInterval {
			c.transmit(now, call)
		}
	}
	c.nextTick = now.Add(resendInterval)
	return c.takeEffects()
}

// expired returns the refusal of a call whose wait has timed out, or nil. A call
// that was not sent has not run, with one exception: a run-once call with an
// idempotency key may repeat an earlier request that did run.
func (c *Calls) expired(now time.Time, call *callState) *domain.Refusal {
	if _, alive := c.directory.Owner(call.begin.Program); alive {
		call.ownerAliveAt = now
	}
	limit := startTimeout
	if call.phase == phaseReporting {
		limit = reportTimeout
	}
	if now.Sub(call.ownerAliveAt) < ownerTimeout && now.Sub(call.phaseStarted) < limit {
		return nil
	}
	if call.maybeSent {
		return domain.Unknown(domain.ReasonUnreachable, "the owner of program %s cannot be reached, so the answer could not be stored; ask for the outcome with the same Idempotency-Key", call.begin.Program.Name).After(time.Second)
	}
	if call.begin.RunOnce && call.begin.Key != "" {
		return domain.Unknown(domain.ReasonUnreachable, "the owner of program %s cannot be reached; an earlier request with this Idempotency-Key may have run, so send it again with the same key", call.begin.Program.Name).After(time.Second)
	}
	return domain.NotRun(domain.ReasonUnreachable, "the owner of program %s cannot be reached; send the request again", call.begin.Program.Name).After(time.Second)
}

// NextWake returns the time at which Tick is due, or the zero time if there are no
// calls.
func (c *Calls) NextWake() time.Time {
	if len(c.calls) == 0 {
		return time.Time{}
	}
	return c.nextTick
}

// AwaitedOwners returns the VMs whose answers are pending. It includes "" if the
// owner of a call is unknown.
func (c *Calls) AwaitedOwners() []domain.VM {
	var out []domain.VM
	for _, id := range c.order {
		if call := c.calls[id]; call.phase != phaseRunning && !slices.Contains(out, call.sentTo) {
			out = append(out, call.sentTo)
		}
	}
	return out
}

// transmit sends the call's report, or without one its request, to the owner.
func (c *Calls) transmit(now time.Time, call *callState) {
	if c.nextTick.Before(now) {
		c.nextTick = now.Add(resendInterval)
	}
	owner, _ := c.directory.Owner(call.begin.Program)
	call.sentTo, call.sentAt = owner, now
	if owner == "" {
		return
	}
	if call.report != nil {
		c.send(owner, call.report)
		return
	}
	begin := call.begin
	c.send(owner, &begin)
}

func (c *Calls) end(id domain.CallID, event Event) {
	delete(c.calls, id)
	if i := slices.Index(c.order, id); i >= 0 {
		c.order = slices.Delete(c.order, i, i+1)
	}
	c.effects.Events = append(c.effects.Events, event)
}

func (c *Calls) send(to domain.VM, m domain.Message) {
	c.effects.Sends = append(c.effects.Sends, domain.Send{To: to, Body: m})
}

// takeEffects returns the collected effects and clears them.
func (c *Calls) takeEffects() Effects {
	out := c.effects
	c.effects = Effects{}
	return out
}

// ProgramName returns the full name of the program of a request, and whether the
// program ends with this call. An empty name stands for a program of one call,
// and "new" for a new program. The random text must be unique, and dc must be the
// entry VM's data centre.
func ProgramName(name, parent domain.ProgramName, idempotencyKey, random string, dc domain.DataCentre) (domain.ProgramName, bool) {
	const newName domain.ProgramName = "new"
	singleCall := name == ""
	switch {
	case singleCall && idempotencyKey != "":
		// The name is derived from the key, so that a resend through another VM
		// finds the same program.
		name = domain.ProgramName("call-" + hashIdempotencyKey(idempotencyKey))
	case singleCall:
		name = domain.NameWithHome("call-"+random, dc)
	case name == newName && parent == "":
		name = domain.NameWithHome("program-"+random, dc)
	case name == newName:
		name = domain.ProgramName("program-" + random)
	}
	if parent != "" && !strings.HasPrefix(string(name), string(parent)+"/") {
		name = parent.Child(name)
	}
	return name, singleCall
}

func hashIdempotencyKey(text string) string {
	return fmt.Sprintf("%016x", domain.Hash64("idempotency", text))
}
