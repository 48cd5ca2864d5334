// Package memory bounds the memory that the requests of a process hold in buffers.
package memory

import (
	"sync/atomic"

	"github.com/mangoknot/mangoknot/port"
)

// Budget is the number of bytes that all requests of a process may hold. It is safe for
// concurrent use.
type Budget struct {
	limit    int64
	used     atomic.Int64
	shortage func()
}

// NewBudget returns a budget of limit bytes; 0 means no limit.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// OnShortage sets a function that is called after each reservation that failed. It is called
// before the first lease.
func (b *Budget) OnShortage(f func()) { b.shortage = f }

// Used returns the reserved bytes.
func (b *Budget) Used() int64 { return b.used.Load() }

// Lease returns the part of the budget that one request holds. It is empty at first.
func (b *Budget) Lease() *Lease { return &Lease{budget: b} }

// Lease is the part of a budget that one request holds. It is used by one goroutine at a
// time.
type Lease struct {
	budget *Budget
	held   int64
}

var _ port.Buffers = (*Lease)(nil)

// Grow implements port.Buffers.
func (l *Lease) Grow(n int) error {
	used := l.budget.used.Add(int64(n))
	if limit := l.budget.limit; limit > 0 && used > limit {
		l.budget.used.Add(int64(-n))
		if l.budget.shortage != nil {
			l.budget.shortage()
		}
		return &port.LimitError{Limit: port.LimitMemory, Bytes: limit}
	}
	l.held += int64(n)
	return nil
}

// Shrink implements port.Buffers.
func (l *Lease) Shrink(n int) {
	l.held -= int64(n)
	l.budget.used.Add(int64(-n))
}

// Close returns all that the request holds.
func (l *Lease) Close() {
	l.budget.used.Add(-l.held)
	l.held = 0
}
