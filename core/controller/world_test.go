package controller

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/entry"
	"github.com/mangoknot/mangoknot/core/program"
)

// event is a function that runs at a simulated time. order breaks ties.
type event struct {
	at    time.Time
	order int
	run   func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// vm is a simulated VM: one controller with its durable streams.
type vm struct {
	world   *world
	config  Config
	ctl     *Controller
	process int
	streams map[Stream][]domain.Record
	replies map[Ticket][]Reply
	view    *config.View
	state   *State
	// wakeAt is the time of the scheduled wake-up, so that only one is in effect.
	wakeAt  time.Time
	wokenAt time.Time
	wakes   int
	up      bool
	// offset and drift are the differences of the VM's clock from simulated time:
	// a constant and a relative rate.
	offset time.Duration
	drift  float64
	// diskError is the error of every write, or nil.
	diskError error
}

// world simulates a system: it runs controllers in one goroutine with a manual
// clock and an in-memory network.
type world struct {
	t     *testing.T
	now   time.Time
	start time.Time
	order int
	queue eventQueue
	rand  *rand.Rand
	vms   map[domain.VM]*vm
	names []domain.VM
	// cut reports whether messages from one VM to another are lost.
	cut func(from, to domain.VM) bool
	// engine handles StartCall in place of a target.
	engine  func(v *vm, start *program.StartCall)
	tickets Ticket
	log     []string
	faults  faults
	// started lists the attempts that reached a target.
	started []arrival
}

const (
	linkDelay = time.Millisecond
	diskDelay = 2 * time.Millisecond
)

// newWorld starts VMs named a1, a2, b1, b2, …, where the letter is the data
// centre. The first VM of each data centre is a voter with a disk.
func newWorld(t *testing.T, seed uint64, centres, vmsPerCentre int) *world {
	return newWorldWith(t, seed, centres, vmsPerCentre, func(*vm) {})
}

// newWorldWith is newWorld with a function that adjusts each VM before its first
// start.
func newWorldWith(t *testing.T, seed uint64, centres, vmsPerCentre int, adjust func(*vm)) *world {
	w := &world{
		t: t, now: time.Unix(1_790_000_000, 0).UTC(), rand: rand.New(rand.NewPCG(seed, 1)),
		vms: map[domain.VM]*vm{},
	}
	w.start, w.faults = w.now, newFaults()
	w.cut = w.faults.lost
	w.engine = func(v *vm, start *program.StartCall) { w.answer(v, start, 50*time.Millisecond) }
	seeds := map[domain.VM]string{}
	var voters []domain.VM
	for c := range centres {
		for i := range vmsPerCentre {
			name := domain.VM(fmt.Sprintf("%c%d", 'a'+c, i+1))
			w.names = append(w.names, name)
			seeds[name] = "10.0.0.1:1"
			if i == 0 {
				voters = append(voters, name)
			}
		}
	}
	for _, name := range w.names {
		dc := domain.DataCentre(name[:1])
		v := &vm{world: w, streams: map[Stream][]domain.Record{}, replies: map[Ticket][]Reply{}}
		v.config = Config{
			VM: name, DataCentre: dc, Region: domain.Region(dc), PeerAddress: "10.0.0.1:1",
			HasDisk: slices.Contains(voters, name), Voters: voters, Seeds: seeds,
		}
		w.vms[name] = v
		adjust(v)
		v.start()
	}
	return w
}

func (w *world) at(t time.Time, run func()) {
	w.order++
	heap.Push(&w.queue, event{t, w.order, run})
}

func (w *world) after(d time.Duration, run func()) { w.at(w.now.Add(d), run) }

// run advances the simulated time by d and runs the events that are due.
func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
	}
	w.now = end
}

