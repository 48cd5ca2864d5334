// Package ledger implements the money rules: call costs, reservations, charges,
// the escrow of account budgets between shards, and the forecast.
//
// The root shard of an account holds the budget of each calendar month (UTC)
// and releases parts of it to the holders, which are the shards that run the
// account's programs. At most one transfer is in flight in each direction between
// the root and a holder. Transfers in one direction are numbered consecutively.
// The sender debits the amount in the record that creates the transfer and
// resends the transfer until it is acknowledged. The receiver credits only the
// next number. The charges of a holder never exceed the amount it was credited,
// so the charges of all holders never exceed the amount that the root released.
//
// After a budget is lowered, the root stops releases and recalls the excess.
// Amounts that calls have reserved or charged stay valid. The unused amounts of a
// month expire at its end.
package ledger

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/domain"
)

const (
	// resendInterval is the time after which an unanswered request or transfer is
	// sent again. It is far above the one-way delay between regions.
	resendInterval = 250 * time.Millisecond
	// recallTimeout is the time that holders have to return amounts before the
	// root denies a request.
	recallTimeout = time.Second
	// recallInterval is the minimum time between two recalls of a root.
	recallInterval = 5 * time.Second
	// denialTTL is the time for which a denial is reused without a new request to the
	// root.
	denialTTL = time.Second
	// reportInterval is the minimum time between two usage reports to the root.
	reportInterval = 10 * time.Second
	// releaseMarginDivisor sets the margin that a release adds to the requested
	// amount: the rest of the releasable amount divided by it. The margin is small
	// enough to leave a part for each of the 48 shards of 3 data centres, and large
	// enough for a holder to continue while it cannot reach the root.
	releaseMarginDivisor = 32
	// refillThresholdDivisor sets the refill threshold: the last credit divided by
	// it. A holder below the threshold sends a request before a call needs it.
	refillThresholdDivisor = 4
	// refillMinCalls is the number of calls that the last credit must have covered
	// for an early request.
	refillMinCalls = 8
)

type key struct {
	account domain.Account
	month   Month
}

// Ledger is the budget state of one shard as a holder and as a root. It is not
// safe for concurrent use.
type Ledger struct {
	shard    domain.ShardID
	view     *config.View
	holders  map[key]*holder
	roots    map[key]*root
	usage    map[domain.Account]*usage
	lastTick time.Time
	// awaitingReply is set when a transfer or a request may be unanswered. It spares
	// NextWake, which runs after each event, a scan of all accounts.
	awaitingReply bool
}

type holder struct {
	HolderState
	// The fields below are not durable and start at zero after a restart.
	held                          domain.Micros
	requested                     domain.Micros
	requestedAt, sentAt, deniedAt time.Time
	refilledAt                    time.Time
	reportedCharges               domain.Micros
	reportedAt                    time.Time
	denialReason                  domain.Reason
	rootAvailable                 domain.Micros
	// lastCredit is the amount of the last transfer from the root.
	lastCredit domain.Micros
}

func (h *holder) available() domain.Micros {
	return h.Credited - h.Returned - h.Charged - h.Reserved - h.held
}

type root struct {
	RootState
	peers    map[domain.ShardID]*peer
	recallAt time.Time
}

type peer struct {
	PeerState
	charged  domain.Micros
	reported bool
	sentAt   time.Time
}

func (r *root) outstanding() domain.Micros {
	var total domain.Micros
	for _, p := range r.peers {
		total += p.Released - p.Returned
	}
	return total
}

// New returns an empty ledger for the shard.
func New(shard domain.ShardID) *Ledger {
	return &Ledger{
		shard: shard, holders: map[key]*holder{}, roots: map[key]*root{}, usage: map[domain.Account]*usage{},
	}
}

// Configure sets the configuration in force.
func (l *Ledger) Configure(v *config.View) { l.view = v }

// RootShard returns the shard that holds the account's budget, or
// domain.ErrNoDataCentre if the view lists no home data centre.
func RootShard(v *config.View, account domain.Account) (domain.ShardID, error) {
	homes := v.Homes()
	if len(homes) == 0 {
		return domain.ShardID{}, domain.ErrNoDataCentre
	}
	dc := homes[domain.Hash64("budget", string(account))%uint64(len(homes))]
	return domain.AccountShard(account, dc, config.ShardsPerDataCentre), nil
}

