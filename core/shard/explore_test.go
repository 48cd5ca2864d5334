package shard

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/domain"
)

var exploredShard = domain.ShardID{DataCentre: "a"}

// maxChoices is the number of in-flight messages, newest first, that an action can
// deliver or duplicate. Older ones count as lost.
const maxChoices = 4

// model holds an owner "a" and a backup "b" with a disk each, and the configuration
// leader "z". A message stays in flight until an action delivers it.
type model struct {
	now      time.Time
	managers map[domain.VM]*Manager
	disks    map[domain.VM][]domain.Record
	starts   uint64
	grantor  *LeaderGrantor
	state    *config.State
	inFlight []packet
	history  []domain.Record
	broken   bool
	failure  string
}

func newModel(broken bool) *model {
	m := &model{
		now: time.Unix(1000, 0), managers: map[domain.VM]*Manager{}, disks: map[domain.VM][]domain.Record{},
		grantor: NewLeaderGrantor(testTerm), state: config.NewState(),
	}
	m.start("a")
	m.start("b")
	m.commit(config.Assignment{Shard: exploredShard, Epoch: 1, Owner: "a", Learner: "b"})
	m.grantor.Elected(m.now)
	for range 12 {
		m.act("time")
		m.act("config a")
		m.act("config b")
		for len(m.inFlight) > 0 {
			m.deliver(0, false)
		}
	}
	m.act("append")
	for len(m.inFlight) > 0 {
		m.deliver(0, false)
	}
	m.broken = broken
	return m
}

func (m *model) start(vm domain.VM) {
	m.starts++
	manager := New(Config{Self: vm, DataCentre: "a", Incarnation: m.starts, HasDisk: true, LeaseTerm: testTerm, RenewInterval: testRenew}, m.now)
	m.managers[vm] = manager
	manager.Restore(m.disks[vm])
	m.effects(vm, manager.Configure(m.now, m.state.View()))
	// The backup is not eligible until the planned stop asks for a handover.
	m.effects(vm, manager.Observe(m.now, []Candidate{{"a", "a", true, true}, {"b", "a", true, false}}, "z"))
}

func (m *model) commit(a config.Assignment) {
	c := &config.AssignShard{PreviousEpoch: a.Epoch - 1, Assignment: a}
	m.state.Apply(m.state.AppliedIndex()+1, &config.Change{Command: c})
	m.grantor.Configure(m.state.View())
}

func (m *model) effects(vm domain.VM, e Effects) {
	for _, s := range e.Sends {
		m.inFlight = append(m.inFlight, packet{from: vm, to: s.To, body: s.Body})
	}
	for _, c := range e.Proposals {
		m.inFlight = append(m.inFlight, packet{from: vm, to: "z", propose: c.(*config.AssignShard)})
	}
	for range e.Activated {
		got := m.managers[vm].ShardRecords(exploredShard)
		if len(got) < len(m.history) || !slices.Equal(got[:len(m.history)], m.history) {
			m.failure = fmt.Sprintf("%s activated without committed records", vm)
		}
		m.history = got
	}
	for _, c := range e.Committed {
		m.history = append(m.history, c.Record)
	}
	for _, w := range e.Writes {
		m.disks[vm] = append(slices.Clone(m.disks[vm]), w.Records...)
		m.effects(vm, m.managers[vm].Persisted(m.now, w.Token))
	}
}

func (m *model) deliver(i int, keep bool) {
	p := m.inFlight[i]
	if !keep {
		m.inFlight = slices.Delete(m.inFlight, i, i+1)
	}
	if p.to != "z" {
		m.effects(p.to, m.managers[p.to].Step(m.now, p.from, p.body))
		return
	}
	switch body := p.body.(type) {
	case *LeaseRequest:
		for _, s := range m.grantor.HandleRequest(m.now, p.from, body, true) {
			m.inFlight = append(m.inFlight, packet{from: "z", to: s.To, body: s.Body})
		}
	case *Release:
		m.grantor.HandleRelease(p.from, body)
	case nil:
		m.propose(p.propose)
	}
}

func (m *model) propose(c *config.AssignShard) {
	if m.grantor.MayPropose(m.now, c, true) {
		m.commit(c.Assignment)
	}
}

