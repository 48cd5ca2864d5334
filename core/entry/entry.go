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
	// unreachableAfter bounds the wait for an owner that is dead or unknown. It
	// exceeds the time of a takeover.
	unreachableAfter = 10 * time.Second
	// beginLimit bounds the wait for the first attempt, queueing included.
	beginLimit = 2 * time.Minute
	// reportLimit bounds the wait for the answer to a finished call.
	reportLimit = 30 * time.Second
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
	// waiting calls have asked the owner and no attempt was ordered.
	waiting phase = iota
	// running calls have an attempt on the traffic side.
	running
	// reporting calls wait for the owner's answer to FinishCall or FailCall.
	reporting
)

type call struct {
	begin program.BeginCall
	phase phase
	since time.Time
	// report is repeated until the owner answers.
	report domain.Message
	sentTo domain.VM
	sentAt time.Time
	// ownerSeen is the last time at which the owner was believed alive.
	ownerSeen time.Time
	// sent says that an attempt may have reached a target.
	sent bool
	// cancelled is the reason of this VM to start no further attempt.
	cancelled *domain.Refusal
}

// Calls holds the calls of one VM. It is not safe for concurrent use.
type Calls struct {
	self      domain.VM
	directory Directory
	calls     map[domain.CallID]*call
	// order lists the calls by arrival, so that resends are deterministic.
	order []domain.CallID
	wake  time.Time
	out   Effects
}

// New returns a state without calls.
func New(self domain.VM, directory Directory) *Calls {
	return &Calls{self: self, directory: directory, calls: map[domain.CallID]*call{}}
}

// Len returns the number of calls that have not ended.
func (c *Calls) Len() int { return len(c.calls) }

// Begin asks the owner to run a call.
func (c *Calls) Begin(now time.Time, begin program.BeginCall) Effects {
	begin.Entry = c.self
	k := &call{begin: begin, since: now, ownerSeen: now}
	c.calls[begin.Call] = k
	c.order = append(c.order, begin.Call)
	c.transmit(now, k)
	return c.take()
}

// Step handles a message of an owner.
func (c *Calls) Step(now time.Time, from domain.VM, message domain.Message) Effects {
	switch m := message.(type) {
	case *program.StartCall:
		c.onStart(now, from, m)
	case *program.CallCommitted:
		if k := c.calls[m.Call]; k != nil {
			c.end(m.Call, Event{Call: m.Call, Committed: m})
		}
	case *program.CallRefused:
		if k := c.calls[m.Call]; k != nil {
			refusal := m.Refusal
			if k.cancelled != nil {
				refusal.Reason, refusal.Remedy = k.cancelled.Reason, k.cancelled.Remedy
			}
			c.end(m.Call, Event{Call: m.Call, Refused: &refusal})
		}
	case *program.CancelCall:
		c.onCancel(now, from, m)
	}
	return c.take()
}

// onStart accepts each attempt once. A call that is not known here ended, or
// belonged to an earlier process of this VM that may have sent it.
func (c *Calls) onStart(now time.Time, from domain.VM, m *program.StartCall) {
	k := c.calls[m.Call]
	if k == nil {
		c.send(from, &program.FailCall{Call: m.Call, Entry: c.self, Program: m.Program, Attempt: m.Attempt, Kind: program.FailEntryDead, Target: m.Target})
		return
	}
	k.ownerSeen = now
	if m.Attempt <= k.begin.Attempts {
		return
	}
	if k.cancelled != nil {
		// The owner knows whether an earlier attempt may have run.
		k.begin.Attempts = m.Attempt
		c.setReport(now, m.Call, &program.FailCall{Call: m.Call, Entry: c.self, Program: m.Program, Attempt: m.Attempt, Kind: program.FailNotSent, Target: m.Target})
		return
	}
	k.begin.Attempts, k.phase, k.report, k.sent = m.Attempt, running, nil, true
	c.out.Events = append(c.out.Events, Event{Call: m.Call, Start: m})
}