// HoldResult is the result of Hold.
type HoldResult int

// The results of Hold. After Pending, the caller tries again after the next Step
// or Tick.
const (
	Held HoldResult = iota
	Pending
	Refused
)

// Hold sets an amount aside in memory until ReleaseHold. To start the call, the
// caller releases the hold and applies the Reservation instead. Pending means that
// the ledger waits for the root to release more. The refusal of a Refused hold
// states the missing amount.
func (l *Ledger) Hold(now time.Time, account domain.Account, amount domain.Micros) (Reservation, HoldResult, *domain.Refusal, Effects) {
	h := l.holder(key{account, MonthOf(now)})
	reservation := Reservation{Account: account, Month: h.Month, Amount: amount}
	missing := amount - h.available()
	if missing <= 0 {
		h.held += amount
		var e Effects
		l.refill(now, h, amount, &e)
		return reservation, Held, nil, e
	}
	if !h.deniedAt.IsZero() && now.Sub(h.deniedAt) < denialTTL && missing > h.rootAvailable {
		return reservation, Refused, refusal(h.denialReason, account, missing-h.rootAvailable, now), Effects{}
	}
	h.requested, l.awaitingReply = max(h.requested, missing), true
	var e Effects
	if now.Sub(h.requestedAt) >= resendInterval {
		l.sendRequest(now, h, &e)
	}
	return reservation, Pending, nil, e
}

// refill sends an early request to the root when the holder's available amount is
// low. No call waits for the answer, so a denial does not refuse a call. A last
// credit that covers only a few calls means that the root is nearly empty; early
// requests would only split the rest into smaller parts.
func (l *Ledger) refill(now time.Time, h *holder, amount domain.Micros, e *Effects) {
	low := h.available() < h.lastCredit/refillThresholdDivisor && h.lastCredit/refillMinCalls >= amount
	shard, err := RootShard(l.view, h.Account)
	if !low || err != nil || now.Sub(h.refilledAt) < recallInterval {
		return
	}
	h.refilledAt = now
	e.send(shard, &Request{h.Account, h.Month, l.shard, 1})
}

// UnreachableRefusal returns the refusal of a pending hold whose request to the
// root was not answered in time.
func (l *Ledger) UnreachableRefusal(now time.Time, r Reservation) *domain.Refusal {
	h := l.holder(key{r.Account, r.Month})
	return refusal(domain.ReasonBudgetUnreachable, r.Account, r.Amount-h.available(), now)
}

func refusal(reason domain.Reason, account domain.Account, missing domain.Micros, now time.Time) *domain.Refusal {
	switch reason {
	case domain.ReasonSpendRate:
		next := time.Unix((dayOf(now)+1)*int64(24*time.Hour/time.Second), 0)
		return domain.NotRun(reason, "account %s lacks %s within the preset's daily spend rate; wait until the next day (UTC) or ask the operator for another preset", account, missing).After(next.Sub(now))
	case domain.ReasonBudgetUnreachable:
		return domain.NotRun(reason, "the root shard of the budget of account %s did not answer and %s is missing in this shard; retry later", account, missing).After(recallInterval)
	default:
		return domain.NotRun(reason, "account %s lacks %s in its monthly budget; ask the operator to raise it", account, missing)
	}
}

// ReleaseHold makes a held amount available again.
func (l *Ledger) ReleaseHold(r Reservation) { l.holder(key{r.Account, r.Month}).held -= r.Amount }

// Settle returns the charge that ends a reservation. The charge is limited to the
// reserved amount, so that a prompt estimate that was too low cannot make the
// charges exceed the budget.
func Settle(r Reservation, cost domain.Micros) Charge {
	return Charge{Account: r.Account, Month: r.Month, Reserved: r.Amount, Amount: min(max(cost, 0), r.Amount)}
}

