package controller

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/mangoknot/mangoknot/adapter/codec"
	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/entry"
	"github.com/mangoknot/mangoknot/core/program"
	"github.com/mangoknot/mangoknot/core/raft"
	"github.com/mangoknot/mangoknot/core/shard"
)

// The tests of this file measure the slopes of docs/CAPACITY.md. Environment
// variables set the sizes; without them, make test runs only the smallest one.
const (
	slopeNodes    = "MANGOKNOT_SLOPE_NODES"
	slopeAccounts = "MANGOKNOT_SLOPE_ACCOUNTS"
	slopeWindow   = "MANGOKNOT_SLOPE_SECONDS"
	slopeCalls    = "MANGOKNOT_SLOPE_CALLS"
	slopeTargets  = "MANGOKNOT_SLOPE_TARGETS"
)

func slopeSetting(t *testing.T, name string, defaults ...int) []int {
	text := os.Getenv(name)
	if text == "" {
		return defaults
	}
	var out []int
	for _, part := range strings.Split(text, ",") {
		n, err := strconv.Atoi(part)
		must.NoError(t, err)
		out = append(out, n)
	}
	return out
}

// fleet simulates controllers like world and also measures the messages that each
// VM sends and the processing time of its steps. It starts with a complete
// configuration.
type fleet struct {
	*world
	members map[domain.VM]*member
	codec   *codec.Codec
	count   bool
	byName  map[string]*traffic
	encoded map[domain.Message]int
	// applied holds the times at which VMs applied a version.
	applied map[uint64][]time.Time
	ended   map[string]int
}

type traffic struct{ messages, bytes int }

// member is a VM of a fleet. It uses the streams and replies of vm.
type member struct {
	*vm
	fleet *fleet
	sent  traffic
	busy  time.Duration
	steps int
}

// centresOf returns the number of data centres of a fleet, which is between 3 and
// 22.
func centresOf(nodes int) int { return min(22, max(3, nodes/16)) }

func newFleet(t *testing.T, nodes, accounts, targets int) *fleet {
	c, err := codec.New(Messages(), Records())
	must.NoError(t, err)
	w := &world{
		t: t, now: time.Unix(1_790_000_000, 0).UTC(), rand: rand.New(rand.NewPCG(uint64(nodes), 1)),
		cut: func(domain.VM, domain.VM) bool { return false },
	}
	f := &fleet{
		world: w, members: map[domain.VM]*member{}, codec: c, byName: map[string]*traffic{},
		encoded: map[domain.Message]int{}, applied: map[uint64][]time.Time{}, ended: map[string]int{},
	}
	centres := centresOf(nodes)
	for i := range nodes {
		w.names = append(w.names, domain.VM(fmt.Sprintf("dc%02d-%02d", i%centres, i/centres)))
	}
	voters := slices.Clone(w.names[:3])
	state := f.configuration(voters, accounts, targets)
	snapshot := &raft.Snapshot{Index: raft.Index(state.AppliedIndex()), Term: 1, Members: raft.Members{Voters: voters}, Data: state.Snapshot()}
	for _, name := range w.names {
		m := &member{fleet: f, vm: &vm{world: w, up: true, streams: map[Stream][]domain.Record{}, replies: map[Ticket][]Reply{}}}
		m.config = slopeConfig(name, voters, w.rand)
		var restored Restored
		if m.config.HasDisk {
			restored.Raft.Snapshot = snapshot
			restored.Raft.HardState.Term = 1
		}
		for _, a := range state.View().Assignments() {
			if a.Owner == name || a.Backup == name {
				restored.Shards = append(restored.Shards, &shard.StoredComplete{Shard: a.Shard})
			}
		}
		m.ctl = New(m.config, restored, w.now)
		f.members[name] = m
	}
	for _, name := range w.names {
		f.members[name].step(Wake{})
	}
	return f
}

func slopeConfig(name domain.VM, voters []domain.VM, r *rand.Rand) Config {
	dc := domain.DataCentre(name[:4])
	seeds := map[domain.VM]string{}
	for _, voter := range voters {
		seeds[voter] = "10.0.0.1:1"
	}
	return Config{
		VM: name, DataCentre: dc, Region: slopeRegion(dc), PeerAddress: "10.0.0.1:1", Incarnation: 1,
		HasDisk: slices.Contains(voters, name), Voters: voters, Seeds: seeds, Rand: rand.New(rand.NewPCG(r.Uint64(), 2)),
	}
}

