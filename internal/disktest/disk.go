// Package disktest provides a disk for tests that rejects writes on demand.
package disktest

import (
	"errors"
	"sync"

	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/port"
)

// ErrFull is the error of writes to a full disk.
var ErrFull = errors.New("no space left on device")

// Disk passes writes on to another disk while it has room. While it is full all writes fail, and
// after that the appends to a stream with a failed write, until the stream is replaced.
type Disk struct {
	port.Disk

	mu     sync.Mutex
	full   bool
	failed map[string]bool
}

// New returns a disk that has room.
func New(inner port.Disk) *Disk { return &Disk{Disk: inner, failed: map[string]bool{}} }

// SetFull makes the disk full, or gives it room again.
func (d *Disk) SetFull(full bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.full = full
}

// rejects reports whether a write fails.
func (d *Disk) rejects(stream string, replace bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failed[stream] = d.full || (d.failed[stream] && !replace)
	return d.failed[stream]
}

// Append implements port.Disk.
func (d *Disk) Append(stream string, records []domain.Record, done func(error)) {
	if d.rejects(stream, false) {
		go done(ErrFull)
		return
	}
	d.Disk.Append(stream, records, done)
}

// Replace implements port.Disk.
func (d *Disk) Replace(stream string, records []domain.Record, done func(error)) {
	if d.rejects(stream, true) {
		go done(ErrFull)
		return
	}
	d.Disk.Replace(stream, records, done)
}
