package program

import (
	"crypto/sha256"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/ledger"
)

// Guards against two calls of a program in flight at once, and against a call
// that starts without a committed record, after resends and takeovers.
func TestProgramOrder(t *testing.T) {
	explore(t, settings(nil), func(t must.T, w *world) {
		inFlight := map[domain.ProgramID]domain.CallID{}
		for _, record := range w.log {
			switch r := record.(type) {
			case *CallStarted:
				must.Eq(t, "", inFlight[r.Begin.Program])
				inFlight[r.Begin.Program] = r.Begin.Call
			case *CallFinished:
				must.Eq(t, r.Call, inFlight[r.Program])
				delete(inFlight, r.Program)
			case *CallFailed:
				must.Eq(t, r.Call, inFlight[r.Program])
				delete(inFlight, r.Program)
			case *ProgramEnded:
				delete(inFlight, r.Program)
			}
		}
		for _, b := range w.started {
			found := false
			for _, record := range w.log[:w.committed] {
				s, ok := record.(*CallStarted)
				found = found || ok && s.Begin.Call == b.Call
			}
			must.True(t, found, must.Sprintf("%s was sent without a committed record", b.Call))
		}
	})
}

// Guards against calls that overtake earlier calls of their program.
func TestArrivalOrder(t *testing.T) {
	r := newRig(t, settings(nil))
	var calls []*BeginCall
	for i := range maxQueuedCalls + 1 {
		calls = append(calls, begin(fmt.Sprint(i), "p"))
		r.step(calls[i])
		r.step(calls[i])
	}
	r.step(begin("last", "p"))
	must.Eq(t, domain.ReasonOverloaded, r.refused().Reason)
	for _, b := range calls {
		must.Len(t, 1, r.ready)
		must.Eq(t, b.Call, r.ready[0].Call)
		must.True(t, r.place("t1", true))
		r.step(finish(b, 1, 1))
	}
	r.step(&GetProgram{Program: calls[0].Program})
	reply := r.last().(*GetProgramReply)
	must.Len(t, len(calls), reply.History)
	must.Eq(t, domain.Micros(11*len(calls)), reply.Spent)
}

// Guards against charges of a program and its sub-agents beyond its budget, and
// against calls that are charged twice or without a turn.
func TestProgramBudget(t *testing.T) {
	const budget = 45
	explore(t, settings(func(a *config.AccountSpec, _ *config.PresetSpec) { a.ProgramBudget = budget }), func(t must.T, w *world) {
		spent := map[domain.ProgramName]domain.Micros{}
		var total domain.Micros
		charged := map[domain.CallID]bool{}
		for _, record := range w.log {
			if f, ok := record.(*CallFinished); ok {
				must.False(t, charged[f.Call])
				charged[f.Call] = true
				total += f.Charge.Amount
				spent[f.Program.Name] += f.Charge.Amount
				if f.Program.Name == "child" {
					spent["p"] += f.Charge.Amount
				}
			}
		}
		for name, amount := range spent {
			must.LessEq(t, budget, amount)
			must.Eq(t, amount, w.store.programs[domain.ProgramID{Account: account, Name: name}].spent)
		}
		must.Eq(t, total, w.store.Ledger().Charged(account, ledger.MonthOf(start)))
	})
}

// Guards against the outcome "not run" for a call that a target has received.
func TestNotRunOutcome(t *testing.T) {
	explore(t, settings(func(_ *config.AccountSpec, p *config.PresetSpec) { p.MaxTurns = 3 }), func(t must.T, w *world) {
		for id, m := range w.ended {
			if r, ok := m.(*CallRefused); ok && r.Refusal.Outcome == domain.OutcomeNotRun {
				must.Eq(t, 0, w.runs[id])
			}
		}
	})
	for name, refuse := range map[string]func(*rig, *BeginCall){
		"no target for the next attempt": func(r *rig, b *BeginCall) {
			r.apply(r.store.Refuse(r.now, b.Call, domain.NotRun(domain.ReasonNoTarget, "no target")))
		},
		"next attempt refused by the target": func(r *rig, b *BeginCall) {
			must.True(t, r.place("t2", true))
			refusal := failure(b, 2, FailRefused, "t2", 0)
			refusal.AnswerStarted = true
			r.step(refusal)
		},
		"limit at the new owner": func(r *rig, b *BeginCall) {
			r.view = settings(func(_ *config.AccountSpec, p *config.PresetSpec) { p.MaxTurns = 1 })
			r.takeover(0)
			resend := *b
			resend.Attempts = 1
			r.step(&resend)
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, settings(nil))
			r.run(begin("earlier", "p"), 1)
			b := begin("c", "p")
			r.step(b)
			r.place("t1", true)
			r.step(failure(b, 1, FailCrashed, "t1", 1))
			refuse(r, b)
			must.Eq(t, domain.OutcomeUnknown, r.refused().Outcome)
		})
	}
}