// slopeRegion returns the region of a data centre. A region has three data
// centres.
func slopeRegion(dc domain.DataCentre) domain.Region {
	number, _ := strconv.Atoi(string(dc[2:]))
	return domain.Region(fmt.Sprintf("r%d", number/3))
}

// configuration returns a state in which every VM is registered and every shard is
// assigned by the planner.
func (f *fleet) configuration(voters []domain.VM, accounts, targets int) *config.State {
	state := config.NewState()
	index := uint64(0)
	apply := func(command config.Command) {
		index++
		result := state.Apply(index, &config.Change{Command: command})
		must.Eq(f.t, config.Applied, result.Rejection, must.Sprint(result.Message))
	}
	var candidates []shard.Candidate
	var centres []domain.DataCentre
	for _, name := range f.names {
		c := slopeConfig(name, voters, f.rand)
		apply(&config.PutVM{VM: config.VMSpec{Name: name, DataCentre: c.DataCentre, Region: c.Region, PeerAddress: c.PeerAddress, HasDisk: c.HasDisk, Incarnation: 1}})
		candidates = append(candidates, shard.Candidate{VM: name, DataCentre: c.DataCentre, Alive: true, Eligible: true})
		if !slices.Contains(centres, c.DataCentre) {
			centres = append(centres, c.DataCentre)
		}
	}
	apply(&config.SetHomes{DataCentres: centres})
	apply(&config.SetVoters{Voters: slices.Sorted(slices.Values(voters))})
	apply(&config.PutModel{Model: config.ModelSpec{Name: "m", PromptPrice: 1_000_000, CachedPrice: 100_000, GeneratedPrice: 2_000_000, MaxContext: 100_000}})
	for i := range accounts {
		name := domain.Account(fmt.Sprintf("account-%d", i))
		apply(&config.PutAccount{Account: config.AccountSpec{Name: name, RatePerSecond: 2000, Burst: 4000, Weight: 1, MonthlyBudget: 1 << 50, ProgramBudget: 10_000_000}})
		apply(&config.PutKey{Key: config.KeySpec{ID: config.KeyID("key-" + name), Hash: config.KeyHash{byte(i), byte(i >> 8)}, Account: name}})
	}
	for i := range targets {
		dc := centres[i%len(centres)]
		apply(&config.PutTarget{Target: config.TargetSpec{
			Name: domain.Target(fmt.Sprintf("engine-%d", i)), Kind: config.TargetEngine, Address: "10.0.0.9:1", DataCentre: dc,
			Region: slopeRegion(dc), Models: []domain.ModelName{"m"}, CacheTokens: 100_000, MaxBatch: 32,
		}})
	}
	for {
		plan := (shard.Planner{}).Plan(state.View(), candidates)
		if len(plan) == 0 {
			return state
		}
		for _, assign := range plan {
			// No process is running, so a learner has no records to copy and becomes
			// the backup directly.
			if assign.Assignment.Learner != "" {
				assign.Assignment.Backup, assign.Assignment.Learner = assign.Assignment.Learner, ""
			}
			apply(assign)
		}
	}
}

func (m *member) step(in Input) {
	f := m.fleet
	begun := time.Now()
	out := m.ctl.Step(f.now, in)
	wake := m.ctl.NextWake()
	m.busy += time.Since(begun)
	m.steps++
	m.execute(out)
	if m.wakeAt.IsZero() || wake.Before(m.wakeAt) {
		m.wakeAt = wake
		f.at(wake, func() {
			if m.wakeAt.Equal(wake) {
				m.wakeAt = time.Time{}
				m.checkSpin()
				m.step(Wake{})
			}
		})
	}
}

func (m *member) execute(out Output) {
	f := m.fleet
	for _, write := range out.Writes {
		f.after(diskDelay, func() { m.step(Persisted{Stream: write.Stream, Token: write.Token}) })
	}
	for _, s := range out.Sends {
		m.tally(s.Body)
		f.after(linkDelay, func() { f.members[s.To].step(PeerMessage{From: m.config.VM, Body: s.Body}) })
	}
	if out.View != nil {
		m.view = out.View
		f.applied[out.View.Version()] = append(f.applied[out.View.Version()], f.now)
	}
	if out.State != nil {
		m.state = out.State
	}
	for _, r := range out.Replies {
		m.reply(r)
	}
}

