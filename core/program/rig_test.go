package program

import (
	"crypto/sha256"
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/mangoknot/mangoknot/adapter/codec"
	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/ledger"
)

// TestMain fixes the seed of the random runs, so that a failure can be
// reproduced. The flag -rapid.seed selects another seed.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

const (
	account = domain.Account("acme")
	model   = domain.ModelName("m")
	entry   = domain.VM("e1")
)

var start = time.Date(2026, 11, 3, 10, 0, 0, 0, time.UTC)

// settings returns a configuration in which a token costs one micro.
func settings(change func(*config.AccountSpec, *config.PresetSpec)) *config.View {
	a := config.AccountSpec{Name: account, MonthlyBudget: 1e9, ProgramBudget: 1e6}
	p := config.PresetSpec{DailySpendPermille: 1000, MaxGeneratedTokens: 1e6, NewPrograms: true}
	if change != nil {
		change(&a, &p)
	}
	return config.Restore(&config.Snapshot{
		Presets: map[config.PresetName]config.PresetSpec{"p": p}, PresetInForce: "p", Homes: []domain.DataCentre{"a"},
		Accounts: map[domain.Account]config.AccountSpec{account: a},
		Models:   map[domain.ModelName]config.ModelSpec{model: {PromptPrice: 1e6, CachedPrice: 1e6, GeneratedPrice: 1e6}},
		Routes:   map[string]config.RouteSpec{"pay": {Name: "pay", Price: 5}},
		Targets:  map[domain.Target]config.TargetSpec{"t1": {}, "t2": {}, "t3": {}},
	}).View()
}

// rig runs the store of the account's root shard together with its log.
type rig struct {
	t               must.T
	now             time.Time
	view            *config.View
	vm              *VMState
	store           *Store
	codec           *codec.Codec
	log             []domain.Record
	base            int // records before the activation
	committed       int
	epoch           domain.Epoch
	manualCommit    bool // records stay uncommitted until commit is called
	rootUnreachable bool // messages to the root of the budget are lost
	sent            []domain.Message
	ready           []Ready
	releases        []Release
	broadcast       []domain.Message
}

func newRig(t must.T, v *config.View) *rig {
	c, err := codec.New(append(Messages(), ledger.Messages()...), append(Records(), ledger.Records()...))
	must.NoError(t, err)
	r := &rig{t: t, now: start, view: v, codec: c}
	r.takeover(0)
	return r
}

func (r *rig) build(records []domain.Record) *Store {
	shard, err := ledger.RootShard(r.view, account)
	must.NoError(r.t, err)
	s := New(shard, r.vm)
	for _, record := range records {
		data, err := r.codec.EncodeRecord(record)
		must.NoError(r.t, err)
		decoded, err := r.codec.DecodeRecord(data)
		must.NoError(r.t, err)
		must.True(r.t, s.Apply(decoded))
	}
	return s
}

// takeover rebuilds the store on another VM. The parameter lost is the number
// of records at the end of the log that are missing there; committed records
// are not lost.
func (r *rig) takeover(lost int) {
	r.log = r.log[:max(r.committed, len(r.log)-lost)]
	r.vm, r.ready, r.sent = NewVMState(), nil, nil
	r.store = r.build(r.log)
	r.base, r.committed = len(r.log), len(r.log)
	r.epoch++
	r.apply(r.store.Activate(r.now, r.epoch, r.view))
}

func (r *rig) apply(e Effects) {
	r.log = append(r.log, e.Records...)
	r.handle(e)
	if !r.manualCommit {
		r.commit(len(r.log))
	}
}

func (r *rig) commit(upTo int) {
	r.committed = max(r.committed, upTo)
	r.handle(r.store.Committed(uint64(r.committed - r.base)))
}

func (r *rig) handle(e Effects) {
	for _, s := range e.Sends {
		r.sent = append(r.sent, s.Body)
	}
	for _, id := range e.Unready {
		r.remove(id)
	}
	r.ready = append(r.ready, e.Ready...)
	r.releases = append(r.releases, e.Releases...)
	r.broadcast = append(r.broadcast, e.Broadcast...)
	if r.rootUnreachable {
		return
	}
	for _, o := range e.Outbound {
		r.apply(r.store.Step(r.now, o.Body))
	}
}

func (r *rig) remove(id domain.CallID) {
	for i, c := range r.ready {
		if c.Call == id {
			r.ready = append(r.ready[:i:i], r.ready[i+1:]...)
			return
		}
	}
}

