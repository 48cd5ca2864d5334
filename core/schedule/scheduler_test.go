package schedule

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/domain"
)

var (
	origin    = time.Unix(1000, 0)
	modelPool = PoolID{Model: "m"}
)

func after(d time.Duration) time.Time { return origin.Add(d) }

func testScheduler(order config.QueueOrder, targets ...TargetInfo) *Scheduler {
	s := New(Config{DataCentre: "d", Region: "r", Order: order, Rand: rand.New(rand.NewPCG(1, 2))}, origin)
	s.SetTargets(origin, targets)
	return s
}

// engine describes a target whose window starts at size calls.
func engine(name string, size int) TargetInfo {
	return TargetInfo{Name: domain.Target(name), DataCentre: "d", Region: "r", Pools: []PoolID{modelPool}, CacheTokens: 1e6, MaxBatch: 2 * size}
}

func testCall(id, account, program string) Call {
	return Call{ID: domain.CallID(id), Program: domain.ProgramID{Account: domain.Account(account), Name: domain.ProgramName(program)}, Pool: modelPool, Prompt: 1000, Repeatable: true}
}

func targetsOf(placed []Placement) map[domain.CallID]domain.Target {
	out := map[domain.CallID]domain.Target{}
	for _, p := range placed {
		out[p.Call] = p.Target
	}
	return out
}

// Guards against an account that gets less than 0.9 of its weighted share
// beside an account that sends five times its rate, even if its calls use more
// tokens than estimated.
func TestFairShareBesideOverload(t *testing.T) {
	s := testScheduler(config.OrderLeastAttained, engine("t", 4))
	s.SetAccounts([]AccountInfo{{"small", 1}, {"large", 3}})
	r := rand.New(rand.NewPCG(3, 4))
	served := map[domain.Account]float64{}
	type running struct {
		id   domain.CallID
		call Call
	}
	var queue []running
	queued, calls := map[domain.Account]int{}, map[domain.CallID]Call{}
	for i := range 20000 {
		now := after(time.Duration(i) * 10 * time.Millisecond)
		for account, depth := range map[domain.Account]int{"small": 4, "large": 100} {
			for queued[account] < depth {
				c := testCall(fmt.Sprint(i, account, queued[account]), string(account), fmt.Sprint(i))
				queued[account]++
				calls[c.ID] = c
				s.Enqueue(now, c)
			}
		}
		for _, p := range s.Dispatch(now) {
			c := calls[p.Call]
			queued[c.Program.Account]--
			queue = append(queue, running{p.Call, c})
		}
		u := domain.Usage{Prompt: 1000, Generated: domain.Tokens(r.IntN(200))}
		if queue[0].call.Program.Account == "small" {
			u.Generated *= 10
		}
		s.Finished(now, queue[0].id, u)
		served[queue[0].call.Program.Account] += float64(u.Prompt + u.Generated)
		queue = queue[1:]
	}
	share := served["small"] / (served["small"] + served["large"])
	t.Logf("share of the small account: %.3f of a fair 0.25", share)
	must.GreaterEq(t, 0.9*0.25, share)
	must.LessEq(t, 1.1*0.25, share)
}

// Guards against starvation: the call of a program with much attained service
// must not wait behind calls that are younger by more than MaxAge.
func TestAgeingBound(t *testing.T) {
	for order, longest := range map[config.QueueOrder]time.Duration{
		config.OrderLeastAttained: DefaultMaxAge, config.OrderArrival: 0, config.OrderProgramAge: 0,
	} {
		s := testScheduler(order, engine("t", 1))
		s.config.QueueTimeout = time.Hour
		old := testCall("first", "a", "old")
		old.ProgramStarted = origin
		s.Enqueue(origin, old)
		s.Dispatch(origin)
		s.Finished(origin, old.ID, domain.Usage{Prompt: 900_000, Generated: 200_000})
		s.Enqueue(origin, testCall("blocker", "a", "old"))
		running := s.Dispatch(origin)[0].Call
		old.ID = "second"
		s.Enqueue(origin, old)
		var youngest time.Duration
		for i := time.Second; running != "second" && i < 5*time.Minute; i += time.Second {
			for j := range 2 {
				c := testCall(fmt.Sprint(i.Seconds(), "/", j), "a", fmt.Sprint("new", i, j))
				c.ProgramStarted = after(i)
				s.Enqueue(after(i), c)
			}
			s.Finished(after(i), running, domain.Usage{Prompt: 1000, Generated: 10})
			running = s.Dispatch(after(i))[0].Call
			if c := s.calls[running]; running != "second" {
				youngest = max(youngest, c.queuedAt.Sub(origin))
			}
		}
		must.Eq(t, "second", running)
		must.LessEq(t, longest, youngest)
	}
}

