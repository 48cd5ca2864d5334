package raft

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/shoenig/test/must"

	"github.com/mangoknot/mangoknot/core/domain"
)

type command struct{ ID int }

func (*command) RecordName() string { return "test.command" }

type stateSnapshot struct{ IDs []int }

func (*stateSnapshot) RecordName() string { return "test.snapshot" }

type write struct {
	records   []domain.Record
	replace   bool
	token     PersistToken
	afterSync []domain.Send
	doneAt    time.Time
}

// server is a voter whose disk loses unsynced writes in a crash.
type server struct {
	raft           *Raft
	durable        []domain.Record
	writes         []write
	applied        map[Index]int
	last           Index
	clockRate      float64 // rate of the server's clock relative to virtual time
	partition      int     // messages pass only between servers of the same partition
	maxWriteMillis int     // exclusive upper limit of the duration of a write
	diskFull       bool    // every write fails
	appendsFail    bool    // a write failed and none has replaced the content since
}

type delivery struct {
	deliverAt time.Time
	from, to  domain.VM
	body      domain.Message
}

// cluster runs servers in virtual time and checks Raft's safety properties after
// each step.
type cluster struct {
	t                 must.T
	rand              *rand.Rand
	start             time.Time
	now               time.Time
	servers           map[domain.VM]*server
	initial           []domain.VM
	inFlight          []delivery
	loss              float64
	leaders           map[Term]domain.VM
	committed         map[Index]Entry
	lastCommandID     int
	compactEvery      Index // entries between two compactions; 0 disables them
	electAfterRestart bool  // sets Config.ElectAfterRestart
	maxDeliveryMillis int   // exclusive upper limit of the delivery delay
	step              time.Duration
}

const testTimeout = 200 * time.Millisecond

var errDiskFull = errors.New("the disk is full")

func newCluster(t must.T, seed uint64, ids ...domain.VM) *cluster {
	c := &cluster{
		t: t, electAfterRestart: seed%4 >= 2, rand: rand.New(rand.NewPCG(seed, 1)), start: time.Unix(1000, 0), now: time.Unix(1000, 0),
		servers: map[domain.VM]*server{}, initial: ids, leaders: map[Term]domain.VM{}, committed: map[Index]Entry{},
		maxDeliveryMillis: 15, step: 5 * time.Millisecond,
	}
	for _, id := range ids {
		c.servers[id] = &server{clockRate: 1, maxWriteMillis: 10}
		c.boot(id, ids)
	}
	return c
}

func (c *cluster) localTime(s *server) time.Time {
	return c.start.Add(time.Duration(float64(c.now.Sub(c.start)) * s.clockRate))
}

func (c *cluster) boot(id domain.VM, voters []domain.VM) {
	s := c.servers[id]
	var restored Restored
	for _, r := range s.durable {
		must.NoError(c.t, restored.Apply(r))
	}
	s.writes, s.applied, s.last, s.appendsFail = nil, map[Index]int{}, 0, false
	s.raft = New(Config{
		ID: id, Voters: voters, Heartbeat: testTimeout / 8, ElectionTimeout: testTimeout, MaxAppendEntries: 8, ElectAfterRestart: c.electAfterRestart,
		Rand: rand.New(rand.NewPCG(c.rand.Uint64(), 2)),
	}, restored, c.localTime(s))
}

// crash restarts a server that keeps a random prefix of its unsynced records.
func (c *cluster) crash(id domain.VM) {
	s := c.servers[id]
	for _, w := range s.writes {
		if w.replace {
			break // a replacement is atomic
		}
		n := c.rand.IntN(len(w.records) + 1)
		s.durable = append(s.durable, w.records[:n]...)
		if n < len(w.records) {
			break
		}
	}
	c.boot(id, c.initial)
}

// electEarly moves a server's election deadline to the end of the lease that it
// granted, which is the earliest moment allowed.
func (c *cluster) electEarly(id domain.VM) {
	c.servers[id].raft.electionDeadline = c.servers[id].raft.withholdVotesUntil
}

