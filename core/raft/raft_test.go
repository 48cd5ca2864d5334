package raft

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/mangoknot/mangoknot/adapter/codec"
	"github.com/mangoknot/mangoknot/core/domain"
)

// TestMain fixes the seed of rapid, so that a run depends on the source tree only.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	m.Run()
}

func (c *cluster) randomFault(n int) {
	ids := c.ids()
	id := ids[c.rand.IntN(len(ids))]
	switch n {
	case 0:
		c.crash(id)
	case 1:
		c.servers[id].partition = 1 + c.rand.IntN(2)
	case 2:
		c.servers[id].partition = 0
	case 3:
		c.loss = c.rand.Float64() * 0.3
	case 4:
		for _, id := range ids {
			c.crash(id)
		}
	case 5:
		if l := c.leader(); l != "" {
			_ = c.servers[l].raft.TransferLeadership(c.localTime(c.servers[l]), id) // rejected if the target is the leader itself
		}
	case 6:
		c.servers[id].maxWriteMillis = 1 + c.rand.IntN(100)
	case 7:
		for _, id := range ids {
			c.electEarly(id)
		}
	case 8:
		if l := c.leader(); l != "" {
			kind := AddLearner + ChangeKind(c.rand.IntN(3))
			_, _ = c.servers[l].raft.ProposeVoters(c.localTime(c.servers[l]), VoterChange{kind, id}) // most are rejected
		}
	default:
		for _, id := range ids {
			_, _ = c.propose(id) // followers reject it
		}
	}
	short := c.rand.IntN(2) == 0
	if short {
		c.run(time.Duration(c.rand.IntN(40)) * time.Millisecond)
		return
	}
	c.run(time.Duration(c.rand.IntN(400)) * time.Millisecond)
}

// Guards against lost committed entries, two leaders in a term, diverging logs
// and a broken lease, under message loss, duplication, reordering, partitions,
// crashes with partial unsynced writes, compaction, voter changes and clocks whose
// rates differ by 1%.
func TestRandomSchedules(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := newCluster(t, seed, [][]domain.VM{{"a", "b", "c"}, {"a", "b", "c", "d", "e"}}[seed%2]...)
			c.compactEvery = Index(seed%3) * 6
			c.servers["a"].clockRate, c.servers["b"].clockRate = 0.995, 1.005
			for range 150 {
				c.randomFault(c.rand.IntN(15))
			}
			c.healAndConverge()
		})
	}
}

// Guards against an avoidable delay when all VMs restart together: they would
// wait for leases on which no leader relies, and nothing commits meanwhile.
// The set includes a learner.
func TestElectionAfterAllVotersRestart(t *testing.T) {
	for seed := range uint64(40) {
		c := newCluster(t, seed, "a", "b", "c")
		// On the longest link the one-way delay is 8 ms at an election timeout of
		// 500 ms; this is about the same ratio.
		c.electAfterRestart, c.maxDeliveryMillis, c.step = true, 4, time.Millisecond
		c.commitOne()
		c.servers["d"] = &server{clockRate: 1, maxWriteMillis: 10}
		c.boot("d", nil)
		c.change(AddLearner, "d")
		c.commitOne()
		c.run(100 * time.Millisecond)
		for _, id := range c.ids() {
			c.crash(id)
		}
		c.inFlight = nil // the crashes break all connections
		c.run(testTimeout * 9 / 10)
		must.NotEq(t, "", c.leader(), must.Sprintf("seed %d", seed))
		c.healAndConverge()
	}
}

// Guards against an election during the lease of a leader that the restarted VMs
// cannot reach. It does not answer their probe, so they must wait.
func TestNoElectionWhileUnreachableReplicaMayLead(t *testing.T) {
	for seed := range uint64(20) {
		c := newCluster(t, seed, "a", "b", "c")
		c.electAfterRestart = true
		c.commitOne()
		leader := c.leader()
		c.servers[leader].partition = 1
		for _, id := range c.ids() {
			if id != leader {
				c.crash(id)
			}
		}
		c.run(testTimeout * 9 / 10)
		must.Eq(t, "", c.leader(), must.Sprintf("seed %d", seed))
		c.healAndConverge()
	}
}

