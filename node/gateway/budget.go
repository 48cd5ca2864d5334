package gateway

import (
	"context"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/tokens"
	"github.com/mangoknot/mangoknot/core/turnstore"
)

// reservedRetryAfter is told to callers of a turn that only tokens reserved ahead keep
// out. They are free, or used by a running turn, after about this time.
const reservedRetryAfter = 350 * time.Millisecond

// reserve takes the most of the turn from the program's budget: from what was
// reserved ahead, or with a write of the gateway's share.
func (e *exchange) reserve(ctx context.Context) *Refusal {
	if !e.turn.budgeted {
		return nil
	}
	share, taken, err := e.takeTokens(ctx)
	switch {
	case err != nil:
		return notRun(Overloaded, minRetryAfter, err)
	case taken:
		return nil
	}
	result, err := e.g.write(ctx, records{shares: []tokens.ProgramShare{{Program: e.turn.program, Share: share}}, sharesOf: e.turn.program, needsComplete: true})
	if err != nil {
		return notRun(StorageUnavailable, storageRetryAfter, err)
	}
	e.recordOtherShares(result, share.Writer)
	switch tokens.CheckBudget(e.Budget, share, result.union) {
	case tokens.Spent:
		return notRun(BudgetSpent, 0, nil)
	case tokens.BlockedByAdvance:
		return notRun(BudgetReserved, reservedRetryAfter, nil)
	default:
		return nil
	}
}

// reservation is the outcome of one look at the gateway's share.
type reservation struct {
	// share is the share to be written, unless state is AheadTaken.
	share tokens.Share
	state tokens.AdvanceState
	// pending is the write to wait for, or nil.
	pending chan struct{}
}

// takeTokens uses what was reserved ahead, or adds the turn to the share and returns the
// share for a write. A reservation ahead whose write is under way is awaited once,
// because another write would takeTokens longer.
func (e *exchange) takeTokens(ctx context.Context) (share tokens.Share, taken bool, err error) {
	got, err := e.tryReserve(true)
	if err == nil && got.pending != nil {
		select {
		case <-got.pending:
			got, err = e.tryReserve(false)
		case <-ctx.Done():
			err = ctx.Err()
		}
	}
	e.turn.fromAdvance = err == nil && got.state == tokens.AdvanceTaken
	return got.share, e.turn.fromAdvance, err
}

// tryReserve does one step of take. It ends with the gateway and not with the
// request, because the change must not be made after the request has given it up.
func (e *exchange) tryReserve(mayWait bool) (got reservation, err error) {
	t := e.turn
	err = e.g.Do(e.g.Context(), func(now time.Time) {
		t.reserved, got.state = e.g.shares.TakeAdvance(now, t.program, e.Budget, e.MaxTokens)
		if mayWait && got.state == tokens.AdvancePending {
			got.pending = e.g.pendingSettlements[t.program]
		}
		if got.state != tokens.AdvanceTaken && got.pending == nil {
			got.share, t.reserved = e.g.shares.Reserve(now, t.program, e.MaxTokens), e.MaxTokens
		}
	})
	return got, err
}

// recordOtherShares notes what the other gateways have taken of the program's budget.
func (e *exchange) recordOtherShares(result writeResult, writer string) {
	if !result.complete {
		return
	}
	others, _ := result.union.SumOthers(writer)
	e.g.Deliver(func(time.Time) { e.g.shares.SetOthersWeight(e.turn.program, others) })
}

// finishTurn settles a turn that no further one is expected after.
func (e *exchange) finishTurn() {
	t := e.turn
	reserved, used := t.reserved, e.used()
	if t.reserved = 0; reserved > 0 {
		e.g.Deliver(func(now time.Time) { e.g.shares.Finish(now, t.program, reserved, used) })
	}
}

// used is the number of tokens that the caller received.
func (e *exchange) used() domain.Tokens {
	return domain.Tokens(e.events) * e.service.TokensPerEvent
}

// writeSettlement stores a turn together with what it used and a reservation for the
// program's next turn.
func (e *exchange) writeSettlement(ctx context.Context, record *turnstore.Turn) error {
	if e.turn.reserved == 0 {
		_, err := e.g.write(ctx, records{turn: record})
		return err
	}
	return e.settleShare(ctx)(record)
}

// settleShare changes the share for the end of the turn. The returned function
// writes it, with the turn if there is one.
func (e *exchange) settleShare(ctx context.Context) func(*turnstore.Turn) error {
	t := e.turn
	reserved, used := t.reserved, e.used()
	t.reserved = 0
	var share tokens.Share
	var advance bool
	done := make(chan struct{})
	change := make(chan struct{})
	e.g.Deliver(func(now time.Time) {
		defer close(change)
		e.g.shares.Finish(now, t.program, reserved, used)
		if share, advance = e.g.shares.ReserveAdvance(now, t.program, e.Budget, e.MaxTokens); advance {
			e.g.pendingSettlements[t.program] = done
		}
	})
	return func(record *turnstore.Turn) error {
		select {
		case <-change:
		case <-e.g.Context().Done():
			return e.g.Context().Err()
		}
		r := records{turn: record, shares: []tokens.ProgramShare{{Program: t.program, Share: share}}}
		if advance {
			r.sharesOf = t.program
		}
		result, err := e.g.write(ctx, r)
		e.g.Deliver(func(now time.Time) { e.g.settlementWritten(now, t.program, share, result, err, done) })
		return err
	}
}

// settlementWritten notes the outcome of a write of the share. It runs on the control
// goroutine.
func (g *Gateway) settlementWritten(now time.Time, program tokens.Program, share tokens.Share, result writeResult, err error, done chan struct{}) {
	if err != nil {
		g.shares.WriteFailed(program)
	}
	if result.complete {
		others, _ := result.union.SumOthers(share.Writer)
		g.shares.SetOthersWeight(program, others)
	}
	g.shares.ConfirmAdvance(now, program, share.Version, err == nil && result.complete)
	if g.pendingSettlements[program] == done {
		delete(g.pendingSettlements, program)
	}
	close(done)
}