// until runs until the condition holds or the limit has passed. It reports whether
// the condition holds.
func (w *world) until(limit time.Duration, condition func() bool) bool {
	for end := w.now.Add(limit); w.now.Before(end); w.run(10 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}

func (v *vm) start() {
	v.process++
	v.up = true
	c := v.config
	c.Incarnation = uint64(v.clock().UnixNano())
	c.Rand = rand.New(rand.NewPCG(v.world.rand.Uint64(), 2))
	var restored Restored
	for _, r := range v.streams[StreamRaft] {
		must.NoError(v.world.t, restored.Raft.Apply(r))
	}
	restored.Shards = slices.Clone(v.streams[StreamShards])
	for _, r := range v.streams[StreamKeys] {
		restored.Withdrawn = append(restored.Withdrawn, r.(*WithdrawnKey).Key)
	}
	v.ctl = New(c, restored, v.clock())
	v.wakeAt = time.Time{}
	v.step(Wake{})
}

// kill ends the VM's process. A VM without a disk loses its records.
func (v *vm) kill() {
	v.up = false
	v.process++
	if !v.config.HasDisk {
		v.streams = map[Stream][]domain.Record{}
	}
}

func (v *vm) step(in Input) {
	if !v.up {
		return
	}
	v.execute(v.ctl.Step(v.clock(), in))
	if wake := v.worldTime(v.ctl.NextWake()); v.wakeAt.IsZero() || wake.Before(v.wakeAt) {
		v.wakeAt = wake
		process := v.process
		v.world.at(wake, func() {
			if v.process == process && v.wakeAt.Equal(wake) {
				v.wakeAt = time.Time{}
				v.checkSpin()
				v.step(Wake{})
			}
		})
	}
}

// maxWakesAtOnce is the allowed number of wake-ups at one simulated time. It is far
// above the number that a correct controller requests.
const maxWakesAtOnce = 1000

// checkSpin fails the test when the wake-up time stays in the past, which would
// make the control goroutine spin.
func (v *vm) checkSpin() {
	if !v.wokenAt.Equal(v.world.now) {
		v.wokenAt, v.wakes = v.world.now, 0
	}
	v.wakes++
	if v.wakes > maxWakesAtOnce {
		v.world.t.Fatalf("%s spins; overdue parts: %v", v.config.VM, v.overdue())
	}
}

func (v *vm) overdue() []string {
	c := v.ctl
	parts := map[string]time.Time{
		"relay": c.relay.NextWake(), "membership": c.members.NextWake(), "shard": c.shards.NextWake(),
		"root": c.root.NextWake(), "holder": c.holder.NextWake(), "admission": c.admission.NextWake(),
		"entry": c.calls.NextWake(), "schedule": c.scheduler.NextWake(), "plan": c.nextPeriodicRun,
	}
	if c.raft != nil {
		parts["raft"] = c.raft.NextWake()
	}
	for id, owned := range c.stores {
		parts[id.String()] = owned.store.NextWake()
	}
	var out []string
	for name, at := range parts {
		if !at.IsZero() && !at.After(c.now) {
			out = append(out, fmt.Sprintf("%s by %v", name, c.now.Sub(at)))
		}
	}
	return out
}

func (v *vm) execute(out Output) {
	w := v.world
	process := v.process
	for _, write := range out.Writes {
		w.after(diskDelay, func() {
			if v.process != process {
				return
			}
			if v.diskError != nil {
				v.step(Persisted{Stream: write.Stream, Token: write.Token, Err: v.diskError})
				return
			}
			if write.Replace {
				v.streams[write.Stream] = nil
			}
			v.streams[write.Stream] = append(v.streams[write.Stream], write.Records...)
			v.step(Persisted{Stream: write.Stream, Token: write.Token})
		})
	}
	for _, s := range out.Sends {
		w.after(linkDelay, func() {
			if to := w.vms[s.To]; to != nil && !w.cut(v.config.VM, s.To) && !w.faults.silentFor(v.config.VM, s.To, s.Body) {
				to.step(PeerMessage{From: v.config.VM, Body: s.Body})
			}
		})
	}
	if out.View != nil {
		v.view = out.View
	}
	if out.State != nil {
		v.state = out.State
	}
	for _, to := range out.ReplaceConnections {
		w.faults.replaced(v.config.VM, to)
	}
	for _, line := range out.Log {
		w.log = append(w.log, fmt.Sprintf("%s %s %s: %s %v", w.now.Format("05.000"), v.config.VM, line.Part, line.Text, line.Pairs))
	}
	for _, r := range out.Releases {
		w.after(linkDelay, func() { v.step(ReleaseDone{Release: r}) })
	}
	for _, r := range out.Replies {
		v.replies[r.Ticket] = append(v.replies[r.Ticket], r)
		if e, ok := r.Body.(entry.Event); ok && e.Start != nil {
			start := e.Start
			w.after(0, func() {
				if v.process == process {
					w.started = append(w.started, arrival{w.now, v.config.VM, start})
					w.engine(v, start)
				}
			})
		}
	}
	if out.State != nil && out.State.Fatal != nil {
		// The daemon ends the process when the controller reports a fatal error.
		w.after(0, func() {
			if v.process == process {
				v.kill()
			}
		})
	}
}

// answer finishes an attempt after the duration d.
func (w *world) answer(v *vm, start *program.StartCall, d time.Duration) {
	process := v.process
	w.after(d, func() {
		if v.process == process {
			v.step(FinishCall{Finish: program.FinishCall{
				Call: start.Call, Program: start.Program, Attempt: start.Attempt, FirstToken: d / 2,
				Usage: domain.Usage{Prompt: 100, Generated: 20}, Turn: turnOf(start.Call),
			}})
		}
	})
}

// change proposes an operator's command through a VM and returns its outcome.
func (w *world) change(through domain.VM, operation string, command config.Command) ChangeReply {
	w.t.Helper()
	w.tickets++
	ticket, v := w.tickets, w.vms[through]
	v.step(Change{Ticket: ticket, Change: config.Change{Operation: domain.OperationID(operation), Command: command}})
	must.True(w.t, w.until(15*time.Second, func() bool { return len(v.replies[ticket]) > 0 }))
	return v.replies[ticket][0].Body.(ChangeReply)
}

// call starts a call at a VM and returns its ticket.
func (w *world) call(through domain.VM, begin program.BeginCall) Ticket {
	w.tickets++
	if begin.Call == "" {
		begin.Call = domain.CallID(fmt.Sprintf("call-%d", w.tickets))
	}
	begin.Arrived = w.now
	w.vms[through].step(BeginCall{Ticket: w.tickets, Key: "key", Begin: begin})
	return w.tickets
}

// outcome returns the result of a call, or false while it is running.
func (v *vm) outcome(t Ticket) (committed *program.CallCommitted, refused *domain.Refusal, ended bool) {
	for _, r := range v.replies[t] {
		switch body := r.Body.(type) {
		case *domain.Refusal:
			return nil, body, true
		case entry.Event:
			if body.Committed != nil {
				return body.Committed, nil, true
			}
			if body.Refused != nil {
				return nil, body.Refused, true
			}
		}
	}
	return nil, nil, false
}

// setUp waits until every VM serves, then creates an account, a model and an
// engine in each data centre.
func (w *world) setUp() {
	w.t.Helper()
	ok := w.until(20*time.Second, func() bool {
		for _, v := range w.vms {
			if !v.state.Serving {
				return false
			}
		}
		return true
	})
	must.True(w.t, ok, must.Sprint(w.log))
	first := w.names[0]
	commands := []config.Command{
		&config.PutModel{Model: config.ModelSpec{Name: "m", PromptPrice: 1_000_000, CachedPrice: 100_000, GeneratedPrice: 2_000_000, MaxContext: 100_000}},
		&config.PutAccount{Account: config.AccountSpec{Name: "acme", RatePerSecond: 50, Burst: 50, Weight: 1, MonthlyBudget: 1_000_000_000, ProgramBudget: 10_000_000}},
		&config.PutKey{Key: config.KeySpec{ID: "key", Account: "acme"}},
	}
	for _, name := range w.names {
		dc := domain.DataCentre(name[:1])
		commands = append(commands, &config.PutTarget{Target: config.TargetSpec{
			Name: domain.Target("engine-" + name), Kind: config.TargetEngine, Address: "10.0.0.9:1", DataCentre: dc, Region: domain.Region(dc),
			Models: []domain.ModelName{"m"}, CacheTokens: 100_000, MaxBatch: 16,
		}})
	}
	for i, command := range commands {
		reply := w.change(first, fmt.Sprintf("setup-%d", i), command)
		must.Nil(w.t, reply.Refusal)
	}
	must.True(w.t, w.until(20*time.Second, w.allAssigned), must.Sprint(w.log))
	// A new manager of a window grants no permits for one term.
	w.run(5 * time.Second)
}

func (w *world) allAssigned() bool {
	for _, v := range w.vms {
		for _, a := range v.ctl.state.View().Assignments() {
			if a.Owner == "" || len(w.names) > 3 && a.Backup == "" {
				return false
			}
		}
		if len(v.ctl.state.View().Assignments()) < int(config.ShardsPerDataCentre)*len(v.ctl.state.View().DataCentres()) {
			return false
		}
	}
	return true
}

func chat(name domain.ProgramName) program.BeginCall {
	return program.BeginCall{
		Program: domain.ProgramID{Account: "acme", Name: name}, Model: "m", PromptTokens: 100, TokenLimit: 100,
	}
}

// finish waits for the end of a call and returns its turn number, or an error if it
// is refused or does not end within the limit.
func (w *world) finish(through domain.VM, t Ticket, limit time.Duration) (int, error) {
	v := w.vms[through]
	var err error
	turn := 0
	ok := w.until(limit, func() bool {
		committed, refused, ended := v.outcome(t)
		if committed != nil {
			turn = committed.Turn
		}
		if refused != nil {
			err = refused
		}
		return ended
	})
	if !ok {
		return 0, errors.New("the call did not end in time")
	}
	return turn, err
}