// Guards against an election after a probe that proves nothing: a replica leads,
// has another member set, has restarted between the two rounds, or has granted a
// lease since its boot.
func TestLeaderProbeOutcomes(t *testing.T) {
	answer := func(change func(*ProbeReply)) *ProbeReply {
		reply := &ProbeReply{BootID: 7, NoLeaderSinceBoot: true}
		if change != nil {
			change(reply)
		}
		return reply
	}
	cases := map[string]struct {
		first, second *ProbeReply
		elects        bool
	}{
		"no leader":                  {answer(nil), answer(nil), true},
		"replica leads":              {answer(nil), answer(func(r *ProbeReply) { r.Leading = true }), false},
		"different member set":       {answer(nil), answer(func(r *ProbeReply) { r.MembersIndex = 3 }), false},
		"restarted between rounds":   {answer(nil), answer(func(r *ProbeReply) { r.BootID = 8 }), false},
		"replica led in first round": {answer(func(r *ProbeReply) { r.Leading = true }), answer(nil), false},
		"lease granted since boot":   {answer(nil), answer(func(r *ProbeReply) { r.NoLeaderSinceBoot = false }), false},
	}
	for name, c := range cases {
		now := time.Unix(1, 0)
		r := New(Config{ID: "a", Voters: []domain.VM{"a", "b", "c"}, ElectAfterRestart: true, Rand: rand.New(rand.NewPCG(1, 1))}, Restored{}, now)
		now = r.NextWake()
		r.Tick(now)
		for _, reply := range []*ProbeReply{c.first, c.second} {
			for _, from := range []domain.VM{"b", "c"} {
				if r.probe != nil {
					sent := *reply
					sent.Round = r.probe.round
					r.Step(now, from, &sent)
				}
			}
		}
		must.Eq(t, c.elects, r.role == Candidate, must.Sprint(name))
	}
}

// Guards against a vote that ignores a lease granted after the candidate's probe:
// the voter has restarted again, or has had contact with a leader since.
func TestLeaseGrantedAfterProbeIsKept(t *testing.T) {
	now := time.Unix(1, 0)
	voters := []domain.VM{"a", "b", "c"}
	boot := func() *Raft {
		return New(Config{ID: "c", Voters: voters, ElectAfterRestart: true, Rand: rand.New(rand.NewPCG(1, 1))}, Restored{}, now)
	}
	granted := func(r *Raft, m *Vote) bool {
		r.Step(now, "a", m)
		ready := r.Ready()
		for _, s := range append(ready.Now, ready.AfterSync...) {
			if reply, ok := s.Body.(*VoteReply); ok && s.To == "a" {
				return reply.Granted
			}
		}
		return false
	}
	r := boot()
	must.False(t, granted(r, &Vote{Term: 2, IgnoreLeaseBootID: r.bootID + 2}))
	must.False(t, granted(r, &Vote{Term: 2}))
	must.True(t, granted(r, &Vote{Term: 2, IgnoreLeaseBootID: r.bootID}))
	r = boot()
	r.Step(now, "b", &Append{Term: 1})
	must.False(t, granted(r, &Vote{Term: 2, IgnoreLeaseBootID: r.bootID}))
}

// Guards against the same failures as TestRandomSchedules, with fault sequences
// that rapid generates and shrinks.
func TestGeneratedSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, rapid.Uint64Max(1000).Draw(t, "seed"), "a", "b", "c")
		c.compactEvery = Index(rapid.IntRange(0, 10).Draw(t, "compact"))
		for _, fault := range rapid.SliceOfN(rapid.IntRange(0, 11), 0, 40).Draw(t, "faults") {
			c.randomFault(fault)
		}
		c.healAndConverge()
	})
}

// Guards against losing entries when a voter is replaced and a second voter fails
// right after the replacement, and against a removed voter that raises the term.
func TestReplaceVoterThenLoseSecond(t *testing.T) {
	for seed := range uint64(10) {
		c := newCluster(t, seed, "a", "b", "c")
		c.compactEvery = 20
		for range 30 {
			c.commitOne()
		}
		c.servers["c"].partition = 1
		c.servers["d"] = &server{clockRate: 1, maxWriteMillis: 10}
		c.boot("d", nil)
		c.change(AddLearner, "d")
		c.change(Promote, "d")
		c.change(Remove, "c")
		last := c.commitOne()
		leader := c.leader()
		lost := domain.VM("a")
		if leader == lost {
			lost = "b"
		}
		c.servers[lost].partition = 1
		must.Greater(t, last, c.commitOne())
		c.servers["c"].partition = 0
		term := c.servers[c.awaitLeader()].raft.hardState.Term
		c.run(20 * testTimeout)
		must.True(t, c.servers["c"].raft.Status().Fenced)
		must.Eq(t, term, c.servers[c.awaitLeader()].raft.hardState.Term)
		c.healAndConverge()
	}
}

