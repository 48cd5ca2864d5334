package node

import (
	"context"
	"errors"
	"time"

	"github.com/mangoknot/mangoknot/core/controller"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/program"
	"github.com/mangoknot/mangoknot/core/shard"
	"github.com/mangoknot/mangoknot/port"
)

const (
	// jobQueueLength bounds the pending background jobs. A job that does not fit
	// is discarded: the controller repeats it, or its loss is harmless.
	jobQueueLength = 4096
	// writeQueueLength bounds the pending writes, which wait for history bytes or
	// the disk.
	writeQueueLength = 16384
	// releaseWorkers is the number of release commands that run concurrently.
	releaseWorkers = 8
	// commandTimeout bounds one release command to an engine and one deletion of
	// a program's history.
	commandTimeout = 5 * time.Second
	// copyTimeout bounds the copy of one turn from another replica.
	copyTimeout = 5 * time.Second
)

// errWriteQueueFull is the result of a write that does not fit into the queue,
// because the disk is too slow.
var errWriteQueueFull = errors.New("node: too many records wait for the disk; check its latency")

// shardWrite is one write of shard records with its completion callback.
type shardWrite struct {
	write controller.Write
	done  func(error)
}

// jobs runs background work, which no caller waits for, on its own goroutines.
type jobs struct {
	node      *Node
	releases  chan program.Release
	deletions chan domain.ProgramID
	writes    chan shardWrite
}

func newJobs(n *Node) *jobs {
	return &jobs{
		node:      n,
		releases:  make(chan program.Release, jobQueueLength),
		deletions: make(chan domain.ProgramID, jobQueueLength),
		writes:    make(chan shardWrite, writeQueueLength),
	}
}

func (j *jobs) start(ctx context.Context) {
	for range releaseWorkers {
		go work(ctx, j.releases, j.sendRelease)
	}
	go work(ctx, j.deletions, j.deleteHistory)
	// A single goroutine preserves the order of the writes.
	go work(ctx, j.writes, j.completeWrite)
}

// queueRelease queues a release command. The controller repeats commands that
// are not confirmed.
func (j *jobs) queueRelease(r program.Release) {
	trySend(j.releases, r)
}

// queueDeletion queues the deletion of a program's history. When the queue is
// full, the history is not deleted, which only costs space.
func (j *jobs) queueDeletion(id domain.ProgramID) {
	trySend(j.deletions, id)
}

// trySend adds an item to a queue without blocking. It reports whether the queue
// had capacity.
func trySend[T any](queue chan<- T, item T) bool {
	select {
	case queue <- item:
		return true
	default:
		return false
	}
}

// work handles the items of a queue until the context ends.
func work[T any](ctx context.Context, queue <-chan T, handle func(context.Context, T)) {
	for {
		select {
		case <-ctx.Done():
			return
		case item := <-queue:
			handle(ctx, item)
		}
	}
}

// deleteHistory removes the turns of an expired program from all replicas.
func (j *jobs) deleteHistory(ctx context.Context, id domain.ProgramID) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	replicas, err := j.node.replicas(id)
	for _, vm := range replicas {
		if vm == j.node.config.VM {
			err = errors.Join(err, j.node.ports.History.Delete(ctx, id))
		} else {
			err = errors.Join(err, j.node.ports.Transfer.Delete(ctx, vm, id))
		}
	}
	if err != nil {
		j.node.log.Info("the history of an ended program was not deleted from all replicas", "program", id.String(), "error", err.Error())
	}
}

// queueWrite queues a write of shard records.
func (j *jobs) queueWrite(w controller.Write, done func(error)) {
	if !trySend(j.writes, shardWrite{w, done}) {
		done(errWriteQueueFull)
	}
}

// sendRelease sends a release command and reports its result to the controller.
func (j *jobs) sendRelease(ctx context.Context, r program.Release) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	_, err := j.node.ports.Orders.Execute(ctx, r.Target, port.EngineCommand{Kind: port.CommandRelease, Epoch: r.Epoch, Program: r.Program})
	if err != nil {
		j.node.ports.Metrics.Retried("release_order")
	}
	j.node.mailbox.tryDeliver(controller.ReleaseDone{Release: r, Err: err})
}

// completeWrite copies missing history bytes and then passes the write to the
// disk. The history bytes that a durable record refers to are thus stored on this
// VM, and a promoted learner holds all history that it may have to serve.
func (j *jobs) completeWrite(ctx context.Context, w shardWrite) {
	for _, ref := range missingHistory(j.node.ports.History, w.write.Records) {
		j.copyHistory(ctx, ref)
	}
	writeTo(j.node.ports.Disk, w.write, w.done)
}

// writeTo passes a write of the controller to the disk.
func writeTo(disk port.Disk, w controller.Write, done func(error)) {
	if w.Replace {
		disk.Replace(string(w.Stream), w.Records, done)
		return
	}
	disk.Append(string(w.Stream), w.Records, done)
}

// copyHistory fetches bytes from the other replica. Bytes that no replica has
// belong to a program that has ended in the meantime.
func (j *jobs) copyHistory(ctx context.Context, ref port.HistoryRef) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	data, err := j.node.fetch(ctx, ref)
	if err == nil {
		err = j.node.ports.History.Put(ctx, ref, data)
	}
	if err != nil {
		j.node.log.Info("a turn could not be copied from the other replica", "program", ref.Program.String(), "error", err.Error())
	}
}

// missingHistory returns the references in the records to bytes that are not in
// the store.
func missingHistory(store port.HistoryStore, records []domain.Record) []port.HistoryRef {
	var out []port.HistoryRef
	add := func(id domain.ProgramID, sum [32]byte, length uint32) {
		ref := port.HistoryRef{Program: id, SHA256: sum, Length: int64(length)}
		if length > 0 && !store.Has(ref) {
			out = append(out, ref)
		}
	}
	for _, r := range records {
		forEachHistoryRef(r, add)
	}
	return out
}

// forEachHistoryRef calls add for each history reference in a record, including
// nested records.
func forEachHistoryRef(r domain.Record, add func(id domain.ProgramID, sum [32]byte, length uint32)) {
	switch r := r.(type) {
	case *shard.Stored:
		forEachHistoryRef(r.Entry.Record, add)
	case *shard.StoredSnapshot:
		for _, inner := range r.Records {
			forEachHistoryRef(inner, add)
		}
	case *program.CallFinished:
		add(r.Program, r.Turn.SHA256, r.Turn.Length)
		if r.Answer != nil {
			add(r.Program, r.Answer.SHA256, r.Answer.Length)
		}
	case *program.ProgramState:
		for _, turn := range r.Turns {
			add(r.Program, turn.SHA256, turn.Length)
		}
	case *program.KeyState:
		if r.Answer != nil {
			add(r.Program, r.Answer.SHA256, r.Answer.Length)
		}
	}
}
