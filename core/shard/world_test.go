package shard

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/domain"
)

// Lease term and renewal interval of the tests. With a lease term above the time in
// which the death of a VM is detected, a VM that ignores the leases it granted
// fails the tests. With DefaultLeaseTerm it would not be detected.
const (
	testTerm  = 2 * time.Second
	testRenew = 500 * time.Millisecond
)

const step = 5 * time.Millisecond

type testRecord struct{ N int }

func (*testRecord) RecordName() string { return "test.record" }

// testVM is one process whose clock drifts within MaxClockDriftPercent.
type testVM struct {
	name        domain.VM
	manager     *Manager
	grantor     *LeaderGrantor
	clockRate   float64
	hasDisk     bool
	up          bool
	leaving     bool
	incarnation uint64
	disk        []domain.Record
	unsynced    []Write
	syncAt      []time.Duration
	applied     int
	lastSeen    map[domain.VM]time.Duration
	leaderSeen  domain.VM
}

type packet struct {
	at       time.Duration
	from, to domain.VM
	body     domain.Message
	propose  *config.AssignShard
}

type logEntry struct {
	at     time.Duration
	change *config.AssignShard
}

// world simulates managers on a network that loses, reorders and duplicates
// messages, with a plain list of configuration commands and one leader at a time.
type world struct {
	rng        *rand.Rand
	now        time.Duration
	vms        []*testVM
	packets    []packet
	lossRate   float64
	blocked    func(a, b domain.VM) bool
	states     []*config.View // views by number of applied commands
	state      *config.State
	pipeline   []logEntry
	leader     domain.VM
	leaderAt   time.Duration
	history    map[domain.ShardID][]domain.Record
	nextRecord int
	failure    string
	// repairing is true after the loss of an in-memory copy until it is replaced.
	// connected is true after links were healed; blockedAt is when links were last
	// blocked.
	repairing, connected bool
	blockedAt            time.Duration
	broken               func(w *world)
}

func newWorld(seed uint64, disks []bool) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 1)), state: config.NewState(), lossRate: 0.05,
		blocked: func(domain.VM, domain.VM) bool { return false }, history: map[domain.ShardID][]domain.Record{},
	}
	w.state.Apply(1, &config.Change{Command: &config.SetHomes{DataCentres: []domain.DataCentre{"a"}}})
	w.states = []*config.View{w.state.View()}
	for i, disk := range disks {
		vm := &testVM{name: domain.VM(fmt.Sprintf("v%d", i)), hasDisk: disk, clockRate: 0.9951 + 0.0098*w.rng.Float64()}
		w.vms = append(w.vms, vm)
	}
	arbiter := &testVM{name: "z", clockRate: 1}
	w.vms = append(w.vms, arbiter)
	for _, vm := range w.vms {
		w.start(vm)
	}
	w.elect("z")
	return w
}

func (w *world) clock(vm *testVM) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(float64(w.now) * vm.clockRate))
}

func (w *world) vm(name domain.VM) *testVM {
	i := slices.IndexFunc(w.vms, func(vm *testVM) bool { return vm.name == name })
	return w.vms[i]
}

func (w *world) start(vm *testVM) {
	vm.incarnation++
	vm.up, vm.leaving, vm.applied = true, false, -1
	vm.lastSeen = map[domain.VM]time.Duration{}
	vm.grantor = NewLeaderGrantor(testTerm)
	dc := domain.DataCentre("a")
	if vm.name == "z" {
		dc = "z"
	}
	vm.manager = New(Config{Self: vm.name, DataCentre: dc, Incarnation: vm.incarnation, HasDisk: vm.hasDisk, MaxBatch: 3, LeaseTerm: testTerm, RenewInterval: testRenew}, w.clock(vm))
	vm.manager.Restore(vm.disk)
}

func (w *world) crash(vm *testVM) {
	vm.up = false
	vm.unsynced, vm.syncAt = nil, nil
	if vm.name == w.leader {
		w.leader = ""
	}
}

// elect starts a term of leadership. Each entry that the last leader had not
// committed is either committed or lost, at random. The new leader applies the
// committed ones before it acts.
func (w *world) elect(name domain.VM) {
	for _, e := range w.pipeline {
		if w.rng.IntN(2) == 0 {
			w.commit(e.change)
		}
	}
	w.pipeline = nil
	w.leader, w.leaderAt = name, w.now
	vm := w.vm(name)
	w.configure(vm)
	vm.grantor.Elected(w.clock(vm))
}

func (w *world) commit(c *config.AssignShard) {
	index := uint64(len(w.states) + 1)
	w.state.Apply(index, &config.Change{Command: c})
	w.states = append(w.states, w.state.View())
}

