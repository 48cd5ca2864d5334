package ledger

import (
	"flag"
	"fmt"
	"math"
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/domain"
)

// TestMain fixes the seed of the randomized tests, so that a failure is
// reproducible. The flag -rapid.seed selects another seed.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

const account domain.Account = "acme"

var start = time.Date(2026, 11, 30, 23, 0, 0, 0, time.UTC)

func view(budget domain.Micros, permille int) *config.View {
	presets := map[config.PresetName]config.PresetSpec{config.PresetOrdinary: {DailySpendPermille: permille}}
	return config.Restore(&config.Snapshot{
		Presets: presets, PresetInForce: config.PresetOrdinary, Homes: []domain.DataCentre{"a", "b"},
		Accounts: map[domain.Account]config.AccountSpec{account: {Name: account, MonthlyBudget: budget}},
	}).View()
}

// testShards runs the ledgers of three shards, the first of which is the root. It
// keeps their durable records, the messages in flight and the open reservations.
type testShards struct {
	now     time.Time
	view    *config.View
	shards  []domain.ShardID
	ledgers map[domain.ShardID]*Ledger
	durable map[domain.ShardID][]domain.Record
	network []Outbound
	open    map[domain.ShardID][]Reservation
	charged map[Month]domain.Micros
}

func newTestShards(t must.T, v *config.View) *testShards {
	rootShard, err := RootShard(v, account)
	must.NoError(t, err)
	f := &testShards{
		now: start, view: v, shards: []domain.ShardID{rootShard, {DataCentre: "c", Number: 1}, {DataCentre: "d", Number: 2}},
		ledgers: map[domain.ShardID]*Ledger{}, durable: map[domain.ShardID][]domain.Record{},
		open: map[domain.ShardID][]Reservation{}, charged: map[Month]domain.Micros{},
	}
	for _, s := range f.shards {
		f.restart(s)
	}
	return f
}

func (f *testShards) restart(s domain.ShardID) {
	f.ledgers[s] = New(s)
	f.ledgers[s].Configure(f.view)
	for _, r := range f.durable[s] {
		f.ledgers[s].Apply(r)
	}
}

// commit makes the effects durable, or discards them if the shard crashes first. It
// reports whether they are durable.
func (f *testShards) commit(s domain.ShardID, e Effects, crash bool) bool {
	if crash {
		f.restart(s)
		return false
	}
	f.durable[s] = append(f.durable[s], e.Records...)
	f.network = append(f.network, e.Outbound...)
	return true
}

func (f *testShards) deliver(i int, duplicate, crash bool) {
	m := f.network[i]
	if !duplicate {
		f.network = append(f.network[:i:i], f.network[i+1:]...)
	}
	f.commit(m.To, f.ledgers[m.To].Step(f.now, m.Body), crash)
}

func (f *testShards) start(s domain.ShardID, amount domain.Micros, crash bool) (HoldResult, *domain.Refusal) {
	l := f.ledgers[s]
	r, verdict, refusal, e := l.Hold(f.now, account, amount)
	if verdict == Held {
		l.ReleaseHold(r)
		l.Apply(&r)
		e.Records = append(e.Records, &r)
	}
	if f.commit(s, e, crash) && verdict == Held {
		f.open[s] = append(f.open[s], r)
	}
	return verdict, refusal
}

func (f *testShards) finish(s domain.ShardID, cost domain.Micros, crash bool) {
	if len(f.open[s]) == 0 {
		return
	}
	c := Settle(f.open[s][0], cost)
	f.ledgers[s].Apply(&c)
	if f.commit(s, Effects{Records: []domain.Record{&c}}, crash) {
		f.open[s] = f.open[s][1:]
		f.charged[c.Month] += c.Amount
	}
}

// deliverAll ticks all shards and delivers all messages without faults.
func (f *testShards) deliverAll() {
	for range 12 {
		f.now = f.now.Add(resendInterval)
		for _, s := range f.shards {
			f.commit(s, f.ledgers[s].Tick(f.now), false)
		}
		for len(f.network) > 0 {
			f.deliver(0, false, false)
		}
	}
}

