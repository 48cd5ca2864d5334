package relay

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/mangoknot/mangoknot/adapter/codec"
	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/raft"
)

// TestMain fixes the seed of rapid to make runs reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	m.Run()
}

const (
	testDelay = 2 * time.Millisecond
	testStep  = 10 * time.Millisecond
)

type testVM struct {
	relay     *Relay
	state     *config.State
	answers   []Answer
	keys      []config.KeyID
	dead      bool
	partition int
}

type delivery struct {
	at       time.Time
	from, to domain.VM
	body     domain.Message
}

// fleet simulates the relays of all VMs in virtual time. The log is a slice, to
// which the leader's proposals are committed without delay.
type fleet struct {
	t            must.T
	now          time.Time
	nodes        []Node
	vms          map[domain.VM]*testVM
	network      []delivery
	log          []Entry
	leader       domain.VM
	sentMessages int
	loss         float64
	rand         *rand.Rand
	observe      func(domain.Message)
}

func node(name, dc string, voter bool) Node {
	return Node{VM: domain.VM(name), DataCentre: domain.DataCentre(dc), Region: domain.Region(dc[:1]), Voter: voter}
}

func newFleet(t must.T, tail int, nodes ...Node) *fleet {
	f := &fleet{t: t, now: time.Unix(1000, 0), nodes: nodes, vms: map[domain.VM]*testVM{}, rand: rand.New(rand.NewPCG(1, 1))}
	for _, n := range nodes {
		f.start(n.VM, tail)
	}
	f.setLeader(nodes[0].VM)
	return f
}

func (f *fleet) start(id domain.VM, tail int) {
	source := rand.New(rand.NewPCG(domain.Hash64(string(id)), 1))
	v := &testVM{relay: New(Config{Self: id, TailEntries: tail, Rand: source}, f.now), state: config.NewState()}
	f.vms[id] = v
	f.applyEffects(id, v.relay.SetNodes(f.now, f.nodes))
	for _, n := range f.nodes {
		if n.VM == id && n.Voter {
			f.commit(id, f.log)
			f.applyEffects(id, v.relay.SetLeader(f.now, f.leader))
		}
	}
}

func (f *fleet) setLeader(id domain.VM) {
	f.leader = id
	for _, n := range f.nodes {
		if n.Voter {
			f.applyEffects(n.VM, f.vms[n.VM].relay.SetLeader(f.now, id))
		}
	}
}

func (f *fleet) applyEffects(id domain.VM, e Effects) {
	v := f.vms[id]
	if e.Install != nil {
		must.Greater(f.t, v.state.AppliedIndex(), uint64(e.Install.Index))
		v.state = config.Restore(e.Install.State)
	}
	for _, entry := range e.Apply {
		f.apply(v, entry)
	}
	for _, s := range e.Sends {
		f.sentMessages++
		if f.observe != nil {
			f.observe(s.Body)
		}
		f.network = append(f.network, delivery{f.now.Add(testDelay), id, s.To, s.Body})
	}
	v.answers = append(v.answers, e.Answers...)
	v.keys = append(v.keys, e.Withdrawn...)
	if e.NeedSnapshot {
		must.Eq(f.t, uint64(v.relay.Applied()), v.state.AppliedIndex())
		f.applyEffects(id, v.relay.ProvideSnapshot(f.now, v.state.Snapshot()))
	}
	for _, p := range e.Proposals {
		f.propose(p.Change)
		f.applyEffects(id, v.relay.Answer(f.now, p.Change.Operation, config.Result{Version: v.state.Version()}))
	}
}

func (f *fleet) apply(v *testVM, entry Entry) {
	must.Eq(f.t, v.state.AppliedIndex()+1, uint64(entry.Index))
	v.state.Apply(uint64(entry.Index), entry.Change)
}

// propose appends a change to the log and commits it on all live voters.
func (f *fleet) propose(c *config.Change) {
	f.log = append(f.log, Entry{Index: raft.Index(len(f.log) + 1), Term: 1, Change: c})
	for _, n := range f.nodes {
		if n.Voter && !f.vms[n.VM].dead {
			f.commit(n.VM, f.log[f.vms[n.VM].relay.Applied():])
		}
	}
}

func (f *fleet) commit(id domain.VM, entries []Entry) {
	for _, entry := range entries {
		f.apply(f.vms[id], entry)
	}
	f.applyEffects(id, f.vms[id].relay.Committed(f.now, entries))
}

