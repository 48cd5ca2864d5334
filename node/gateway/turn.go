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
	grant   tokens.Grant
	keeps   bool
	// budgeted says that the turn has a grant.
	budgeted bool
	input    []byte
	events   [][]byte
	// stored says that the grant was settled together with the turn.
	stored bool
}

// prepareTurn reserves the turn's tokens and fetches the turns that it
// continues, at the same time: both are round trips before the first token.
func (x *exchange) prepareTurn(ctx context.Context) *Refusal {
	x.turn = &turn{
		program:  x.program(),
		grant:    tokens.Grant{ID: x.ID, Most: x.Most},
		keeps:    x.route.KeepsHistory,
		budgeted: x.hasBudget(),
		input:    x.Body,
	}
	granted := make(chan *Refusal, 1)
	go func() { granted <- x.reserve(ctx) }()
	body, refusal := x.continued(ctx)
	spent := <-granted
	if spent == nil {
		spent = refusal
	}
	if spent != nil {
		x.turn.settle(x)
		return spent
	}
	x.body = body
	return nil
}

// reserve writes the grant and decides from all grants that a majority knows.
func (x *exchange) reserve(ctx context.Context) *Refusal {
	t := x.turn
	if !t.budgeted {
		return nil
	}
	union, err := x.g.write(ctx, nil, []turnstore.GrantEntry{{Program: t.program, Grant: t.grant}}, true)
	if err != nil {
		return notRun(StorageUnavailable, storageRetry, err)
	}
	if !tokens.Fits(x.Budget, union) {
		return notRun(BudgetSpent, 0, nil)
	}
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

// used is the number of tokens that the caller received.
func (x *exchange) used() domain.Tokens {
	return domain.Tokens(x.events) * x.service.TokensPerEvent
}

// store writes the turn and settles its grant, before the caller sees the end of
// the stream.
func (t *turn) store(ctx context.Context, x *exchange) error {
	if t == nil || !t.keeps {
		return nil
	}
	record := &turnstore.Turn{
		Key: turnstore.TurnKey{Account: x.account, ID: x.ID}, Previous: x.Previous,
		Input: t.input, Events: t.events, KeepFor: x.route.Retention,
	}
	_, err := x.g.write(ctx, record, t.settlement(x), false)
	if err != nil {
		return errors.Join(errNotStored, err)
	}
	t.stored = true
	x.g.remember([]*turnstore.Turn{record})
	return nil
}

// settlement is the grant with what the caller received.
func (t *turn) settlement(x *exchange) []turnstore.GrantEntry {
	if !t.budgeted {
		return nil
	}
	settled := t.grant
	settled.Settled, settled.Used = true, x.used()
	return []turnstore.GrantEntry{{Program: t.program, Grant: settled}}
}

// settle frees what the turn did not use.
func (t *turn) settle(x *exchange) {
	if t == nil || t.stored {
		return
	}
	x.g.settleLater(t.settlement(x))
}