func (r *rig) step(m domain.Message) { r.apply(r.store.Step(r.now, m)) }

// place places the first ready call and reports whether it was started.
func (r *rig) place(target domain.Target, alone bool) bool {
	if len(r.ready) == 0 {
		return false
	}
	return r.placeCall(r.ready[0].Call, target, alone)
}

func (r *rig) placeCall(id domain.CallID, target domain.Target, alone bool) bool {
	r.remove(id)
	e, err := r.store.Place(r.now, id, target, alone)
	r.apply(e)
	return err == nil
}

func begin(call, name string) *BeginCall {
	return &BeginCall{
		Call: domain.CallID(call), Entry: entry, Program: domain.ProgramID{Account: account, Name: domain.ProgramName(name)},
		Model: model, PromptTokens: 10, TokenLimit: 10, Fingerprint: sha256.Sum256([]byte(call)), Arrived: start,
	}
}

func finish(b *BeginCall, attempt uint32, generated domain.Tokens) *FinishCall {
	return &FinishCall{
		Call: b.Call, Entry: b.Entry, Program: b.Program, Attempt: attempt,
		Usage:  domain.Usage{Prompt: 10, Generated: generated},
		Turn:   HistoryRef{SHA256: sha256.Sum256([]byte(b.Call)), Length: 7},
		Answer: &Answer{SHA256: sha256.Sum256([]byte(b.Call)), Length: 9},
	}
}

func failure(b *BeginCall, attempt uint32, kind FailKind, target domain.Target, crash uint64) *FailCall {
	return &FailCall{Call: b.Call, Entry: b.Entry, Program: b.Program, Attempt: attempt, Kind: kind, Target: target, Crash: crash}
}

// run runs a call from begin to finish on t1.
func (r *rig) run(b *BeginCall, generated domain.Tokens) {
	r.step(b)
	if r.place("t1", true) {
		r.step(finish(b, 1, generated))
	}
}

func (r *rig) last() domain.Message {
	must.SliceNotEmpty(r.t, r.sent)
	return r.sent[len(r.sent)-1]
}

func (r *rig) refused() domain.Refusal {
	m, ok := r.last().(*CallRefused)
	must.True(r.t, ok, must.Sprintf("the last message is %#v", r.last()))
	return m.Refusal
}

// checkRebuild compares the state with one rebuilt from its snapshot and one
// rebuilt from the log.
func (r *rig) checkRebuild() {
	want := r.store.Snapshot()
	must.Eq(r.t, want, r.build(want).Snapshot())
	fromLog := r.build(r.log)
	fromLog.expire(r.now, &Effects{})
	must.Eq(r.t, withoutPending(want), withoutPending(fromLog.Snapshot()))
}

// withoutPending clears the amounts of unconfirmed transfers, because a
// confirmation has no record.
func withoutPending(records []domain.Record) []domain.Record {
	for i, record := range records {
		switch v := record.(type) {
		case *ledger.HolderState:
			c := *v
			c.Pending = 0
			records[i] = &c
		case *ledger.RootState:
			c := *v
			c.Peers = append([]ledger.PeerState(nil), v.Peers...)
			for j := range c.Peers {
				c.Peers[j].Pending = 0
			}
			records[i] = &c
		}
	}
	return records
}

// world is a random run: a rig with an entry VM and targets, lost and repeated
// messages, crashes of the owner and late commits.
type world struct {
	*rig
	begins   []*BeginCall
	attempts map[domain.CallID]uint32 // the highest attempt sent to a target
	runs     map[domain.CallID]int
	ended    map[domain.CallID]domain.Message
	started  []*BeginCall
}

func explore(t *testing.T, v *config.View, check func(must.T, *world)) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{rig: newRig(t, v), attempts: map[domain.CallID]uint32{}, runs: map[domain.CallID]int{}, ended: map[domain.CallID]domain.Message{}}
		// A local budget lets more of the random steps reach targets.
		w.log = append(w.log, &ledger.HolderState{Account: account, Month: ledger.MonthOf(start), Credited: 1e6})
		w.committed = len(w.log)
		w.takeover(0)
		w.manualCommit = true
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			w.act(t)
			w.now = w.now.Add(300 * time.Millisecond)
			check(t, w)
			w.checkCounts()
		}
		w.checkRebuild()
	})
}