func (f *fleet) commitChanges(n int) {
	for range n {
		name := domain.Account(fmt.Sprintf("account-%d", len(f.log)))
		f.propose(&config.Change{
			Operation: domain.OperationID("op-" + name), Operator: "test",
			Command: &config.PutAccount{Account: config.AccountSpec{Name: name, RatePerSecond: 1, Burst: 1, Weight: 1}},
		})
	}
}

func (f *fleet) tick() {
	f.now = f.now.Add(testStep)
	due := f.network
	f.network = nil
	for _, d := range due {
		to := f.vms[d.to]
		switch {
		case d.at.After(f.now):
			f.network = append(f.network, d)
		case f.rand.Float64() < f.loss:
		case to != nil && !to.dead && !f.vms[d.from].dead && to.partition == f.vms[d.from].partition:
			f.applyEffects(d.to, to.relay.Step(f.now, d.from, d.body))
		}
	}
	for _, n := range f.nodes {
		if v := f.vms[n.VM]; !v.dead && !f.now.Before(v.relay.NextWake()) {
			f.applyEffects(n.VM, v.relay.Tick(f.now))
		}
	}
}

func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.tick()
	}
}

// checkConverged requires that all live VMs have applied the whole log and have
// the leader's state.
func (f *fleet) checkConverged() {
	for _, n := range f.nodes {
		if v := f.vms[n.VM]; !v.dead {
			must.Eq(f.t, uint64(len(f.log)), v.state.AppliedIndex(), must.Sprintf("%s is behind", n.VM))
			must.Eq(f.t, f.vms[f.leader].state.Snapshot(), v.state.Snapshot())
		}
	}
}

func smallFleet() []Node {
	return []Node{
		node("v1", "a1", true), node("v2", "a2", true), node("v3", "b1", true),
		node("f1", "a1", false), node("f2", "a1", false),
		node("g1", "c1", false), node("g2", "c1", false), node("g3", "c1", false), node("g4", "c1", false),
	}
}

// Guards against a follower that cannot catch up after hundreds of changes. It
// catches up from the tail, or by a snapshot when the tail is too short.
func TestCatchUpAfter300Changes(t *testing.T) {
	for _, tail := range []int{512, 64} {
		f := newFleet(t, tail, smallFleet()...)
		f.run(3 * time.Second)
		late := []domain.VM{"f1", "g1", "g2", "g3", "g4"}
		for _, id := range late {
			f.vms[id].dead = true
		}
		f.commitChanges(300)
		snapshots := 0
		f.observe = func(m domain.Message) {
			if _, ok := m.(*Snapshot); ok {
				snapshots++
			}
		}
		for _, id := range late {
			f.start(id, tail)
		}
		f.run(2 * time.Second)
		f.checkConverged()
		must.Eq(t, tail < 300, snapshots > 0)
		f.commitChanges(1)
		f.run(100 * time.Millisecond)
		f.checkConverged()
	}
}

// Guards against a data centre that stays behind for more than 5 s after its relay
// VM failed, and against a report that shows a change as in force too early.
func TestDeadParentIsReplaced(t *testing.T) {
	f := newFleet(t, 0, smallFleet()...)
	f.run(3 * time.Second)
	parent := f.vms["g1"].relay.parent
	if parent[0] == 'v' {
		parent = "g1"
	}
	f.vms[parent].dead = true
	f.commitChanges(1)
	_, no := f.vms["v1"].relay.InForce(1)
	must.SliceContains(t, no, domain.VM("g2"))
	f.run(5 * time.Second)
	f.checkConverged()
	f.run(7 * time.Second)
	yes, no := f.vms["v1"].relay.InForce(1)
	must.Eq(t, []domain.VM{parent}, no)
	must.SliceLen(t, len(f.nodes)-1, yes)
}

// Guards against reporting a new version as in force in a partitioned data centre,
// whose last summary is older than the change.
func TestReportDuringPartition(t *testing.T) {
	f := newFleet(t, 0, smallFleet()...)
	f.commitChanges(1)
	f.run(5 * time.Second)
	yes, _ := f.vms["v1"].relay.InForce(1)
	must.SliceLen(t, len(f.nodes), yes)
	for _, id := range []domain.VM{"g1", "g2", "g3", "g4"} {
		f.vms[id].partition = 1
	}
	f.commitChanges(1)
	f.run(3 * time.Second)
	_, no := f.vms["v1"].relay.InForce(2)
	must.Eq(t, []domain.VM{"g1", "g2", "g3", "g4"}, no)
}