// Guards against new calls, parked calls or retries on a leaving target.
func TestLeavingTarget(t *testing.T) {
	a, b := engine("a", 2), engine("b", 2)
	s := testScheduler(config.OrderLeastAttained, a, b)
	for i := range 4 {
		s.Enqueue(origin, testCall(fmt.Sprint(i), "x", fmt.Sprint("p", i)))
	}
	first := targetsOf(s.Dispatch(origin))
	must.MapLen(t, 4, first)
	a.Leaving = true
	s.SetTargets(origin, []TargetInfo{a, b})
	for id := range first {
		s.Finished(origin, id, domain.Usage{Prompt: 1000, Generated: 10})
	}
	for i := range 20 { // the programs' prefixes are on both targets
		now := after(time.Duration(i) * time.Second)
		s.Enqueue(now, testCall(fmt.Sprint("again", i), "x", fmt.Sprint("p", i%4)))
		for id, target := range targetsOf(s.Dispatch(now)) {
			must.Eq(t, "b", target)
			if i%5 == 0 {
				must.Nil(t, s.Failed(now, id, FailureNotRun))
			} else {
				s.Finished(now, id, domain.Usage{Prompt: 1000, Generated: 10})
			}
		}
	}
	s.SetTargets(origin, []TargetInfo{b})
	must.MapLen(t, 1, s.targets)
}

// Guards against a cache directory that applies late events, ignores gaps in
// the events, exceeds the engine's cache, or keeps entries without decay.
func TestDirectoryEvents(t *testing.T) {
	info := engine("t", 4)
	info.CacheTokens = 10_000
	s := testScheduler(config.OrderArrival, info)
	tg, p := s.targets["t"], testCall("", "a", "p").Program
	expected := func(now time.Time) domain.Tokens { return s.cache.expected(now, p, tg, 1e6) }
	at := func(i int) time.Time { return after(time.Duration(i) * time.Second) }
	s.cache.record(at(10), p, tg, 4000)
	s.CacheEvent(at(11), CacheEvent{Target: "t", Seq: 1, At: at(5), Kind: CacheEvicted, Program: p})
	must.Eq(t, 4000, expected(at(10)))
	s.CacheEvent(at(12), CacheEvent{Target: "t", Seq: 5, At: at(12), Kind: CacheStored, Program: testCall("", "a", "q").Program, Tokens: 100})
	must.Eq(t, 2000, expected(at(10)))
	s.CacheEvent(at(12), CacheEvent{Target: "t", Seq: 4, At: at(13), Kind: CacheEvicted, Program: p})
	must.Eq(t, 2000, expected(at(10)))
	must.Less(t, 1001, expected(at(10+600)))
	s.CacheEvent(at(14), CacheEvent{Target: "t", Seq: 6, At: at(14), Kind: CacheEvicted, Program: p})
	must.Zero(t, expected(at(14)))
	for i := range 100 {
		s.cache.record(at(20), testCall("", "a", fmt.Sprint(i)).Program, tg, 3000)
	}
	must.LessEq(t, info.CacheTokens, tg.prefixes.tokens)
	must.MapLen(t, 3, s.cache.programs)
	s.CacheEvent(at(30), CacheEvent{Target: "t", Seq: 7, At: at(30), Kind: CacheCleared})
	must.MapEmpty(t, s.cache.programs)
}

