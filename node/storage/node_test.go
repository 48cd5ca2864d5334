package storage

import (
	"errors"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"github.com/mangoknot/mangoknot/adapter/systemclock"
	"github.com/mangoknot/mangoknot/core/coordinator"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/quorum"
	"github.com/mangoknot/mangoknot/core/turnstore"
)

type noMetrics struct{}

func (noMetrics) Count(string) {}

// manualSyncDisk passes the completion of each append to the test, which calls
// it to sync.
type manualSyncDisk struct{ appends chan func(error) }

func (d *manualSyncDisk) Append(_ string, _ []domain.Record, done func(error)) { d.appends <- done }

func (d *manualSyncDisk) Load(string, func(domain.Record) error) error { return nil }

func (d *manualSyncDisk) Replace(_ string, _ []domain.Record, done func(error)) { go done(nil) }

func startNode(t *testing.T) (*Node, *manualSyncDisk) {
	d := &manualSyncDisk{appends: make(chan func(error), 8)}
	store := turnstore.New()
	store.AssignID("a/1")
	n := New(Options{Store: store, Disk: d, Clock: systemclock.Boot{}, Log: logr.Discard(), Metrics: noMetrics{}})
	go n.Run() //nolint:errcheck // ends with Stop
	t.Cleanup(n.Stop)
	n.Apply(&coordinator.View{Stores: &quorum.Set{Epoch: 1, Members: []quorum.Member{{ID: "a/1"}}}})
	(<-d.appends)(nil)
	return n, d
}

func write(t *testing.T, n *Node) <-chan error {
	done := make(chan error, 1)
	go func() {
		_, err := n.Handle(t.Context(), &turnstore.Write{Epoch: 1, Turn: &turnstore.Turn{Key: turnstore.TurnKey{Account: "x", ID: "1"}}})
		done <- err
	}()
	return done
}

// Guards against a repeated write that is acknowledged while the first one is
// not synced: a power loss would then lose an acknowledged turn.
func TestRepeatedWriteWaitsForSync(t *testing.T) {
	n, d := startNode(t)
	first := write(t, n)
	syncFirst := <-d.appends
	second := write(t, n)
	syncSecond := <-d.appends
	select {
	case <-second:
		t.Fatal("the repeated write was acknowledged before the first one was synced")
	case <-time.After(20 * time.Millisecond):
	}
	syncFirst(nil)
	syncSecond(nil)
	must.NoError(t, <-first)
	must.NoError(t, <-second)
}

// Guards against a storage VM that still acknowledges writes after its disk
// failed.
func TestFailedDiskRejectsWrites(t *testing.T) {
	n, d := startNode(t)
	first := write(t, n)
	(<-d.appends)(errors.New("disk full"))
	must.Error(t, <-first)
	must.NoError(t, n.Do(t.Context(), func(time.Time) {}))
	must.Error(t, <-write(t, n))
}
