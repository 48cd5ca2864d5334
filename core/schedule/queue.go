package schedule

import (
	"math"
	"time"

	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/domain"
)

// callState is the state of a call in the scheduler.
type callState int

const (
	stateQueued  callState = iota
	stateDelayed           // waits for its retry
	stateParked            // waits for capacity on one target
	stateRunning
)

// call is a Call with its scheduling state.
type call struct {
	Call
	// estimatedPrompt is the entry VM's estimate of the prompt tokens.
	estimatedPrompt domain.Tokens
	state           callState
	flow            *flow
	queuedAt        time.Time
	deadline        time.Time
	timerAt         time.Time // time of the next timer: queue deadline, retry or end of parking
	key             float64   // queue order inside the account, in seconds
	attempt         int
	failed          []*target // targets of failed attempts
	maybeReceived   bool      // a target may have received the call

	target                  *target
	cached                  domain.Tokens
	chargedCost             float64 // estimated cost charged to the flow
	startedAt, firstTokenAt time.Time

	queueIndex, timerIndex int
}

// flow is the queue of one account in one pool.
type flow struct {
	account *account
	pool    *pool
	calls   indexedHeap[*call]
	// startTag is the virtual start time of the flow's next call.
	startTag  float64
	generated float64 // smoothed number of generated tokens of a call
	index     int
}

// account is the state of a client account across all pools.
type account struct {
	name      domain.Account
	weight    float64
	meanPause float64 // smoothed duration of tool pauses in seconds
	retries   retryBudget
}

// slot is the position of a target in a pool's heap of available targets.
type slot struct {
	target *target
	pool   *pool
	index  int
}

// pool holds the queued calls and the targets of a model or service.
type pool struct {
	id    PoolID
	flows map[domain.Account]*flow
	ready indexedHeap[*flow] // flows with queued calls
	// available holds the targets with free capacity for each distance, the
	// least loaded first.
	available [domain.Distances]indexedHeap[*slot]
	slots     []*slot
	// promptScale is the smoothed ratio of actual to estimated prompt tokens.
	// The estimate is deliberately high, because reservations are based on it.
	promptScale float64
	// local lists the slots of targets in the scheduler's own data centre.
	local       []*slot
	virtualTime float64
	queued      int
	suspect     *call // the crash suspect that has a target reserved
	dirty       bool
	cursor      int // selects the next target in slots
	// localCursor selects the next target in local.
	localCursor int
}

func newPool(id PoolID) *pool {
	p := &pool{id: id, flows: map[domain.Account]*flow{}, promptScale: 1}
	p.ready = indexedHeap[*flow]{
		less: func(a, b *flow) bool {
			if a.startTag != b.startTag {
				return a.startTag < b.startTag
			}
			return a.account.name < b.account.name
		},
		position: func(f *flow) *int { return &f.index },
	}
	for i := range p.available {
		p.available[i] = indexedHeap[*slot]{
			less: func(a, b *slot) bool {
				if a.target.load != b.target.load {
					return a.target.load < b.target.load
				}
				return a.target.ordinal < b.target.ordinal
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
		f.calls = indexedHeap[*call]{
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

// push adds a call to the queue. A flow that was idle starts at the pool's
// virtual time, so idleness earns no credit. A debt from earlier usage remains.
func (f *flow) push(c *call) {
	if f.calls.Len() == 0 {
		f.startTag = max(f.startTag, f.pool.virtualTime)
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

// charge adds a cost in tokens to the flow. A refund is negative.
func (f *flow) charge(tokens float64) {
	f.startTag += tokens / f.account.weight
	if f.index >= 0 {
		f.pool.ready.set(f)
	}
}

// dequeue removes a call from the queue and charges its estimated cost.
func (f *flow) dequeue(c *call, cost float64) {
	f.pool.virtualTime = max(f.pool.virtualTime, f.startTag)
	f.remove(c)
	c.chargedCost = cost
	f.charge(cost)
}

const (
	defaultGenerated = 200
	// attainedLogScale and maxAttained, in tokens, scale the attained service
	// of a program. A program at maxAttained gets the whole penalty of MaxAge.
	attainedLogScale = 2_000
	maxAttained      = 1_000_000
)

// orderKey returns the queue order of a call inside its account, in seconds.
// With least attained service, a call is ordered as if it had been queued
// later, by a fraction of maxAge that grows with the logarithm of its program's
// attained service. The key is constant while the call waits, so ageing needs
// no update of the queue.
func orderKey(order config.QueueOrder, c *Call, queuedAt time.Time, attained float64, maxAge time.Duration) float64 {
	switch order {
	case config.OrderArrival:
		return seconds(queuedAt)
	case config.OrderProgramAge:
		return seconds(c.ProgramStarted)
	}
	fraction := min(math.Log1p(attained/attainedLogScale)/math.Log1p(maxAttained/attainedLogScale), 1)
	return seconds(queuedAt) + fraction*maxAge.Seconds()
}

func seconds(t time.Time) float64 { return float64(t.UnixNano()) / 1e9 }
