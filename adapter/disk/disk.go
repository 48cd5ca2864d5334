// Package disk implements port.Disk with append-only files in a folder, or in
// memory on a VM without a data folder.
package disk

import (
	"fmt"
	"sync"

	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/port"
)

// Limits of one stream.
const (
	// DefaultQueue is the default limit on the writes queued for one stream.
	DefaultQueue = 4096
	// maxBatchRecords bounds the records of one group commit, so that the first
	// write of a batch does not wait for an unbounded number of others.
	maxBatchRecords = 4096
)

// Codec encodes and decodes records. adapter/codec implements it.
type Codec interface {
	EncodeRecord(domain.Record) ([]byte, error)
	DecodeRecord([]byte) (domain.Record, error)
}

// store holds the records of one stream. Calls are serialized by the stream.
type store interface {
	load(apply func(domain.Record) error) error
	append(records []domain.Record) error
	replace(records []domain.Record) error
	close() error
}

// Disk implements port.Disk with one writer goroutine for each stream. It is safe
// for concurrent use.
type Disk struct {
	open  func(stream string) (store, error)
	queue int

	mu      sync.Mutex
	closed  bool
	streams map[string]*stream
	writers sync.WaitGroup
}

var _ port.Disk = (*Disk)(nil)

// New returns a disk that stores its streams in an existing folder. queue bounds
// the queued writes of each stream; 0 means DefaultQueue.
func New(folder string, codec Codec, queue int) *Disk {
	return newDisk(queue, func(name string) (store, error) {
		return newFileStore(osFiles{folder}, name, codec)
	})
}

// NewMemory returns a disk that keeps its records in memory. queue is as for New.
func NewMemory(queue int) *Disk {
	return newDisk(queue, func(string) (store, error) { return &memoryStore{}, nil })
}

func newDisk(queue int, open func(string) (store, error)) *Disk {
	if queue <= 0 {
		queue = DefaultQueue
	}
	return &Disk{open: open, queue: queue, streams: map[string]*stream{}}
}

// Append implements port.Disk.
func (d *Disk) Append(name string, records []domain.Record, done func(error)) {
	d.write(name, write{records: records, done: done})
}

// Replace implements port.Disk.
func (d *Disk) Replace(name string, records []domain.Record, done func(error)) {
	d.write(name, write{records: records, replace: true, done: done})
}

// Load implements port.Disk.
func (d *Disk) Load(name string, apply func(domain.Record) error) error {
	s, err := d.stream(name)
	if err != nil {
		return err
	}
	return s.load(apply)
}

func (d *Disk) write(name string, w write) {
	s, err := d.stream(name)
	if err != nil {
		go w.done(err) // done must not run on the caller's goroutine
		return
	}
	s.enqueue(w, d.queue)
}

// stream returns an open stream and starts its writer at the first use.
func (d *Disk) stream(name string) (*stream, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return nil, fmt.Errorf("disk: stream %q: %w", name, port.ErrDiskClosed)
	}
	if s := d.streams[name]; s != nil {
		return s, nil
	}
	st, err := d.open(name)
	if err != nil {
		return nil, err
	}
	s := &stream{name: name, store: st, wake: make(chan struct{}, 1)}
	d.streams[name] = s
	d.writers.Go(s.run)
	return s, nil
}

// Close completes the queued writes, stops the writers and returns the first
// error of closing a stream. Later calls of other methods fail with
// port.ErrDiskClosed.
func (d *Disk) Close() error {
	d.mu.Lock()
	d.closed = true
	streams := d.streams
	d.streams = map[string]*stream{}
	d.mu.Unlock()
	for _, s := range streams {
		s.stop()
	}
	d.writers.Wait()
	var first error
	for _, s := range streams {
		if err := s.store.close(); err != nil && first == nil {
			first = fmt.Errorf("disk: close stream %q: %w", s.name, err)
		}
	}
	return first
}

// write is one queued Append or Replace. A rejected write keeps its place in the
// queue without its records, so that the done functions are called in order.
type write struct {
	records  []domain.Record
	replace  bool
	rejected error
	done     func(error)
}

// stream is the write queue and the store of one stream.
type stream struct {
	name  string
	store store

	storeMu sync.Mutex // serializes the use of the store
	// unreadable is the error of a load. It is permanent, because a write could cover
	// records that were not loaded.
	unreadable error
	// failed is the error of the last write. Appends fail with it until a replacement
	// succeeds, because the end of the stored records is unknown. Both errors are guarded
	// by storeMu.
	failed error

	mu      sync.Mutex
	queue   []write
	gap     bool // an Append was rejected since the last Replace
	stopped bool
	wake    chan struct{}
}

func (s *stream) load(apply func(domain.Record) error) error {
	s.storeMu.Lock()
	defer s.storeMu.Unlock()
	if err := s.store.load(apply); err != nil {
		s.unreadable = err
	}
	return s.unreadable
}

// enqueue queues a write. It rejects the write when the queue is full, and any
// Append after a rejected one until the next Replace, so that the stored records
// have no gap.
func (s *stream) enqueue(w write, limit int) {
	s.mu.Lock()
	full := len(s.queue) >= limit
	switch {
	case s.stopped:
		w = write{done: w.done, rejected: fmt.Errorf("disk: stream %q: %w", s.name, port.ErrDiskClosed)}
		go w.done(w.rejected)
		s.mu.Unlock()
		return
	case full || (s.gap && !w.replace):
		w = write{done: w.done, rejected: fmt.Errorf("disk: stream %q: %w", s.name, port.ErrDiskBusy)}
		s.gap = true
	case w.replace:
		s.gap = false
	}
	s.queue = append(s.queue, w)
	s.mu.Unlock()
	s.signal()
}

// signal wakes the writer.
func (s *stream) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *stream) stop() {
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	s.signal()
}

// run writes batches until the stream is stopped and its queue is empty.
func (s *stream) run() {
	for {
		batch, stopped := s.nextBatch()
		if len(batch) == 0 && stopped {
			return
		}
		if len(batch) == 0 {
			<-s.wake
			continue
		}
		err := s.commit(batch)
		for _, w := range batch {
			if w.rejected != nil {
				w.done(w.rejected)
			} else {
				w.done(err)
			}
		}
	}
}

// nextBatch removes the writes of the next group commit from the queue: one
// Replace, or appends up to the next Replace.
func (s *stream) nextBatch() (batch []write, stopped bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, records := 0, 0
	for n < len(s.queue) && records < maxBatchRecords && (n == 0 || !s.queue[n].replace) {
		records += len(s.queue[n].records)
		n++
		if s.queue[n-1].replace {
			break
		}
	}
	batch = s.queue[:n:n]
	s.queue = s.queue[n:]
	if len(s.queue) == 0 {
		s.queue = nil
	}
	return batch, s.stopped
}

// commit writes one batch to the store. A replacement writes a new file, so it does not
// depend on what a failed write has left behind.
func (s *stream) commit(batch []write) error {
	s.storeMu.Lock()
	defer s.storeMu.Unlock()
	switch {
	case s.unreadable != nil:
		return s.unreadable
	case batch[0].replace:
		s.failed = s.store.replace(batch[0].records)
		return s.failed
	case s.failed != nil:
		return s.failed
	}
	var records []domain.Record
	for _, w := range batch {
		records = append(records, w.records...)
	}
	if len(records) > 0 {
		s.failed = s.store.append(records)
	}
	return s.failed
}
