package storage

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/mangoknot/mangoknot/core/coordinator"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/quorum"
	"github.com/mangoknot/mangoknot/core/turnstore"
	"github.com/mangoknot/mangoknot/node/loop"
)

// replica is this VM's part of one set: the records, their stream on the disk, and the copies from
// the other members. Its fields belong to the control goroutine of the node.
type replica struct {
	n      *Node
	store  *turnstore.Store
	stream string
	// identified reports whether the stream holds the ID of the disk.
	identified bool
	copying    bool
	// formerDue is the time from which the next copy asks former members.
	formerDue time.Time
	// comparedEpoch is the epoch of the set for which the records were last compared with those
	// of other members, and comparisons the number of attempts.
	comparedEpoch domain.Epoch
	comparisons   int
	compareDue    time.Time
	// writtenBytes is the approximate size of the stream on the disk.
	writtenBytes int
	// pendingAppends is the number of appends that are not synced yet.
	pendingAppends int
	// failed is the error of the last write. The content of the disk is unknown after it, so
	// the replica rejects all requests and changes nothing until it has written all its records
	// again. rewriteDue is the time of the next attempt.
	failed     error
	rewriteDue time.Time
	// replacing reports that a write of all records is in progress.
	replacing bool
}

// settle does what is due. It does nothing before a set is adopted.
func (r *replica) settle(now time.Time) time.Time {
	if r.store.Set() == nil && r.failed == nil {
		return now.Add(idleWake)
	}
	r.startCopy(now)
	deleted := r.store.Sweep(now)
	if r.failed == nil {
		if len(deleted) > 0 {
			r.persist(deleted)
		}
		r.compact()
		return now.Add(idleWake)
	}
	if !r.replacing && !now.Before(r.rewriteDue) {
		r.replaceRecords()
	}
	return now.Add(rewriteDelay)
}

// handle handles a message and returns the reply, which may be sent after the sync.
func (r *replica) handle(now time.Time, m domain.Message) (domain.Message, <-chan error) {
	switch m := m.(type) {
	case *turnstore.Write:
		reply := &turnstore.WriteReply{}
		synced := r.apply(func() (records []domain.Record) {
			reply, records = r.store.Write(now, m)
			return records
		})
		return reply, synced
	case *turnstore.ReadChain:
		return r.read(now, m)
	case *turnstore.Pull:
		reply := &turnstore.PullReply{}
		synced := r.apply(func() (records []domain.Record) {
			reply, records = r.store.Pull(m)
			return records
		})
		return reply, synced
	case *turnstore.Fetch:
		// The member that copies syncs the turns itself, so they need not be
		// synced here.
		return r.store.Fetch(m), completed(r.failed)
	default:
		return nil, nil
	}
}

// compact rewrites the disk when records that are not needed any more take up much of it.
func (r *replica) compact() {
	if !r.replacing && r.writtenBytes >= 2*r.store.LiveBytes()+compactSlackBytes {
		r.replaceRecords()
	}
}

// replaceRecords writes all records that the store holds in place of the content of the disk.
func (r *replica) replaceRecords() {
	r.replacing = true
	r.writtenBytes = r.store.LiveBytes()
	r.n.o.Disk.Replace(r.stream, r.store.LiveRecords(), func(err error) {
		r.n.Deliver(func(now time.Time) {
			r.replacing = false
			if err != nil {
				r.writeFailed(now, err)
				return
			}
			if r.failed != nil {
				r.failed = nil
				r.n.o.Log.Info("all records are on the disk again; this storage VM accepts requests")
			}
		})
	})
}

func (r *replica) writeFailed(now time.Time, err error) {
	if r.failed == nil {
		r.n.o.Metrics.Count("the disk failed")
		r.n.o.Log.Error(err, "the disk rejects writes; this storage VM rejects requests until all its records are written again")
	}
	r.failed = err
	r.rewriteDue = now.Add(rewriteDelay)
}

// apply changes the store and returns a channel that receives the result of the sync of the
// resulting records. While the disk rejects writes it changes nothing: a record that is added
// during the rewriting would be in the store and not on the disk.
func (r *replica) apply(change func() []domain.Record) <-chan error {
	if r.failed != nil {
		return completed(r.failed)
	}
	return r.persist(change())
}

// persist appends records and returns a channel that receives the result of
// their sync. It runs on the control goroutine. Without records it waits for
// the earlier appends: a repeated write must not be acknowledged before the
// first one is synced.
func (r *replica) persist(records []domain.Record) <-chan error {
	if len(records) == 0 && r.pendingAppends == 0 {
		return completed(nil)
	}
	if len(records) > 0 && !r.identified {
		records = append([]domain.Record{&turnstore.Identity{ID: r.store.ID()}}, records...)
		r.identified = true
	}
	done := make(chan error, 1)
	for _, record := range records {
		r.writtenBytes += turnstore.RecordBytes(record)
	}
	r.pendingAppends++
	r.n.o.Disk.Append(r.stream, records, func(err error) {
		r.n.Deliver(func(now time.Time) {
			r.pendingAppends--
			if err != nil {
				r.writeFailed(now, err)
			}
		})
		done <- err
	})
	return done
}

// read returns a chain. A turn is immutable, so it may be read before it is synced; a set that
// came with the request may not.
func (r *replica) read(now time.Time, m *turnstore.ReadChain) (domain.Message, <-chan error) {
	if r.failed != nil {
		return &turnstore.ChainReply{}, completed(r.failed)
	}
	reply, records := r.store.Read(now, m)
	if len(records) == 0 {
		return reply, completed(nil)
	}
	return reply, r.persist(records)
}

