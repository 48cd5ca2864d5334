package gateway

import (
	"bytes"
	"context"
	"errors"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/tokens"
	"github.com/mangoknot/mangoknot/core/turnstore"
)

// errNotStored breaks a stream off before its end, because its turn is on no
// majority of the storage VMs.
var errNotStored = errors.New("the turn was not stored")

// turn is one turn of a program while it is served. Its methods do nothing on a
// nil turn, so that other requests need no case of their own.
type turn struct {
	program       tokens.Program
	storesHistory bool
	// budgeted says that the program has a token budget.
	budgeted bool
	// reserved is what the turn holds of the gateway's share, and ahead says that it
	// was reserved before the turn came.
	reserved    domain.Tokens
	fromAdvance bool
	input       []byte
	events      [][]byte
}

// prepareTurn reserves the turn's tokens and fetches the turns that it
// continues, at the same time: both are round trips before the first token.
func (e *exchange) prepareTurn(ctx context.Context) *Refusal {
	e.turn = &turn{program: e.program(), storesHistory: e.route.StoresHistory, budgeted: e.hasBudget(), input: e.Body}
	reserveResult := make(chan *Refusal, 1)
	go func() { reserveResult <- e.reserve(ctx) }()
	body, refusal := e.bodyWithHistory(ctx)
	firstRefusal := <-reserveResult
	if firstRefusal == nil {
		firstRefusal = refusal
	}
	if firstRefusal != nil {
		e.finishTurn()
		return firstRefusal
	}
	e.body = body
	return nil
}

// bodyWithHistory returns the body for the target: all earlier turns of the chain,
// then the new input.
func (e *exchange) bodyWithHistory(ctx context.Context) ([]byte, *Refusal) {
	if !e.turn.storesHistory || e.Previous == "" {
		return e.Body, nil
	}
	key := turnstore.TurnKey{Account: e.account, ID: e.Previous}
	var chain []*turnstore.Turn
	err := e.g.Do(ctx, func(time.Time) { chain = e.g.cache.chain(key) })
	if err == nil && chain == nil {
		chain, err = e.g.chain(ctx, key)
		if err == nil {
			e.g.cacheTurns(chain)
		}
	}
	switch {
	case errors.Is(err, errNoTurn):
		return nil, notRun(NoSuchTurn, 0, err)
	case err != nil:
		return nil, notRun(StorageUnavailable, storageRetryAfter, err)
	default:
		return joinBody(chain, e.Body), nil
	}
}

// cacheTurns caches turns that were read.
func (g *Gateway) cacheTurns(chain []*turnstore.Turn) {
	g.Post(func(now time.Time) {
		for _, t := range chain {
			g.cache.add(now, t)
		}
	})
}

// joinBody puts the turns of a chain, newest first, before the new input. Each
// event of an earlier answer is its data and a line feed.
func joinBody(chain []*turnstore.Turn, input []byte) []byte {
	var out bytes.Buffer
	for i := len(chain) - 1; i >= 0; i-- {
		out.Write(chain[i].Input)
		for _, event := range chain[i].Events {
			out.Write(event)
			out.WriteByte('\n')
		}
	}
	out.Write(input)
	return out.Bytes()
}

func (t *turn) addEvent(data []byte) {
	if t != nil && t.storesHistory {
		t.events = append(t.events, bytes.Clone(data))
	}
}

// storeTurn writes the turn and what it used, before the caller sees the end of the
// stream.
func (e *exchange) storeTurn(ctx context.Context) error {
	t := e.turn
	if t == nil || !t.storesHistory {
		return nil
	}
	record := &turnstore.Turn{
		Key: turnstore.TurnKey{Account: e.account, ID: e.ID}, Previous: e.Previous,
		Input: t.input, Events: t.events, Retention: e.route.Retention,
	}
	if err := e.writeSettlement(ctx, record); err != nil {
		return errors.Join(errNotStored, err)
	}
	e.g.cacheTurns([]*turnstore.Turn{record})
	return nil
}

// endTurn frees what the turn did not use. After a whole answer the program's next
// turn is likely to follow at once, so its tokens are reserved ahead.
func (e *exchange) endTurn() {
	if e.turn == nil || e.turn.reserved == 0 {
		return
	}
	if e.outcome != outcomeServed {
		e.finishTurn()
		return
	}
	ctx, cancel := context.WithTimeout(e.g.Context(), storeTimeout)
	storeSettlement := e.settleShare(ctx)
	go func() {
		defer cancel()
		if err := storeSettlement(nil); err != nil {
			e.g.o.Log.Info("the end of a turn was not stored; it is tried again", "id", e.ID, "program", e.Program, "error", err.Error())
		}
	}()
}
