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
	program tokens.Program
	keeps   bool
	// budgeted says that the program has a token budget.
	budgeted bool
	// reserved is what the turn holds of the gateway's share, and ahead says that it
	// was reserved before the turn came.
	reserved domain.Tokens
	ahead    bool
	input    []byte
	events   [][]byte
}

// prepareTurn reserves the turn's tokens and fetches the turns that it
// continues, at the same time: both are round trips before the first token.
func (x *exchange) prepareTurn(ctx context.Context) *Refusal {
	x.turn = &turn{program: x.program(), keeps: x.route.StoresHistory, budgeted: x.hasBudget(), input: x.Body}
	granted := make(chan *Refusal, 1)
	go func() { granted <- x.reserve(ctx) }()
	body, refusal := x.continued(ctx)
	spent := <-granted
	if spent == nil {
		spent = refusal
	}
	if spent != nil {
		x.finishTurn()
		return spent
	}
	x.body = body
	return nil
}

// continued returns the body for the target: all earlier turns of the chain,
// then the new input.
func (x *exchange) continued(ctx context.Context) ([]byte, *Refusal) {
	if !x.turn.keeps || x.Previous == "" {
		return x.Body, nil
	}
	key := turnstore.TurnKey{Account: x.account, ID: x.Previous}
	var chain []*turnstore.Turn
	err := x.g.Do(ctx, func(time.Time) { chain = x.g.cache.chain(key) })
	if err == nil && chain == nil {
		chain, err = x.g.chain(ctx, key)
		if err == nil {
			x.g.remember(chain)
		}
	}
	switch {
	case errors.Is(err, errNoTurn):
		return nil, notRun(NoSuchTurn, 0, err)
	case err != nil:
		return nil, notRun(StorageUnavailable, storageRetry, err)
	default:
		return joinBody(chain, x.Body), nil
	}
}

// remember caches turns that were read.
func (g *Gateway) remember(chain []*turnstore.Turn) {
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
	if t != nil && t.keeps {
		t.events = append(t.events, bytes.Clone(data))
	}
}

// storeTurn writes the turn and what it used, before the caller sees the end of the
// stream.
func (x *exchange) storeTurn(ctx context.Context) error {
	t := x.turn
	if t == nil || !t.keeps {
		return nil
	}
	record := &turnstore.Turn{
		Key: turnstore.TurnKey{Account: x.account, ID: x.ID}, Previous: x.Previous,
		Input: t.input, Events: t.events, Retention: x.route.Retention,
	}
	if err := x.writeEnd(ctx, record); err != nil {
		return errors.Join(errNotStored, err)
	}
	x.g.remember([]*turnstore.Turn{record})
	return nil
}

// endTurn frees what the turn did not use. After a whole answer the program's next
// turn is likely to follow at once, so its tokens are reserved ahead.
func (x *exchange) endTurn() {
	if x.turn == nil || x.turn.reserved == 0 {
		return
	}
	if x.outcome != outcomeServed {
		x.finishTurn()
		return
	}
	ctx, cancel := context.WithTimeout(x.g.Context(), storeTimeout)
	end := x.prepareEnd(ctx)
	go func() {
		defer cancel()
		if err := end(nil); err != nil {
			x.g.o.Log.Info("the end of a turn was not stored; it is tried again", "id", x.ID, "program", x.Program, "error", err.Error())
		}
	}()
}
