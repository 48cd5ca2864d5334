package share

import (
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
)

// bucket is the refilled source of a lender.
type bucket struct {
	rate       float64 // tokens a second
	burst      Amount
	level      Amount
	fraction   float64 // refill below one unit, carried to the next refill
	refilledAt time.Time
}

// refill adds tokens up to burst minus outstanding grants. Before refilledAt,
// which is in the future for a new source, it adds nothing.
func (b *bucket) refill(now time.Time, outstanding Amount) {
	if !now.After(b.refilledAt) {
		return
	}
	add := b.rate*now.Sub(b.refilledAt).Seconds()/(1+DriftBound)*float64(Token) + b.fraction
	b.refilledAt = now
	whole := Amount(min(add, float64(b.burst)))
	b.fraction = min(add-float64(whole), 1)
	b.level = min(b.level+whole, max(b.burst-outstanding, 0))
}

// loan is a grant that the lender still counts as outstanding.
type loan struct {
	amount, spent, returned Amount
	lot                     *lot // nil: lent from the bucket
	expires                 time.Time
}

func (l *loan) outstanding() Amount { return l.amount - l.spent - l.returned }

type waiter struct {
	peer    domain.VM
	request *Request
	since   time.Time
}

type peerKey struct {
	vm   domain.VM
	role Role
}

// lender lends tokens of a bucket and of borrowed lots for one account.
type lender struct {
	account domain.Account
	epoch   domain.Epoch
	bucket  bucket
	borrower
	loans   map[uint64]*loan
	nextID  uint64
	lastSeq map[peerKey]uint64
	waiters []waiter
}

func (l *lender) expire(now time.Time) {
	for id, ln := range l.loans {
		if !ln.expires.After(now) {
			delete(l.loans, id)
		}
	}
	l.borrower.expire(now)
	l.bucket.refill(now, l.outstanding())
}

// outstanding sums the tokens lent from the bucket.
func (l *lender) outstanding() Amount {
	var sum Amount
	for _, ln := range l.loans {
		if ln.lot == nil {
			sum += ln.outstanding()
		}
	}
	return sum
}

// room returns what the bucket is short of its burst.
func (l *lender) room() Amount {
	return max(l.bucket.burst-l.bucket.level-l.outstanding(), 0)
}

// absorb moves donated lots into the bucket and returns what has no room. The
// donor counts the tokens as outstanding until it gets the report, so each
// token is counted at one place or at both, never at none.
func (l *lender) absorb() {
	for _, lt := range l.lots {
		n := min(lt.held, l.room())
		l.bucket.level += n
		lt.spent += n
		lt.returned += lt.held - n
		lt.held = 0
	}
}

// accept applies the reports of a request. It returns false for a request that
// is a duplicate, late, or meant for another epoch.
func (l *lender) accept(now time.Time, from domain.VM, m *Request) bool {
	l.expire(now)
	for _, r := range m.Reports {
		l.report(r)
	}
	key := peerKey{from, m.From}
	// A borrower that restarted continues at a random sequence number, which is
	// farther away than any late message.
	const lateWindow = 1 << 20
	if last, ok := l.lastSeq[key]; ok && last-m.Seq < lateWindow {
		return false
	}
	l.lastSeq[key] = m.Seq
	return m.Epoch <= l.epoch
}

func (l *lender) report(r Report) {
	ln, ok := l.loans[r.Grant]
	if !ok || r.Spent+r.Returned > ln.amount {
		return
	}
	spent, returned := max(r.Spent-ln.spent, 0), max(r.Returned-ln.returned, 0)
	ln.spent += spent
	ln.returned += returned
	if ln.lot != nil {
		ln.lot.spent += spent
		ln.lot.held += returned
	} else {
		l.bucket.level += returned
	}
	if ln.outstanding() <= 0 {
		delete(l.loans, r.Grant)
	}
}

// lend takes up to want tokens, in whole tokens. Lots go first, because they
// expire.
func (l *lender) lend(now time.Time, want Amount) []Item {
	rest := min(want, l.bucket.level+l.lendable(now)) / Token * Token
	var items []Item
	for _, lt := range l.lots {
		if rest > 0 && lt.lendable(now) > 0 {
			n := min(rest, lt.lendable(now))
			lt.held -= n
			items = append(items, l.newLoan(now, n, lt, lt.expires.Sub(now)))
			rest -= n
		}
	}
	return append(items, l.lendOwn(now, rest)...)
}

// lendOwn takes tokens from the bucket only, with their fraction.
func (l *lender) lendOwn(now time.Time, n Amount) []Item {
	if n = min(n, l.bucket.level); n <= 0 {
		return nil
	}
	l.bucket.level -= n
	return []Item{l.newLoan(now, n, nil, GrantTerm)}
}

func (l *lender) newLoan(now time.Time, n Amount, from *lot, term time.Duration) Item {
	l.nextID++
	l.loans[l.nextID] = &loan{amount: n, lot: from, expires: now.Add(term)}
	return Item{Grant: l.nextID, Amount: n, Term: term}
}

// wait queues a request. A repeated request takes the place of the earlier one,
// whose answer its sender would drop.
func (l *lender) wait(now time.Time, from domain.VM, m *Request) {
	for i, w := range l.waiters {
		if w.peer == from && w.request.From == m.From {
			l.waiters[i].request = m
			return
		}
	}
	l.waiters = append(l.waiters, waiter{from, m, now})
}

// wanted returns the tokens that waiting requests ask for.
func (l *lender) wanted() Amount {
	var sum Amount
	for _, w := range l.waiters {
		sum += w.request.Want
	}
	return sum
}

// serveWaiters answers waiting requests in their order while there are tokens.
// A request gets less than half of what it wants only when it has waited for
// partialAfter, because a small answer is followed by the next request at once.
// It gets an empty answer when it has waited for refuseAfter.
func (l *lender) serveWaiters(now time.Time, partialAfter, refuseAfter time.Duration, exhausted bool, out *[]domain.Send) {
	rest := l.waiters[:0]
	for i, w := range l.waiters {
		var items []Item
		waited := now.Sub(w.since)
		if waited >= partialAfter || l.bucket.level+l.lendable(now) >= w.request.Want/2 {
			items = l.lend(now, w.request.Want)
		}
		// A new source has not begun to refill, so it cannot say that the account
		// has used up its rate.
		starting := now.Before(l.bucket.refilledAt)
		if len(items) == 0 && (waited < refuseAfter || starting) {
			rest = append(rest, l.waiters[i])
			continue
		}
		g := &Grant{Account: l.account, To: w.request.From, Epoch: l.epoch, Seq: w.request.Seq, Items: items}
		if len(items) == 0 && exhausted {
			g.Exhausted, g.RetryAfter = true, l.untilToken()
		}
		*out = append(*out, domain.Send{To: w.peer, Body: g})
	}
	l.waiters = rest
}

// untilToken estimates when the bucket holds a whole token.
func (l *lender) untilToken() time.Duration {
	missing := float64(Token-l.bucket.level) / float64(Token)
	if l.bucket.rate <= 0 || missing <= 0 {
		return GrantTerm
	}
	return min(time.Duration(missing/l.bucket.rate*float64(time.Second)), time.Minute)
}
