package share

import (
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
)

// bucket is the token bucket of a source.
type bucket struct {
	rate       float64 // tokens per second
	burst      Amount
	level      Amount
	fraction   float64 // refill of less than one unit, carried over to the next refill
	refilledAt time.Time
}

// refill adds the tokens since the last refill, up to the burst minus the
// outstanding grants. It adds nothing before refilledAt, which is in the future for
// a new source.
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

// issuedGrant is a grant of a lender that has not expired and is not fully reported.
type issuedGrant struct {
	amount, spent, returned Amount
	parent                  *receivedGrant // the borrowed grant it was lent from; nil: the bucket
	expires                 time.Time
}

func (g *issuedGrant) outstanding() Amount { return g.amount - g.spent - g.returned }

type waiter struct {
	peer    domain.VM
	request *Request
	since   time.Time
}

type peerKey struct {
	vm   domain.VM
	role Role
}

// lender lends the tokens of a bucket and of received grants for one account.
type lender struct {
	account domain.Account
	epoch   domain.Epoch
	bucket  bucket
	borrower
	issued  map[uint64]*issuedGrant
	nextID  uint64
	lastSeq map[peerKey]uint64
	waiters []waiter
}

func (l *lender) expire(now time.Time) {
	for id, g := range l.issued {
		if !g.expires.After(now) {
			delete(l.issued, id)
		}
	}
	l.borrower.expire(now)
	l.bucket.refill(now, l.outstanding())
}

// outstanding returns the outstanding tokens that were lent from the bucket.
func (l *lender) outstanding() Amount {
	var sum Amount
	for _, g := range l.issued {
		if g.parent == nil {
			sum += g.outstanding()
		}
	}
	return sum
}

// bucketHeadroom returns how many tokens the bucket can take up. Outstanding tokens
// count as if they were in the bucket.
func (l *lender) bucketHeadroom() Amount {
	return max(l.bucket.burst-l.bucket.level-l.outstanding(), 0)
}

// moveToBucket moves donated tokens into the bucket and marks those above the burst
// as returned. The donor counts the tokens as outstanding until it receives the
// report, so each token is counted in at least one place.
func (l *lender) moveToBucket() {
	for _, g := range l.received {
		n := min(g.held, l.bucketHeadroom())
		l.bucket.level += n
		g.spent += n
		g.returned += g.held - n
		g.held = 0
	}
}

// acceptRequest applies the reports of a request. It reports whether the request
// may be answered, which is not the case for a duplicate, a late request and a
// request to a later epoch of the lender.
func (l *lender) acceptRequest(now time.Time, from domain.VM, m *Request) bool {
	l.expire(now)
	for _, r := range m.Reports {
		l.applyReport(r)
	}
	key := peerKey{from, m.From}
	// A restarted borrower continues at a random sequence number, which is outside
	// of the window of late messages except with negligible probability.
	const lateWindow = 1 << 20
	if last, ok := l.lastSeq[key]; ok && last-m.Seq < lateWindow {
		return false
	}
	l.lastSeq[key] = m.Seq
	return m.Epoch <= l.epoch
}

func (l *lender) applyReport(r Report) {
	g, ok := l.issued[r.Grant]
	if !ok || r.Spent+r.Returned > g.amount {
		return
	}
	spent, returned := max(r.Spent-g.spent, 0), max(r.Returned-g.returned, 0)
	g.spent += spent
	g.returned += returned
	if g.parent != nil {
		g.parent.spent += spent
		g.parent.held += returned
	} else {
		l.bucket.level += returned
	}
	if g.outstanding() <= 0 {
		delete(l.issued, r.Grant)
	}
}

// lend lends up to want, rounded down to whole tokens. It takes received grants
// before the bucket, because they expire.
func (l *lender) lend(now time.Time, want Amount) []Item {
	rest := min(want, l.bucket.level+l.lendable(now)) / Token * Token
	var items []Item
	for _, g := range l.received {
		if rest > 0 && g.lendable(now) > 0 {
			n := min(rest, g.lendable(now))
			g.held -= n
			items = append(items, l.issueGrant(now, n, g, g.expires.Sub(now)))
			rest -= n
		}
	}
	return append(items, l.lendFromBucket(now, rest)...)
}

// lendFromBucket lends up to n from the bucket only and does not round to whole
// tokens.
func (l *lender) lendFromBucket(now time.Time, n Amount) []Item {
	if n = min(n, l.bucket.level); n <= 0 {
		return nil
	}
	l.bucket.level -= n
	return []Item{l.issueGrant(now, n, nil, GrantTerm)}
}

func (l *lender) issueGrant(now time.Time, n Amount, from *receivedGrant, term time.Duration) Item {
	l.nextID++
	l.issued[l.nextID] = &issuedGrant{amount: n, parent: from, expires: now.Add(term)}
	return Item{Grant: l.nextID, Amount: n, Term: term}
}

// enqueue queues a request. A repeated request replaces the earlier one, whose
// answer its sender would discard.
func (l *lender) enqueue(now time.Time, from domain.VM, m *Request) {
	for i, w := range l.waiters {
		if w.peer == from && w.request.From == m.From {
			l.waiters[i].request = m
			return
		}
	}
	l.waiters = append(l.waiters, waiter{from, m, now})
}

// queuedDemand returns the number of tokens that the waiting requests want.
func (l *lender) queuedDemand() Amount {
	var sum Amount
	for _, w := range l.waiters {
		sum += w.request.Want
	}
	return sum
}

// serveWaiters answers waiting requests in arrival order while tokens are left. A
// request is granted less than half of its Want only after it has waited for
// partialAfter, because the borrower follows up a small grant with another request
// immediately. A request that has waited for refuseAfter gets an empty answer.
// exhausted is set if an empty answer means that the root has no token.
func (l *lender) serveWaiters(now time.Time, partialAfter, refuseAfter time.Duration, exhausted bool, out *[]domain.Send) {
	rest := l.waiters[:0]
	for i, w := range l.waiters {
		var items []Item
		waited := now.Sub(w.since)
		if waited >= partialAfter || l.bucket.level+l.lendable(now) >= w.request.Want/2 {
			items = l.lend(now, w.request.Want)
		}
		// A new source has not started to refill, so it cannot know whether the
		// account has used up its rate.
		starting := now.Before(l.bucket.refilledAt)
		if len(items) == 0 && (waited < refuseAfter || starting) {
			rest = append(rest, l.waiters[i])
			continue
		}
		g := &Grant{Account: l.account, To: w.request.From, Epoch: l.epoch, Seq: w.request.Seq, Items: items}
		if len(items) == 0 && exhausted {
			g.Exhausted, g.RetryAfter = true, l.timeToNextToken()
		}
		*out = append(*out, domain.Send{To: w.peer, Body: g})
	}
	l.waiters = rest
}

// timeToNextToken estimates the time until the bucket holds a whole token.
func (l *lender) timeToNextToken() time.Duration {
	missing := float64(Token-l.bucket.level) / float64(Token)
	if l.bucket.rate <= 0 || missing <= 0 {
		return GrantTerm
	}
	return min(time.Duration(missing/l.bucket.rate*float64(time.Second)), time.Minute)
}
