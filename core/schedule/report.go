package schedule

import (
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
)

// HasReservedTarget reports whether a running call has its target to itself, because the
// target is reserved for it as a crash suspect.
func (s *Scheduler) HasReservedTarget(id domain.CallID) bool {
	c := s.calls[id]
	return c != nil && c.target != nil && c.target.reservedFor == c
}

// FirstTokenAfter records the time from the dispatch of a call to the first
// part of its answer, as the entry VM measured it.
func (s *Scheduler) FirstTokenAfter(id domain.CallID, d time.Duration) {
	if c := s.calls[id]; c != nil && c.state == stateRunning && d > 0 {
		c.firstTokenAt = c.startedAt.Add(d)
	}
}
