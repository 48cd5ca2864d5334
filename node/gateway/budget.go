package gateway

import (
	"context"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/tokens"
	"github.com/mangoknot/mangoknot/core/turnstore"
)

// reservedRetry is told to callers of a turn that only tokens reserved ahead keep
// out. They are free, or used by a running turn, after about this time.
const reservedRetry = 350 * time.Millisecond

// reserve takes the most of the turn from the program's budget: from what was
// reserved ahead, or with a write of the gateway's share.
func (x *exchange) reserve(ctx context.Context) *Refusal {
	if !x.turn.budgeted {
		return nil
	}
	own, taken, err := x.take(ctx)
	switch {
	case err != nil:
		return notRun(Overloaded, minRetry, err)
	case taken:
		return nil
	}
	w, err := x.g.write(ctx, records{shares: []tokens.ProgramShare{{Program: x.turn.program, Share: own}}, asks: x.turn.program, decides: true})
	if err != nil {
		return notRun(StorageUnavailable, storageRetry, err)
	}
	x.learn(w, own.Writer)
	switch tokens.CheckBudget(x.Budget, own, w.union) {
	case tokens.Spent:
		return notRun(BudgetSpent, 0, nil)
	case tokens.BlockedByAdvance:
		return notRun(BudgetReserved, reservedRetry, nil)
	default:
		return nil
	}
}

// taking is the outcome of one look at the gateway's share.
type taking struct {
	// own is the share to be written, unless state is AheadTaken.
	own   tokens.Share
	state tokens.AdvanceState
	// pending is the write to wait for, or nil.
	pending chan struct{}
}

// take uses what was reserved ahead, or adds the turn to the share and returns the
// share for a write. A reservation ahead whose write is under way is awaited once,
// because another write would take longer.
func (x *exchange) take(ctx context.Context) (own tokens.Share, taken bool, err error) {
	got, err := x.lookAtShare(true)
	if err == nil && got.pending != nil {
		select {
		case <-got.pending:
			got, err = x.lookAtShare(false)
		case <-ctx.Done():
			err = ctx.Err()
		}
	}
	x.turn.ahead = err == nil && got.state == tokens.AdvanceTaken
	return got.own, x.turn.ahead, err
}

// lookAtShare does one step of take. It ends with the gateway and not with the
// request, because the change must not be made after the request has given it up.
func (x *exchange) lookAtShare(mayWait bool) (got taking, err error) {
	t := x.turn
	err = x.g.Do(x.g.Context(), func(now time.Time) {
		t.reserved, got.state = x.g.shares.TakeAdvance(now, t.program, x.Budget, x.Most)
		if mayWait && got.state == tokens.AdvancePending {
			got.pending = x.g.pendingEnds[t.program]
		}
		if got.state != tokens.AdvanceTaken && got.pending == nil {
			got.own, t.reserved = x.g.shares.Reserve(now, t.program, x.Most), x.Most
		}
	})
	return got, err
}

// learn notes what the other gateways have taken of the program's budget.
func (x *exchange) learn(w written, writer string) {
	if !w.complete {
		return
	}
	others, _ := w.union.SumOthers(writer)
	x.g.Deliver(func(time.Time) { x.g.shares.SetOthersWeight(x.turn.program, others) })
}

// finishTurn settles a turn that no further one is expected after.
func (x *exchange) finishTurn() {
	t := x.turn
	reserved, used := t.reserved, x.used()
	if t.reserved = 0; reserved > 0 {
		x.g.Deliver(func(now time.Time) { x.g.shares.Finish(now, t.program, reserved, used) })
	}
}

// used is the number of tokens that the caller received.
func (x *exchange) used() domain.Tokens {
	return domain.Tokens(x.events) * x.service.TokensPerEvent
}

// writeEnd stores a turn together with what it used and a reservation for the
// program's next turn.
func (x *exchange) writeEnd(ctx context.Context, record *turnstore.Turn) error {
	if x.turn.reserved == 0 {
		_, err := x.g.write(ctx, records{turn: record})
		return err
	}
	return x.prepareEnd(ctx)(record)
}

// prepareEnd changes the share for the end of the turn. The returned function
// writes it, with the turn if there is one.
func (x *exchange) prepareEnd(ctx context.Context) func(*turnstore.Turn) error {
	t := x.turn
	reserved, used := t.reserved, x.used()
	t.reserved = 0
	var own tokens.Share
	var ahead bool
	done := make(chan struct{})
	change := make(chan struct{})
	x.g.Deliver(func(now time.Time) {
		defer close(change)
		x.g.shares.Finish(now, t.program, reserved, used)
		if own, ahead = x.g.shares.ReserveAdvance(now, t.program, x.Budget, x.Most); ahead {
			x.g.pendingEnds[t.program] = done
		}
	})
	return func(record *turnstore.Turn) error {
		select {
		case <-change:
		case <-x.g.Context().Done():
			return x.g.Context().Err()
		}
		r := records{turn: record, shares: []tokens.ProgramShare{{Program: t.program, Share: own}}}
		if ahead {
			r.asks = t.program
		}
		w, err := x.g.write(ctx, r)
		x.g.Deliver(func(now time.Time) { x.g.endWritten(now, t.program, own, w, err, done) })
		return err
	}
}

// endWritten notes the outcome of a write of the share. It runs on the control
// goroutine.
func (g *Gateway) endWritten(now time.Time, program tokens.Program, own tokens.Share, w written, err error, done chan struct{}) {
	if err != nil {
		g.shares.WriteFailed(program)
	}
	if w.complete {
		others, _ := w.union.SumOthers(own.Writer)
		g.shares.SetOthersWeight(program, others)
	}
	g.shares.ConfirmAdvance(now, program, own.Version, err == nil && w.complete)
	if g.pendingEnds[program] == done {
		delete(g.pendingEnds, program)
	}
	close(done)
}