// check compares the counters of the root with those of each holder. Every amount
// that the sender has debited is either credited at the receiver or is the one
// transfer in flight.
func (f *testShards) check(t must.T, limit map[Month]domain.Micros) {
	for k, b := range f.ledgers[f.shards[0]].roots {
		var charged, credited domain.Micros
		for _, s := range f.shards {
			h, p := f.ledgers[s].holder(k), b.peer(s)
			must.GreaterEq(t, 0, h.available())
			must.True(t, p.Released == h.Credited || p.Released == h.Credited+p.Pending && p.OutNumber == h.InNumber+1)
			must.True(t, h.Returned == p.Returned || h.Returned == p.Returned+h.Pending && h.OutNumber == p.InNumber+1)
			charged += h.Charged
			credited += h.Credited - h.Returned
		}
		must.Eq(t, f.charged[k.month], charged)
		must.LessEq(t, b.outstanding(), credited)
		must.LessEq(t, limit[k.month], charged)
	}
}

// Guards against amounts created from nothing or charged beyond the budget. Messages
// are lost, duplicated and reordered, shards restart from their records or crash
// before a record is durable, and the budget and the month change.
func TestEscrowConservation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := domain.Micros(rapid.Int64Range(0, 2000).Draw(t, "budget"))
		permille := rapid.SampledFrom([]int{1000, 300, 50}).Draw(t, "permille")
		f := newTestShards(t, view(budget, permille))
		limit := map[Month]domain.Micros{MonthOf(f.now): budget}
		for range rapid.IntRange(20, 150).Draw(t, "steps") {
			s := f.shards[rapid.IntRange(0, 2).Draw(t, "shard")]
			crash := rapid.IntRange(0, 9).Draw(t, "crash") == 0
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0, 1:
				f.start(s, domain.Micros(rapid.Int64Range(0, 400).Draw(t, "amount")), crash)
			case 2:
				f.finish(s, domain.Micros(rapid.Int64Range(0, 500).Draw(t, "cost")), crash)
			case 3:
				f.commit(s, f.ledgers[s].Tick(f.now), crash)
				f.now = f.now.Add(rapid.SampledFrom([]time.Duration{time.Second, 2 * time.Hour, 25 * time.Hour}).Draw(t, "pass"))
			case 4:
				budget = domain.Micros(rapid.Int64Range(0, 2000).Draw(t, "new budget"))
				f.view = view(budget, permille)
				for _, l := range f.ledgers {
					l.Configure(f.view)
				}
			case 5:
				if len(f.network) > 0 {
					f.network = f.network[1:]
				}
			default:
				if len(f.network) > 0 {
					i := rapid.IntRange(0, len(f.network)-1).Draw(t, "message")
					f.deliver(i, rapid.Bool().Draw(t, "duplicate"), crash)
				}
			}
			limit[MonthOf(f.now)] = max(limit[MonthOf(f.now)], budget)
			f.check(t, limit)
		}
		f.deliverAll()
		f.check(t, limit)
		for _, s := range f.shards {
			rebuilt := New(s)
			for _, r := range f.ledgers[s].Snapshot() {
				rebuilt.Apply(r)
			}
			must.Eq(t, f.ledgers[s].Snapshot(), rebuilt.Snapshot())
		}
	})
}

// Guards against unused amounts that stay in a shard while another shard needs
// them, and against a refusal that does not state the missing amount.
func TestRecallOfIdleAmounts(t *testing.T) {
	f := newTestShards(t, view(1000, 1000))
	a, b := f.shards[1], f.shards[2]
	f.start(a, 900, false)
	f.deliverAll()
	verdict, _ := f.start(a, 900, false)
	must.Eq(t, Held, verdict)
	f.finish(a, 100, false)
	verdict, _ = f.start(b, 850, false)
	must.Eq(t, Pending, verdict)
	must.Eq(t, f.now.Add(resendInterval), f.ledgers[b].NextWake())
	f.deliverAll()
	must.Eq(t, f.now.Add(reportInterval), f.ledgers[b].NextWake())
	verdict, _ = f.start(b, 850, false)
	must.Eq(t, Held, verdict)
	f.start(a, 100, false)
	f.deliverAll()
	f.start(a, 100, false)
	for len(f.network) > 0 {
		f.deliver(0, false, false)
	}
	verdict, refusal := f.start(a, 100, false)
	must.Eq(t, Refused, verdict)
	must.Eq(t, domain.ReasonAccountBudget, refusal.Reason)
	must.StrContains(t, refusal.Remedy, "lacks 0.000050")
}