// Guards against VMs that choose each other as parent, because their lists of live
// VMs differ, and receive no entries.
func TestParentLoop(t *testing.T) {
	f := newFleet(t, 0, node("v1", "a1", true), node("g1", "c1", false), node("g2", "c1", false))
	for _, pair := range [][2]domain.VM{{"g1", "g2"}, {"g2", "g1"}} {
		r := f.vms[pair[0]].relay
		for n := 0; r.parentCandidate(f.now) != pair[1] && n < 100; n++ {
			r.self.DataCentre = domain.DataCentre(fmt.Sprint("c", n))
			for i := range r.nodes {
				if !r.nodes[i].Voter {
					r.nodes[i].DataCentre = r.self.DataCentre
				}
			}
		}
		f.applyEffects(pair[0], r.Tick(f.now))
		must.Eq(t, pair[1], r.parent)
	}
	f.commitChanges(1)
	f.run(15 * time.Second)
	f.checkConverged()
}

// Guards against a proposal that is lost or answered twice. Proposals start on VMs
// that are not the leader, the leader changes, and one VM is partitioned off.
func TestProposeFromAnyVM(t *testing.T) {
	f := newFleet(t, 0, smallFleet()...)
	f.run(3 * time.Second)
	change := func(name string) *config.Change {
		return &config.Change{Operation: domain.OperationID(name), Command: &config.SetPreset{Name: config.PresetPeak}}
	}
	for i, n := range f.nodes {
		e, err := f.vms[n.VM].relay.Propose(f.now, change(fmt.Sprint("op", i)))
		must.NoError(t, err)
		f.applyEffects(n.VM, e)
	}
	f.run(100 * time.Millisecond)
	f.vms["v1"].dead = true
	e, err := f.vms["g1"].relay.Propose(f.now, change("moved"))
	must.NoError(t, err)
	f.applyEffects("g1", e)
	f.run(time.Second)
	f.setLeader("v2")
	f.run(3 * time.Second)
	for _, n := range f.nodes {
		want := 1
		if n.VM == "g1" {
			want = 2
		}
		must.SliceLen(t, want, f.vms[n.VM].answers, must.Sprint(n.VM))
		must.NotNil(t, f.vms[n.VM].answers[want-1].Result)
	}
	f.vms["g2"].partition = 1
	e, err = f.vms["g2"].relay.Propose(f.now, change("cut off"))
	must.NoError(t, err)
	f.applyEffects("g2", e)
	f.run(ProposeTimeout + time.Second)
	must.ErrorIs(t, f.vms["g2"].answers[1].Err, ErrNoAnswer)
}

// Guards against a withdrawn key that does not reach every VM within 5 s, and
// against sets that still differ 5 s after a partition healed.
func TestWithdrawnKeysReachAllVMs(t *testing.T) {
	f := newFleet(t, 0, smallFleet()...)
	for i, n := range f.nodes {
		f.vms[n.VM].partition = i % 2
		f.applyEffects(n.VM, f.vms[n.VM].relay.Withdraw(f.now, config.KeyID(fmt.Sprint("key", i%4))))
	}
	f.run(5 * time.Second)
	for i, n := range f.nodes {
		for k := range 4 {
			must.Eq(t, k%2 == i%2, f.vms[n.VM].relay.Withdrawn().Has(config.KeyID(fmt.Sprint("key", k))))
		}
	}
	for _, n := range f.nodes {
		f.vms[n.VM].partition = 0
	}
	f.run(5 * time.Second)
	for _, n := range f.nodes {
		must.Eq(t, []config.KeyID{"key0", "key1", "key2", "key3"}, f.vms[n.VM].relay.Withdrawn().Keys())
		must.SliceLen(t, 4, f.vms[n.VM].keys)
	}
}

// Guards against lost messages that leave a gap in the entries, and against a lost
// proposal that is not resent while the leader stays the same.
func TestLostMessages(t *testing.T) {
	f := newFleet(t, 0, smallFleet()...)
	f.run(3 * time.Second)
	f.loss = 0.5
	for range 20 {
		f.commitChanges(1)
		f.run(50 * time.Millisecond)
	}
	f.loss = 1
	f.commitChanges(1)
	e, err := f.vms["g1"].relay.Propose(f.now, &config.Change{Operation: "lost", Command: &config.SetPreset{Name: config.PresetPeak}})
	must.NoError(t, err)
	f.applyEffects("g1", e)
	f.run(100 * time.Millisecond)
	f.loss = 0
	f.run(2 * time.Second)
	must.SliceLen(t, 1, f.vms["g1"].answers)
	f.checkConverged()
}

