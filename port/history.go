package port

import (
	"context"
	"errors"
	"fmt"

	"github.com/mangoknot/mangoknot/core/domain"
)

// HistoryRef identifies the bytes of one stored turn or answer by their
// content, so that two attempts of a call do not overwrite each other.
type HistoryRef struct {
	Program domain.ProgramID
	// Length is the number of bytes.
	Length int64
	// SHA256 is the checksum of the bytes.
	SHA256 [32]byte
}

// ErrHistoryMissing means that the store does not hold the turn.
var ErrHistoryMissing = errors.New("the turn is not stored on this VM; read it from the other replica of the shard")

// CorruptHistoryError means that stored bytes fail their checksum or belong to
// another program. Such bytes are not served.
type CorruptHistoryError struct {
	Ref    HistoryRef
	Detail string
}

// Error returns the turn, the fault and the remedy.
func (e *CorruptHistoryError) Error() string {
	return fmt.Sprintf("history %x of %s is corrupt (%s); read it from the other replica of the shard and check the disk", e.Ref.SHA256[:4], e.Ref.Program, e.Detail)
}

// HistoryStore stores the bytes of turns on one VM, outside of control memory.
type HistoryStore interface {
	// Put returns after the bytes are durable. It is idempotent.
	Put(ctx context.Context, ref HistoryRef, data []byte) error
	// Get returns bytes that match the reference's checksum, or
	// ErrHistoryMissing or a *CorruptHistoryError.
	Get(ctx context.Context, ref HistoryRef) ([]byte, error)
	// Has reports whether the bytes are stored, without reading them.
	Has(ref HistoryRef) bool
	// Delete removes all turns of a program.
	Delete(ctx context.Context, program domain.ProgramID) error
}
