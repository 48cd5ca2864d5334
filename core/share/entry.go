package share

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
)

// Ticket identifies a pending request at its entry VM.
type Ticket uint64

// Decision is the result of Admit.
type Decision int

// The decisions on a request.
const (
	// Pending means that a later Step or Tick returns the outcome.
	Pending Decision = iota
	Admitted
	Refused
)

// Outcome is the final decision on a pending request.
type Outcome struct {
	Ticket  Ticket
	Refusal *domain.Refusal // nil: admitted
}

// Effects holds the messages to send and the outcomes of a Step or Tick.
type Effects struct {
	Sends    []domain.Send
	Outcomes []Outcome
}

type queuedRequest struct {
	ticket Ticket
	since  time.Time
}

// entryAccount is the state of one account at an entry VM.
type entryAccount struct {
	borrower
	limit  Limit
	holder Peer
	queue  []queuedRequest
	// demand is the exponential moving average of requests per second.
	demand      float64
	demandAt    time.Time
	exhaustedAt time.Time
	retryAfter  time.Duration
}

// Entry admits requests at their entry VM. It is not safe for concurrent use.
type Entry struct {
	rand     *rand.Rand
	accounts map[domain.Account]*entryAccount
	active   map[domain.Account]bool // accounts that need the next Tick
	wake     time.Time
}

// entryInterval is the time between two ticks of an Entry while requests wait or
// tokens are held.
const entryInterval = 20 * time.Millisecond

// NewEntry returns an entry without accounts.
func NewEntry(r *rand.Rand) *Entry {
	return &Entry{rand: r, accounts: map[domain.Account]*entryAccount{}, active: map[domain.Account]bool{}}
}

// Configure sets an account's limit and its holder in this data centre.
func (e *Entry) Configure(l Limit, holder Peer) {
	a := e.accounts[l.Account]
	if a == nil {
		a = &entryAccount{borrower: borrower{seq: e.rand.Uint64(), unanswered: map[peerKey]unansweredRequest{}}}
		e.accounts[l.Account] = a
	}
	if a.holder != holder {
		clear(a.unanswered)
	}
	a.limit, a.holder, a.reportInterval = l, holder, reportIntervalFor(l)
}

// Admit spends a token for a request, or queues the request. Requests are queued in
// arrival order. A request is refused when its account is unknown or has a burst of
// less than one token, or when the queue is too long.
func (e *Entry) Admit(now time.Time, account domain.Account, t Ticket) (Decision, []domain.Send) {
	a := e.accounts[account]
	if a == nil || a.limit.Burst < 1 {
		return Refused, nil
	}
	a.recordDemand(now)
	if len(a.queue) == 0 && a.spendToken(now) {
		return Admitted, a.replenish(now)
	}
	if a.queueOverflows(now) {
		return Refused, a.replenish(now)
	}
	a.queue = append(a.queue, queuedRequest{t, now})
	e.activate(now, account)
	return Pending, a.replenish(now)
}

// Refusal returns the refusal to send after a Refused decision.
func (e *Entry) Refusal(account domain.Account) *domain.Refusal {
	retry := time.Second
	if a := e.accounts[account]; a != nil && a.retryAfter > 0 {
		retry = a.retryAfter
	}
	return domain.NotRun(domain.ReasonRateExceeded, "the account's rate and burst are used up; retry after the stated time or ask the operator for a higher rate").After(retry)
}

// Cancel removes a pending request from the queue.
func (e *Entry) Cancel(account domain.Account, t Ticket) {
	a := e.accounts[account]
	if a == nil {
		return
	}
	for i, p := range a.queue {
		if p.ticket == t {
			a.queue = append(a.queue[:i], a.queue[i+1:]...)
			return
		}
	}
}

// Step handles a message from another VM.
func (e *Entry) Step(now time.Time, from domain.VM, m domain.Message) Effects {
	var fx Effects
	g, ok := m.(*Grant)
	if !ok || g.To != RoleEntry {
		return fx
	}
	a := e.accounts[g.Account]
	if a == nil || !a.acceptItems(now, peerKey{from, RoleHolder}, g.Seq, g.Items) {
		return fx
	}
	if g.Exhausted {
		a.exhaustedAt, a.retryAfter = now, g.RetryAfter
	}
	e.activate(now, g.Account)
	a.serve(now, &fx)
	fx.Sends = append(fx.Sends, a.replenish(now)...)
	return fx
}

