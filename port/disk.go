package port

import (
	"errors"

	"github.com/mangoknot/mangoknot/core/domain"
)

// Errors of Disk, for errors.Is.
var (
	// ErrDiskBusy refuses an Append because the queue of its stream is full.
	// Later appends are refused too, until a Replace restores the whole content:
	// a stream never contains a gap.
	ErrDiskBusy = errors.New("the disk is slower than the writes; reduce the load or use a faster disk")
	// ErrDiskClosed refuses a write after the disk was closed.
	ErrDiskClosed = errors.New("the disk is closed; the process is stopping")
)

// Disk keeps named streams of records. Writes of one stream complete in order.
// done is called on another goroutine than the caller's, and must not block. It
// gets nil when the records are durable. After a failed write or sync every
// later write of the stream fails with the first error, because what reached
// the disk is unknown.
type Disk interface {
	// Append adds records to the end of a stream.
	Append(stream string, records []domain.Record, done func(error))
	// Load passes the records of a stream to apply, in order. It is called
	// before the first write of the stream.
	Load(stream string, apply func(domain.Record) error) error
	// Replace puts records in the place of a stream's whole content. After a
	// crash the stream has either the old or the new content.
	Replace(stream string, records []domain.Record, done func(error))
}
