package turnstore

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/quorum"
)

// retentionStore is a store that is the only member of its set, at a time.
type retentionStore struct {
	*Store
	t   *testing.T
	now time.Time
}

func newRetentionStore(t *testing.T) *retentionStore {
	s := New()
	s.AssignID("a/1")
	s.AdoptSet(&quorum.Set{Epoch: 1, Members: []quorum.Member{{ID: "a/1"}}})
	return &retentionStore{Store: s, t: t, now: time.Unix(1000, 0)}
}

func (s *retentionStore) write(id, previous string, retention time.Duration) {
	reply, _ := s.Write(s.now, &Write{Epoch: 1, Turn: &Turn{Key: TurnKey{ID: id}, Previous: previous, Retention: retention}})
	must.True(s.t, reply.Status.Accepted)
}

// pass lets time pass, with a sweep each second.
func (s *retentionStore) pass(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(time.Second)
		s.Sweep(s.now)
	}
}

// chain returns the number of turns that a read of the turn returns, without the extension of a read.
func (s *retentionStore) chain(id string) int {
	n := 0
	for key := (TurnKey{ID: id}); key.ID != ""; n++ {
		stored, ok := s.turns[key]
		if !ok {
			break
		}
		key.ID = stored.turn.Previous
	}
	return n
}

// Guards against a chain that loses its first turns before its last one (LOST in the second
// review): a turn under a route with a longer retention continues turns of shorter ones.
func TestChainIsKeptAsLongAsItsLastTurn(t *testing.T) {
	const short, long = 10 * time.Second, time.Minute
	for name, retentions := range map[string][]time.Duration{
		"longer":            {short, long},
		"longer in steps":   {time.Second, short, long},
		"shorter":           {long, short},
		"longer in between": {short, long, short},
		"long before short": {short, short, long, short, short},
	} {
		s := newRetentionStore(t)
		previous := ""
		for i, retention := range retentions {
			id := fmt.Sprint(name, i)
			s.write(id, previous, retention)
			s.pass(time.Second)
			previous = id
		}
		last := 0
		for i, retention := range retentions {
			if retention == long {
				last = i
			}
		}
		s.pass(long - time.Duration(len(retentions))*time.Second)
		must.Eq(t, last+1, s.chain(fmt.Sprint(name, last)), must.Sprint(name))
		s.pass(2 * long)
		turns, _, bytes := s.Counts()
		must.Eq(t, 0, turns, must.Sprint(name))
		must.Eq(t, 0, bytes, must.Sprint(name))
	}
}

// Guards against the same if a branch of the chain has the longer retention, and if the chain
// arrives in any order, as in a copy from another member.
func TestCopiedChainIsKeptAsLongAsItsLastTurn(t *testing.T) {
	turns := []*Turn{
		{Key: TurnKey{ID: "1"}, Retention: 10 * time.Second},
		{Key: TurnKey{ID: "2"}, Previous: "1", Retention: 10 * time.Second},
		{Key: TurnKey{ID: "3"}, Previous: "2", Retention: time.Minute},
		{Key: TurnKey{ID: "branch"}, Previous: "2", Retention: time.Second},
	}
	for order := range 24 {
		s := newRetentionStore(t)
		for _, i := range permutation(order) {
			s.CopyTurns(s.now, turns[i:i+1])
		}
		s.pass(time.Minute)
		must.Eq(t, 3, s.chain("3"), must.Sprint(permutation(order)))
		s.pass(2 * time.Minute)
		n, _, _ := s.Counts()
		must.Eq(t, 0, n)
	}
}

// permutation returns the i-th order of four items.
func permutation(i int) []int {
	items := []int{0, 1, 2, 3}
	var out []int
	for n := len(items); n > 0; n-- {
		k := i % n
		i /= n
		out = append(out, items[k])
		items = append(items[:k:k], items[k+1:]...)
	}
	return out
}

// Guards against a chain that is cut by a restart: what extended the earlier turns is not on the disk.
func TestRestoredChainIsKeptAsLongAsItsLastTurn(t *testing.T) {
	s := newRetentionStore(t)
	s.write("1", "", 10*time.Second)
	s.pass(5 * time.Second)
	s.write("2", "1", time.Minute)
	s.pass(25 * time.Second)
	restored := newRetentionStore(t)
	restored.now = s.now
	for _, record := range s.LiveRecords() {
		must.NoError(t, restored.Restore(restored.now, record))
	}
	must.Eq(t, domain.Epoch(1), restored.Set().Epoch)
	restored.pass(50 * time.Second)
	must.Eq(t, 2, restored.chain("2"))
}

// Guards against a chain that ends while a turn that continues it runs.
func TestReadKeepsChain(t *testing.T) {
	s := newRetentionStore(t)
	s.write("1", "", time.Second)
	s.write("2", "1", 10*time.Second)
	s.pass(15 * time.Second)
	reply, _ := s.Read(s.now, &ReadChain{Epoch: 1, Key: TurnKey{ID: "2"}})
	must.Len(t, 2, reply.Turns)
	s.pass(15 * time.Second)
	must.Eq(t, 2, s.chain("2"))
}
