package controller

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/program"
)

// killDelays returns the times after the start of a call at which VMs are killed.
// They cover each message and write of a call.
func killDelays() []time.Duration {
	var out []time.Duration
	for d := time.Duration(0); d < 16*time.Millisecond; d += 2 * time.Millisecond {
		out = append(out, d)
	}
	return append(out, 40*time.Millisecond, 55*time.Millisecond, 65*time.Millisecond)
}

// Guards against calls of one program that run concurrently or out of order when
// they arrive through different entry VMs and the owner fails.
func TestProgramOrder(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 41, 3, 2)
	w.setUp()
	inFlight, order := map[domain.CallID]bool{}, []domain.CallID(nil)
	w.engine = func(v *vm, start *program.StartCall) {
		inFlight[start.Call] = true
		must.MapLen(t, 1, inFlight)
		if len(order) == 0 || order[len(order)-1] != start.Call {
			order = append(order, start.Call)
		}
		w.after(100*time.Millisecond, func() { delete(inFlight, start.Call) })
		w.answer(v, start, 100*time.Millisecond)
	}
	var tickets []Ticket
	through := []domain.VM{"a1", "c2", "a2", "c1"}
	var calls []domain.CallID
	for i := range 8 {
		vm := through[i%len(through)]
		tickets = append(tickets, w.call(vm, chat("p@b")))
		calls = append(calls, domain.CallID(fmt.Sprintf("call-%d", w.tickets)))
		w.run(20 * time.Millisecond)
	}
	w.run(150 * time.Millisecond)
	owner, _ := w.owner("a1", chat("p@b").Program)
	w.kill(owner)
	seen := map[int]bool{}
	for i, ticket := range tickets {
		turn, err := w.finish(through[i%len(through)], ticket, 15*time.Second)
		must.NoError(t, err)
		must.False(t, seen[turn])
		seen[turn] = true
	}
	// Calls that were only queued at the failed owner are resent by their entry VMs,
	// so they run in the order of their arrival at the new owner.
	must.Eq(t, calls[:3], order[:3])
	must.SliceLen(t, len(calls), order)
}

// runOnceCallWithKills starts a run-once call at entry VM a2 and kills the victims
// after the delay. It returns the world, the ticket and the id of the call.
func runOnceCallWithKills(t *testing.T, seed uint64, delay time.Duration, victims func(w *world, entry, owner domain.VM) []domain.VM) (*world, Ticket, domain.CallID) {
	w := newWorld(t, seed, 3, 2)
	w.setUp()
	w.turn("a2", "p@b", takeoverBound)
	begin := chat("p@b")
	begin.Call, begin.RunOnce, begin.Key = "once", true, "idempotency"
	owner, _ := w.owner("a2", begin.Program)
	ticket := w.call("a2", begin)
	w.after(delay, func() { w.kill(victims(w, "a2", owner)...) })
	w.run(20 * time.Second)
	return w, ticket, begin.Call
}

// Guards against a refusal with the outcome "not run" for a call that was sent to
// a target. The owner is killed at each step of the call.
func TestNotRunIsTrueWhenOwnerDies(t *testing.T) {
	t.Parallel()
	for i, step := range killDelays() {
		w, ticket, call := runOnceCallWithKills(t, 50, step, func(_ *world, _, owner domain.VM) []domain.VM { return []domain.VM{owner} })
		_, refused, ended := w.vms["a2"].outcome(ticket)
		must.True(t, ended, must.Sprint(i, step))
		must.LessEq(t, 1, w.attempts(call))
		if refused != nil && refused.Outcome == domain.OutcomeNotRun {
			must.Eq(t, 0, w.attempts(call), must.Sprint(step, refused))
		}
	}
}

// Guards against a second execution of a run-once request that is resent with its
// idempotency key after the failure of its entry VM, its owner or both.
func TestRunOnceWhenVMsDie(t *testing.T) {
	t.Parallel()
	victims := map[string]func(*world, domain.VM, domain.VM) []domain.VM{
		"entry": func(_ *world, entry, _ domain.VM) []domain.VM { return []domain.VM{entry} },
		"owner": func(_ *world, _, owner domain.VM) []domain.VM { return []domain.VM{owner} },
		"both":  func(_ *world, entry, owner domain.VM) []domain.VM { return []domain.VM{entry, owner} },
	}
	for name, kill := range victims {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, step := range killDelays() {
				w, _, call := runOnceCallWithKills(t, 51, step, kill)
				sent := w.attempts(call)
				must.LessEq(t, 1, sent)
				again := chat("p@b")
				again.Call, again.RunOnce, again.Key = "again", true, "idempotency"
				turn, err := w.finish("c1", w.call("c1", again), 20*time.Second)
				must.LessEq(t, 1, sent+w.attempts(again.Call), must.Sprint(step))
				refusal, refused := domain.AsRefusal(err)
				switch {
				case refused:
					must.Eq(t, domain.OutcomeUnknown, refusal.Outcome, must.Sprint(step, refusal))
				default:
					must.NoError(t, err, must.Sprint(step, turn))
				}
				w.turn("c1", "p@b", takeoverBound)
			}
		})
	}
}