// checkCounts compares the VM's counts with the calls in flight.
func (w *world) checkCounts() {
	inFlight, onTargets := 0, 0
	for _, c := range w.store.calls {
		if c.state != queued {
			inFlight++
		}
		if c.state == running {
			onTargets++
		}
	}
	for _, calls := range w.vm.inFlightByTarget {
		onTargets -= len(calls)
	}
	must.Eq(w.t, inFlight, w.vm.inFlightByAccount[account])
	must.Eq(w.t, 0, onTargets)
}

func (w *world) act(t *rapid.T) {
	action := rapid.IntRange(0, 15).Draw(t, "action")
	var b *BeginCall
	if len(w.begins) > 0 {
		b = w.begins[rapid.IntRange(0, len(w.begins)-1).Draw(t, "call")]
	}
	if n := len(w.started); n > 0 && rapid.Bool().Draw(t, "newest") {
		b = w.started[n-1]
	}
	switch {
	case action == 0 || b == nil:
		w.begin(t)
	case action == 1:
		resend := *b
		resend.Attempts = w.attempts[b.Call]
		w.step(&resend)
	case action <= 3:
		w.place(rapid.SampledFrom([]domain.Target{"t1", "t2"}).Draw(t, "target"), true)
	case action <= 5:
		if w.attempts[b.Call] > 0 {
			w.step(finish(b, w.attempts[b.Call], domain.Tokens(rapid.IntRange(0, 30).Draw(t, "generated"))))
		}
	case action == 6:
		w.fail(t, b)
	case action == 7:
		w.takeover(rapid.IntRange(0, 3).Draw(t, "lost"))
	case action == 8:
		w.apply(w.store.Tick(w.now))
	case action == 9:
		if rapid.IntRange(0, 3).Draw(t, "end") == 0 {
			w.step(&EndProgram{Request: "r", From: entry, Program: b.Program})
		}
	default:
		w.commit(rapid.IntRange(w.committed, len(w.log)).Draw(t, "commit"))
		w.receive()
	}
}

func (w *world) begin(t *rapid.T) {
	b := begin(fmt.Sprint("c", len(w.begins)), rapid.SampledFrom([]string{"p", "q", "child"}).Draw(t, "program"))
	if b.Program.Name == "child" {
		b.Parent = "p"
	}
	if rapid.Bool().Draw(t, "run once") {
		b.RunOnce, b.Key = true, rapid.SampledFrom([]string{"", "k1", "k2"}).Draw(t, "key")
		b.Fingerprint = sha256.Sum256([]byte(b.Key))
	}
	w.begins = append(w.begins, b)
	w.step(b)
}

// fail reports a failure. It does not report a call as not sent after it was
// sent.
func (w *world) fail(t *rapid.T, b *BeginCall) {
	kind := rapid.SampledFrom([]FailKind{FailCrashed, FailCrashed, FailErrored, FailTimedOut, FailCallerGone, FailCancelled}).Draw(t, "kind")
	switch n := w.attempts[b.Call]; {
	case kind == FailCallerGone:
		w.step(&CallEnded{Call: b.Call, Entry: b.Entry, Program: b.Program})
	case kind == FailCancelled && rapid.Bool().Draw(t, "cancel"):
		w.apply(w.store.Cancel(w.now, b.Call, domain.ReasonKeyWithdrawn))
	case n > 0:
		w.step(failure(b, n, kind, "t1", uint64(len(w.log))))
	}
}

// receive delivers the messages to the entry VM, which sends each attempt once.
func (w *world) receive() {
	for _, m := range w.sent {
		switch m := m.(type) {
		case *StartCall:
			if w.ended[m.Call] == nil && m.Attempt > w.attempts[m.Call] {
				w.attempts[m.Call] = m.Attempt
				w.runs[m.Call]++
				i := slices.IndexFunc(w.begins, func(b *BeginCall) bool { return b.Call == m.Call })
				w.started = append(w.started, w.begins[i])
			}
		case *CallCommitted:
			w.ended[m.Call] = m
		case *CallRefused:
			w.ended[m.Call] = m
		}
	}
	w.sent = nil
}

// finishSent reports the answer of a call if the entry VM has sent the call.
func (w *world) finishSent(b *BeginCall) {
	if n := w.attempts[b.Call]; n > 0 {
		w.step(finish(b, n, 1))
	}
}