// Guards against a leader that keeps its lease or its role after it is
// partitioned from the others. Its clock is 1% slower than theirs, and they start
// an election when the lease they granted ends, which is the earliest moment
// allowed. On even seeds they restart first and withhold their votes again.
func TestLeaseWithClockDrift(t *testing.T) {
	for seed := range uint64(60) {
		c := newCluster(t, seed, "a", "b", "c")
		c.maxDeliveryMillis, c.step = 1, time.Millisecond
		slow := c.ids()[seed%3]
		for id, s := range c.servers {
			s.clockRate, s.maxWriteMillis = 1.005, 1
			if id == slow {
				s.clockRate = 0.995
			}
		}
		for c.awaitLeader() != slow {
			old := c.leader()
			_ = c.servers[old].raft.TransferLeadership(c.localTime(c.servers[old]), slow) // rejected while a transfer is in progress
			c.run(testTimeout)
		}
		c.servers[slow].partition = 1
		for _, id := range c.ids() {
			if id != slow && seed%2 == 0 {
				c.crash(id)
			}
			if id != slow {
				c.electEarly(id)
			}
		}
		c.run(3 * testTimeout)
		must.NotEq(t, Leader, c.servers[slow].raft.role)
		must.NotEq(t, slow, c.awaitLeader())
	}
}

// Guards against a planned stop that waits for an election timeout, and against
// proposals that are accepted during a leadership transfer.
func TestLeadershipTransfer(t *testing.T) {
	c := newCluster(t, 1, "a", "b", "c")
	c.commitOne()
	old := c.leader()
	must.NoError(t, c.servers[old].raft.TransferLeadership(c.now, ""))
	_, err := c.propose(old)
	must.ErrorIs(t, err, ErrTransferring)
	c.run(testTimeout)
	must.NotEq(t, "", c.leader())
	must.NotEq(t, old, c.leader())
	_, err = c.propose(old)
	var notLeader *NotLeaderError
	must.True(t, errors.As(err, &notLeader))
	must.Eq(t, c.leader(), notLeader.Leader)
}

// Guards against a voter that continues to vote or lead after a failed sync.
func TestPersistFailure(t *testing.T) {
	c := newCluster(t, 1, "a", "b", "c")
	old := c.awaitLeader()
	s := c.servers[old]
	s.diskFull = true
	s.raft.PersistFailed(c.localTime(s), errDiskFull)
	_, err := c.propose(old)
	must.ErrorIs(t, err, ErrDiskFailed)
	must.NotEq(t, old, c.awaitLeader())
	c.commitOne()
	// No message leaves the voter, whatever it receives and however long its disk is full.
	sent := 0
	for range 20 {
		c.run(testTimeout / 4)
		s.raft.Step(c.localTime(s), c.leader(), &Vote{Term: 1000})
		s.raft.Tick(c.localTime(s))
		out := s.raft.Ready()
		sent += len(out.Now) + len(out.AfterSync)
		if len(out.Records) > 0 {
			must.True(t, out.Replace)
			s.raft.PersistFailed(c.localTime(s), errDiskFull)
		}
		must.Eq(t, Follower, s.raft.role)
		must.True(t, s.raft.NextWake().After(c.localTime(s)))
	}
	must.Zero(t, sent)
}

// Guards against a voter that stays silent after its disk has room again: with the next lost
// voter no majority is left. Also guards against a leader whose disk was full.
func TestVoterReturnsAfterFullDisk(t *testing.T) {
	for _, leads := range []bool{false, true} {
		c := newCluster(t, 1, "a", "b", "c")
		full := c.awaitLeader()
		if !leads {
			full = c.ids()[(slices.Index(c.ids(), full)+1)%3]
		}
		c.servers[full].diskFull = true
		for range 3 {
			for _, id := range c.ids() {
				_, _ = c.propose(id) // followers reject it
			}
			c.run(2 * testTimeout)
			c.commitOne()
		}
		c.servers[full].diskFull = false
		c.run(2 * rewriteInterval)
		must.Nil(t, c.servers[full].raft.Status().Failed)
		lost := c.ids()[(slices.Index(c.ids(), full)+1)%3]
		c.servers[lost].partition = 1
		c.commitOne()
		c.crash(full)
		c.commitOne()
	}
}

