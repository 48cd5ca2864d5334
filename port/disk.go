package port

import (
	"errors"

	"github.com/mangoknot/mangoknot/core/domain"
)

// Errors of Disk, for errors.Is.
var (
	// ErrDiskBusy is returned by Append when the queue of its stream is full.
	// Later appends fail too, until a Replace restores the whole content, so that
	// a stream never contains a gap.
	ErrDiskBusy = errors.New("the disk is slower than the writes; reduce the load or use a faster disk")
	// ErrDiskClosed is returned for a write after the disk was closed.
	ErrDiskClosed = errors.New("the disk is closed; the process is stopping")
)

// Disk stores named streams of records. Writes to one stream complete in order.
// The callback done runs on another goroutine than the caller's and must not
// block. It receives nil once the records are durable. After a failed write or
// sync, the durable content is unknown: it holds what was durable before, and any
// part of the failed write. Every later Append to the stream then fails with the
// error of the last write, until a Replace succeeds.
type Disk interface {
	// Append adds records to the end of a stream.
	Append(stream string, records []domain.Record, done func(error))
	// Load passes the records of a stream to apply, in order. It must be called
	// before the first write to the stream.
	Load(stream string, apply func(domain.Record) error) error
	// Replace atomically replaces the whole content of a stream with records:
	// after a crash the stream has either the old or the new content. If it
	// succeeds, the stream accepts appends again.
	Replace(stream string, records []domain.Record, done func(error))
}