// Guards against a call that its target may have run and that is refused as not run, or run
// once more although it may run once only, because the target answered with a failure.
func TestErroredCallMayHaveRun(t *testing.T) {
	for _, runOnce := range []bool{false, true} {
		r := newRig(t, settings(nil))
		b := begin("c", "p")
		b.RunOnce = runOnce
		r.step(b)
		attempt := uint32(0)
		for r.place("t1", true) {
			attempt++
			r.step(failure(b, attempt, FailErrored, "t1", 0))
		}
		must.Eq(t, runOnce, attempt == 1)
		must.Eq(t, domain.OutcomeUnknown, r.refused().Outcome)
	}
}

// Guards against the commit of a replaced attempt, and against a key that stays
// in use when the owner stops between two attempts.
func TestReplacedAttempt(t *testing.T) {
	r := newRig(t, settings(nil))
	b := begin("c", "p")
	b.Key = "k"
	r.step(b)
	r.place("t1", true)
	r.step(failure(b, 1, FailCrashed, "t1", 1))
	r.place("t2", true)
	r.step(finish(b, 1, 1))
	must.Eq(t, domain.ReasonOutcomeUnknown, r.refused().Reason)
	must.Eq(t, 0, r.store.programs[b.Program].spent)
	r.step(failure(b, 2, FailRefused, "t2", 0))
	r.takeover(0)
	again := *b
	again.Call = "c2"
	r.step(&again)
	must.Len(t, 1, r.ready)
}

// Guards against a resend that runs a run-once call again after both copies of
// its record are lost.
func TestRunOnceWithoutRecord(t *testing.T) {
	r := newRig(t, settings(nil))
	b := begin("c", "p")
	b.RunOnce, b.Attempts = true, 1
	r.step(b)
	must.SliceEmpty(t, r.ready)
	must.Eq(t, domain.OutcomeUnknown, r.refused().Outcome)
}

// Guards against a call that continues after its caller has disconnected, its
// key was withdrawn or its account was disabled, and against a lost CancelCall.
func TestCancel(t *testing.T) {
	disabled := settings(func(a *config.AccountSpec, _ *config.PresetSpec) { a.Disabled = true })
	r := newRig(t, settings(nil))
	first, second := begin("c1", "p"), begin("c2", "p")
	r.step(first)
	r.step(second)
	r.step(&CallEnded{Call: "c1", Entry: entry})
	must.Len(t, 1, r.ready)
	must.True(t, r.place("t1", true))
	r.apply(r.store.Cancel(r.now, "c2", domain.ReasonKeyWithdrawn))
	want := &CancelCall{"c2", second.Program, domain.ReasonKeyWithdrawn}
	must.Eq(t, domain.Message(want), r.last())
	r.sent, r.now = nil, r.now.Add(cancelRetryInterval)
	r.apply(r.store.Tick(r.now))
	must.Eq(t, []domain.Message{want}, r.sent)
	r.step(failure(second, 1, FailCancelled, "t1", 0))
	must.Eq(t, domain.ReasonKeyWithdrawn, r.refused().Reason)
	must.Eq(t, 0, r.store.programs[second.Program].reserved)
	third := begin("c3", "p")
	r.step(third)
	r.place("t1", true)
	r.apply(r.store.Configure(r.now, disabled))
	must.Eq(t, domain.ReasonKeyWithdrawn, r.last().(*CancelCall).Reason)
	r.step(finish(third, 1, 1))
	must.Eq(t, domain.ReasonProgramEnded, r.refused().Reason)
	must.Eq(t, 0, r.store.programs[second.Program].spent)
	must.Eq(t, 0, r.vm.inFlightByAccount[account])
	must.MapEmpty(t, r.vm.inFlightByTarget)
}

