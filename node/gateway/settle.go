package gateway

import (
	"context"
	"time"

	"github.com/mangoknot/mangoknot/core/quorum"
	"github.com/mangoknot/mangoknot/core/tokens"
	"github.com/mangoknot/mangoknot/node/loop"
)

const (
	// flushDelay is the time over which changed shares are collected for one
	// write. Unused tokens must be available again within a second of the end
	// of a turn.
	flushDelay = 120 * time.Millisecond
	// releaseFlushDelay is the same for released advance reservations. The storage VMs report
	// them as lapsed before; only gateways of builds that ignore this wait for the write.
	releaseFlushDelay = 2 * time.Second
	// flushRetryDelay is the pause before a failed write is retried.
	flushRetryDelay = 500 * time.Millisecond
)

// shareFlush is the state of the writes of changed shares that no turn waits
// for. It belongs to the control goroutine.
type shareFlush struct {
	due time.Time
	// urgent reports whether due takes an urgent change into account.
	urgent  bool
	writing bool
}

// flushShares starts a write of the changed shares if one is due, and returns
// the time of the next one or the zero time.
func (g *Gateway) flushShares(now time.Time) time.Time {
	s := &g.flush
	unwritten, urgent := g.shares.HasUnwritten()
	if s.writing || !unwritten {
		return time.Time{}
	}
	if s.due.IsZero() {
		s.due = now.Add(releaseFlushDelay)
	}
	if soon := now.Add(flushDelay); urgent && !s.urgent && soon.Before(s.due) {
		s.due = soon
	}
	s.urgent = urgent
	if now.Before(s.due) {
		return s.due
	}
	*s = shareFlush{writing: true}
	go g.writeShares(g.shares.Flush())
	return time.Time{}
}

// SettleShares writes all shares that have changed, without advance reservations, as the last step
// of a planned stop. What a gateway has not written counts as reserved after its end.
func (g *Gateway) SettleShares(ctx context.Context) error {
	batch, err := loop.Ask(ctx, g, func(time.Time) []tokens.ProgramShare {
		g.shares.ReleaseAdvances()
		return g.shares.Flush()
	})
	if err != nil || len(batch) == 0 {
		return err
	}
	_, err = g.write(ctx, quorum.Global, records{shares: batch})
	return err
}

func (g *Gateway) writeShares(batch []tokens.ProgramShare) {
	ctx, cancel := context.WithTimeout(g.Context(), storeTimeout)
	defer cancel()
	err := loop.ErrPanicked
	loop.Contain(g.reportPanic, func() { _, err = g.write(ctx, quorum.Global, records{shares: batch}) })
	g.Deliver(func(now time.Time) {
		g.flush.writing = false
		if err == nil {
			return
		}
		g.o.Log.Info("changed shares were not stored; the write is retried", "count", len(batch), "error", err.Error())
		g.flush.due, g.flush.urgent = now.Add(flushRetryDelay), true
		for _, e := range batch {
			g.shares.WriteFailed(e.Program)
		}
	})
}
