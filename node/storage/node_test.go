package storage

import (
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"github.com/mangoknot/mangoknot/adapter/disk"
	"github.com/mangoknot/mangoknot/adapter/systemclock"
	"github.com/mangoknot/mangoknot/core/coordinator"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/quorum"
	"github.com/mangoknot/mangoknot/core/turnstore"
	"github.com/mangoknot/mangoknot/internal/disktest"
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

// Guards against a storage VM that rejects requests for good after its disk was full, and
// against one that acknowledges or reports what a full disk has not stored: after a restart it
// must hold every acknowledged turn.
func TestStoreReturnsAfterFullDisk(t *testing.T) {
	memory := disk.NewMemory(0)
	full := disktest.New(memory)
	store := turnstore.New()
	appended := make(chan error, 1)
	full.Append(Stream, []domain.Record{store.AssignID("a/1")}, func(err error) { appended <- err })
	must.NoError(t, <-appended)
	n := New(Options{Store: store, Disk: full, Clock: systemclock.Boot{}, Log: logr.Discard(), Metrics: noMetrics{}})
	go n.Run() //nolint:errcheck // ends with Stop
	t.Cleanup(n.Stop)
	sets := []*quorum.Set{{Epoch: 1, Members: []quorum.Member{{ID: "a/1"}}}, {Epoch: 2, Members: []quorum.Member{{ID: "a/1"}}}}
	n.Apply(&coordinator.View{Stores: sets[0]})
	put := func(epoch domain.Epoch, id string) error {
		reply, err := n.Handle(t.Context(), &turnstore.Write{Epoch: epoch, Turn: &turnstore.Turn{Key: turnstore.TurnKey{Account: "x", ID: id}, Retention: time.Minute}})
		if err == nil {
			must.True(t, reply.(*turnstore.WriteReply).Status.Accepted)
		}
		return err
	}
	must.NoError(t, put(1, "before"))
	full.SetFull(true)
	must.Error(t, put(1, "during"))
	must.Error(t, put(1, "during"))
	n.Apply(&coordinator.View{Stores: sets[1]})
	report, err := n.Report(t.Context())
	must.NoError(t, err)
	must.Nil(t, report.Store)
	full.SetFull(false)
	for end := time.Now().Add(10 * time.Second); put(1, "after") != nil; time.Sleep(10 * time.Millisecond) {
		must.True(t, time.Now().Before(end), must.Sprint("the disk has room again, and writes are rejected"))
	}
	must.NoError(t, put(1, "during"))

	restored := turnstore.New()
	must.NoError(t, memory.Load(Stream, func(r domain.Record) error { return restored.Restore(time.Now(), r) }))
	turns, _, _ := restored.Counts()
	must.Eq(t, 3, turns)
	must.Eq(t, quorum.StoreID("a/1"), restored.ID())
	must.Eq(t, domain.Epoch(1), restored.Set().Epoch)
}

// manualClock is a clock that the test sets. Its timers are those of the machine.
type manualClock struct {
	systemclock.Boot
	nanoseconds atomic.Int64
}

func (c *manualClock) Now() time.Time { return time.Unix(1000, c.nanoseconds.Load()) }

func (c *manualClock) advance(d time.Duration) { c.nanoseconds.Add(int64(d)) }

// Guards against a restarted storage VM that restores all turns that it has stored since the last
// compaction, instead of those that it held (RECOVER in the second review).
func TestDeletedTurnsAreNotRestored(t *testing.T) {
	memory := disk.NewMemory(0)
	store := turnstore.New()
	appended := make(chan error, 1)
	memory.Append(Stream, []domain.Record{store.AssignID("a/1")}, func(err error) { appended <- err })
	must.NoError(t, <-appended)
	clock := &manualClock{}
	n := New(Options{Store: store, Disk: memory, Clock: clock, Log: logr.Discard(), Metrics: noMetrics{}})
	go n.Run() //nolint:errcheck // ends with Stop
	t.Cleanup(n.Stop)
	n.Apply(&coordinator.View{Stores: &quorum.Set{Epoch: 1, Members: []quorum.Member{{ID: "a/1"}}}})
	put := func(id string) {
		_, err := n.Handle(t.Context(), &turnstore.Write{Epoch: 1, Turn: &turnstore.Turn{Key: turnstore.TurnKey{ID: id}, Retention: time.Minute}})
		must.NoError(t, err)
	}
	for range 5 {
		put(fmt.Sprint("old", clock.Now()))
		clock.advance(3 * time.Minute)
	}
	put("last") // after the sweep
	restored := turnstore.New()
	must.NoError(t, memory.Load(Stream, func(r domain.Record) error { return restored.Restore(clock.Now(), r) }))
	turns, _, _ := restored.Counts()
	must.LessEq(t, 2, turns)
}