// Guards against a second run of a run-once call or idempotency key, in random
// runs and after each step at which the owner can stop.
func TestRunOnce(t *testing.T) {
	explore(t, settings(nil), func(t must.T, w *world) {
		byKey := map[keyID]int{}
		for _, b := range w.begins {
			if b.RunOnce {
				must.LessEq(t, 1, w.runs[b.Call])
				byKey[keyID{b.Program, b.Key}] += w.runs[b.Call]
			}
		}
		for k, runs := range byKey {
			must.True(t, k.key == "" || runs <= 1, must.Sprintf("%v ran %d times", k, runs))
		}
	})
	for point := range 6 {
		for _, lost := range []int{0, 9} {
			r := newRig(t, settings(nil))
			b := begin("c", "p")
			b.RunOnce, b.Key = true, "k"
			w := &world{rig: r, begins: []*BeginCall{b}, attempts: map[domain.CallID]uint32{}, runs: map[domain.CallID]int{}, ended: map[domain.CallID]domain.Message{}}
			r.manualCommit = true
			for i, step := range []func(){
				func() { r.step(b) }, func() { r.commit(len(r.log)) }, func() { r.place("t1", true) },
				func() { r.commit(len(r.log)); w.receive() }, func() { w.finishSent(b) }, func() { r.commit(len(r.log)) },
			} {
				step()
				if i == point {
					r.takeover(lost)
				}
				resend := *b
				resend.Attempts = w.attempts["c"]
				r.step(&resend)
			}
			for range 9 {
				r.now = r.now.Add(time.Second)
				r.apply(r.store.Tick(r.now))
				r.commit(len(r.log))
				w.receive()
				r.place("t1", true)
				r.commit(len(r.log))
				w.receive()
				w.finishSent(b)
			}
			r.commit(len(r.log))
			w.receive()
			must.Eq(t, 1, w.runs["c"], must.Sprintf("stopped after step %d, %d records lost; answer %v", point, lost, w.ended["c"]))
			again := begin("c2", "p")
			again.RunOnce, again.Key, again.Fingerprint = true, "k", b.Fingerprint
			r.step(again)
			r.commit(len(r.log))
			must.Eq(t, finish(b, 1, 1).Answer, r.last().(*CallCommitted).Stored)
		}
	}
}

// Guards against reuse of a key with another body, a second run in parallel
// with the first, and a repeat after an unknown outcome.
func TestKeyReuse(t *testing.T) {
	r := newRig(t, settings(nil))
	keyed := func(call, body string) *BeginCall {
		b := begin(call, "p")
		b.Model, b.Route, b.RunOnce, b.Key, b.Fingerprint = "", "pay", true, "k", sha256.Sum256([]byte(body))
		return b
	}
	first := keyed("c1", "body")
	r.step(first)
	check := func(body string, reason domain.Reason, outcome domain.Outcome) {
		t.Helper()
		r.step(keyed("other", body))
		must.Eq(t, reason, r.refused().Reason)
		must.Eq(t, outcome, r.refused().Outcome)
	}
	check("body", domain.ReasonInProgress, domain.OutcomeUnknown)
	r.place("t1", true)
	r.takeover(0)
	check("body", domain.ReasonInProgress, domain.OutcomeUnknown)
	check("changed", domain.ReasonKeyReused, domain.OutcomeNotRun)
	r.apply(r.store.VMDead(r.now, entry))
	check("body", domain.ReasonOutcomeUnknown, domain.OutcomeUnknown)
	must.Eq(t, 0, r.store.programs[first.Program].spent)
	r.step(finish(first, 1, 1))
	must.Eq(t, domain.OutcomeUnknown, r.refused().Outcome, must.Sprint("a call of a VM that was declared dead was committed"))
	r.now = r.now.Add(keyRetention)
	r.apply(r.store.Tick(r.now))
	must.MapEmpty(t, r.store.keys)
	must.MapEmpty(t, r.store.done)
}

