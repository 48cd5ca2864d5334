// Package storage runs a storage VM: the control goroutine of core/turnstore and
// core/origin, and its disk. When the VM joins the storage set, the package copies the records of
// the other members. When the set changes otherwise, it compares them with those of the members
// nearby.
package storage

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/go-logr/logr"

	"github.com/mangoknot/mangoknot/core/coordinator"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/origin"
	"github.com/mangoknot/mangoknot/core/quorum"
	"github.com/mangoknot/mangoknot/core/turnstore"
	"github.com/mangoknot/mangoknot/node/loop"
	"github.com/mangoknot/mangoknot/port"
)

const (
	// Stream is the name of the record stream on the disk.
	Stream = "turns"
	// idleWake is the longest time between two sweeps of expired records.
	idleWake = 2 * time.Second
	// copyRetryDelay is the pause before a failed copy is retried, and compareRetryDelay that
	// before a failed comparison.
	copyRetryDelay    = 100 * time.Millisecond
	compareRetryDelay = time.Second
	// maxComparisons bounds the attempts to compare the records for one set.
	maxComparisons = 20
	// concurrentFetches is the number of concurrent calls that copy turns.
	concurrentFetches = 3
	// pullTimeout bounds each call of a copy.
	pullTimeout = time.Second
	// compactSlackBytes is the size by which the expired records must exceed the
	// live ones before the disk is compacted. It is a fraction of the smallest
	// disk in use.
	compactSlackBytes = 64 << 20
	// rewriteDelay is the pause before the records are written again after a failed write.
	rewriteDelay = 500 * time.Millisecond
)

// Options holds the settings and adapters of a Node.
type Options struct {
	Store      *turnstore.Store
	Name       string
	DataCentre domain.DataCentre
	Region     domain.Region
	// Process is unique for each start.
	Process string
	Disk    port.Disk
	Calls   port.RPCClient
	Clock   port.Clock
	// Metrics counts requests and copies by kind.
	Metrics interface{ Count(event string) }
	Log     logr.Logger
}

// Node is one running storage VM.
type Node struct {
	o Options
	loop.Actor

	// The fields below belong to the control goroutine.
	store   *turnstore.Store
	origins *origin.Registry
	started time.Time
	copying bool
	// comparedEpoch is the epoch of the set for which the records were last compared with those
	// of other members, and comparisons the number of attempts.
	comparedEpoch domain.Epoch
	comparisons   int
	compareDue    time.Time
	writtenBytes  int
	// pendingAppends is the number of appends that are not synced yet.
	pendingAppends int
	// failed is the error of the last write. The content of the disk is unknown after it, so
	// the node rejects all requests and changes nothing until it has written all its records
	// again. rewriteDue is the time of the next attempt.
	failed     error
	rewriteDue time.Time
	// replacing reports that a write of all records is in progress.
	replacing bool
}

// New returns a node that is not running yet.
func New(o Options) *Node {
	n := &Node{o: o, store: o.Store, origins: origin.NewRegistry(), started: o.Clock.Now()}
	n.Actor = loop.NewActor(o.Clock, n.settle)
	return n
}

func (n *Node) settle(now time.Time) time.Time {
	n.startCopy(now)
	n.store.Sweep(now)
	n.origins.Sweep(now)
	if n.failed == nil {
		n.compact()
		return now.Add(idleWake)
	}
	if !n.replacing && !now.Before(n.rewriteDue) {
		n.replaceRecords()
	}
	return now.Add(rewriteDelay)
}

// compact rewrites the disk when expired records take up much of it.
func (n *Node) compact() {
	_, _, live := n.store.Counts()
	if !n.replacing && n.writtenBytes >= 2*live+compactSlackBytes {
		n.replaceRecords()
	}
}

// replaceRecords writes all records that the store holds in place of the content of the disk.
func (n *Node) replaceRecords() {
	n.replacing = true
	_, _, n.writtenBytes = n.store.Counts()
	n.o.Disk.Replace(Stream, n.store.LiveRecords(), func(err error) {
		n.Deliver(func(now time.Time) {
			n.replacing = false
			if err != nil {
				n.writeFailed(now, err)
				return
			}
			if n.failed != nil {
				n.failed = nil
				n.o.Log.Info("all records are on the disk again; this storage VM accepts requests")
			}
		})
	})
}

func (n *Node) writeFailed(now time.Time, err error) {
	if n.failed == nil {
		n.o.Metrics.Count("the disk failed")
		n.o.Log.Error(err, "the disk rejects writes; this storage VM rejects requests until all its records are written again")
	}
	n.failed = err
	n.rewriteDue = now.Add(rewriteDelay)
}