func (w *world) configure(vm *testVM) {
	vm.applied = len(w.states) - 1
	v := w.states[vm.applied]
	vm.grantor.Configure(v)
	w.effects(vm, vm.manager.Configure(w.clock(vm), v))
}

func (w *world) reachable(a, b domain.VM) bool {
	return a == b || w.vm(a).up && w.vm(b).up && !w.blocked(a, b) && !w.blocked(b, a)
}

func (w *world) effects(vm *testVM, e Effects) {
	for _, id := range e.Activated {
		w.checkActivated(vm, id)
	}
	for _, c := range e.Committed {
		w.checkCommitted(vm, c)
	}
	for _, wr := range e.Writes {
		vm.unsynced = append(vm.unsynced, wr)
		vm.syncAt = append(vm.syncAt, w.now+time.Duration(w.rng.IntN(15))*time.Millisecond)
	}
	for _, s := range e.Sends {
		w.transmit(packet{from: vm.name, to: s.To, body: s.Body})
	}
	for _, c := range e.Proposals {
		if w.leader != "" {
			w.transmit(packet{from: vm.name, to: w.leader, propose: c.(*config.AssignShard)})
		}
	}
}

func (w *world) transmit(p packet) {
	copies := 1
	if p.from != p.to {
		if w.rng.Float64() < w.lossRate {
			copies--
		}
		if w.rng.Float64() < w.lossRate {
			copies++
		}
	}
	for range copies {
		p.at = w.now + time.Duration(1+w.rng.IntN(10))*time.Millisecond
		if w.rng.Float64() < w.lossRate {
			p.at += time.Duration(w.rng.IntN(3000)) * time.Millisecond
		}
		w.packets = append(w.packets, p)
	}
}

func (w *world) fail(format string, args ...any) {
	if w.failure == "" {
		w.failure = fmt.Sprintf("at %v: ", w.now) + fmt.Sprintf(format, args...)
	}
}

// checkActivated checks that a new owner has all committed records, in order.
func (w *world) checkActivated(vm *testVM, id domain.ShardID) {
	got := vm.manager.ShardRecords(id)
	want := w.history[id]
	if len(got) < len(want) || !slices.Equal(got[:len(want)], want) {
		w.fail("%s activated %v with %d records, %d were committed", vm.name, id, len(got), len(want))
		return
	}
	w.history[id] = got
}

// checkCommitted checks that a record is committed at the next index, by a VM with a
// lease, while no other VM holds one.
func (w *world) checkCommitted(vm *testVM, c Committed) {
	if c.Position.Index != uint64(len(w.history[c.Shard])+1) {
		w.fail("%s committed %v at %v after %d records", vm.name, c.Shard, c.Position, len(w.history[c.Shard]))
	}
	w.history[c.Shard] = append(w.history[c.Shard], c.Record)
	if s := vm.manager.replicas[c.Shard]; !s.hasLease(w.clock(vm)) && !s.handedOver {
		w.fail("%s committed %v without a lease", vm.name, c.Shard)
	}
	for _, other := range w.vms {
		if s := other.manager.replicas[c.Shard]; other != vm && other.up && s != nil && s.hasLease(w.clock(other)) {
			w.fail("%s committed %v while %s owned it", vm.name, c.Shard, other.name)
		}
	}
}

// checkOwners checks that no two VMs may commit in the same shard at the same real
// time.
func (w *world) checkOwners() {
	owners := map[domain.ShardID]domain.VM{}
	for _, vm := range w.vms {
		if !vm.up {
			continue
		}
		for id, s := range vm.manager.replicas {
			if !s.hasLease(w.clock(vm)) {
				continue
			}
			if other, ok := owners[id]; ok {
				w.fail("%s and %s both own %v", other, vm.name, id)
			}
			owners[id] = vm.name
		}
	}
}

func (w *world) run(d time.Duration) {
	for end := w.now + d; w.now < end && w.failure == ""; {
		w.now += step
		w.deliver()
		for _, vm := range w.vms {
			if vm.up {
				w.runVM(vm)
			}
		}
		w.runLeader()
		if w.broken != nil {
			w.broken(w)
		}
		w.checkOwners()
	}
}

func (w *world) deliver() {
	due := w.packets
	w.packets = nil
	for _, p := range due {
		to := w.vm(p.to)
		switch {
		case p.at > w.now:
			w.packets = append(w.packets, p)
		case !to.up || w.blocked(p.from, p.to) || to.applied < 0:
		case p.propose != nil:
			w.receiveProposal(to, p.propose)
		default:
			w.receive(to, p)
		}
	}
}