// Guards against limits that are not enforced or are reported with the wrong
// reason.
func TestLimits(t *testing.T) {
	type change = func(*config.AccountSpec, *config.PresetSpec)
	for _, test := range []struct {
		reason domain.Reason
		change change
		before int
		call   func(*rig, *BeginCall)
	}{
		{domain.ReasonTurnLimit, func(_ *config.AccountSpec, p *config.PresetSpec) { p.MaxTurns = 2 }, 2, nil},
		{domain.ReasonTimeLimit, func(_ *config.AccountSpec, p *config.PresetSpec) { p.MaxWallTime = time.Hour }, 1, func(r *rig, _ *BeginCall) { r.now = r.now.Add(time.Hour) }},
		{domain.ReasonRepeatedCall, func(_ *config.AccountSpec, p *config.PresetSpec) { p.MaxRepeatedCalls = 2 }, 2, nil},
		{domain.ReasonProgramBudget, func(a *config.AccountSpec, _ *config.PresetSpec) { a.ProgramBudget = 50 }, 3, nil},
		{domain.ReasonAccountBudget, func(a *config.AccountSpec, _ *config.PresetSpec) { a.MonthlyBudget = 50 }, 3, nil},
		{domain.ReasonSpendRate, func(_ *config.AccountSpec, p *config.PresetSpec) { p.DailySpendPermille = 0 }, 0, nil},
		{domain.ReasonConcurrency, func(a *config.AccountSpec, _ *config.PresetSpec) { a.Concurrency = 1 }, 0, func(r *rig, _ *BeginCall) { r.step(begin("other", "q")) }},
		{domain.ReasonNewPrograms, func(_ *config.AccountSpec, p *config.PresetSpec) { p.NewPrograms = false }, 0, nil},
		{domain.ReasonModelNotAllowed, func(_ *config.AccountSpec, p *config.PresetSpec) { p.AllowedModels = []domain.ModelName{"x"} }, 0, nil},
		{domain.ReasonKeyWithdrawn, func(a *config.AccountSpec, _ *config.PresetSpec) { a.Disabled = true }, 0, nil},
		{domain.ReasonModelUnknown, nil, 0, func(_ *rig, b *BeginCall) { b.Model = "x" }},
		{domain.ReasonRouteUnknown, nil, 0, func(_ *rig, b *BeginCall) { b.Model = "" }},
		{domain.ReasonProgramUnknown, nil, 0, func(_ *rig, b *BeginCall) { b.Parent = "missing" }},
		{domain.ReasonProgramEnded, nil, 1, func(r *rig, b *BeginCall) { r.step(&EndProgram{Program: b.Program}) }},
	} {
		t.Run(string(test.reason), func(t *testing.T) {
			r := newRig(t, settings(test.change))
			b := begin("c", "p")
			for i := range test.before {
				earlier := begin(fmt.Sprint(i), "p")
				earlier.Fingerprint = b.Fingerprint
				r.run(earlier, 4)
			}
			if test.call != nil {
				test.call(r, b)
			}
			r.step(b)
			must.Eq(t, test.reason, r.refused().Reason)
			must.Eq(t, domain.OutcomeNotRun, r.refused().Outcome)
			if test.before == 3 {
				must.StrContains(t, r.refused().Remedy, "0.000012")
			}
			must.Eq(t, test.before > 0, r.store.programs[b.Program] != nil)
		})
	}
	r := newRig(t, settings(func(_ *config.AccountSpec, p *config.PresetSpec) { p.MaxGeneratedTokens = 4 }))
	r.step(begin("c", "p"))
	r.place("t1", true)
	must.Eq(t, 4, r.last().(*StartCall).TokenLimit)
}

// Guards against a sub-agent that spends more than is left of its parent's
// budget, and against sub-agents that outlive their parent.
func TestChildBudget(t *testing.T) {
	r := newRig(t, settings(func(a *config.AccountSpec, _ *config.PresetSpec) { a.ProgramBudget = 60 }))
	r.run(begin("c1", "p"), 10)
	child := func(call string) *BeginCall {
		b := begin(call, "child")
		b.Parent = "p"
		return b
	}
	r.run(child("c2"), 10)
	third := child("c3")
	third.TokenLimit = 9
	r.step(third)
	rest := begin("c4", "p")
	rest.PromptTokens, rest.TokenLimit = 1, 1
	r.step(rest)
	must.Eq(t, domain.ReasonProgramBudget, r.refused().Reason)
	must.StrContains(t, r.refused().Remedy, "0.000001 is missing")
	must.True(t, r.place("t1", true))
	r.log = r.store.Snapshot()
	r.committed = len(r.log)
	r.takeover(0)
	r.step(&EndProgram{Program: begin("", "p").Program})
	must.Eq(t, domain.ReasonProgramEnded, r.store.programs[child("").Program].reason)
	must.Eq(t, 0, r.store.programs[child("").Program].reserved)
	r.checkRebuild()
	r = newRig(t, settings(nil))
	r.run(begin("c1", "p"), 1)
	r.step(child("c2"))
	r.step(begin("c3", "child"))
	r.step(&CallEnded{Call: "c2", Entry: entry})
	must.True(t, r.place("t1", true))
	must.Eq(t, 20, r.store.programs[begin("", "p").Program].reserved)
	r.checkRebuild()
	r = newRig(t, settings(nil))
	r.run(begin("c1", "p"), 1)
	r.step(child("c2"))
	r.step(&EndProgram{Program: begin("", "p").Program})
	must.False(t, r.place("t1", true), must.Sprint("a call of a sub-agent started after the end of its parent"))
	must.Eq(t, domain.ReasonProgramEnded, r.refused().Reason)
}