// Guards against an interrupted call, a lost turn or a second owner during planned
// stops of all VMs one after another under load.
func TestDrainCutsNothing(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 42, 3, 2)
	w.setUp()
	w.watch(50 * time.Millisecond)
	l := newLoad(w, 9)
	for _, name := range w.names {
		w.drain(l, name, "")
	}
	l.stop()
	must.Positive(t, l.committed)
	must.SliceEmpty(t, l.refusals, must.Sprint(l.refusals[:min(3, len(l.refusals))]))
}

// Guards against a planned stop that hangs or loses turns because the VM that
// takes over the shards fails during the drain.
func TestDrainWhilePeerDies(t *testing.T) {
	t.Parallel()
	for _, delay := range []time.Duration{0, 3, 10, 100, 500} {
		w := newWorld(t, 43, 3, 3)
		w.setUp()
		w.watch(50 * time.Millisecond)
		l := newLoad(w, 9)
		w.after(delay*time.Millisecond, func() { w.kill("b2") })
		w.drain(l, "b1", "b2")
		l.stop()
		for _, r := range l.refusals {
			must.Eq(t, domain.OutcomeNotRun, r.Outcome, must.Sprint(r))
		}
	}
}

// drain stops a VM like the daemon does and starts it again: it stops new calls,
// hands over the shards, finishes the in-flight calls and exits.
func (w *world) drain(l *load, name, dead domain.VM) {
	w.t.Helper()
	v := w.vms[name]
	l.avoid[name], l.avoid[dead] = true, true
	w.tickets++
	ticket := w.tickets
	v.step(Drain{Ticket: ticket})
	must.True(w.t, w.until(20*time.Second, func() bool {
		return len(v.replies[ticket]) > 0 && v.ctl.calls.Len() == 0
	}), must.Sprint(name, " does not drain at ", w.now))
	v.kill()
	w.run(2 * time.Second)
	v.start()
	must.True(w.t, w.until(20*time.Second, func() bool { return v.state.Serving }))
	delete(l.avoid, name)
	w.run(5 * time.Second)
}

// Guards against a configuration that reverts or stays outdated after a restart of
// all VMs, and against resent or concurrent changes that are applied twice.
func TestConfigurationNeverReverts(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 44, 3, 2)
	w.setUp()
	put := func(i int) *config.PutAccount {
		return &config.PutAccount{Account: config.AccountSpec{Name: "other", RatePerSecond: float64(i), Burst: 1, Weight: 1}}
	}
	var last uint64
	for i := range 300 {
		reply := w.change(w.names[i%len(w.names)], fmt.Sprintf("put-%d", i), put(i+1))
		must.Nil(t, reply.Refusal)
		must.Greater(t, last, reply.Version)
		last = reply.Version
	}
	inForce := func(rate float64) bool {
		for _, v := range w.vms {
			if a := v.view.Account("other"); v.up && (a == nil || a.RatePerSecond != rate) {
				return false
			}
		}
		return true
	}
	must.True(t, w.until(forceBound, func() bool { return inForce(300) }))
	w.kill(w.names...)
	w.run(time.Second)
	w.restart(w.names...)
	must.True(t, w.until(20*time.Second, func() bool {
		for _, v := range w.vms {
			if !v.state.Serving {
				return false
			}
			must.Eq(t, 300, v.view.Account("other").RatePerSecond)
		}
		return true
	}))

	w.kill("b2")
	must.Nil(t, w.change("a2", "one-dead", put(301)).Refusal)
	must.True(t, w.until(forceBound, func() bool { return inForce(301) }))

	base := w.vms["a1"].view.Version()
	var tickets []Ticket
	for i, vm := range []domain.VM{"a1", "c2"} {
		w.tickets++
		tickets = append(tickets, w.tickets)
		w.vms[vm].step(Change{Ticket: w.tickets, Change: config.Change{Operation: domain.OperationID(fmt.Sprint("race-", i)), Base: base, Command: put(400 + i)}})
	}
	w.run(forceBound)
	first, second := w.vms["a1"].replies[tickets[0]][0].Body.(ChangeReply), w.vms["c2"].replies[tickets[1]][0].Body.(ChangeReply)
	must.True(t, (first.Refusal == nil) != (second.Refusal == nil), must.Sprint(first, second))
	rate := 400.0
	if second.Refusal == nil {
		rate = 401
	}
	must.True(t, inForce(rate))

	// The VM that forwards a change fails before it passes on the reply.
	w.vms["c2"].step(Change{Ticket: 1 << 40, Change: config.Change{Operation: "lost-answer", Command: put(500)}})
	w.run(3 * time.Millisecond)
	w.kill("c2")
	must.True(t, w.until(forceBound, func() bool { return inForce(500) }))
	applied := w.change("a1", "newer", put(501))
	must.Nil(t, applied.Refusal)
	resent := w.change("a2", "lost-answer", put(500))
	must.Nil(t, resent.Refusal)
	must.Less(t, applied.Version, resent.Version)
	w.run(forceBound)
	must.True(t, inForce(501))
}