// Guards against a crash suspect that shares its target with other calls, and
// against a target that stays reserved after the suspect has ended.
func TestCrashSuspectIsolation(t *testing.T) {
	s := testScheduler(config.OrderArrival, engine("a", 2), engine("b", 2))
	for i := range 3 {
		s.Enqueue(origin, testCall(fmt.Sprint(i), "x", fmt.Sprint(i)))
	}
	running := targetsOf(s.Dispatch(origin))
	suspect := testCall("suspect", "x", "s")
	suspect.Suspect = true
	s.Enqueue(after(1), suspect)
	s.Enqueue(after(2), testCall("late", "x", "l"))
	for id, target := range targetsOf(s.Dispatch(after(2))) {
		must.NotEq(t, "suspect", id)
		running[id] = target
	}
	for id := range running {
		s.Finished(after(time.Second), id, domain.Usage{Prompt: 1000, Generated: 10})
	}
	for i := range 6 {
		s.Enqueue(after(time.Second), testCall(fmt.Sprint("more", i), "x", fmt.Sprint(i)))
	}
	placed := targetsOf(s.Dispatch(after(time.Second)))
	must.MapContainsKey(t, placed, "suspect")
	for id, target := range placed {
		must.True(t, id == "suspect" || target != placed["suspect"])
	}
	must.Nil(t, s.Failed(after(2*time.Second), "suspect", FailureCrash))
	// The crashed target gets calls again after its suspension, without other
	// input.
	must.MapLen(t, 0, targetsOf(s.Dispatch(after(2*time.Second))))
	must.False(t, s.NextWake().IsZero() || s.NextWake().After(after(2*time.Second+baseSuspension)))
	must.MapLen(t, 2, targetsOf(s.Dispatch(after(2*time.Second+baseSuspension))))
}

// Guards against retries that return to the failed target, run a non-repeatable
// call twice, or exceed the account's retry budget.
func TestRetries(t *testing.T) {
	s := testScheduler(config.OrderArrival, engine("a", 2), engine("b", 2))
	s.Enqueue(origin, testCall("c", "x", "p"))
	first := targetsOf(s.Dispatch(origin))["c"]
	must.Nil(t, s.Failed(origin, "c", FailureError))
	must.SliceEmpty(t, s.Dispatch(origin))
	must.LessEq(t, baseRetryDelay*3/2, s.NextWake().Sub(origin))
	second := targetsOf(s.Dispatch(s.NextWake()))["c"]
	must.NotEq(t, first, second)

	once := testCall("once", "x", "p")
	once.Repeatable = false
	s.Enqueue(after(time.Second), once)
	s.Dispatch(after(time.Second))
	must.Eq(t, domain.OutcomeUnknown, s.Failed(after(time.Second), "once", FailureError).Outcome)

	retried := 0
	for i := range 50 {
		id := domain.CallID(fmt.Sprint(i))
		s.Enqueue(after(time.Second), testCall(string(id), "y", "p"))
		s.Dispatch(after(time.Second))
		if s.Failed(after(time.Second), id, FailureNotRun) == nil {
			retried++
		}
	}
	must.Eq(t, int(retryBurst), retried)
}

// Guards against calls that stay queued past their time-out or use capacity
// after they have ended.
func TestQueueTimeoutAndCancel(t *testing.T) {
	s := testScheduler(config.OrderArrival, engine("a", 1))
	for i, id := range []string{"running", "waiting", "cancelled"} {
		s.Enqueue(origin.Add(time.Duration(i)), testCall(id, "x", id))
	}
	must.Eq(t, "running", s.Dispatch(origin)[0].Call)
	s.Cancel(origin, "cancelled")
	must.SliceEmpty(t, s.Dispatch(s.NextWake()))
	expired := s.Expired()
	must.SliceLen(t, 1, expired)
	must.Eq(t, "waiting", expired[0].Call)
	must.Eq(t, domain.ReasonQueueTimeout, expired[0].Refusal.Reason)
	s.Cancel(origin, "running")
	must.MapEmpty(t, s.calls)
	must.Zero(t, s.targets["a"].running)
}

// Guards against prompts that cross the link between regions for a saving below
// the penalty, and against a penalty that prevents this for a larger saving.
func TestCrossRegionPenalty(t *testing.T) {
	near, far := engine("near", 4), engine("far", 4)
	far.DataCentre, far.Region = "e", "other"
	s := testScheduler(config.OrderArrival, near, far)
	tg, p := s.targets["far"], testCall("", "a", "p").Program
	s.cache.record(origin, p, tg, 100_000)
	for _, test := range []struct {
		bytes int64
		want  domain.Target
	}{{100_000, "far"}, {20_000_000, "near"}} {
		c := testCall(fmt.Sprint(test.bytes), "a", "p")
		c.Prompt, c.PromptBytes = 100_000, test.bytes
		s.Enqueue(origin, c)
		must.Eq(t, test.want, s.Dispatch(origin)[0].Target)
		s.Cancel(origin, c.ID)
	}
}

