// Package entry follows the calls that this VM runs for its callers: it finds
// the owner of each call's program, repeats requests until the owner answers,
// and starts each attempt at most once. Only the entry VM sends a call to a
// target, so it knows whether a call was sent.
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
	// resendInterval repeats an unanswered message to the owner. It is above a
	// round trip between regions and the owner's disk sync.
	resendInterval = 500 * time.Millisecond
	// ownerTimeout bounds the wait for an owner that is dead or unknown. It
	// exceeds the time of a takeover.
	ownerTimeout = 10 * time.Second
	// startTimeout bounds the wait for the first attempt, queueing included.
	startTimeout = 2 * time.Minute
	// reportTimeout bounds the wait for the answer to a finished call.
	reportTimeout = 30 * time.Second
)

// Directory finds the owner of a program. Alive is false while membership
// believes that the owner is dead.
type Directory interface {
	Owner(id domain.ProgramID) (vm domain.VM, alive bool)
}

// Event tells the traffic side how a call goes on. Exactly one of the fields
// besides Call is set.
type Event struct {
	Call domain.CallID
	// Start orders one attempt.
	Start *program.StartCall
	// Committed ends the call: its turn is stored and charged.
	Committed *program.CallCommitted
	// Refused ends the call.
	Refused *domain.Refusal
	// Cancel orders the attempt to stop; the traffic side reports the failure.
	Cancel domain.Reason
}

// Effects are the results of one step.
type Effects struct {
	Sends  []domain.Send
	Events []Event
}

// phase is the part of its life that a call is in.
type phase int

const (
	// phaseWaiting calls have asked the owner and no attempt was ordered.
	phaseWaiting phase = iota
	// phaseRunning calls have an attempt on the traffic side.
	phaseRunning
	// phaseReporting calls wait for the owner's answer to FinishCall or FailCall.
	phaseReporting
)

type callState struct {
	begin        program.BeginCall
	phase        phase
	phaseStarted time.Time
	// report is repeated until the owner answers.
	report domain.Message
	sentTo domain.VM
	sentAt time.Time
	// ownerAliveAt is the last time at which the owner was believed alive.
	ownerAliveAt time.Time
	// maybeSent says that an attempt may have reached a target.
	maybeSent bool
	// cancelled is the reason of this VM to start no further attempt.
	cancelled *domain.Refusal
}

// Calls holds the calls of one VM. It is not safe for concurrent use.
type Calls struct {
	self      domain.VM
	directory Directory
	calls     map[domain.CallID]*callState
	// order lists the calls by arrival, so that resends are deterministic.
	order    []domain.CallID
	nextTick time.Time
	effects  Effects
}

// New returns a state without calls.
func New(self domain.VM, directory Directory) *Calls {
	return &Calls{self: self, directory: directory, calls: map[domain.CallID]*callState{}}
}

// Len returns the number of calls that have not ended.
func (c *Calls) Len() int { return len(c.calls) }

// Begin asks the owner to run a call.
func (c *Calls) Begin(now time.Time, begin program.BeginCall) Effects {
	begin.Entry = c.self
	call := &callState{begin: begin, phaseStarted: now, ownerAliveAt: now}
	c.calls[begin.Call] = call
	c.order = append(c.order, begin.Call)
	c.transmit(now, call)
	return c.takeEffects()
}

// Step handles a message of an owner.
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

// onStart accepts each attempt once. A call that is not known here ended, or
// belonged to an earlier process of this VM that may have sent it.
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
		// The owner knows whether an earlier attempt may have run.
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

// Finish reports a whole answer whose bytes are stored.
func (c *Calls) Finish(now time.Time, m program.FinishCall) Effects {
	m.Entry = c.self
	c.setReport(now, m.Call, &m)
	return c.takeEffects()
}

// Fail reports an attempt without an answer.
func (c *Calls) Fail(now time.Time, m program.FailCall) Effects {
	m.Entry = c.self
	if call := c.calls[m.Call]; call != nil && m.Kind == program.FailNotSent {
		call.maybeSent = false
	}
	c.setReport(now, m.Call, &m)
	return c.takeEffects()
}

func (c *Calls) setReport(now time.Time, id domain.CallID, m domain.Message) {
	call := c.calls[id]
	if call == nil {
		return
	}
	call.phase, call.report, call.phaseStarted, call.ownerAliveAt = phaseReporting, m, now, now
	c.transmit(now, call)
}

// CallerDisconnected says that the caller of a call that waits has closed its connection.
func (c *Calls) CallerDisconnected(id domain.CallID) Effects {
	call := c.calls[id]
	if call == nil || call.phase != phaseWaiting {
		return Effects{}
	}
	c.abandon(id, call, domain.NotRun(domain.ReasonCallerGone, "the caller closed its connection before the call started"))
	return c.takeEffects()
}

// Cancel ends a call for a reason of this VM, such as a withdrawn key. A call
// that has not started is refused; the attempt of a started one is stopped and
// reported. A call whose attempt has ended gets its answer, but no retry.
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

// abandon ends a waiting call and tells the owner.
func (c *Calls) abandon(id domain.CallID, call *callState, refusal *domain.Refusal) {
	if owner, _ := c.directory.Owner(call.begin.Program); owner != "" {
		c.send(owner, &program.CallEnded{Call: id, Entry: c.self, Program: call.begin.Program})
	}
	c.end(id, Event{Call: id, Refused: refusal})
}

// OwnersChanged sends what waits for an owner to the new owners at once, after the
// configuration changed.
func (c *Calls) OwnersChanged(now time.Time) Effects {
	for _, id := range c.order {
		call := c.calls[id]
		if owner, _ := c.directory.Owner(call.begin.Program); call.phase != phaseRunning && owner != call.sentTo {
			c.transmit(now, call)
		}
	}
	return c.takeEffects()
}

// Resend sends what waits for the owners of the selected programs again.
func (c *Calls) Resend(now time.Time, selected func(domain.ProgramID) bool) Effects {
	for _, id := range c.order {
		if call := c.calls[id]; call.phase != phaseRunning && selected(call.begin.Program) {
			c.transmit(now, call)
		}
	}
	return c.takeEffects()
}

// Tick repeats what is unanswered and ends calls whose owner stays away.
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

// expired returns the refusal of a call that has waited too long. A call
// without an attempt was not run by this request; a resend of a run-once call
// may stand for an earlier request that was.
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

// NextWake returns the time of the next Tick, or zero without calls.
func (c *Calls) NextWake() time.Time {
	if len(c.calls) == 0 {
		return time.Time{}
	}
	return c.nextTick
}

// AwaitedOwners lists the VMs whose answers calls wait for.
func (c *Calls) AwaitedOwners() []domain.VM {
	var out []domain.VM
	for _, id := range c.order {
		if call := c.calls[id]; call.phase != phaseRunning && !slices.Contains(out, call.sentTo) {
			out = append(out, call.sentTo)
		}
	}
	return out
}

// transmit sends the call's current message to the owner.
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

func (c *Calls) takeEffects() Effects {
	out := c.effects
	c.effects = Effects{}
	return out
}

// ProgramName returns the full name of the program that a request names, and
// whether the program ends with the call. The random text must be unique, and
// the data centre is the entry VM's.
func ProgramName(name, parent domain.ProgramName, idempotencyKey, random string, dc domain.DataCentre) (domain.ProgramName, bool) {
	const newName domain.ProgramName = "new"
	singleCall := name == ""
	switch {
	case singleCall && idempotencyKey != "":
		// The name follows from the key, so that a resend by another VM finds it.
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