func (c *Calls) onCancel(now time.Time, from domain.VM, m *program.CancelCall) {
	k := c.calls[m.Call]
	switch {
	case k == nil:
		c.send(from, &program.FailCall{Call: m.Call, Entry: c.self, Program: m.Program, Kind: program.FailEntryDead})
	case k.phase == running:
		c.out.Events = append(c.out.Events, Event{Call: m.Call, Cancel: m.Reason})
	case k.phase == reporting:
		c.transmit(now, k)
	}
}

// Finish reports a whole answer whose bytes are stored.
func (c *Calls) Finish(now time.Time, m program.FinishCall) Effects {
	m.Entry = c.self
	c.setReport(now, m.Call, &m)
	return c.take()
}

// Fail reports an attempt without an answer.
func (c *Calls) Fail(now time.Time, m program.FailCall) Effects {
	m.Entry = c.self
	if k := c.calls[m.Call]; k != nil && m.Kind == program.FailNotSent {
		k.sent = false
	}
	c.setReport(now, m.Call, &m)
	return c.take()
}

func (c *Calls) setReport(now time.Time, id domain.CallID, m domain.Message) {
	k := c.calls[id]
	if k == nil {
		return
	}
	k.phase, k.report, k.since, k.ownerSeen = reporting, m, now, now
	c.transmit(now, k)
}

// Gone says that the caller of a call that waits has closed its connection.
func (c *Calls) Gone(id domain.CallID) Effects {
	k := c.calls[id]
	if k == nil || k.phase != waiting {
		return Effects{}
	}
	c.abandon(id, k, domain.NotRun(domain.ReasonCallerGone, "the caller closed its connection before the call started"))
	return c.take()
}

// Cancel ends a call for a reason of this VM, such as a withdrawn key. A call
// that has not started is refused; the attempt of a started one is stopped and
// reported. A call whose attempt has ended gets its answer, but no retry.
func (c *Calls) Cancel(id domain.CallID, refusal *domain.Refusal) Effects {
	k := c.calls[id]
	switch {
	case k == nil:
	case k.phase == running:
		c.out.Events = append(c.out.Events, Event{Call: id, Cancel: refusal.Reason})
	case k.phase == waiting:
		c.abandon(id, k, refusal)
	case k.phase == reporting:
		k.cancelled = refusal
	}
	return c.take()
}

// abandon ends a waiting call and tells the owner.
func (c *Calls) abandon(id domain.CallID, k *call, refusal *domain.Refusal) {
	if owner, _ := c.directory.Owner(k.begin.Program); owner != "" {
		c.send(owner, &program.CallEnded{Call: id, Entry: c.self, Program: k.begin.Program})
	}
	c.end(id, Event{Call: id, Refused: refusal})
}

// Moved sends what waits for an owner to the new owners at once, after the
// configuration changed.
func (c *Calls) Moved(now time.Time) Effects {
	for _, id := range c.order {
		k := c.calls[id]
		if owner, _ := c.directory.Owner(k.begin.Program); k.phase != running && owner != k.sentTo {
			c.transmit(now, k)
		}
	}
	return c.take()
}

// Resend sends what waits for the owners of the selected programs again.
func (c *Calls) Resend(now time.Time, selected func(domain.ProgramID) bool) Effects {
	for _, id := range c.order {
		if k := c.calls[id]; k.phase != running && selected(k.begin.Program) {
			c.transmit(now, k)
		}
	}
	return c.take()
}

// Tick repeats what is unanswered and ends calls whose owner stays away.
func (c *Calls) Tick(now time.Time) Effects {
	for _, id := range slices.Clone(c.order) {
		k := c.calls[id]
		if k.phase == running {
			continue
		}
		if refusal := c.expired(now, k); refusal != nil {
			c.end(id, Event{Call: id, Refused: refusal})
			continue
		}
		if now.Sub(k.sentAt) >= resendInterval {
			c.transmit(now, k)
		}
	}
	c.wake = now.Add(resendInterval)
	return c.take()
}