// Guards against a call that waits for budget without a time limit, or starts
// without budget, when the root shard is unreachable.
func TestBudgetUnreachable(t *testing.T) {
	r := newRig(t, settings(nil))
	r.rootUnreachable = true
	r.step(begin("c", "p"))
	for range 10 {
		must.SliceEmpty(t, r.ready)
		must.False(t, r.store.NextWake().After(r.now.Add(cancelRetryInterval)))
		r.now = r.now.Add(250 * time.Millisecond)
		r.apply(r.store.Tick(r.now))
	}
	must.Eq(t, domain.ReasonBudgetUnreachable, r.refused().Reason)
	must.StrContains(t, r.refused().Remedy, "0.000020 is missing")
	must.MapEmpty(t, r.store.programs)
}

// Guards against programs that stay open after their callers have gone, and
// against an idle time-out that ends a program with a call in flight.
func TestIdleAndTimeLimit(t *testing.T) {
	r := newRig(t, settings(func(_ *config.AccountSpec, p *config.PresetSpec) { p.MaxWallTime = 2 * idleTimeout }))
	r.run(begin("c1", "p"), 1)
	r.run(begin("c2", "q"), 1)
	r.step(begin("c3", "q"))
	r.place("t1", true)
	r.now = r.now.Add(idleTimeout)
	r.apply(r.store.Tick(r.now))
	reason := func(name string) domain.Reason { return r.store.programs[begin("", name).Program].reason }
	must.Eq(t, domain.ReasonProgramEnded, reason("p"))
	must.Eq(t, "", reason("q"))
	r.now = r.now.Add(idleTimeout)
	r.apply(r.store.Tick(r.now))
	must.Eq(t, domain.ReasonTimeLimit, reason("q"))
	must.Eq(t, domain.ReasonTimeLimit, r.sent[len(r.sent)-1].(*CancelCall).Reason)
	r.checkRebuild()
}

// Guards against engine memory that is not released after the end of a program,
// when release orders are lost or the owner changes.
func TestReleaseRepeated(t *testing.T) {
	r := newRig(t, settings(nil))
	b := begin("c", "p")
	r.run(b, 1)
	r.now = r.now.Add(idleTimeout)
	r.apply(r.store.Tick(r.now))
	want := Release{b.Program, "t1", 1}
	must.Eq(t, []Release{want}, r.releases)
	r.now = r.now.Add(endedRetention)
	r.apply(r.store.Tick(r.now))
	must.Eq(t, []Release{want, want}, r.releases)
	r.checkRebuild()
	r.releases = nil
	r.takeover(0)
	want.Epoch = 2
	must.Eq(t, []Release{want}, r.releases)
	r.apply(r.store.Released(r.now, b.Program, "t1"))
	r.takeover(0)
	r.now = r.now.Add(endedRetention)
	r.apply(r.store.Tick(r.now))
	must.Eq(t, []Release{want}, r.releases)
	must.MapEmpty(t, r.store.programs)
}