// Apply applies a record to the state and reports whether it is a record of this
// package. Records must be applied in the order of the decisions that made them.
func (l *Ledger) Apply(record domain.Record) bool {
	switch r := record.(type) {
	case *Reservation:
		l.holder(key{r.Account, r.Month}).Reserved += r.Amount
	case *Charge:
		h := l.holder(key{r.Account, r.Month})
		h.Reserved -= r.Reserved
		h.Charged += r.Amount
	case *TransferSent:
		l.applySent(r)
	case *TransferReceived:
		l.applyReceived(r)
	case *HolderState:
		l.holder(key{r.Account, r.Month}).HolderState = *r
	case *RootState:
		l.applyRoot(r)
	default:
		return false
	}
	return true
}

func (l *Ledger) applySent(r *TransferSent) {
	l.awaitingReply = true
	if r.Return {
		h := l.holder(key{r.Account, r.Month})
		h.Returned += r.Amount
		h.OutNumber, h.Pending = r.Number, r.Amount
		return
	}
	root := l.root(key{r.Account, r.Month})
	p := root.peer(r.Peer)
	p.Released += r.Amount
	p.OutNumber, p.Pending = r.Number, r.Amount
	root.addDayNet(r.Day, r.Amount)
}

func (l *Ledger) applyReceived(r *TransferReceived) {
	if !r.Return {
		h := l.holder(key{r.Account, r.Month})
		h.Credited += r.Amount
		h.InNumber = r.Number
		return
	}
	root := l.root(key{r.Account, r.Month})
	p := root.peer(r.Peer)
	p.Returned += r.Amount
	p.InNumber = r.Number
	root.addDayNet(r.Day, -r.Amount)
}

// addDayNet adds an amount to the net release of a day. Returned amounts can make the
// net release negative, so the outstanding amount grows by at most the daily allowance
// on each day. If the clock steps back, amounts still count for the later day.
func (r *root) addDayNet(day int64, amount domain.Micros) {
	if day > r.Day {
		r.Day, r.DayNet = day, 0
	}
	r.DayNet += amount
}

func (l *Ledger) applyRoot(s *RootState) {
	root := l.root(key{s.Account, s.Month})
	root.RootState = *s
	root.Peers = nil
	root.peers = map[domain.ShardID]*peer{}
	for _, p := range s.Peers {
		root.peers[p.Shard] = &peer{PeerState: p}
	}
}

func (l *Ledger) holder(k key) *holder {
	h := l.holders[k]
	if h == nil {
		h = &holder{HolderState: HolderState{Account: k.account, Month: k.month}}
		l.holders[k] = h
	}
	return h
}

func (l *Ledger) root(k key) *root {
	r := l.roots[k]
	if r == nil {
		r = &root{RootState: RootState{Account: k.account, Month: k.month}, peers: map[domain.ShardID]*peer{}}
		l.roots[k] = r
	}
	return r
}

func (r *root) peer(shard domain.ShardID) *peer {
	p := r.peers[shard]
	if p == nil {
		p = &peer{PeerState: PeerState{Shard: shard}}
		r.peers[shard] = p
	}
	return p
}

// Snapshot returns records that rebuild the durable state, in a deterministic
// order. It does not include held amounts.
func (l *Ledger) Snapshot() []domain.Record {
	var out []domain.Record
	for _, k := range sortedKeys(l.holders) {
		state := l.holders[k].HolderState
		if state != (HolderState{Account: k.account, Month: k.month}) {
			out = append(out, &state)
		}
	}
	for _, k := range sortedKeys(l.roots) {
		root := l.roots[k]
		state := root.RootState
		for _, p := range root.sortedPeers() {
			// A peer that only sent requests or reports has no durable state.
			if p.OutNumber > 0 || p.InNumber > 0 {
				state.Peers = append(state.Peers, p.PeerState)
			}
		}
		if len(state.Peers) > 0 {
			out = append(out, &state)
		}
	}
	return out
}

func (r *root) sortedPeers() []*peer {
	return slices.SortedFunc(maps.Values(r.peers), func(a, b *peer) int { return a.Shard.Compare(b.Shard) })
}

func sortedKeys[V any](m map[key]V) []key {
	return slices.SortedFunc(maps.Keys(m), func(a, b key) int {
		return cmp.Or(cmp.Compare(a.account, b.account), cmp.Compare(a.month, b.month))
	})
}

// Charged returns the account's charges in this shard for the month.
func (l *Ledger) Charged(account domain.Account, month Month) domain.Micros {
	if h := l.holders[key{account, month}]; h != nil {
		return h.Charged
	}
	return 0
}