// expired returns the refusal of a call that has waited too long. A call
// without an attempt was not run by this request; a resend of a run-once call
// may stand for an earlier request that was.
func (c *Calls) expired(now time.Time, k *call) *domain.Refusal {
	if _, alive := c.directory.Owner(k.begin.Program); alive {
		k.ownerSeen = now
	}
	limit := beginLimit
	if k.phase == reporting {
		limit = reportLimit
	}
	if now.Sub(k.ownerSeen) < unreachableAfter && now.Sub(k.since) < limit {
		return nil
	}
	if k.sent {
		return domain.Unknown(domain.ReasonUnreachable, "the owner of program %s cannot be reached, so the answer could not be stored; ask for the outcome with the same Idempotency-Key", k.begin.Program.Name).After(time.Second)
	}
	if k.begin.RunOnce && k.begin.Key != "" {
		return domain.Unknown(domain.ReasonUnreachable, "the owner of program %s cannot be reached; an earlier request with this Idempotency-Key may have run, so send it again with the same key", k.begin.Program.Name).After(time.Second)
	}
	return domain.NotRun(domain.ReasonUnreachable, "the owner of program %s cannot be reached; send the request again", k.begin.Program.Name).After(time.Second)
}

// NextWake returns the time of the next Tick, or zero without calls.
func (c *Calls) NextWake() time.Time {
	if len(c.calls) == 0 {
		return time.Time{}
	}
	return c.wake
}

// Asked lists the VMs whose answers calls wait for.
func (c *Calls) Asked() []domain.VM {
	var out []domain.VM
	for _, id := range c.order {
		if k := c.calls[id]; k.phase != running && !slices.Contains(out, k.sentTo) {
			out = append(out, k.sentTo)
		}
	}
	return out
}

// transmit sends the call's current message to the owner.
func (c *Calls) transmit(now time.Time, k *call) {
	if c.wake.Before(now) {
		c.wake = now.Add(resendInterval)
	}
	owner, _ := c.directory.Owner(k.begin.Program)
	k.sentTo, k.sentAt = owner, now
	if owner == "" {
		return
	}
	if k.report != nil {
		c.send(owner, k.report)
		return
	}
	begin := k.begin
	c.send(owner, &begin)
}

func (c *Calls) end(id domain.CallID, event Event) {
	delete(c.calls, id)
	if i := slices.Index(c.order, id); i >= 0 {
		c.order = slices.Delete(c.order, i, i+1)
	}
	c.out.Events = append(c.out.Events, event)
}

func (c *Calls) send(to domain.VM, m domain.Message) {
	c.out.Sends = append(c.out.Sends, domain.Send{To: to, Body: m})
}

func (c *Calls) take() Effects {
	out := c.out
	c.out = Effects{}
	return out
}

// ProgramName returns the full name of the program that a request names, and
// whether the program ends with the call. The random text must be unique, and
// the data centre is the entry VM's.
func ProgramName(name, parent domain.ProgramName, idempotencyKey, random string, dc domain.DataCentre) (domain.ProgramName, bool) {
	const newName domain.ProgramName = "new"
	single := name == ""
	switch {
	case single && idempotencyKey != "":
		// The name follows from the key, so that a resend by another VM finds it.
		name = domain.ProgramName("call-" + hashText(idempotencyKey))
	case single:
		name = domain.NameWithHome("call-"+random, dc)
	case name == newName && parent == "":
		name = domain.NameWithHome("program-"+random, dc)
	case name == newName:
		name = domain.ProgramName("program-" + random)
	}
	if parent != "" && !strings.HasPrefix(string(name), string(parent)+"/") {
		name = parent.Child(name)
	}
	return name, single
}

func hashText(text string) string {
	return fmt.Sprintf("%016x", domain.Hash64("idempotency", text))
}
