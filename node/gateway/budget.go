package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/quorum"
	"github.com/mangoknot/mangoknot/core/tokens"
	"github.com/mangoknot/mangoknot/core/turnstore"
	"github.com/mangoknot/mangoknot/node/loop"
)

// reservedRetryAfter is the retry-after time of a turn that is blocked by
// advance reservations only. After about this time their tokens are released or
// used by a running turn.
const reservedRetryAfter = 350 * time.Millisecond

// reserve reserves the turn's token limit in the program's budget. It uses the
// advance reservation if there is one and writes the gateway's share beside the
// turn; otherwise it writes the share first.
func (e *exchange) reserve(ctx context.Context) *Refusal {
	if !e.turn.budgeted {
		return nil
	}
	got, err := e.takeTokens(ctx)
	switch {
	case err != nil:
		return notRun(Overloaded, minRetryAfter, err)
	case e.turn.fromAdvance:
		e.recordTaken(ctx, got.taken)
		return nil
	}
	decision, err := e.writeReservation(ctx, got.share)
	if err != nil {
		return notRun(StorageUnavailable, e.spread(storageRetryAfter), err)
	}
	switch decision {
	case tokens.Spent:
		return notRun(BudgetSpent, 0, nil)
	case tokens.BlockedByAdvance:
		return notRun(BudgetReserved, e.spread(reservedRetryAfter), nil)
	default:
		return nil
	}
}

// shareRecords returns the write of the gateway's share of the turn's program.
func (e *exchange) shareRecords(share tokens.Share) records {
	return records{shares: []tokens.ProgramShare{{Program: e.turn.program, Share: share}}}
}

// writeReservation writes the share that includes the turn's reservation and checks the budget.
func (e *exchange) writeReservation(ctx context.Context, share tokens.Share) (tokens.BudgetDecision, error) {
	r := e.shareRecords(share)
	r.sharesOf = e.turn.program
	held, err := e.g.write(ctx, quorum.Global, r)
	if err != nil {
		return tokens.Spent, err
	}
	e.recordOtherShares(held, share.Writer)
	decision := tokens.CheckBudget(e.Budget, share, held)
	if lapsed := held.Lapsed(); lapsed > 0 {
		e.g.o.Log.Info("an advance reservation of an ended gateway has lapsed; it does not count", "id", e.ID, "program", e.Program,
			"tokens", lapsed, "budget", e.Budget, "within_budget", decision == tokens.WithinBudget)
	}
	return decision, nil
}

// takenRetryDelay is the pause before a failed write of recordTaken is repeated.
const takenRetryDelay = 50 * time.Millisecond

// errNotReserved aborts a turn before its first event, because it holds no tokens.
var errNotReserved = errors.New("the turn holds no tokens of its program's budget")

// errAdvanceLapsed is the cause if another gateway has used the tokens of the advance reservation.
var errAdvanceLapsed = errors.New("the advance reservation has lapsed, and its tokens are used at another gateway")

// recordTaken records that the turn holds the advance reservation, while its request is under way to
// a target. Its first event waits for that: if this process ends before, the reservation lapses.
func (e *exchange) recordTaken(ctx context.Context, taken tokens.TakenAdvance) {
	recorded := make(chan error, 1)
	e.turn.advanceRecorded = recorded
	go func() {
		err := loop.ErrPanicked
		loop.Contain(e.g.reportPanic, func() { err = e.writeTaken(ctx, taken) })
		recorded <- err
	}()
}

// writeTaken writes the share until that succeeds. It checks the budget only if the reservation may have
// lapsed before the write was acknowledged: the shares of a program are many at a large site.
func (e *exchange) writeTaken(ctx context.Context, taken tokens.TakenAdvance) error {
	mayHaveLapsed := func() bool { return !e.g.o.Clock.Now().Before(taken.LapsesAt) }
	for {
		checks, decision := mayHaveLapsed(), tokens.WithinBudget
		var err error
		if checks {
			decision, err = e.writeReservation(ctx, taken.Share)
		} else {
			_, err = e.g.write(ctx, quorum.Global, e.shareRecords(taken.Share))
		}
		switch {
		case err == nil && decision == tokens.Spent:
			return errAdvanceLapsed
		case err == nil && (checks || !mayHaveLapsed()):
			return nil
		case err == nil:
			continue
		}
		select {
		case <-time.After(takenRetryDelay):
		case <-ctx.Done():
			return err
		}
	}
}

// awaitReservation waits until the turn's reservation is recorded.
func (e *exchange) awaitReservation(ctx context.Context) error {
	if e.turn == nil || e.turn.advanceRecorded == nil {
		return nil
	}
	select {
	case err := <-e.turn.advanceRecorded:
		e.turn.advanceRecorded = nil
		if err != nil {
			return errors.Join(errNotReserved, err)
		}
		return nil
	case <-ctx.Done():
		return errors.Join(errNotReserved, ctx.Err())
	}
}

