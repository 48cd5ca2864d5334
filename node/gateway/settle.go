package gateway

import (
	"context"
	"time"

	"github.com/mangoknot/mangoknot/core/turnstore"
)

const (
	// settleDelay is the time over which settlements are collected for one write.
	// Unused tokens must be free again within a second of the end of a turn.
	settleDelay = 120 * time.Millisecond
	// settleRetry is the pause before a failed write is tried again.
	settleRetry = 500 * time.Millisecond
	// settleLimit bounds the settlements that wait. Those above it are dropped:
	// their turns then count at their most, which is safe.
	settleLimit = 10_000
)

// settlements collects what turns have used.
type settlements struct {
	waiting []turnstore.GrantEntry
	due     time.Time
	writing bool
}

func newSettlements() *settlements { return &settlements{} }

// settleLater records what turns have used, with the next batch.
func (g *Gateway) settleLater(entries []turnstore.GrantEntry) {
	if len(entries) > 0 {
		g.Deliver(func(now time.Time) { g.addSettlements(now, settleDelay, entries...) })
	}
}

func (g *Gateway) addSettlements(now time.Time, delay time.Duration, entries ...turnstore.GrantEntry) {
	s := g.settling
	if len(s.waiting) == 0 {
		s.due = now.Add(delay)
	}
	room := max(0, settleLimit-len(s.waiting))
	if len(entries) > room {
		g.o.Log.Info("dropped settlements because too many wait; their turns count at their most", "dropped", len(entries)-room)
		entries = entries[:room]
	}
	s.waiting = append(s.waiting, entries...)
}

// flushSettlements starts a write when one is due and returns when the next one
// is.
func (g *Gateway) flushSettlements(now time.Time) time.Time {
	s := g.settling
	if len(s.waiting) == 0 || s.writing {
		return time.Time{}
	}
	if now.Before(s.due) {
		return s.due
	}
	batch := s.waiting
	s.waiting, s.writing = nil, true
	go g.writeSettlements(batch)
	return time.Time{}
}

func (g *Gateway) writeSettlements(batch []turnstore.GrantEntry) {
	ctx, cancel := context.WithTimeout(g.Context(), storeTimeout)
	defer cancel()
	_, err := g.write(ctx, nil, batch, false)
	g.Deliver(func(now time.Time) {
		g.settling.writing = false
		if err != nil {
			g.o.Log.Info("settlements were not stored; they are tried again", "count", len(batch), "error", err.Error())
			g.addSettlements(now, settleRetry, batch...)
		}
	})
}