func (m *member) tally(body domain.Message) {
	f := m.fleet
	if !f.count {
		return
	}
	// A broadcast message is encoded once.
	size, known := f.encoded[body]
	if !known {
		data, err := f.codec.EncodeMessage(body)
		must.NoError(f.t, err)
		size = len(data)
		f.encoded[body] = size
	}
	if f.byName[body.MessageName()] == nil {
		f.byName[body.MessageName()] = &traffic{}
	}
	for _, t := range []*traffic{&m.sent, f.byName[body.MessageName()]} {
		t.messages++
		t.bytes += size
	}
}

func (m *member) reply(r Reply) {
	f := m.fleet
	switch body := r.Body.(type) {
	case ChangeReply:
		m.replies[r.Ticket] = append(m.replies[r.Ticket], r)
	case *domain.Refusal:
		f.ended[string(body.Reason)]++
	case entry.Event:
		switch {
		case body.Committed != nil:
			f.ended["committed"]++
		case body.Refused != nil:
			f.ended[string(body.Refused.Reason)]++
		case body.Start != nil:
			start := body.Start
			f.after(50*time.Millisecond, func() {
				m.step(FinishCall{Finish: program.FinishCall{
					Call: start.Call, Program: start.Program, Attempt: start.Attempt, FirstToken: 25 * time.Millisecond,
					Turn: program.HistoryRef{Length: 1},
				}})
			})
		}
	}
}

// begin schedules the calls of one second, evenly distributed over VMs and
// accounts.
func (f *fleet) begin(perNode, accounts, second int) {
	total := perNode * len(f.names)
	for i := range total {
		m := f.members[f.names[i%len(f.names)]]
		account := domain.Account(fmt.Sprintf("account-%d", i%accounts))
		f.tickets++
		ticket := f.tickets
		begin := program.BeginCall{
			Call: domain.CallID(fmt.Sprintf("call-%d", ticket)), Model: "m", PromptTokens: 100, TokenLimit: 100,
			Program: domain.ProgramID{Account: account, Name: domain.ProgramName(fmt.Sprintf("p-%d-%d@%s", second, i, m.config.DataCentre))},
		}
		f.after(time.Duration(i)*time.Second/time.Duration(total), func() {
			begin.Arrived = f.now
			m.step(BeginCall{Ticket: ticket, Key: config.KeyID("key-" + account), Begin: begin})
		})
	}
}

// measure runs a phase and logs the load of the VMs per second.
func (f *fleet) measure(phase string, seconds int, each func(second int)) {
	for _, m := range f.members {
		m.sent, m.busy, m.steps = traffic{}, 0, 0
	}
	clear(f.byName)
	clear(f.ended)
	f.count = true
	for i := range seconds {
		each(i)
		f.run(time.Second)
		clear(f.encoded)
	}
	f.count = false
	s := float64(seconds)
	var all []*member
	for _, name := range f.names {
		all = append(all, f.members[name])
	}
	slices.SortFunc(all, func(a, b *member) int { return cmp.Compare(a.busy, b.busy) })
	median, worst := all[len(all)/2], all[len(all)-1]
	topSender := slices.MaxFunc(all, func(a, b *member) int { return cmp.Compare(a.sent.bytes, b.sent.bytes) })
	bytes, messages, busy := 0, 0, time.Duration(0)
	for _, m := range all {
		bytes, messages, busy = bytes+m.sent.bytes, messages+m.sent.messages, busy+m.busy
	}
	n := float64(len(all))
	f.t.Logf("%s: mean %.1f messages/s, %.0f B/s, %.3f%% of a core; most bytes %s %.1f messages/s, %.0f B/s; core median %.3f%%, worst %s %.3f%%, %.0f steps/s",
		phase, float64(messages)/n/s, float64(bytes)/n/s, busy.Seconds()*100/n/s, topSender.config.VM, float64(topSender.sent.messages)/s, float64(topSender.sent.bytes)/s,
		median.busy.Seconds()*100/s, worst.config.VM, worst.busy.Seconds()*100/s, float64(worst.steps)/s)
	for _, voter := range f.names[:3] {
		m := f.members[voter]
		f.t.Logf("%s:   voter %s %.1f messages/s, %.0f B/s, %.3f%% of a core, leads %v", phase, voter, float64(m.sent.messages)/s, float64(m.sent.bytes)/s, m.busy.Seconds()*100/s, m.ctl.hasLeaderLease())
	}
	for _, name := range sortedByBytes(f.byName) {
		f.t.Logf("%s:   %-28s %.2f messages/s, %.0f B/s for each VM", phase, name, float64(f.byName[name].messages)/n/s, float64(f.byName[name].bytes)/n/s)
	}
	if len(f.ended) > 0 {
		f.t.Logf("%s:   ended %v", phase, f.ended)
	}
}