// Guards against caches of paused programs that displace running calls, and
// against cache memory that stays in use after a program has ended.
func TestPausedCacheEviction(t *testing.T) {
	info := engine("t", 10)
	info.CacheTokens = 12_000 // capacity for two paused programs
	s := testScheduler(config.OrderArrival, info)
	run := func(now time.Time, id, program string) {
		s.Enqueue(now, testCall(id, "a", program))
		s.Dispatch(now)
		s.Finished(now, domain.CallID(id), domain.Usage{Prompt: 3000, Generated: 10})
	}
	for i := range 8 { // slow returns after 60 s, fast after 1 s
		run(after(time.Duration(i)*time.Minute), fmt.Sprint("s", i), "slow")
		run(after(time.Duration(i)*time.Minute), fmt.Sprint("f", i), "fast")
		run(after(time.Duration(i)*time.Minute+time.Second), fmt.Sprint("g", i), "fast")
	}
	s.CacheCommands()
	run(after(8*time.Minute), "x", "other")
	must.SliceContains(t, s.CacheCommands(), CacheCommand{CommandEvict, "t", testCall("", "a", "slow").Program})
	s.EndProgram(testCall("", "a", "fast").Program)
	must.SliceContains(t, s.CacheCommands(), CacheCommand{CommandRelease, "t", testCall("", "a", "fast").Program})
	must.MapNotContainsKey(t, s.programs, testCall("", "a", "fast").Program)
}

// Guards against a sum of permits above the window when VMs start and stop and
// messages are lost, and against a window that grows faster with more VMs.
func TestPermitSumWithinWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		loss := rapid.Float64Range(0, 0.4).Draw(t, "loss")
		info := engine("t", 10)
		info.Manager = "m"
		m := NewWindowManager(info, origin)
		var vms []*Scheduler
		now, queued, maxWindow := origin, 0, 0
		type envelope struct {
			vm  int
			at  time.Time
			msg domain.Message
			up  bool
		}
		var pending []envelope
		for range 1500 {
			now = now.Add(20 * time.Millisecond)
			if len(vms) < 5 && r.IntN(100) == 0 {
				vms = append(vms, testScheduler(config.OrderArrival, info))
			}
			sum := 0
			for i, s := range vms {
				if s == nil {
					continue
				}
				if r.IntN(400) == 0 {
					vms[i] = nil // the VM fails
					continue
				}
				if r.IntN(3) == 0 {
					queued++
					s.Enqueue(now, testCall(fmt.Sprint(queued), "a", fmt.Sprint(queued)))
				}
				for _, p := range s.Dispatch(now) {
					if r.IntN(3) == 0 {
						s.Cancel(now, p.Call)
					}
				}
				for id, c := range s.calls {
					if c.state == stateRunning && r.IntN(20) == 0 {
						s.Finished(now, id, domain.Usage{Prompt: 1000, Generated: 10})
					}
				}
				for _, send := range s.Sends() {
					pending = append(pending, envelope{i, now.Add(time.Duration(r.IntN(200)) * time.Millisecond), send.Body, true})
				}
				tg := s.targets["t"]
				if now.Before(tg.lease.expiresAt) {
					sum += tg.lease.permits
				}
			}
			maxWindow = max(maxWindow, m.Window())
			must.LessEq(t, maxWindow, sum)
			rest := pending
			pending = nil
			for _, l := range rest {
				switch {
				case l.at.After(now):
					pending = append(pending, l)
				case r.Float64() < loss || vms[l.vm] == nil:
				case l.up:
					for _, send := range m.Step(now, domain.VM(fmt.Sprint(l.vm)), l.msg) {
						pending = append(pending, envelope{l.vm, now.Add(time.Duration(r.IntN(200)) * time.Millisecond), send.Body, false})
					}
				default:
					vms[l.vm].Step(now, "m", l.msg)
				}
			}
		}
	})
	probe := func(vms int) int {
		m := NewWindowManager(engine("t", 100), origin)
		for i := range 400 {
			vm := domain.VM(fmt.Sprint(i % vms))
			m.Step(after(4*time.Second), vm, &PermitRequest{Target: "t", Seq: uint64(i + 1), Want: 200 / vms, InUse: 180 / vms, Sample: Sample{Calls: 1, TokenInterval: 20 * time.Millisecond, FirstTokenRatio: 1}})
		}
		return m.Window()
	}
	must.Eq(t, probe(2), probe(2))
	must.LessEq(t, probe(2)+1, probe(10))
}

