package schedule

import (
	"math"
	"time"

	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/domain"
)

// callState is where a call is.
type callState int

const (
	stateQueued  callState = iota
	stateDelayed           // waits for its retry
	stateParked            // waits for a place on one target
	stateRunning
)

// call is a call with its position in the scheduler.
type call struct {
	Call
	// estimated is the prompt estimate of the entry VM.
	estimated domain.Tokens
	state     callState
	flow      *flow
	queuedAt  time.Time
	deadline  time.Time
	due       time.Time // the next timer: deadline, retry or end of parking
	key       float64   // order inside the account, in seconds
	attempt   int
	failed    []*target // targets of failed attempts
	reached   bool      // a target may have received the call

	target           *target
	cached           domain.Tokens
	charge           float64 // tokens charged by estimate
	startedAt, first time.Time

	queueIndex, timerIndex int
}

// flow is the queue of one account in one pool.
type flow struct {
	account *account
	pool    *pool
	calls   indexed[*call]
	// virtual is the start tag of the flow's next call.
	virtual   float64
	generated float64 // smoothed generated tokens of a call
	index     int
}

// account is the state of a client account over all pools.
type account struct {
	name    domain.Account
	weight  float64
	pause   float64 // smoothed seconds of tool pauses
	retries retryBudget
}

// slot is a target's place in the index of a pool.
type slot struct {
	target *target
	pool   *pool
	index  int
}

// pool holds the queued calls and the targets of a model or service.
type pool struct {
	id    PoolID
	flows map[domain.Account]*flow
	ready indexed[*flow] // flows with queued calls
	// open holds the targets with a free place for each distance, the least
	// loaded first.
	open  [distances]indexed[*slot]
	slots []*slot
	// promptScale is the smoothed ratio of a prompt's real tokens and its
	// estimate, which errs high for the sake of reservations.
	promptScale float64
	// near lists the slots of targets in the scheduler's own data centre.
	near    []*slot
	virtual float64
	queued  int
	suspect *call // the call that waits for a target to drain
	dirty   bool
	cursor  int // next target to ask for permits
	// nearCursor is the same for near.
	nearCursor int
}

func newPool(id PoolID) *pool {
	p := &pool{id: id, flows: map[domain.Account]*flow{}, promptScale: 1}
	p.ready = indexed[*flow]{
		less: func(a, b *flow) bool {
			if a.virtual != b.virtual {
				return a.virtual < b.virtual
			}
			return a.account.name < b.account.name
		},
		position: func(f *flow) *int { return &f.index },
	}
	for i := range p.open {
		p.open[i] = indexed[*slot]{
			less: func(a, b *slot) bool {
				if a.target.load != b.target.load {
					return a.target.load < b.target.load
				}
				return a.target.order < b.target.order
			},
			position: func(s *slot) *int { return &s.index },
		}
	}
	return p
}

func (p *pool) flow(a *account) *flow {
	f := p.flows[a.name]
	if f == nil {
		f = &flow{account: a, pool: p, index: -1, generated: defaultGenerated}
		f.calls = indexed[*call]{
			less: func(a, b *call) bool {
				if a.key != b.key {
					return a.key < b.key
				}
				return a.ID < b.ID
			},
			position: func(c *call) *int { return &c.queueIndex },
		}
		p.flows[a.name] = f
	}
	return f
}

// push queues a call. A flow that was idle starts at the pool's virtual time,
// so idleness earns no credit; a debt of real usage remains.
func (f *flow) push(c *call) {
	if f.calls.Len() == 0 {
		f.virtual = max(f.virtual, f.pool.virtual)
	}
	c.state = stateQueued
	f.calls.set(c)
	f.pool.queued++
	f.pool.ready.set(f)
}

func (f *flow) remove(c *call) {
	f.calls.remove(c)
	f.pool.queued--
	if f.calls.Len() == 0 {
		f.pool.ready.remove(f)
	}
}

// pay charges tokens to the flow. A refund is negative.
func (f *flow) pay(tokens float64) {
	f.virtual += tokens / f.account.weight
	if f.index >= 0 {
		f.pool.ready.set(f)
	}
}

// start removes a call from the queue and charges its estimate.
func (f *flow) start(c *call, charge float64) {
	f.pool.virtual = max(f.pool.virtual, f.virtual)
	f.remove(c)
	c.charge = charge
	f.pay(charge)
}

const (
	defaultGenerated = 200
	// attainedUnit and attainedFull scale the service of a program in tokens: a
	// program at attainedFull gets the whole penalty of MaxAge.
	attainedUnit = 2_000
	attainedFull = 1_000_000
)

// orderKey returns a call's order inside its account, in seconds. With least
// attained service, a call counts as younger by a part of maxAge that grows
// with the logarithm of its program's attained service. The key is constant
// while the call waits, so ageing needs no update of the queue.
func orderKey(order config.QueueOrder, c *Call, queuedAt time.Time, attained float64, maxAge time.Duration) float64 {
	switch order {
	case config.OrderArrival:
		return seconds(queuedAt)
	case config.OrderProgramAge:
		return seconds(c.ProgramStarted)
	}
	part := min(math.Log1p(attained/attainedUnit)/math.Log1p(attainedFull/attainedUnit), 1)
	return seconds(queuedAt) + part*maxAge.Seconds()
}

func seconds(t time.Time) float64 { return float64(t.UnixNano()) / 1e9 }