// Guards against the same failures as TestRandomSchedules when disks reject writes for a while
// and keep a part of a failed write, together with crashes.
func TestRandomSchedulesWithFullDisks(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := newCluster(t, 1000+seed, [][]domain.VM{{"a", "b", "c"}, {"a", "b", "c", "d", "e"}}[seed%2]...)
			c.compactEvery = Index(seed%3) * 6
			for range 150 {
				ids := c.ids()
				s := c.servers[ids[c.rand.IntN(len(ids))]]
				s.diskFull = c.rand.IntN(2) == 0
				c.randomFault(c.rand.IntN(15))
			}
			c.healAndConverge()
		})
	}
}

// Guards against voter changes that overlap, promote a VM that is no learner or
// has not caught up, or remove the leader.
func TestVoterChangeRules(t *testing.T) {
	c := newCluster(t, 1, "a", "b", "c")
	c.commitOne()
	leader := c.leader()
	r := c.servers[leader].raft
	for _, bad := range []VoterChange{{Promote, "d"}, {Remove, leader}, {Remove, "x"}, {AddLearner, "a"}} {
		_, err := r.ProposeVoters(c.now, bad)
		must.ErrorIs(t, err, ErrInvalidChange)
	}
	_, err := r.ProposeVoters(c.now, VoterChange{AddLearner, "d"})
	must.NoError(t, err)
	_, err = r.ProposeVoters(c.now, VoterChange{AddLearner, "e"})
	must.ErrorIs(t, err, ErrChangePending)
	c.run(testTimeout)
	_, err = c.servers[c.leader()].raft.ProposeVoters(c.now, VoterChange{Promote, "d"})
	must.ErrorIs(t, err, ErrNotCaughtUp)
}

// Guards against a candidate that skips the pre-vote and breaks a leader's lease.
func TestVoteRequestIgnoredDuringLease(t *testing.T) {
	now := time.Unix(1, 0)
	r := New(Config{ID: "a", Voters: []domain.VM{"a", "b", "c"}, Rand: rand.New(rand.NewPCG(1, 1))}, Restored{}, now)
	r.Step(now, "b", &Append{Term: 1})
	r.Step(now, "c", &Vote{Term: 5, LastIndex: 9, LastTerm: 4})
	must.Eq(t, 1, r.Status().Term)
	r.Step(now, "c", &Vote{Term: 5, LastIndex: 9, LastTerm: 4, Transfer: true})
	must.Eq(t, HardState{Term: 5, Vote: "c"}, r.hardState)
}

// Guards against committing an entry of an earlier term by counting replicas: a
// later leader without the entry could still replace it.
func TestNoCommitOfOldTerm(t *testing.T) {
	now := time.Unix(1, 0)
	restored := Restored{HardState: HardState{Term: 2}, Entries: []Entry{{Index: 1, Term: 2, Data: &command{1}}}}
	r := New(Config{ID: "a", Voters: []domain.VM{"a", "b", "c"}, Rand: rand.New(rand.NewPCG(1, 1))}, restored, now)
	now = r.NextWake()
	r.Tick(now)
	r.Step(now, "b", &PreVoteReply{Term: 3, Granted: true})
	r.Persisted(now, r.Ready().Token)
	r.Step(now, "b", &VoteReply{Term: 3, Granted: true})
	must.Eq(t, Leader, r.role)
	r.Persisted(now, r.Ready().Token)
	r.Step(now, "b", &AppendReply{Term: 3, Match: 1})
	must.Eq(t, 0, r.Status().Commit)
	r.Step(now, "b", &AppendReply{Term: 3, Match: 2})
	must.Eq(t, 2, r.Status().Commit)
}

// Guards against counting local writes before the sync: a candidate's own vote,
// and a leader's own copy of an entry.
func TestLocalWritesCountOnlyAfterSync(t *testing.T) {
	now := time.Unix(1, 0)
	r := New(Config{ID: "a", Voters: []domain.VM{"a", "b", "c"}, Rand: rand.New(rand.NewPCG(1, 1))}, Restored{}, now)
	now = r.NextWake()
	r.Tick(now)
	r.Step(now, "b", &PreVoteReply{Term: 1, Granted: true})
	vote := r.Ready()
	must.SliceLen(t, 2, vote.AfterSync)
	r.Step(now, "b", &VoteReply{Term: 1, Granted: true})
	must.Eq(t, Candidate, r.role)
	r.Persisted(now, vote.Token)
	must.Eq(t, Leader, r.role)
	first := r.Ready()
	r.Step(now, "b", &AppendReply{Term: 1, Match: 1})
	must.Eq(t, 0, r.Status().Commit)
	r.Persisted(now, first.Token)
	must.Eq(t, 1, r.Status().Commit)
}

