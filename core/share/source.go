package share

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
)

// Intervals between two ticks of a source: sourceInterval while requests wait, and
// idleInterval while tokens are only lent or collected.
const (
	sourceInterval = 20 * time.Millisecond
	idleInterval   = 100 * time.Millisecond
)

// neverRefuse is a refusal time that no request reaches. It keeps requests queued at
// a holder until the root has answered.
const neverRefuse = time.Hour

// sources holds the lenders of one VM. It is the common part of Root and Holder.
type sources struct {
	rand    *rand.Rand
	lenders map[domain.Account]*lender
	busy    map[domain.Account]bool // accounts that need the next tick
	wake    time.Time
}

func newSources(r *rand.Rand) sources {
	return sources{rand: r, lenders: map[domain.Account]*lender{}, busy: map[domain.Account]bool{}}
}

// activate starts the lender of an account for an epoch, or updates it within the
// same epoch.
func (s *sources) activate(now time.Time, limit Limit, epoch domain.Epoch, rate, burst float64) *lender {
	account := limit.Account
	l := s.lenders[account]
	if l == nil || l.epoch != epoch {
		l = &lender{
			account: account, epoch: epoch, issued: map[uint64]*issuedGrant{}, nextID: s.rand.Uint64(),
			lastSeq:  map[peerKey]uint64{},
			borrower: borrower{seq: s.rand.Uint64(), unanswered: map[peerKey]unansweredRequest{}},
			// The clock of this lender may be 1% fast, and that of its predecessor 1%
			// slow.
			bucket: bucket{refilledAt: now.Add(GrantTerm * 103 / 100)},
		}
		s.lenders[account] = l
	}
	l.expire(now)
	l.bucket.rate, l.bucket.burst = rate, Amount(burst*float64(Token))
	l.reportInterval = reportIntervalFor(limit)
	l.bucket.level = min(l.bucket.level, l.bucket.burst)
	return l
}

// Deactivate immediately stops the account's source on this VM. Its tokens are lost.
func (s *sources) Deactivate(account domain.Account) {
	delete(s.lenders, account)
	delete(s.busy, account)
}

// NextWake returns the time of the next Tick, or the zero time when nothing is
// pending. An idle source needs no tick, because the refill is computed on use.
func (s *sources) NextWake() time.Time {
	if len(s.busy) == 0 {
		return time.Time{}
	}
	return s.wake
}

// scheduleTick schedules the next tick of an account.
func (s *sources) scheduleTick(now time.Time, l *lender) {
	next := now.Add(idleInterval)
	if len(l.waiters) > 0 {
		next = now.Add(sourceInterval)
	}
	if len(s.busy) == 0 || next.Before(s.wake) {
		s.wake = next
	}
	s.busy[l.account] = true
}

// tick calls handle for the lenders of the busy accounts in a deterministic order.
// handle reports whether the account needs another tick.
func (s *sources) tick(now time.Time, handle func(*lender) bool) {
	accounts := slices.Sorted(maps.Keys(s.busy))
	clear(s.busy)
	for _, a := range accounts {
		l := s.lenders[a]
		l.expire(now)
		if handle(l) {
			s.scheduleTick(now, l)
		}
	}
}

// Root lends the tokens of the accounts whose root shard this VM owns. It is not
// safe for concurrent use.
type Root struct {
	sources
	holders map[domain.Account][]Peer
	// collectedAt is the time of the last request for unused base tokens.
	collectedAt map[domain.Account]time.Time
}

// NewRoot returns a root without accounts.
func NewRoot(r *rand.Rand) *Root {
	return &Root{sources: newSources(r), holders: map[domain.Account][]Peer{}, collectedAt: map[domain.Account]time.Time{}}
}

// Activate makes this VM the root of an account, or updates the account's limit and
// holders. holders lists the holder of each data centre, reachable or not.
func (r *Root) Activate(now time.Time, l Limit, epoch domain.Epoch, holders []Peer) {
	rate, burst := baseShare(l, len(holders))
	n := float64(len(holders))
	if rate > 0 {
		r.holders[l.Account] = slices.Clone(holders)
	} else {
		delete(r.holders, l.Account) // no base shares to collect
	}
	r.activate(now, l, epoch, l.RatePerSecond-n*rate, l.Burst-n*burst)
}

// Step handles a message from another VM.
func (r *Root) Step(now time.Time, from domain.VM, m domain.Message) []domain.Send {
	var out []domain.Send
	switch m := m.(type) {
	case *Request:
		l := r.lenders[m.Account]
		if m.To != RoleRoot || l == nil || !l.acceptRequest(now, from, m) || m.Want <= 0 {
			return nil
		}
		l.enqueue(now, from, m)
		r.serve(now, l, &out)
	case *Donate:
		l := r.lenders[m.Account]
		from := peerKey{from, RoleHolder}
		if l == nil || !l.acceptItems(now, from, m.Seq, m.Items) {
			return nil
		}
		l.expire(now)
		l.moveToBucket()
		if len(l.received) > 0 {
			out = append(out, l.newRequest(now, l.account, from, RoleRoot, m.Epoch, 0))
			l.received = nil
		}
		r.serve(now, l, &out)
	}
	return out
}