func (c *cluster) ids() []domain.VM {
	ids := make([]domain.VM, 0, len(c.servers))
	for id := range c.servers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (c *cluster) send(from domain.VM, sends []domain.Send) {
	for _, s := range sends {
		for copies := 1 + c.rand.IntN(10)/9; copies > 0; copies-- {
			delay := time.Duration(c.rand.IntN(c.maxDeliveryMillis)) * time.Millisecond
			c.inFlight = append(c.inFlight, delivery{c.now.Add(delay), from, s.To, s.Body})
		}
	}
}

func (c *cluster) drain(id domain.VM) {
	s := c.servers[id]
	out := s.raft.Ready()
	c.send(id, out.Now)
	if out.Snapshot != nil {
		s.last = out.Snapshot.Index
		s.applied = map[Index]int{}
		for i, v := range out.Snapshot.Data.(*stateSnapshot).IDs {
			s.applied[Index(i+1)] = v
		}
	}
	for _, e := range out.Committed {
		c.apply(id, s, e)
	}
	if len(out.Records) > 0 || len(out.AfterSync) > 0 {
		done := c.now.Add(time.Duration(c.rand.IntN(s.maxWriteMillis)) * time.Millisecond)
		s.writes = append(s.writes, write{out.Records, out.Replace, out.Token, out.AfterSync, done})
	}
	if c.compactEvery > 0 && s.last >= s.raft.log.snapshotIndex()+c.compactEvery {
		snapshot := &stateSnapshot{}
		for i := Index(1); i <= s.last; i++ {
			snapshot.IDs = append(snapshot.IDs, s.applied[i])
		}
		s.raft.Compact(s.last, snapshot)
	}
}

func (c *cluster) apply(id domain.VM, s *server, e Entry) {
	must.Eq(c.t, s.last+1, e.Index, must.Sprintf("%s applies entries out of order", id))
	if known, ok := c.committed[e.Index]; ok {
		must.Eq(c.t, known.Term, e.Term, must.Sprintf("state machine safety is violated at index %d", e.Index))
		must.Eq(c.t, known.Data, e.Data)
	}
	c.committed[e.Index] = e
	s.last = e.Index
	if cmd, ok := e.Data.(*command); ok {
		s.applied[e.Index] = cmd.ID
	}
}

// tick advances virtual time by one step.
func (c *cluster) tick() {
	c.now = c.now.Add(c.step)
	due := []delivery{}
	c.inFlight = slices.DeleteFunc(c.inFlight, func(d delivery) bool {
		if d.deliverAt.After(c.now) {
			return false
		}
		due = append(due, d)
		return true
	})
	c.rand.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, d := range due {
		to := c.servers[d.to]
		if to == nil || to.partition != c.servers[d.from].partition || c.rand.Float64() < c.loss {
			continue
		}
		to.raft.Step(c.localTime(to), d.from, d.body)
		c.drain(d.to)
	}
	for _, id := range c.ids() {
		s := c.servers[id]
		for len(s.writes) > 0 && !s.writes[0].doneAt.After(c.now) {
			w := s.writes[0]
			s.writes = s.writes[1:]
			if s.diskFull || (s.appendsFail && !w.replace) {
				c.failWrite(s, w)
				continue
			}
			if w.replace {
				s.durable, s.appendsFail = nil, false
			}
			s.durable = append(s.durable, w.records...)
			s.raft.Persisted(c.localTime(s), w.token)
			c.send(id, w.afterSync)
		}
		if !c.localTime(s).Before(s.raft.NextWake()) {
			s.raft.Tick(c.localTime(s))
		}
		c.drain(id)
	}
	c.check()
}

// failWrite fails a write. The first one that fails may leave a part of its records, and
// the messages that wait for it are dropped.
func (c *cluster) failWrite(s *server, w write) {
	if !w.replace && !s.appendsFail {
		s.durable = append(s.durable, w.records[:c.rand.IntN(len(w.records)+1)]...)
	}
	s.appendsFail = true
	s.raft.PersistFailed(c.localTime(s), errDiskFull)
}

func (c *cluster) check() {
	for _, id := range c.ids() {
		r := c.servers[id].raft
		if r.role != Leader {
			continue
		}
		if c.leaders[r.hardState.Term] == "" {
			c.checkComplete(id, r)
			c.leaders[r.hardState.Term] = id
		}
		must.Eq(c.t, c.leaders[r.hardState.Term], id, must.Sprintf("two leaders in term %d", r.hardState.Term))
		if !r.LeaderLease(c.localTime(c.servers[id])) {
			continue
		}
		withholding := 0
		for _, voter := range r.members.Voters {
			if o := c.servers[voter]; o.raft.withholdsVotes(c.localTime(o)) {
				withholding++
			}
		}
		must.GreaterEq(c.t, r.quorum(), withholding, must.Sprintf("%s holds its lease longer than a majority withholds votes", id))
		for _, other := range c.ids() {
			o := c.servers[other].raft
			must.False(c.t, other != id && o.role == Leader && o.hardState.Term > r.hardState.Term, must.Sprintf("%s leads term %d during the lease of %s", other, o.hardState.Term, id))
		}
	}
}

// checkComplete checks that a new leader has every committed entry, and that two
// logs with the same term at an index have the same terms below it.
func (c *cluster) checkComplete(id domain.VM, r *Raft) {
	for i, e := range c.committed {
		if i > r.log.snapshotIndex() {
			t, ok := r.log.term(i)
			must.True(c.t, ok && t == e.Term, must.Sprintf("leader %s lacks committed entry %d", id, i))
		}
	}
	for _, other := range c.ids() {
		o, same := c.servers[other].raft, false
		for i := min(o.log.last(), r.log.last()); i > max(o.log.snapshotIndex(), r.log.snapshotIndex()); i-- {
			a, _ := o.log.term(i)
			b, _ := r.log.term(i)
			must.False(c.t, same && a != b, must.Sprintf("log matching of %s and %s is violated at index %d", id, other, i))
			same = same || a == b
		}
	}
}

func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.tick()
	}
}

