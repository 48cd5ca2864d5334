// Package storage runs a storage VM: the control goroutine of core/turnstore and
// core/origin, and its disk. When the VM joins the storage set, the package copies the records of
// the other members. When the set changes otherwise, it compares them with those of the members
// nearby.
package storage

import (
	"context"
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
	// Stream is the name of the record stream of the global set on the disk, and RegionalStream
	// that of the set of the VM's region.
	Stream         = "turns"
	RegionalStream = "turns-region"
	// idleWake is the longest time between two sweeps of expired records.
	idleWake = 2 * time.Second
	// copyRetryDelay is the pause before a failed copy is retried, and compareRetryDelay that
	// before a failed comparison.
	copyRetryDelay    = 100 * time.Millisecond
	compareRetryDelay = time.Second
	// formerRetryDelay is the time between two attempts of a copy that ask former members. Most of
	// them are gone for good, and each costs a pullTimeout.
	formerRetryDelay = 3 * time.Second
	// maxComparisons bounds the attempts to compare the records for one global set. For a regional
	// set, the pause between further attempts is slowCompareDelay.
	maxComparisons   = 20
	slowCompareDelay = 10 * time.Second
	// concurrentFetches is the number of concurrent calls that copy turns.
	concurrentFetches = 3
	// pullTimeout bounds each call of a copy.
	pullTimeout = time.Second
	// compactSlackBytes is the size by which the records that are not needed any more must exceed the
	// live ones before the disk is compacted. It is a fraction of the smallest
	// disk in use.
	compactSlackBytes = 64 << 20
	// rewriteDelay is the pause before the records are written again after a failed write.
	rewriteDelay = 500 * time.Millisecond
)

// Options holds the settings and adapters of a Node.
type Options struct {
	Store *turnstore.Store
	// Regional is the restored store of the set of Region, or nil if the disk has none.
	Regional   *turnstore.Store
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
	global *replica
	// regional is the part of the set of the VM's region, or nil without a region.
	regional *replica
	origins  *origin.Registry
	started  time.Time
	// attachSet reports that the coordinators lack the set that the regional replica has adopted.
	attachSet bool
}

// New returns a node that is not running yet.
func New(o Options) *Node {
	n := &Node{o: o, origins: origin.NewRegistry(), started: o.Clock.Now()}
	n.global = &replica{n: n, store: o.Store, stream: Stream, identified: true, writtenBytes: o.Store.RestoredBytes()}
	if o.Region != "" {
		store := o.Regional
		if store == nil {
			store = turnstore.NewScoped(quorum.Scope(o.Region), o.Store.ID())
		}
		n.regional = &replica{n: n, store: store, stream: RegionalStream, identified: store.Set() != nil, writtenBytes: store.RestoredBytes()}
	}
	n.Actor = loop.NewActor(o.Clock, n.settle)
	return n
}

func (n *Node) settle(now time.Time) time.Time {
	n.origins.Sweep(now)
	wake := n.global.settle(now)
	if n.regional != nil {
		if w := n.regional.settle(now); w.Before(wake) {
			return w
		}
	}
	return wake
}

// replicas returns the VM's parts of sets.
func (n *Node) replicas() []*replica {
	if n.regional == nil {
		return []*replica{n.global}
	}
	return []*replica{n.global, n.regional}
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
		n.o.Metrics.Count(kindOf(m))
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
	case *origin.Register:
		return n.origins.Register(now, m), completed(nil)
	case *origin.Lookup:
		return n.origins.Lookup(now, m), completed(nil)
	case *turnstore.Scoped:
		if n.regional == nil || n.regional.store.Scope() != m.Scope {
			return nil, nil
		}
		return n.regional.handle(now, m.Body)
	default:
		return n.global.handle(now, m)
	}
}

// kindOf returns the kind under which a message is counted.
func kindOf(m domain.Message) string {
	if scoped, ok := m.(*turnstore.Scoped); ok {
		return scoped.Body.MessageName() + " of the region"
	}
	return m.MessageName()
}

// Report implements follower.Process.
func (n *Node) Report(ctx context.Context) (*coordinator.Report, error) {
	r := &coordinator.Report{Process: n.o.Process, Document: maxVersion}
	err := n.Do(ctx, func(now time.Time) {
		for _, replica := range n.replicas() {
			if replica.failed != nil {
				return
			}
		}
		store := n.global.store
		status := &coordinator.StoreStatus{
			ID: store.ID(), Name: n.o.Name, DataCentre: n.o.DataCentre, Region: n.o.Region, Complete: store.Complete(),
			Whole: store.Whole(),
			// The id of a disk holds the process that created it.
			New: string(store.ID()) == n.o.Process && now.Sub(n.started) < coordinator.SuccessorWindow,
		}
		if set := store.Set(); set != nil {
			status.Epoch, r.Stores = set.Epoch, set.Epoch
		}
		if n.regional != nil {
			status.Regional = n.regional.status(n.attachSet)
			n.attachSet = false
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
	if v.Stores == nil && len(v.Regional) == 0 && !v.LacksSet {
		return
	}
	n.Deliver(func(time.Time) {
		n.attachSet = v.LacksSet
		n.global.adoptSet(v.Stores)
		for _, set := range v.Regional {
			if n.regional != nil {
				n.regional.adoptSet(set)
			}
		}
	})
}

// reportPanic logs a panic of a traffic goroutine. A panic of the control goroutine ends
// the process, which then restores its state from the disk.
func (n *Node) reportPanic(value any, stack []byte) {
	n.o.Log.Error(fmt.Errorf("panic: %v", value), "a copy panicked; it is retried. Report it as a bug", "stack", string(stack))
}