// Guards against replies that are sent before the records they acknowledge are
// durable.
func TestRepliesWaitForSync(t *testing.T) {
	now := time.Unix(1, 0)
	r := New(Config{ID: "a", Voters: []domain.VM{"a", "b", "c"}, Rand: rand.New(rand.NewPCG(1, 1))}, Restored{}, now)
	r.Step(now, "b", &Append{Term: 1, Entries: []Entry{{Index: 1, Term: 1}}})
	out := r.Ready()
	must.SliceEmpty(t, out.Now)
	must.SliceLen(t, 1, out.AfterSync)
	now = now.Add(2 * DefaultElectionTimeout)
	r.Step(now, "c", &Vote{Term: 2, LastIndex: 1, LastTerm: 1})
	out = r.Ready()
	must.SliceEmpty(t, out.Now)
	must.SliceLen(t, 1, out.AfterSync)
}

// Guards against entries in messages that change when the log is truncated.
func TestTruncateKeepsReturnedSlices(t *testing.T) {
	l := memoryLog{}
	l.append(Entry{Index: 1, Term: 1}, Entry{Index: 2, Term: 1})
	sent := l.slice(1, 2)
	l.truncate(2)
	l.append(Entry{Index: 2, Term: 2})
	must.Eq(t, 1, sent[1].Term)
}

// BenchmarkProposeToCommit measures one proposal from Propose to commit on three
// voters in one process, without disk and network.
func BenchmarkProposeToCommit(b *testing.B) {
	now := time.Unix(1, 0)
	ids := []domain.VM{"a", "b", "c"}
	rafts := map[domain.VM]*Raft{}
	for i, id := range ids {
		rafts[id] = New(Config{ID: id, Voters: ids, Rand: rand.New(rand.NewPCG(uint64(i), 1))}, Restored{}, now)
	}
	messages := 0
	var commit Index
	pump := func() {
		for busy := true; busy; {
			busy = false
			for _, id := range ids {
				out := rafts[id].Ready()
				rafts[id].Persisted(now, out.Token)
				for _, s := range append(out.Now, out.AfterSync...) {
					busy = true
					messages++
					rafts[s.To].Step(now, id, s.Body)
				}
				if n := len(out.Committed); n > 0 {
					commit = max(commit, out.Committed[n-1].Index)
				}
				busy = busy || len(out.Records) > 0
			}
		}
	}
	var leader *Raft
	for leader == nil {
		now = now.Add(100 * time.Millisecond)
		for _, id := range ids {
			if !now.Before(rafts[id].NextWake()) {
				rafts[id].Tick(now)
			}
			pump()
			if rafts[id].role == Leader {
				leader = rafts[id]
			}
		}
	}
	messages = 0
	b.ReportAllocs()
	for b.Loop() {
		i, err := leader.Propose(now, &command{1})
		if err != nil {
			b.Fatal(err)
		}
		pump()
		if commit < i {
			b.Fatal("not committed")
		}
		if i%10_000 == 0 {
			for _, id := range ids {
				rafts[id].Compact(rafts[id].delivered, &stateSnapshot{})
			}
		}
	}
	b.ReportMetric(float64(messages)/float64(b.N), "messages/op")
}

// Guards against an entry that loses its payload or member set, or gains one, when
// it is encoded for the wire or the disk.
func TestCodecKeepsEntries(t *testing.T) {
	c, err := codec.New(Messages(), append(Records(), &command{}, &stateSnapshot{}))
	must.NoError(t, err)
	members := Members{Voters: []domain.VM{"a"}, Learners: []domain.VM{"b"}, Removed: []domain.VM{"c"}}
	entries := []Entry{{Index: 1, Term: 1, Members: &members}, {Index: 2, Term: 1, Data: &command{7}}}
	snapshot := &Snapshot{Index: 2, Term: 1, Members: members, Data: &stateSnapshot{[]int{7}}}
	for _, m := range []domain.Message{&Append{Term: 1, Round: 2, Entries: entries}, &InstallSnapshot{Term: 1, Snapshot: snapshot}} {
		data, err := c.EncodeMessage(m)
		must.NoError(t, err)
		got, err := c.DecodeMessage(data)
		must.NoError(t, err)
		must.Eq(t, m, got)
	}
	for _, r := range []domain.Record{&Entries{entries}, snapshot, &HardState{Term: 3, Vote: "a"}} {
		data, err := c.EncodeRecord(r)
		must.NoError(t, err)
		got, err := c.DecodeRecord(data)
		must.NoError(t, err)
		must.Eq(t, r, got)
	}
}