// Guards against the refusal of an innocent request that ran next to a crashing
// one, and against a crashing request that reaches a third target.
func TestCrashSuspects(t *testing.T) {
	r := newRig(t, settings(nil))
	bad, good := begin("bad", "p"), begin("good", "q")
	r.step(bad)
	r.step(good)
	r.place("t1", false)
	r.place("t1", false)
	r.step(failure(good, 1, FailCrashed, "t1", 1))
	r.step(failure(bad, 1, FailCrashed, "t1", 1))
	must.Len(t, 2, r.ready)
	must.True(t, r.ready[0].Alone && r.ready[1].Alone)
	must.False(t, r.placeCall("bad", "t2", false), must.Sprint("a suspect was placed next to other calls"))
	must.True(t, r.placeCall("bad", "t2", true))
	must.True(t, r.placeCall("good", "t3", true))
	r.step(failure(bad, 2, FailCrashed, "t2", 1))
	must.Eq(t, domain.ReasonRequestCrashes, r.refused().Reason)
	must.Eq(t, domain.OutcomeUnknown, r.refused().Outcome)
	r.step(finish(good, 2, 1))
	must.Eq(t, "good", r.last().(*CallCommitted).Call)
	again := *bad
	again.Call = "again"
	r.step(&again)
	must.Eq(t, domain.ReasonRequestCrashes, r.refused().Reason)
	must.Eq(t, domain.OutcomeNotRun, r.refused().Outcome)
	other := NewVMState()
	for _, m := range r.broadcast {
		other.Step(r.now, m)
		other.Step(r.now, m)
	}
	must.Eq(t, r.vm.crashes, other.crashes)
}

// Guards against a change of the rule for suspects: a request is refused after
// two crashes if it was alone in at least one of them.
func TestSuspicion(t *testing.T) {
	a, b := Fingerprint{1}, Fingerprint{2}
	v := NewVMState()
	check := func(f Fingerprint, wantSum float64, wantAlone, wantRefused bool) {
		t.Helper()
		sum, alone, refused := v.Suspicion(start, f)
		must.Eq(t, wantSum, sum)
		must.Eq(t, wantAlone, alone)
		must.Eq(t, wantRefused, refused)
	}
	v.Step(start, &Suspicion{"t1", 1, []Fingerprint{a}})
	check(a, 1, true, false)
	v.Step(start, &Suspicion{"t1", 1, []Fingerprint{b}})
	check(a, 0.5, true, false)
	v.Step(start, &Suspicion{"t2", 1, []Fingerprint{a, b}})
	check(a, 1, true, false)
	v.Step(start, &Suspicion{"t3", 1, []Fingerprint{a}})
	check(a, 2, true, true)
	check(b, 1, true, false)
	v.Step(start, &Cleared{b})
	v.Step(start, &Suspicion{"t2", 1, []Fingerprint{a, b}})
	check(b, 0, false, false)
	for i := range uint64(2 * maxCrashes) {
		v.Step(start, &Suspicion{"t4", i, []Fingerprint{a}})
	}
	must.LessEq(t, maxCrashes, len(v.crashes))
}

// BenchmarkBeginFinish measures the decisions of one call: begin, placement,
// finish and three commits.
func BenchmarkBeginFinish(b *testing.B) {
	s, e := benchStore(b)
	count := uint64(len(e.Records))
	commit := func(e Effects) {
		count += uint64(len(e.Records))
		s.Committed(count)
	}
	for i := 0; b.Loop(); i++ {
		c := begin(fmt.Sprint(i), fmt.Sprint("p", i%1000))
		commit(s.Step(start, c))
		placed, err := s.Place(start, c.Call, "t1", true)
		must.NoError(b, err)
		commit(placed)
		commit(s.Step(start, finish(c, 1, 1)))
		s.NextWake()
		if i%10_000 == 0 {
			s.expire(start.Add(outcomeRetention), &Effects{})
		}
	}
}

// BenchmarkProgramMemory measures the memory of an open program with ten turns.
func BenchmarkProgramMemory(b *testing.B) {
	const programs, turns = 250_000, 10
	for b.Loop() {
		s, _ := benchStore(b)
		before := heap()
		for i := range programs {
			c := begin("c", fmt.Sprintf("program-%d@dc1", i))
			s.Apply(&ProgramState{
				Program: c.Program, Started: start, Used: start, Targets: []domain.Target{"t1"}, Turns: make([]HistoryRef, turns),
			})
		}
		b.ReportMetric(float64(heap()-before)/programs, "B/program")
		runtime.KeepAlive(s)
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func benchStore(b *testing.B) (*Store, Effects) {
	v := settings(func(a *config.AccountSpec, _ *config.PresetSpec) { a.MonthlyBudget, a.ProgramBudget = 1e15, 1e15 })
	shard, err := ledger.RootShard(v, account)
	must.NoError(b, err)
	s := New(shard, NewVMState())
	s.Apply(&ledger.HolderState{Account: account, Month: ledger.MonthOf(start), Credited: 1e15})
	return s, s.Activate(start, 1, v)
}
