package gateway

import (
	"context"
	"time"

	"github.com/mangoknot/mangoknot/core/tokens"
)

const (
	// settleDelay is the time over which changed shares are collected for one write.
	// Unused tokens must be free again within a second of the end of a turn.
	settleDelay = 120 * time.Millisecond
	// settleRetry is the pause before a failed write is tried again.
	settleRetry = 500 * time.Millisecond
)

// settlements writes the changes of shares that no turn waits for. It belongs to
// the control goroutine.
type settlements struct {
	due     time.Time
	writing bool
}

// flushShares starts a write of changed shares when one is due and returns when the
// next one is.
func (g *Gateway) flushShares(now time.Time) time.Time {
	s := &g.settling
	if s.writing || !g.shares.HasUnwritten() {
		return time.Time{}
	}
	if s.due.IsZero() {
		s.due = now.Add(settleDelay)
	}
	if now.Before(s.due) {
		return s.due
	}
	s.due, s.writing = time.Time{}, true
	go g.writeShares(g.shares.Flush())
	return time.Time{}
}

func (g *Gateway) writeShares(batch []tokens.ProgramShare) {
	ctx, cancel := context.WithTimeout(g.Context(), storeTimeout)
	defer cancel()
	_, err := g.write(ctx, records{shares: batch})
	g.Deliver(func(now time.Time) {
		g.settling.writing = false
		if err == nil {
			return
		}
		g.o.Log.Info("changed shares were not stored; they are tried again", "count", len(batch), "error", err.Error())
		g.settling.due = now.Add(settleRetry)
		for _, e := range batch {
			g.shares.WriteFailed(e.Program)
		}
	})
}