// Tick refuses requests that have waited for MaxWait, sends reports and returns
// unused tokens.
func (e *Entry) Tick(now time.Time) Effects {
	var fx Effects
	for _, account := range slices.Sorted(maps.Keys(e.active)) {
		a := e.accounts[account]
		a.expire(now)
		a.serve(now, &fx)
		e.refuseExpired(now, account, a, &fx)
		for _, to := range a.reportsDue(now) {
			fx.Sends = append(fx.Sends, a.newRequest(now, account, to, RoleEntry, a.holder.Epoch, 0))
		}
		fx.Sends = append(fx.Sends, a.replenish(now)...)
		if len(a.queue) == 0 && len(a.received) == 0 {
			delete(e.active, account)
		}
	}
	e.wake = now.Add(entryInterval)
	return fx
}

// NextWake returns the time of the next Tick, or the zero time when nothing is
// pending.
func (e *Entry) NextWake() time.Time {
	if len(e.active) == 0 {
		return time.Time{}
	}
	return e.wake
}

func (e *Entry) activate(now time.Time, account domain.Account) {
	if len(e.active) == 0 {
		e.wake = now.Add(entryInterval)
	}
	e.active[account] = true
}

func (e *Entry) refuseExpired(now time.Time, account domain.Account, a *entryAccount, fx *Effects) {
	for len(a.queue) > 0 && now.Sub(a.queue[0].since) >= MaxWait {
		p := a.queue[0]
		a.queue = a.queue[1:]
		refusal := e.Refusal(account)
		if a.exhaustedAt.Before(p.since) {
			refusal = domain.NotRun(domain.ReasonUnreachable, "the account's rate could not be checked in time; retry, and check the connection to the account's root").After(time.Second)
		}
		fx.Outcomes = append(fx.Outcomes, Outcome{p.ticket, refusal})
	}
}

// demandWindow is the time constant of the moving average of demand.
const demandWindow = 500 * time.Millisecond

func (a *entryAccount) recordDemand(now time.Time) {
	a.decayDemand(now)
	a.demand += 1 / demandWindow.Seconds()
}

func (a *entryAccount) decayDemand(now time.Time) {
	if now.After(a.demandAt) {
		a.demand *= math.Exp(-now.Sub(a.demandAt).Seconds() / demandWindow.Seconds())
		a.demandAt = now
	}
}

// queueOverflows reports whether the queue is too long to be served within MaxWait.
// The bound is what the account's whole rate and burst admit in that time. It
// applies after the root has recently reported that it is exhausted; otherwise
// twice the bound applies.
func (a *entryAccount) queueOverflows(now time.Time) bool {
	bound := a.limit.Burst + a.limit.RatePerSecond*MaxWait.Seconds()
	recent := !a.exhaustedAt.IsZero() && now.Sub(a.exhaustedAt) < MaxWait
	return float64(len(a.queue)) >= bound && (recent || float64(len(a.queue)) >= 2*bound)
}

func (a *entryAccount) serve(now time.Time, fx *Effects) {
	for len(a.queue) > 0 && a.spendToken(now) {
		fx.Outcomes = append(fx.Outcomes, Outcome{Ticket: a.queue[0].ticket})
		a.queue = a.queue[1:]
	}
}

// replenish requests tokens from the holder when requests wait or when the stock is
// below half of the demand expected within the prefetch time.
func (a *entryAccount) replenish(now time.Time) []domain.Send {
	to := peerKey{a.holder.VM, RoleHolder}
	if to.vm == "" || !a.canRequest(now, to) {
		return nil
	}
	a.decayDemand(now)
	stock := float64(a.lendable(now)) / float64(Token)
	target := min(a.demand, a.limit.RatePerSecond) * prefetchTime(a.limit).Seconds()
	waiting := float64(len(a.queue))
	if waiting == 0 && (target < 1 || stock >= target/2) {
		return nil
	}
	want := Amount(math.Ceil(waiting+max(target-stock, 0))) * Token
	return []domain.Send{a.newRequest(now, a.limit.Account, to, RoleEntry, a.holder.Epoch, want)}
}
