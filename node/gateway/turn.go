package gateway

import (
	"bytes"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/quorum"
	"github.com/mangoknot/mangoknot/core/tokens"
	"github.com/mangoknot/mangoknot/core/turnstore"
	"github.com/mangoknot/mangoknot/node/loop"
	"github.com/mangoknot/mangoknot/port"
)

// errNotStored aborts a stream before its end, because its turn is not stored
// on a majority of the storage VMs.
var errNotStored = errors.New("the turn was not stored")

// turn is the state of one turn of a program while it is served. addEvent does
// nothing on a nil turn, so that requests without a turn need no separate case.
type turn struct {
	program       tokens.Program
	storesHistory bool
	// budgeted reports whether the program has a token budget.
	budgeted bool
	// reserved is the number of tokens that the turn holds in the gateway's
	// share. fromAdvance reports whether they come from an advance reservation.
	reserved    domain.Tokens
	fromAdvance bool
	// advanceRecorded receives the outcome of recordTaken. It is nil if there is nothing to
	// wait for.
	advanceRecorded chan error
	input           []byte
	events          [][]byte
	// placement is where the turn is stored and the turns before it are looked for.
	placement quorum.Placement
}

// prepareTurn reserves the turn's tokens and loads the earlier turns
// concurrently, because both need a round trip before the first token.
func (e *exchange) prepareTurn(ctx context.Context) *Refusal {
	e.turn = &turn{program: e.program(), storesHistory: e.route.StoresHistory, budgeted: e.hasBudget(), input: e.Body, placement: e.placement()}
	if e.turn.storesHistory {
		if refusal := e.checkStorage(); refusal != nil {
			return refusal
		}
	}
	reserveResult := make(chan *Refusal, 1)
	go func() {
		refusal := notRun(InternalError, 0, loop.ErrPanicked)
		loop.Contain(e.g.reportPanic, func() { refusal = e.reserve(ctx) })
		reserveResult <- refusal
	}()
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

// bodyWithHistory returns the body for the target: all earlier turns of the
// chain, followed by the new input.
func (e *exchange) bodyWithHistory(ctx context.Context) ([]byte, *Refusal) {
	if !e.turn.storesHistory || e.Previous == "" {
		return e.Body, nil
	}
	key := turnstore.TurnKey{Account: e.account, ID: e.Previous}
	chain, err := e.g.cachedChain(ctx, e.turn.placement, key)
	switch {
	case errors.Is(err, errNoTurn):
		return nil, notRun(NoSuchTurn, 0, err)
	case err != nil:
		return nil, notRun(StorageUnavailable, e.spread(storageRetryAfter), err)
	}
	if slices.ContainsFunc(chain, func(t *turnstore.Turn) bool { return t.Key.ID == e.ID }) {
		// Stored under this id, the turn would continue itself.
		return nil, notRun(IDReused, 0, nil)
	}
	if refusal := e.narrowByChain(ctx, chain); refusal != nil {
		return nil, refusal
	}
	size := joinedSize(chain, e.Body)
	if err := e.Buffers.Grow(size); err != nil {
		e.countLimit(err)
		return nil, OutOfMemory(err)
	}
	return joinBody(chain, e.Body, size), nil
}

// cachedChain returns a turn and all its predecessors, newest first, from the cache or from the
// storage VMs.
func (g *Gateway) cachedChain(ctx context.Context, p quorum.Placement, key turnstore.TurnKey) ([]*turnstore.Turn, error) {
	chain, err := loop.Ask(ctx, g, func(time.Time) []*turnstore.Turn { return g.cache.chain(key) })
	if err != nil || chain != nil {
		return chain, err
	}
	if chain, err = g.chain(ctx, p, key); err == nil {
		g.cacheTurns(chain)
	}
	return chain, err
}

// cacheTurns adds turns that were read or written to the cache.
func (g *Gateway) cacheTurns(chain []*turnstore.Turn) {
	g.Post(func(now time.Time) {
		for _, t := range chain {
			g.cache.add(now, t)
		}
	})
}

// joinedSize returns the number of bytes that joinBody returns.
func joinedSize(chain []*turnstore.Turn, input []byte) int {
	size := len(input)
	for _, t := range chain {
		size += len(t.Input)
		for _, event := range t.Events {
			size += len(event) + 1
		}
	}
	return size
}

// joinBody returns the turns of a chain, given newest first, in their order,
// followed by the new input. Each event of an earlier answer is its data and a
// line feed.
func joinBody(chain []*turnstore.Turn, input []byte, size int) []byte {
	var out bytes.Buffer
	out.Grow(size)
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

// eventOverheadBytes is the memory of a kept event in addition to its data: its entry in a list
// that grows by copying, and the rounding of its allocation. Without it, events of a few bytes
// would take several times the memory that they reserve.
const eventOverheadBytes = 96

// addEvent keeps an event of a turn that is stored. It fails if the process lacks memory.
func (t *turn) addEvent(data []byte, buffers port.Buffers) error {
	if t == nil || !t.storesHistory {
		return nil
	}
	if err := buffers.Grow(len(data) + eventOverheadBytes); err != nil {
		return err
	}
	t.events = append(t.events, bytes.Clone(data))
	return nil
}

// storeTurn stores the turn and its used tokens before the end of the stream is
// forwarded to the caller.
func (e *exchange) storeTurn(ctx context.Context) error {
	t := e.turn
	if t == nil || !t.storesHistory {
		return nil
	}
	record := &turnstore.Turn{
		Key: turnstore.TurnKey{Account: e.account, ID: e.ID}, Previous: e.Previous,
		Input: t.input, Events: t.events, Retention: e.route.Retention,
	}
	if e.view.index.Constrained {
		record.Route = e.route.Name
	}
	if err := e.writeSettlement(ctx, record); err != nil {
		return errors.Join(errNotStored, err)
	}
	e.g.cacheTurns([]*turnstore.Turn{record})
	return nil
}

// endTurn releases the tokens that the turn did not use. After a complete
// answer it makes an advance reservation, because the program's next turn is
// likely to follow at once.
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
		err := loop.ErrPanicked
		loop.Contain(e.g.reportPanic, func() { err = storeSettlement(nil) })
		if err != nil {
			e.g.o.Log.Info("the settlement of a turn was not stored; the write is retried", "id", e.ID, "program", e.Program, "error", err.Error())
		}
	}()
}