func (c *cluster) leader() domain.VM {
	for _, id := range c.ids() {
		if s := c.servers[id]; s.raft.role == Leader && s.partition == 0 && s.raft.LeaderLease(c.localTime(s)) {
			return id
		}
	}
	return ""
}

func (c *cluster) awaitLeader() domain.VM {
	for i := 0; i < 2000; i++ {
		if id := c.leader(); id != "" {
			return id
		}
		c.tick()
	}
	must.Unreachable(c.t, must.Sprint("no leader within 10 s of virtual time"))
	return ""
}

func (c *cluster) propose(id domain.VM) (Index, error) {
	c.lastCommandID++
	return c.servers[id].raft.Propose(c.now, &command{c.lastCommandID})
}

// commitOne proposes commands until one is committed, and returns its index.
func (c *cluster) commitOne() Index {
	for try := 0; try < 50; try++ {
		id := c.awaitLeader()
		i, err := c.propose(id)
		if err != nil {
			c.run(testTimeout)
			continue
		}
		want := c.lastCommandID
		for n := 0; n < 200; n++ {
			c.tick()
			if e, ok := c.committed[i]; ok && e.Data != nil && e.Data.(*command).ID == want {
				return i
			}
		}
	}
	must.Unreachable(c.t, must.Sprint("no proposal was committed"))
	return 0
}

func (c *cluster) change(kind ChangeKind, vm domain.VM) {
	for try := 0; try < 200; try++ {
		id := c.awaitLeader()
		i, err := c.servers[id].raft.ProposeVoters(c.localTime(c.servers[id]), VoterChange{kind, vm})
		if err == nil {
			for n := 0; n < 400; n++ {
				c.tick()
				if e, ok := c.committed[i]; ok && e.Members != nil && c.leaders[e.Term] == id {
					return
				}
			}
		}
		c.run(testTimeout)
	}
	must.Unreachable(c.t, must.Sprintf("voter change %d of %s was not committed", kind, vm))
}

// committedMembers returns the newest committed member set.
func (c *cluster) committedMembers() Members {
	var newest Entry
	for i, e := range c.committed {
		if e.Members != nil && i > newest.Index {
			newest = e
		}
	}
	return *newest.Members
}

// healAndConverge heals the network and checks that all members apply the same
// log. A server outside the set that considers itself a voter must apply the log
// too, or become fenced. A removed learner never requests votes, so it is exempt.
func (c *cluster) healAndConverge() {
	c.loss = 0
	for _, s := range c.servers {
		s.partition, s.maxWriteMillis, s.diskFull = 0, 10, false
	}
	i := c.commitOne()
	for n := 0; n < 1000; n++ {
		behind := slices.ContainsFunc(c.ids(), func(id domain.VM) bool {
			r := c.servers[id].raft
			member := slices.Contains(c.committedMembers().replicas(), id)
			return c.servers[id].last < i && (member || (r.members.voter(id) && !r.isFenced()))
		})
		if !behind {
			return
		}
		c.tick()
	}
	status := ""
	for _, id := range c.ids() {
		status += fmt.Sprintf("%s: %+v\n", id, c.servers[id].raft.Status())
	}
	must.Unreachable(c.t, must.Sprintf("servers have not applied index %d:\n%s", i, status))
}