// Guards against unused amounts that other shards keep after the budget was
// lowered, and against charges of the old month that count in the new month.
func TestLoweredBudgetAndNewMonth(t *testing.T) {
	f := newTestShards(t, view(1000, 1000))
	s := f.shards[1]
	f.start(s, 900, false)
	f.deliverAll()
	f.start(s, 200, false)
	f.view = view(300, 1000)
	for _, l := range f.ledgers {
		l.Configure(f.view)
	}
	f.now = f.now.Add(recallInterval)
	f.deliverAll()
	november := key{account, MonthOf(start)}
	must.Eq(t, 300, f.ledgers[f.shards[0]].root(november).outstanding())
	f.now = f.now.Add(24 * time.Hour)
	f.finish(s, 200, false)
	must.Eq(t, 200, f.ledgers[s].Charged(account, november.month))
	must.Eq(t, 0, f.ledgers[s].Charged(account, november.month+1))
	f.start(s, 300, false)
	f.deliverAll()
	verdict, _ := f.start(s, 300, false)
	must.Eq(t, Held, verdict)
}

// Guards against a forecast ceiling that charges can exceed or that is far too high.
// Callers on every shard spend as much as they can until the end of the next
// month.
func TestForecastCeiling(t *testing.T) {
	for _, permille := range []int{0, 10, 50, 250, 1000} {
		for _, lead := range []int{0, 3, 40} {
			t.Run(fmt.Sprintf("%d permille after %d hours", permille, lead), func(t *testing.T) {
				f := newTestShards(t, view(10_000, 250))
				f.now = time.Date(2026, 11, 12, 1, 0, 0, 0, time.UTC)
				greedy := func(hours int) {
					for range hours {
						for _, s := range f.shards {
							f.start(s, 37, false)
						}
						f.deliverAll()
						for _, s := range f.shards {
							f.start(s, 37, false)
							f.finish(s, 37, false)
						}
						f.now = f.now.Add(time.Hour)
					}
				}
				greedy(lead)
				f.view = view(10_000, permille)
				for _, l := range f.ledgers {
					l.Configure(f.view)
				}
				got, ok := f.ledgers[f.shards[0]].Forecast(f.now, account, f.view.Preset())
				must.True(t, ok)
				must.LessEq(t, got.Expected, got.Floor)
				must.LessEq(t, got.Ceiling, got.Expected)
				end := MonthOf(f.now) + 2
				greedy(int(end.start().Sub(f.now).Hours()))
				total := f.charged[end-1] + f.charged[end-2]
				must.LessEq(t, got.Ceiling, total)
				if permille >= 50 {
					must.GreaterEq(t, got.Ceiling*9/10, total, must.Sprint("the ceiling is more than 10% above the amount that can be charged"))
				}
			})
		}
	}
}

// Guards against releases beyond the daily spend rate, and against a refusal that
// gives the monthly budget as the reason for it.
func TestDailyRate(t *testing.T) {
	f := newTestShards(t, view(1000, 100))
	s := f.shards[1]
	for _, want := range []struct {
		verdict HoldResult
		amount  domain.Micros
	}{{Held, 60}, {Refused, 60}, {Held, 40}} {
		f.start(s, want.amount, false)
		for len(f.network) > 0 {
			f.deliver(0, false, false)
		}
		verdict, refusal := f.start(s, want.amount, false)
		must.Eq(t, want.verdict, verdict)
		if refusal != nil {
			must.Eq(t, domain.ReasonSpendRate, refusal.Reason)
			must.Eq(t, time.Hour, refusal.RetryAfter)
			must.StrContains(t, refusal.Remedy, "lacks 0.000020")
		}
	}
}

// BenchmarkHoldCharge measures a hold, its reservation and its charge together.
func BenchmarkHoldCharge(b *testing.B) {
	v := view(math.MaxInt64/2, 1000)
	s, _ := RootShard(v, account)
	l := New(s)
	l.Configure(v)
	l.Apply(&HolderState{Account: account, Month: MonthOf(start), Credited: math.MaxInt64 / 2})
	for b.Loop() {
		r, _, _, _ := l.Hold(start, account, 100)
		l.ReleaseHold(r)
		l.Apply(&r)
		c := Settle(r, 1)
		l.Apply(&c)
	}
}