func (w *world) receive(to *testVM, p packet) {
	leading := to.name == w.leader
	switch m := p.body.(type) {
	case *LeaseRequest:
		for _, s := range to.grantor.HandleRequest(w.clock(to), p.from, m, leading) {
			w.transmit(packet{from: to.name, to: s.To, body: s.Body})
		}
	case *Release:
		to.grantor.HandleRelease(p.from, m)
	}
	w.effects(to, to.manager.Step(w.clock(to), p.from, p.body))
}

func (w *world) receiveProposal(to *testVM, c *config.AssignShard) {
	if to.grantor.MayPropose(w.clock(to), c, to.name == w.leader) {
		w.pipeline = append(w.pipeline, logEntry{w.now + time.Duration(w.rng.IntN(40))*time.Millisecond, c})
	}
}

// runVM completes due disk writes, applies configuration and membership, and calls
// Tick when it is due.
func (w *world) runVM(vm *testVM) {
	for len(vm.syncAt) > 0 && vm.syncAt[0] <= w.now {
		token := vm.unsynced[0].Token
		vm.disk = append(vm.disk, vm.unsynced[0].Records...)
		vm.unsynced, vm.syncAt = vm.unsynced[1:], vm.syncAt[1:]
		w.effects(vm, vm.manager.Persisted(w.clock(vm), token))
	}
	if w.leader != "" && vm.applied < len(w.states)-1 && w.reachable(vm.name, w.leader) && w.rng.IntN(8) == 0 {
		w.configure(vm)
	}
	if w.now%(20*step) == 0 {
		if w.leader != "" && w.reachable(vm.name, w.leader) {
			vm.leaderSeen = w.leader
		}
		w.effects(vm, vm.manager.Observe(w.clock(vm), w.candidates(vm), vm.leaderSeen))
	}
	if now := w.clock(vm); !now.Before(vm.manager.NextWake()) {
		w.effects(vm, vm.manager.Tick(now))
	}
}

func (w *world) candidates(vm *testVM) []Candidate {
	var out []Candidate
	for _, other := range w.vms {
		if w.reachable(vm.name, other.name) {
			vm.lastSeen[other.name] = w.now
		}
		if other.name != "z" {
			alive := w.now-vm.lastSeen[other.name] < 1500*time.Millisecond
			out = append(out, Candidate{other.name, "a", alive, !other.leaving && other.applied >= 0})
		}
	}
	return out
}

// runLeader plans assignments on the leader and commits the proposals that are due.
func (w *world) runLeader() {
	if w.leader == "" {
		return
	}
	vm := w.vm(w.leader)
	if w.now-w.leaderAt > time.Second && w.now%(40*step) == 0 {
		for _, c := range (Planner{}).Plan(w.states[vm.applied], w.candidates(vm)) {
			w.receiveProposal(vm, c)
		}
	}
	var rest []logEntry
	for _, e := range w.pipeline {
		if e.at > w.now {
			rest = append(rest, e)
			continue
		}
		w.commit(e.change)
	}
	w.pipeline = rest
	if vm.applied < len(w.states)-1 {
		w.configure(vm)
	}
}

// appendAll appends a record to every shard and returns how many accepted it.
func (w *world) appendAll() int {
	n := 0
	for _, vm := range w.vms {
		if !vm.up {
			continue
		}
		for _, s := range vm.manager.sortedReplicas {
			w.nextRecord++
			_, e, err := vm.manager.Append(w.clock(vm), s.id, &testRecord{w.nextRecord})
			w.effects(vm, e)
			if err == nil {
				n++
			}
		}
	}
	return n
}

// fullyReplicated reports whether owner and backup of every shard hold all committed
// records.
func (w *world) fullyReplicated() bool {
	for _, a := range w.state.View().Assignments() {
		if !w.holdsAll(a.Owner, a) || !w.holdsAll(a.Backup, a) {
			return false
		}
	}
	return true
}

// safeToCrash reports whether each shard of the VM has another complete copy and no
// proposal is pending.
func (w *world) safeToCrash(vm *testVM) bool {
	for _, a := range w.state.View().Assignments() {
		if a.Owner != vm.name && a.Backup != vm.name {
			continue
		}
		other := a.Owner
		if other == vm.name {
			other = a.Backup
		}
		if !w.holdsAll(other, a) || len(w.pipeline) > 0 {
			return false
		}
	}
	return true
}

func (w *world) holdsAll(name domain.VM, a config.Assignment) bool {
	if name == "" || !w.vm(name).up {
		return false
	}
	s := w.vm(name).manager.replicas[a.Shard]
	owner := w.vm(a.Owner).manager.replicas[a.Shard]
	if s == nil || !s.complete || owner == nil || len(owner.proposed) > 0 || s.assignment.Epoch != a.Epoch {
		return false
	}
	return s.log.lastPosition().Index >= uint64(len(w.history[a.Shard]))
}