func completed(err error) <-chan error {
	done := make(chan error, 1)
	done <- err
	return done
}

// adoptSet switches to a newer set. While the disk rejects writes it does not; the coordinators
// send the set again because the VM does not report its epoch then.
func (r *replica) adoptSet(set *quorum.Set) {
	if r.failed != nil {
		return
	}
	record := r.store.AdoptSet(set)
	if record == nil {
		return
	}
	r.n.o.Log.Info("applied a new storage set", "region", set.Scope, "epoch", set.Epoch, "complete", r.store.Complete())
	r.persist([]domain.Record{record})
}

// errSourceCopies is returned for a member that has not finished its own copy.
var errSourceCopies = errors.New("storage: the member has not finished its own copy; another one is used")

// pullAll copies all records of one member that this member lacks, and returns the member's
// last status. Without fromIncomplete it copies only from a complete member.
func (r *replica) pullAll(set *quorum.Set, from quorum.Member, fromIncomplete bool) (turnstore.MemberStatus, error) {
	position := 0
	for {
		reply, err := r.pull(set, from, position)
		if err != nil {
			return turnstore.MemberStatus{}, err
		}
		if !reply.Status.Complete && !fromIncomplete {
			return reply.Status, errSourceCopies
		}
		var missing []turnstore.TurnKey
		err = r.applyDurably(func(now time.Time) []domain.Record {
			missing = r.store.Missing(reply)
			return r.store.CopyShares(now, reply)
		})
		if err == nil {
			err = r.fetchAll(from, missing)
		}
		if err != nil || reply.Done {
			return reply.Status, err
		}
		position = reply.Last
	}
}

// applyDurably changes the store on the control goroutine and waits until the
// resulting records are synced.
func (r *replica) applyDurably(change func(now time.Time) []domain.Record) error {
	var synced <-chan error
	if err := r.n.Do(r.n.Context(), func(now time.Time) { synced = r.apply(func() []domain.Record { return change(now) }) }); err != nil {
		return err
	}
	return <-synced
}

// fetchAll copies turns with several concurrent calls. With one call at a time
// the link would be idle during its round trip and while its turns are synced.
func (r *replica) fetchAll(from quorum.Member, missing []turnstore.TurnKey) error {
	results := make(chan error, concurrentFetches)
	partLength := (len(missing) + concurrentFetches - 1) / concurrentFetches
	for i := range concurrentFetches {
		part := missing[min(i*partLength, len(missing)):min((i+1)*partLength, len(missing))]
		go func() {
			err := loop.ErrPanicked
			loop.Contain(r.n.reportPanic, func() { err = r.fetchPart(from, part) })
			results <- err
		}()
	}
	var failed error
	for range concurrentFetches {
		failed = errors.Join(failed, <-results)
	}
	return failed
}

func (r *replica) fetchPart(from quorum.Member, missing []turnstore.TurnKey) error {
	for len(missing) > 0 {
		m, err := r.callMember(from, &turnstore.Fetch{Turns: missing})
		if err != nil {
			return err
		}
		reply, ok := m.(*turnstore.FetchReply)
		if !ok || reply.Handled <= 0 {
			return fmt.Errorf("storage: %s answered a fetch with the unexpected message %s; check that both VMs run compatible versions", from.ID, m.MessageName())
		}
		err = r.applyDurably(func(now time.Time) []domain.Record { return r.store.CopyTurns(now, reply.Turns) })
		if err != nil {
			return err
		}
		missing = missing[min(reply.Handled, len(missing)):]
	}
	return nil
}

func (r *replica) callMember(from quorum.Member, m domain.Message) (domain.Message, error) {
	ctx, cancel := context.WithTimeout(r.n.Context(), pullTimeout)
	defer cancel()
	return r.n.o.Calls.Call(ctx, from.ID.Address(), turnstore.For(r.store.Scope(), m))
}

func (r *replica) pull(set *quorum.Set, from quorum.Member, after int) (*turnstore.PullReply, error) {
	m, err := r.callMember(from, &turnstore.Pull{Set: set, After: after})
	if err != nil {
		return nil, err
	}
	reply, ok := m.(*turnstore.PullReply)
	if !ok {
		return nil, fmt.Errorf("storage: %s answered a pull with the unexpected message %s; check that both VMs run compatible versions", from.ID, m.MessageName())
	}
	if newer := reply.Status.NewerSet; newer != nil {
		r.n.Deliver(func(time.Time) { r.adoptSet(newer) })
	}
	if !reply.Status.IsFrom(set, from) {
		return nil, fmt.Errorf("storage: the VM of %s answers with the disk %q; the disk of the member is lost", from.ID, reply.Status.Store)
	}
	accepted := reply.Status.Accepted
	if from.Left > 0 { // no member, unless it has a seat again
		accepted = reply.Status.Store == from.ID && reply.Status.Epoch == set.Epoch
	}
	if !accepted {
		return nil, fmt.Errorf("storage: %s uses epoch %d", from.ID, reply.Status.Epoch)
	}
	return reply, nil
}

// status returns what the coordinators need to know of a regional replica. The set is attached if
// they lack it.
func (r *replica) status(attachSet bool) *coordinator.SetStatus {
	turns, _, _ := r.store.Counts()
	out := &coordinator.SetStatus{Complete: r.store.Complete(), Whole: r.store.Whole(), Turns: turns}
	if set := r.store.Set(); set != nil {
		out.Epoch = set.Epoch
		if attachSet {
			out.Set = set
		}
	}
	return out
}