// Guards against a set comparison after which one side lacks keys of the other.
func TestWithdrawnSetComparison(t *testing.T) {
	now := time.Unix(1, 0)
	a, b := New(Config{Self: "a"}, now), New(Config{Self: "b"}, now)
	a.Withdraw(now, "both", "only a")
	b.Withdraw(now, "both", "only b")
	buckets := b.Step(now, "a", &WithdrawnDigest{a.Withdrawn().Digest()})
	keys := a.Step(now, "b", buckets.Sends[0].Body)
	back := b.Step(now, "a", keys.Sends[0].Body)
	must.SliceLen(t, 1, back.Sends)
	a.Step(now, "b", back.Sends[0].Body)
	must.Eq(t, []config.KeyID{"both", "only a", "only b"}, a.Withdrawn().Keys())
	must.Eq(t, a.Withdrawn().Keys(), b.Withdrawn().Keys())
}

// Guards against a set whose content depends on the order of merges, and against
// a delta that omits a key.
func TestWithdrawnSetProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := rapid.SliceOf(rapid.Map(rapid.IntRange(0, 500), func(i int) config.KeyID { return config.KeyID(fmt.Sprint(i)) }))
		left, right := ids.Draw(t, "left"), ids.Draw(t, "right")
		var a, b, all WithdrawnSet
		a.Merge(left...)
		b.Merge(right...)
		all.Merge(slices.Concat(right, left, right)...)
		fromA, differ := a.Delta(b.Sums())
		fromB, _ := b.Delta(a.Sums())
		must.Eq(t, a.Digest() == b.Digest(), len(differ) == 0)
		a.Merge(fromB...)
		b.Merge(fromA...)
		must.Eq(t, all.Keys(), a.Keys())
		must.Eq(t, all.Digest(), a.Digest())
		must.Eq(t, a.Digest(), b.Digest())
	})
}

// Guards against control traffic above the limit of 9 KB/s for each VM. It measures
// one second of heartbeats, and one change, with 5 voters and 360 followers in 22
// data centres. The elapsed time covers all 365 VMs.
func BenchmarkFanOut(b *testing.B) {
	var nodes []Node
	for i := range 5 {
		nodes = append(nodes, node(fmt.Sprint("voter-", i), fmt.Sprintf("%d-dc", i), true))
	}
	for i := range 360 {
		nodes = append(nodes, node(fmt.Sprintf("vm-%03d", i), fmt.Sprintf("%d-dc%d", i%22%8, i%22), false))
	}
	c, err := codec.New(Messages(), config.Records())
	must.NoError(b, err)
	f := newFleet(b, 0, nodes...)
	f.commitChanges(5)
	f.run(5 * time.Second)
	f.checkConverged()
	f.sentMessages = 0
	for b.Loop() {
		f.run(time.Second)
	}
	elapsed, sent := b.Elapsed(), f.sentMessages
	b.ReportMetric(float64(sent)/float64(b.N), "messages/s")
	b.ReportMetric(float64(elapsed.Microseconds())/float64(b.N)/float64(len(nodes)), "us/VM/s")
	b.ReportMetric(float64(f.encodedBytes(c, 0)), "bytes/s")
	b.ReportMetric(float64(f.maxBytesOfOneVM(c)), "busiest-VM-bytes/s")
	b.ReportMetric(float64(f.encodedBytes(c, 1)-f.encodedBytes(c, 0)), "bytes/change")
}

// encodedBytes returns the encoded size of all messages of one second with a
// number of changes.
func (f *fleet) encodedBytes(c *codec.Codec, changes int) (bytes int) {
	f.observe = func(m domain.Message) {
		data, err := c.EncodeMessage(m)
		must.NoError(f.t, err)
		bytes += len(data)
	}
	f.commitChanges(changes)
	f.run(time.Second)
	f.observe = nil
	return bytes
}

// maxBytesOfOneVM returns the largest number of bytes that one VM sends and
// receives in a second without changes.
func (f *fleet) maxBytesOfOneVM(c *codec.Codec) int {
	bytes := map[domain.VM]int{}
	for end := f.now.Add(time.Second); f.now.Before(end); f.tick() {
		for _, d := range f.network {
			data, err := c.EncodeMessage(d.body)
			must.NoError(f.t, err)
			bytes[d.from] += len(data)
			bytes[d.to] += len(data)
		}
	}
	top := 0
	for _, n := range bytes {
		top = max(top, n)
	}
	return top
}