// apply changes the store and returns a channel that receives the result of the sync of the
// resulting records. While the disk rejects writes it changes nothing: a record that is added
// during the rewriting would be in the store and not on the disk.
func (n *Node) apply(change func() []domain.Record) <-chan error {
	if n.failed != nil {
		return completed(n.failed)
	}
	return n.persist(change())
}

// persist appends records and returns a channel that receives the result of
// their sync. It runs on the control goroutine. Without records it waits for
// the earlier appends: a repeated write must not be acknowledged before the
// first one is synced.
func (n *Node) persist(records []domain.Record) <-chan error {
	if len(records) == 0 && n.pendingAppends == 0 {
		return completed(nil)
	}
	done := make(chan error, 1)
	for _, r := range records {
		if t, ok := r.(*turnstore.Turn); ok {
			n.writtenBytes += len(t.Input)
		}
	}
	n.pendingAppends++
	n.o.Disk.Append(Stream, records, func(err error) {
		n.Deliver(func(now time.Time) {
			n.pendingAppends--
			if err != nil {
				n.writeFailed(now, err)
			}
		})
		done <- err
	})
	return done
}

// Handle implements port.RPCHandler.
func (n *Node) Handle(ctx context.Context, m domain.Message) (domain.Message, error) {
	var reply domain.Message
	var synced <-chan error
	err := n.Do(ctx, func(now time.Time) { reply, synced = n.handle(now, m) })
	if err != nil {
		return nil, err
	}
	if reply == nil {
		return nil, fmt.Errorf("storage: message %s is not for a storage VM; check that both VMs run compatible versions", m.MessageName())
	}
	select {
	case err := <-synced:
		n.o.Metrics.Count(m.MessageName())
		if err != nil {
			n.o.Metrics.Count("refused: the disk failed")
			return nil, fmt.Errorf("storage: the disk rejects writes; use another member, and check the disk of this one: %w", err)
		}
		return reply, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (n *Node) handle(now time.Time, m domain.Message) (domain.Message, <-chan error) {
	switch m := m.(type) {
	case *turnstore.Write:
		reply := &turnstore.WriteReply{}
		synced := n.apply(func() (records []domain.Record) {
			reply, records = n.store.Write(now, m)
			return records
		})
		return reply, synced
	case *turnstore.ReadChain:
		return n.read(now, m)
	case *turnstore.Pull:
		reply := &turnstore.PullReply{}
		synced := n.apply(func() (records []domain.Record) {
			reply, records = n.store.Pull(m)
			return records
		})
		return reply, synced
	case *origin.Register:
		return n.origins.Register(now, m), completed(nil)
	case *origin.Lookup:
		return n.origins.Lookup(now, m), completed(nil)
	case *turnstore.Fetch:
		// The member that copies syncs the turns itself, so they need not be
		// synced here.
		return n.store.Fetch(m), completed(n.failed)
	default:
		return nil, nil
	}
}

// read returns a chain. A turn is immutable, so it may be read before it is synced; a set that
// came with the request may not.
func (n *Node) read(now time.Time, m *turnstore.ReadChain) (domain.Message, <-chan error) {
	if n.failed != nil {
		return &turnstore.ChainReply{}, completed(n.failed)
	}
	reply, records := n.store.Read(now, m)
	if len(records) == 0 {
		return reply, completed(nil)
	}
	return reply, n.persist(records)
}

func completed(err error) <-chan error {
	done := make(chan error, 1)
	done <- err
	return done
}

// Report implements follower.Process.
func (n *Node) Report(ctx context.Context) (*coordinator.Report, error) {
	r := &coordinator.Report{Process: n.o.Process, Document: maxVersion}
	err := n.Do(ctx, func(now time.Time) {
		if n.failed != nil {
			return
		}
		status := &coordinator.StoreStatus{
			ID: n.store.ID(), Name: n.o.Name, DataCentre: n.o.DataCentre, Region: n.o.Region, Complete: n.store.Complete(),
			Whole: n.store.Whole(),
			// The id of a disk holds the process that created it.
			New: string(n.store.ID()) == n.o.Process && now.Sub(n.started) < coordinator.SuccessorWindow,
		}
		if set := n.store.Set(); set != nil {
			status.Epoch, r.Stores = set.Epoch, set.Epoch
		}
		r.Store = status
	})
	return r, err
}

// maxVersion is the manifest version that a storage VM reports, so that the
// coordinators send it no manifest. It needs none.
const maxVersion = 1<<63 - 1

// Apply implements follower.Process.
func (n *Node) Apply(v *coordinator.View) {
	if v.Stores == nil {
		return
	}
	n.Deliver(func(time.Time) { n.adoptSet(v.Stores) })
}

// adoptSet switches to a newer set. While the disk rejects writes it does not; the coordinators
// send the set again because the VM does not report its epoch then.
func (n *Node) adoptSet(set *quorum.Set) {
	if n.failed != nil {
		return
	}
	record := n.store.AdoptSet(set)
	if record == nil {
		return
	}
	n.o.Log.Info("applied a new storage set", "epoch", set.Epoch, "complete", n.store.Complete())
	n.persist([]domain.Record{record})
}

// errSourceCopies is returned for a member that has not finished its own copy.
var errSourceCopies = errors.New("storage: the member has not finished its own copy; another one is used")

// pullAll copies all records of one member that this member lacks, and returns the member's
// last status. Without fromIncomplete it copies only from a complete member.
func (n *Node) pullAll(set *quorum.Set, from quorum.Member, fromIncomplete bool) (turnstore.MemberStatus, error) {
	position := 0
	for {
		reply, err := n.pull(set, from, position)
		if err != nil {
			return turnstore.MemberStatus{}, err
		}
		if !reply.Status.Complete && !fromIncomplete {
			return reply.Status, errSourceCopies
		}
		var missing []turnstore.TurnKey
		err = n.applyDurably(func(now time.Time) []domain.Record {
			missing = n.store.Missing(reply)
			return n.store.CopyShares(now, reply)
		})
		if err == nil {
			err = n.fetchAll(from, missing)
		}
		if err != nil || reply.Done {
			return reply.Status, err
		}
		position = reply.Last
	}
}

// applyDurably changes the store on the control goroutine and waits until the
// resulting records are synced.
func (n *Node) applyDurably(change func(now time.Time) []domain.Record) error {
	var synced <-chan error
	if err := n.Do(n.Context(), func(now time.Time) { synced = n.apply(func() []domain.Record { return change(now) }) }); err != nil {
		return err
	}
	return <-synced
}

// fetchAll copies turns with several concurrent calls. With one call at a time
// the link would be idle during its round trip and while its turns are synced.
func (n *Node) fetchAll(from quorum.Member, missing []turnstore.TurnKey) error {
	results := make(chan error, concurrentFetches)
	partLength := (len(missing) + concurrentFetches - 1) / concurrentFetches
	for i := range concurrentFetches {
		part := missing[min(i*partLength, len(missing)):min((i+1)*partLength, len(missing))]
		go func() {
			err := loop.ErrPanicked
			loop.Contain(n.reportPanic, func() { err = n.fetchPart(from, part) })
			results <- err
		}()
	}
	var failed error
	for range concurrentFetches {
		failed = errors.Join(failed, <-results)
	}
	return failed
}

// reportPanic logs a panic of a traffic goroutine. A panic of the control goroutine ends
// the process, which then restores its state from the disk.
func (n *Node) reportPanic(value any, stack []byte) {
	n.o.Log.Error(fmt.Errorf("panic: %v", value), "a copy panicked; it is retried. Report it as a bug", "stack", string(stack))
}

func (n *Node) fetchPart(from quorum.Member, missing []turnstore.TurnKey) error {
	for len(missing) > 0 {
		m, err := n.callMember(from, &turnstore.Fetch{Turns: missing})
		if err != nil {
			return err
		}
		reply, ok := m.(*turnstore.FetchReply)
		if !ok || reply.Handled <= 0 {
			return fmt.Errorf("storage: %s answered a fetch with the unexpected message %s; check that both VMs run compatible versions", from.ID, m.MessageName())
		}
		err = n.applyDurably(func(now time.Time) []domain.Record { return n.store.CopyTurns(now, reply.Turns) })
		if err != nil {
			return err
		}
		missing = missing[min(reply.Handled, len(missing)):]
	}
	return nil
}

func (n *Node) callMember(from quorum.Member, m domain.Message) (domain.Message, error) {
	ctx, cancel := context.WithTimeout(n.Context(), pullTimeout)
	defer cancel()
	return n.o.Calls.Call(ctx, from.ID.Address(), m)
}

func (n *Node) pull(set *quorum.Set, from quorum.Member, after int) (*turnstore.PullReply, error) {
	m, err := n.callMember(from, &turnstore.Pull{Set: set, After: after})
	if err != nil {
		return nil, err
	}
	reply, ok := m.(*turnstore.PullReply)
	if !ok {
		return nil, fmt.Errorf("storage: %s answered a pull with the unexpected message %s; check that both VMs run compatible versions", from.ID, m.MessageName())
	}
	if newer := reply.Status.NewerSet; newer != nil {
		n.Deliver(func(time.Time) { n.adoptSet(newer) })
	}
	if !reply.Status.Accepted {
		return nil, fmt.Errorf("storage: %s uses epoch %d", from.ID, reply.Status.Epoch)
	}
	return reply, nil
}