// reservation is the result of tryReserve.
type reservation struct {
	// taken is the advance reservation if state is AdvanceTaken, and share is otherwise the share
	// to be written.
	taken tokens.TakenAdvance
	share tokens.Share
	state tokens.AdvanceState
	// pending is closed when the pending write of the advance reservation has
	// ended. It is nil if there is nothing to wait for.
	pending chan struct{}
}

// takeTokens uses the program's advance reservation, or adds the turn to the
// gateway's share. It waits once for the
// pending write of an advance reservation, because another write would take
// longer.
func (e *exchange) takeTokens(ctx context.Context) (got reservation, err error) {
	got, err = e.tryReserve(true)
	if err == nil && got.pending != nil {
		select {
		case <-got.pending:
			got, err = e.tryReserve(false)
		case <-ctx.Done():
			err = ctx.Err()
		}
	}
	e.turn.fromAdvance = err == nil && got.state == tokens.AdvanceTaken
	return got, err
}

// tryReserve performs one step of takeTokens. It uses the gateway's context
// instead of the request's: with the latter, the change could be applied after
// the request has already returned.
func (e *exchange) tryReserve(mayWait bool) (got reservation, err error) {
	t := e.turn
	err = e.g.Do(e.g.Context(), func(now time.Time) {
		got.taken, got.state = e.g.shares.TakeAdvance(now, t.program, e.Budget, e.MaxTokens)
		t.reserved = got.taken.Tokens
		if mayWait && got.state == tokens.AdvancePending {
			got.pending = e.g.pendingSettlements[t.program]
		}
		if got.state != tokens.AdvanceTaken && got.pending == nil {
			got.share, t.reserved = e.g.shares.Reserve(now, t.program, e.MaxTokens), e.MaxTokens
		}
	})
	return got, err
}

// recordOtherShares records the tokens that the other gateways hold of the
// program's budget.
func (e *exchange) recordOtherShares(held tokens.Held, writer string) {
	others, _ := held.SumOthers(writer)
	e.g.Deliver(func(time.Time) { e.g.shares.SetOthersWeight(e.turn.program, others) })
}

// finishTurn settles a turn without an advance reservation for a next one.
func (e *exchange) finishTurn() {
	t := e.turn
	reserved, used := t.reserved, e.used()
	if t.reserved = 0; reserved > 0 {
		e.g.Deliver(func(now time.Time) { e.g.shares.Finish(now, t.program, reserved, used) })
	}
}

// used returns the number of tokens that the caller received.
func (e *exchange) used() domain.Tokens {
	return domain.Tokens(e.events) * e.service.TokensPerEvent
}

// writeSettlement stores a turn together with its used tokens and an advance
// reservation for the program's next turn.
func (e *exchange) writeSettlement(ctx context.Context, record *turnstore.Turn) error {
	if e.turn.reserved == 0 {
		return e.writeTurn(ctx, record)
	}
	if e.isRegional() {
		stored := e.storeRegionally(ctx, record)
		return errors.Join(e.settleShare(ctx)(nil), stored())
	}
	return e.settleShare(ctx)(record)
}

// settleShare settles the turn in the gateway's share. The returned function
// writes the share, together with the turn unless that is nil.
func (e *exchange) settleShare(ctx context.Context) func(*turnstore.Turn) error {
	t := e.turn
	reserved, used := t.reserved, e.used()
	t.reserved = 0
	var share tokens.Share
	var advance bool
	done := make(chan struct{})
	applied := make(chan struct{})
	e.g.Deliver(func(now time.Time) {
		defer close(applied)
		e.g.shares.Finish(now, t.program, reserved, used)
		if share, advance = e.g.shares.ReserveAdvance(now, t.program, e.Budget, e.MaxTokens); advance {
			e.g.pendingSettlements[t.program] = done
		}
	})
	return func(record *turnstore.Turn) error {
		select {
		case <-applied:
		case <-e.g.Context().Done():
			return e.g.Context().Err()
		}
		r := e.shareRecords(share)
		r.turn = record
		if advance {
			r.sharesOf = t.program
		}
		held, err := e.g.write(ctx, quorum.Global, r)
		e.g.Deliver(func(time.Time) { e.g.settlementWritten(t.program, share, held, err, done) })
		return err
	}
}

// settlementWritten applies the outcome of a write of the share. What is held is empty if the
// write did not request the shares of the program. It runs on the control goroutine.
func (g *Gateway) settlementWritten(program tokens.Program, share tokens.Share, held tokens.Held, err error, done chan struct{}) {
	switch {
	case err != nil:
		g.shares.WriteFailed(program)
	case len(held.Union) > 0:
		others, _ := held.SumOthers(share.Writer)
		g.shares.SetOthersWeight(program, others)
	}
	g.shares.ConfirmAdvance(program, share.Version, err == nil)
	if g.pendingSettlements[program] == done {
		delete(g.pendingSettlements, program)
	}
	close(done)
}