// Guards against a window that does not decrease when the target slows down or
// calls queue inside the engine.
func TestWindowAdaptation(t *testing.T) {
	w := newWindow(40, false)
	for i := range 200 {
		w.observe(after(time.Duration(i)*100*time.Millisecond), Sample{1, 20 * time.Millisecond, 1}, w.permits())
	}
	grown := w.permits()
	must.Greater(t, 25, grown)
	for i := range 100 {
		w.observe(after(time.Minute+time.Duration(i)*100*time.Millisecond), Sample{1, 100 * time.Millisecond, 1}, w.permits())
	}
	must.Less(t, grown/2, w.permits())
	w = newWindow(40, false)
	w.applyLoadReport(after(time.Second), LoadReport{At: after(time.Second), Running: 7, Waiting: 3})
	must.Eq(t, 7, w.permits())
	w.applyLoadReport(after(time.Second), LoadReport{At: origin, Running: 2, Waiting: 3})
	must.Eq(t, 7, w.permits())
}

func benchmarkDecisions(b *testing.B, accounts, targets int) {
	var infos []TargetInfo
	for i := range targets {
		infos = append(infos, engine(fmt.Sprint("t", i), 64))
	}
	s := testScheduler(config.OrderLeastAttained, infos...)
	calls := make([]Call, 16*accounts)
	for i := range calls {
		calls[i] = testCall(fmt.Sprint(i), fmt.Sprint("a", i%accounts), fmt.Sprint("p", i/2))
	}
	b.ReportAllocs()
	now := origin
	for i := 0; b.Loop(); i++ {
		now = now.Add(10 * time.Microsecond)
		c := calls[i%len(calls)]
		s.Enqueue(now, c)
		for _, p := range s.Dispatch(now) {
			s.FirstToken(now, p.Call)
			s.Finished(now, p.Call, domain.Usage{Prompt: 1000, Cached: p.Cached, Generated: 50})
		}
		if len(s.commands) > 100 {
			s.CacheCommands()
		}
	}
}

// Guards against dispatch below 100,000 calls per second, or with a cost linear
// in the number of targets.
func BenchmarkDecisions(b *testing.B) {
	b.Run("8 accounts, 15 targets", func(b *testing.B) { benchmarkDecisions(b, 8, 15) })
	b.Run("1800 accounts, 3000 targets", func(b *testing.B) { benchmarkDecisions(b, 1800, 3000) })
}

// Guards against calls that are delayed because their prompts are
// overestimated: the scheduler must correct the entry VM's estimates by the
// measured usage.
func TestPromptEstimateCorrection(t *testing.T) {
	s := testScheduler(config.OrderArrival, engine("e", 4))
	for i := range 50 {
		c := testCall(fmt.Sprint(i), "a", fmt.Sprint(i))
		c.Prompt = 2000
		s.Enqueue(after(time.Duration(i)*time.Second), c)
		must.SliceLen(t, 1, s.Dispatch(after(time.Duration(i)*time.Second)))
		s.Finished(after(time.Duration(i)*time.Second+time.Millisecond), c.ID, domain.Usage{Prompt: 1000, Generated: 10})
	}
	c := testCall("last", "a", "last")
	c.Prompt = 2000
	s.Enqueue(after(time.Minute), c)
	must.Between(t, 950, s.calls[c.ID].Prompt, 1100)
}

// Guards against an unreachable target that attracts calls because they fail
// immediately.
func TestUnreachableTargetSuspension(t *testing.T) {
	s := testScheduler(config.OrderArrival, engine("dead", 8), engine("alive", 8))
	failures := 0
	for i := range 40 {
		now := after(time.Duration(i) * 100 * time.Millisecond)
		s.Enqueue(now, testCall(fmt.Sprint(i), "a", fmt.Sprint(i)))
		for _, p := range s.Dispatch(now) {
			if p.Target == "dead" {
				failures++
				s.Failed(now, p.Call, FailureUnreachable)
				continue
			}
			s.Finished(now.Add(50*time.Millisecond), p.Call, domain.Usage{Prompt: 1000, Generated: 10})
		}
	}
	// Suspensions of 0.5, 1, 2 and 4 s allow 4 attempts in 4 s.
	must.LessEq(t, 4, failures)
}