// Tick answers waiting requests and collects unused base tokens from the holders.
func (r *Root) Tick(now time.Time) []domain.Send {
	var out []domain.Send
	r.tick(now, func(l *lender) bool {
		r.serve(now, l, &out)
		collecting := len(r.holders[l.account]) > 0 && l.bucketHeadroom() > 0
		return len(l.waiters) > 0 || collecting
	})
	return out
}

// serve answers the waiting requests that it can and requests unused base tokens from
// the holders: all base tokens while requests wait, and those above half of a base
// share while the root's bucket is not full. Without the second rule, full holders
// would not refill while the root's bucket drains.
func (r *Root) serve(now time.Time, l *lender, out *[]domain.Send) {
	l.serveWaiters(now, partialDelay, answerDelay, true, out)
	r.scheduleTick(now, l)
	urgent := len(l.waiters) > 0
	want := max(l.queuedDemand(), l.bucketHeadroom())
	// Urgent requests need an interval too: a holder without unused tokens answers
	// immediately, and root and holder would exchange messages endlessly.
	interval := 2 * l.reportInterval
	if urgent {
		interval = sourceInterval
	}
	if want == 0 || now.Sub(r.collectedAt[l.account]) < interval {
		return
	}
	r.collectedAt[l.account] = now
	for _, h := range r.holders[l.account] {
		to := peerKey{h.VM, RoleHolder}
		if l.canRequest(now, to) {
			request := l.newRequest(now, l.account, to, RoleRoot, h.Epoch, want)
			request.Body.(*Request).Urgent = urgent
			*out = append(*out, request)
		}
	}
}

// Holder lends tokens to the entries of its data centre: those of its base share and
// those that it borrows from the root. It is not safe for concurrent use.
type Holder struct {
	sources
	roots map[domain.Account]Peer
}

// NewHolder returns a holder without accounts.
func NewHolder(r *rand.Rand) *Holder {
	return &Holder{sources: newSources(r), roots: map[domain.Account]Peer{}}
}

// Activate makes this VM the holder of an account in its data centre, or updates the
// account's limit and root. holders is the number of holders of the account, one
// for each data centre.
func (h *Holder) Activate(now time.Time, l Limit, epoch domain.Epoch, root Peer, holders int) {
	rate, burst := baseShare(l, holders)
	h.roots[l.Account] = root
	h.activate(now, l, epoch, rate, burst)
}

// Step handles a message from another VM.
func (h *Holder) Step(now time.Time, from domain.VM, m domain.Message) []domain.Send {
	var out []domain.Send
	switch m := m.(type) {
	case *Request:
		l := h.lenders[m.Account]
		if m.To != RoleHolder || l == nil || !l.acceptRequest(now, from, m) || m.Want <= 0 {
			return nil
		}
		if m.From == RoleRoot {
			return []domain.Send{h.donate(now, l, from, m)}
		}
		l.enqueue(now, from, m)
		h.serve(now, l, &out)
	case *Grant:
		l := h.lenders[m.Account]
		if m.To != RoleHolder || l == nil || !l.acceptItems(now, peerKey{from, RoleRoot}, m.Seq, m.Items) {
			return nil
		}
		l.expire(now)
		refuseAfter := neverRefuse
		if m.Exhausted {
			refuseAfter = 0
		}
		l.serveWaiters(now, 0, refuseAfter, m.Exhausted, &out)
		h.serve(now, l, &out)
	}
	return out
}

// donate returns the answer to the root's request for unused base tokens. It is empty
// while requests of the holder's own data centre wait.
func (h *Holder) donate(now time.Time, l *lender, from domain.VM, m *Request) domain.Send {
	d := &Donate{Account: l.account, Epoch: l.epoch, Seq: m.Seq}
	surplus := l.bucket.level
	if !m.Urgent {
		surplus -= l.bucket.burst / 2
	}
	if len(l.waiters) == 0 {
		d.Items = l.lendFromBucket(now, min(m.Want, surplus))
	}
	return domain.Send{To: from, Body: d}
}

// Tick answers waiting requests, repeats unanswered requests to the root, sends
// reports and returns unused tokens.
func (h *Holder) Tick(now time.Time) []domain.Send {
	var out []domain.Send
	h.tick(now, func(l *lender) bool {
		for _, to := range l.reportsDue(now) {
			out = append(out, l.newRequest(now, l.account, to, RoleHolder, h.roots[l.account].Epoch, 0))
		}
		h.serve(now, l, &out)
		l.waiters = slices.DeleteFunc(l.waiters, func(w waiter) bool { return now.Sub(w.since) > MaxWait })
		return len(l.waiters) > 0 || len(l.received) > 0
	})
	return out
}

func (h *Holder) serve(now time.Time, l *lender, out *[]domain.Send) {
	l.serveWaiters(now, answerDelay, neverRefuse, false, out)
	h.scheduleTick(now, l)
	to := peerKey{h.roots[l.account].VM, RoleRoot}
	if len(l.waiters) > 0 && to.vm != "" && l.canRequest(now, to) {
		*out = append(*out, l.newRequest(now, l.account, to, RoleHolder, h.roots[l.account].Epoch, l.queuedDemand()))
	}
}