func sortedByBytes(m map[string]*traffic) []string {
	var names []string
	for name := range m {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(m[b].bytes, m[a].bytes) })
	return names[:min(len(names), 8)]
}

func (f *fleet) serving() bool {
	for _, m := range f.members {
		if m.state == nil || !m.state.Serving {
			return false
		}
	}
	return true
}

// delays returns the sorted times from the proposal of a change until each VM
// applied it.
func (f *fleet) delays(changes int) []time.Duration {
	var out []time.Duration
	for i := range changes {
		through := f.members[f.names[i*7%len(f.names)]]
		f.tickets++
		ticket, begun := f.tickets, f.now
		through.step(Change{Ticket: ticket, Change: config.Change{
			Operation: domain.OperationID(fmt.Sprintf("slope-%d", ticket)),
			Command:   &config.PutAccount{Account: config.AccountSpec{Name: "changed", RatePerSecond: float64(i + 1), Burst: 10, Weight: 1, MonthlyBudget: 1}},
		}})
		must.True(f.t, f.until(15*time.Second, func() bool { return len(through.replies[ticket]) > 0 }))
		reply := through.replies[ticket][0].Body.(ChangeReply)
		must.Nil(f.t, reply.Refusal)
		must.True(f.t, f.until(15*time.Second, func() bool { return f.inForce(reply.Version) }))
		for version, times := range f.applied {
			if version == reply.Version {
				for _, at := range times {
					out = append(out, at.Sub(begun))
				}
			}
		}
		f.run(time.Second / 2)
	}
	slices.Sort(out)
	return out
}

func (f *fleet) inForce(version uint64) bool {
	for _, m := range f.members {
		if m.view == nil || m.view.Version() < version {
			return false
		}
	}
	return true
}

func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Guards against a fleet that does not serve after a start with a stored
// configuration, and against a change that is not in force on all VMs within 15 s.
// The logged figures are the slopes. Environment variables set the nodes (a list),
// the client accounts, the measured seconds, and for each node the calls per second
// and the targets.
func TestSlopes(t *testing.T) {
	accounts := slopeSetting(t, slopeAccounts, 8)[0]
	window := slopeSetting(t, slopeWindow, 2)[0]
	calls := slopeSetting(t, slopeCalls, 28)[0]
	targets := slopeSetting(t, slopeTargets, 8)[0]
	for _, nodes := range slopeSetting(t, slopeNodes, 6) {
		t.Run(fmt.Sprintf("nodes=%d,accounts=%d,targets=%d", nodes, accounts, nodes*targets), func(t *testing.T) {
			before := heapInUse()
			begun := time.Now()
			f := newFleet(t, nodes, accounts, nodes*targets)
			t.Logf("built in %v", time.Since(begun).Round(time.Millisecond))
			f.measure("start", 4, func(int) {})
			must.True(t, f.until(30*time.Second, f.serving), must.Sprint("not serving"))
			f.run(2 * time.Second)
			t.Logf("started after %v, %d data centres; heap %.2f MB for each VM", time.Since(begun).Round(time.Millisecond), centresOf(nodes), float64(heapInUse()-before)/1e6/float64(nodes))
			f.measure("idle", window, func(int) {})
			var delays []time.Duration
			f.measure("changes", 1, func(int) { delays = f.delays(window) })
			t.Logf("accepted to in force over %d changes (the phase's figures are sums over all of them): median %v, worst %v", window, delays[len(delays)/2], delays[len(delays)-1])
			must.Less(t, 15*time.Second, delays[len(delays)-1])
			if calls > 0 && targets > 0 {
				without := heapInUse()
				f.measure("calls", window, func(second int) { f.begin(calls, accounts, second) })
				must.Positive(t, f.ended["committed"])
				t.Logf("heap of a program with one call, on owner and backup together: %.0f B", float64(heapInUse()-without)/float64(f.ended["committed"]))
			}
		})
	}
}
