// Package ledger decides about money: prices, reservations, charges, the
// escrow of account budgets between shards, and the forecast.
//
// The root shard of an account holds the budget of each calendar month (UTC)
// and releases parts of it to the shards that run the account's programs. Each
// direction between the root and a holder has one transfer in flight; its
// number grows by one. The sender debits in the record that creates the
// transfer and resends until confirmed; the receiver credits the next number
// only. The charges of a holder never exceed what it was credited, so the
// charges of all holders never exceed what the root released.
//
// A lowered budget stops releases and recalls the excess; amounts that calls
// have reserved or charged stay valid. A month's unused amounts expire with it.
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
	// resendInterval repeats requests and transfers after a loss. It is far
	// above the one-way delay between regions.
	resendInterval = 250 * time.Millisecond
	// recallTimeout is the time that holders have to return amounts before the
	// root denies a request.
	recallTimeout = time.Second
	// recallInterval bounds how often the root recalls while it is low.
	recallInterval = 5 * time.Second
	// denialTTL is the time that a denial is used again without a request.
	denialTTL = time.Second
	// reportInterval spaces usage reports to the root.
	reportInterval = 10 * time.Second
	// releaseMarginDivisor is the part of the free amount that a release adds to the
	// requested amount, so that the 48 shards of 3 data centres find something
	// left, and each has enough to go on while it is cut off from the root.
	releaseMarginDivisor = 32
	// refillThresholdDivisor is the part of the last credit below which a holder asks for
	// more before a call needs it.
	refillThresholdDivisor = 4
	// refillMinCalls is the number of calls that a credit must cover to be refilled
	// early.
	refillMinCalls = 8
)

type key struct {
	account domain.Account
	month   Month
}

// Ledger is the money state of one shard, as holder and as root. It is not
// safe for concurrent use.
type Ledger struct {
	shard    domain.ShardID
	view     *config.View
	holders  map[key]*holder
	roots    map[key]*root
	usage    map[domain.Account]*usage
	lastTick time.Time
	// awaitingReply says that a transfer or a request may be unanswered. It is kept so
	// that NextWake, which follows each event, does not visit all accounts.
	awaitingReply bool
}

type holder struct {
	HolderState
	// The fields below are rebuilt after a restart.
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

// New returns the empty ledger of a shard.
func New(shard domain.ShardID) *Ledger {
	return &Ledger{
		shard: shard, holders: map[key]*holder{}, roots: map[key]*root{}, usage: map[domain.Account]*usage{},
	}
}

// Configure sets the configuration in force.
func (l *Ledger) Configure(v *config.View) { l.view = v }

// RootShard returns the shard that holds the account's budget.
func RootShard(v *config.View, account domain.Account) (domain.ShardID, error) {
	homes := v.Homes()
	if len(homes) == 0 {
		return domain.ShardID{}, domain.ErrNoDataCentre
	}
	dc := homes[domain.Hash64("budget", string(account))%uint64(len(homes))]
	return domain.AccountShard(account, dc, config.ShardsPerDataCentre), nil
}

// HoldResult is the answer to a hold.
type HoldResult int

// The verdicts. Pending callers ask again after the next Step or Tick.
const (
	Held HoldResult = iota
	Pending
	Refused
)

// Hold sets an amount aside in memory until Unhold or the Reservation. A
// pending hold has asked the root. A refusal names the missing amount.
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

// refill asks the root early when a holder runs low. Nobody waits for the
// answer, so a denial has no effect. A credit of the size of a call means that
// the root is nearly empty, and early requests would only split the rest.
func (l *Ledger) refill(now time.Time, h *holder, amount domain.Micros, e *Effects) {
	low := h.available() < h.lastCredit/refillThresholdDivisor && h.lastCredit/refillMinCalls >= amount
	shard, err := RootShard(l.view, h.Account)
	if !low || err != nil || now.Sub(h.refilledAt) < recallInterval {
		return
	}
	h.refilledAt = now
	e.send(shard, &Request{h.Account, h.Month, l.shard, 1})
}

// UnreachableRefusal returns the refusal of a pending hold that got no answer.
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
		return domain.NotRun(reason, "the root of the budget of account %s did not answer and %s is missing here; retry later", account, missing).After(recallInterval)
	default:
		return domain.NotRun(reason, "account %s lacks %s in its monthly budget; ask the operator to raise it", account, missing)
	}
}

// ReleaseHold gives back a held amount.
func (l *Ledger) ReleaseHold(r Reservation) { l.holder(key{r.Account, r.Month}).held -= r.Amount }

// Settle returns the charge that ends a reservation. The cost is cut off at
// the reserved amount, because a prompt estimate that was too low must not let
// charges pass the budget.
func Settle(r Reservation, cost domain.Micros) Charge {
	return Charge{Account: r.Account, Month: r.Month, Reserved: r.Amount, Amount: min(max(cost, 0), r.Amount)}
}

// Apply changes the state by a record and says whether it was one of the
// ledger. The order of the records is the order of the decisions.
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

// addDayNet adds to the net release of a day. Returns may make it negative, so the
// outstanding amount grows by at most the allowance on each day. A clock that
// steps back continues the later day.
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

// Snapshot returns records that rebuild the state, in a fixed order. Held
// amounts are not part of it.
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
			// Peers that only asked or reported have no record.
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

// Charged returns the account's charges of the month in this shard.
func (l *Ledger) Charged(account domain.Account, month Month) domain.Micros {
	if h := l.holders[key{account, month}]; h != nil {
		return h.Charged
	}
	return 0
}