// act performs one action, given by its name and argument.
func (m *model) act(action string) {
	verb, argument, _ := strings.Cut(action, " ")
	vm := domain.VM(argument)
	switch verb {
	case "time":
		m.now = m.now.Add(700 * time.Millisecond)
		m.effects("a", m.managers["a"].Tick(m.now))
		m.effects("b", m.managers["b"].Tick(m.now))
	case "config":
		m.effects(vm, m.managers[vm].Configure(m.now, m.state.View()))
	case "restart":
		m.start(vm)
	case "takeover":
		if a := m.state.View().Assignment(exploredShard); a.Backup != "" {
			next := config.Assignment{Shard: exploredShard, Epoch: a.Epoch + 1, Owner: a.Backup, Learner: a.Owner}
			m.propose(&config.AssignShard{PreviousEpoch: a.Epoch, Assignment: next})
		}
	case "drain":
		e := m.managers["a"].Observe(m.now, []Candidate{{"a", "a", true, false}, {"b", "a", true, true}}, "z")
		m.effects("a", e)
		m.effects("a", m.managers["a"].Drain(m.now))
	case "append":
		for _, name := range []domain.VM{"a", "b"} {
			_, e, _ := m.managers[name].Append(m.now, exploredShard, &testRecord{len(m.history)})
			m.effects(name, e)
		}
	case "deliver", "duplicate":
		m.deliver(int(argument[0]-'a'), verb == "duplicate")
	}
	if m.broken {
		for _, manager := range m.managers {
			manager.replica(exploredShard).granted.expires = time.Time{}
		}
	}
	if m.managers["a"].replica(exploredShard).hasLease(m.now) && m.managers["b"].replica(exploredShard).hasLease(m.now) {
		m.failure = "two owners"
	}
}

func (m *model) actions() []string {
	out := []string{"time", "config a", "config b", "takeover", "drain", "append", "restart a", "restart b"}
	for i := max(0, len(m.inFlight)-maxChoices); i < len(m.inFlight); i++ {
		out = append(out, "deliver "+string(rune('a'+i)), "duplicate "+string(rune('a'+i)))
	}
	return out
}

// stateKey identifies a state regardless of its absolute time.
func (m *model) stateKey() string {
	out := fmt.Sprint(m.state.View().Assignment(exploredShard), len(m.history))
	for _, vm := range []domain.VM{"a", "b"} {
		manager := m.managers[vm]
		s := manager.replica(exploredShard)
		out += fmt.Sprint("|", manager.config.Incarnation, s.assignment, s.initialEpoch, s.log.lastPosition(), s.committedIndex, s.leading, s.active,
			s.frozen, s.handedOver, s.acceptedEpoch, s.matchedIndex, s.proposed, manager.requestSequence, manager.draining,
			s.leaderLease.expires.Sub(m.now), s.backupLease.expires.Sub(m.now), s.granted.expires.Sub(m.now), s.granted.sequence)
	}
	if p := m.grantor.grants[exploredShard]; p != nil {
		out += fmt.Sprint("|", p.expires.Sub(m.now), p.sequence, m.grantor.pendingEpochs)
	}
	for _, p := range m.inFlight {
		out += fmt.Sprintf("|%s%s%T", p.from, p.to, p.body)
		if a, ok := p.body.(*Append); ok {
			out += fmt.Sprint(a.Epoch, a.Previous, len(a.Entries))
		}
	}
	return out
}

// explore visits all states within the depth, breadth first. It reaches each state by
// replaying the actions that lead to it.
func explore(depth int, broken bool) (visited int, failure string) {
	seen := map[string]bool{}
	frontier := [][]string{nil}
	for range depth {
		var next [][]string
		for _, path := range frontier {
			for _, action := range replay(path, broken).actions() {
				longer := append(slices.Clone(path), action)
				m := replay(longer, broken)
				if m.failure != "" {
					return len(seen), fmt.Sprintf("%s after %q", m.failure, longer)
				}
				if k := m.stateKey(); !seen[k] {
					seen[k] = true
					next = append(next, longer)
				}
			}
		}
		frontier = next
	}
	return len(seen), ""
}

func replay(path []string, broken bool) *model {
	m := newModel(broken)
	for _, action := range path {
		m.act(action)
	}
	return m
}

// Guards against an order of messages, restarts and configuration changes during a
// handover that gives a shard two owners or loses a record.
func TestExploreHandover(t *testing.T) {
	m := newModel(false)
	must.Eq(t, config.Assignment{Shard: exploredShard, Epoch: 2, Owner: "a", Backup: "b"}, m.state.View().Assignment(exploredShard))
	must.Len(t, 1, m.history)
	visited, failure := explore(*depth, false)
	t.Logf("visited %d states to depth %d", visited, *depth)
	must.Eq(t, "", failure)
}

// Guards against an exploration that does not detect a backup that ignores the lease
// it granted.
func TestExploreCatchesBrokenBackup(t *testing.T) {
	visited, failure := explore(5, true)
	t.Logf("visited %d states: %s", visited, failure)
	must.NotEq(t, "", failure)
}
