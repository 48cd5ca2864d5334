package share

import (
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
)

// receivedGrant is a grant from a lender and the state of its tokens at the borrower.
type receivedGrant struct {
	grant                 uint64
	from                  peerKey
	held, spent, returned Amount
	reported              Amount // spent + returned at the last report
	reportedAt            time.Time
	expires, returnAt     time.Time
}

func (g *receivedGrant) lendable(now time.Time) Amount {
	if g.expires.Sub(now) < minLendTerm {
		return 0
	}
	return g.held
}

// unansweredRequest is a request for tokens that has no answer yet.
type unansweredRequest struct {
	seq    uint64
	sentAt time.Time
}

// borrower keeps the received grants of one account and its unanswered requests.
type borrower struct {
	received   []*receivedGrant
	seq        uint64
	unanswered map[peerKey]unansweredRequest
	// reportInterval is the minimum time between two reports on a grant.
	reportInterval time.Duration
}

func (b *borrower) expire(now time.Time) {
	b.received = slices.DeleteFunc(b.received, func(g *receivedGrant) bool { return !g.expires.After(now) })
}

func (b *borrower) lendable(now time.Time) Amount {
	var sum Amount
	for _, g := range b.received {
		sum += g.lendable(now)
	}
	return sum
}

// canRequest reports whether a request may be sent to the peer: none is unanswered, or
// the last one has timed out.
func (b *borrower) canRequest(now time.Time, to peerKey) bool {
	a, ok := b.unanswered[to]
	return !ok || now.Sub(a.sentAt) >= requestTimeout
}

// newRequest returns a request that carries the reports for its receiver. Unspent
// tokens are returned after half of the term of their grant, so that they do not
// stay with a VM that does not use them.
func (b *borrower) newRequest(now time.Time, account domain.Account, to peerKey, from Role, epoch domain.Epoch, want Amount) domain.Send {
	m := &Request{Account: account, To: to.role, From: from, Epoch: epoch, Want: want}
	b.seq++
	m.Seq = b.seq
	if want > 0 {
		b.unanswered[to] = unansweredRequest{b.seq, now}
	}
	for _, g := range b.received {
		if g.from != to {
			continue
		}
		if !g.returnAt.After(now) {
			g.returned += g.held
			g.held = 0
		}
		// Reports are totals and are repeated until the grant expires, so a lost
		// report delays the refill but loses no tokens.
		if g.spent+g.returned > 0 {
			m.Reports = append(m.Reports, Report{g.grant, g.spent, g.returned})
		}
		g.reported, g.reportedAt = g.spent+g.returned, now
	}
	return domain.Send{To: to.vm, Body: m}
}

// acceptItems adds the items of the answer to request seq. It returns false for a
// late or duplicate answer, whose tokens are lost.
func (b *borrower) acceptItems(now time.Time, from peerKey, seq uint64, items []Item) bool {
	a, ok := b.unanswered[from]
	if !ok || a.seq != seq {
		return false
	}
	// After an empty answer, the request stays recorded as unanswered, so that the
	// next one waits for requestTimeout. A lender on the same VM answers within the
	// same step, and immediate requests would make that step endless.
	if len(items) > 0 {
		delete(b.unanswered, from)
	}
	for _, it := range items {
		term := time.Duration(float64(it.Term) * borrowerTermFactor)
		expires := a.sentAt.Add(term)
		if it.Amount > 0 && expires.After(now) {
			b.received = append(b.received, &receivedGrant{grant: it.Grant, from: from, held: it.Amount, reportedAt: now, expires: expires, returnAt: a.sentAt.Add(term / 2)})
		}
	}
	slices.SortStableFunc(b.received, func(x, y *receivedGrant) int { return x.expires.Compare(y.expires) })
	return true
}

// spendToken spends a whole token from the received grants, in the order of their
// expiry. It reports whether there was one.
func (b *borrower) spendToken(now time.Time) bool {
	var held Amount
	for _, g := range b.received {
		if g.expires.After(now) {
			held += g.held
		}
	}
	if held < Token {
		return false
	}
	rest := Token
	for _, g := range b.received {
		if g.expires.After(now) {
			n := min(rest, g.held)
			g.held -= n
			g.spent += n
			rest -= n
		}
	}
	return true
}

// reportsDue returns the lenders for which a report or a return of unspent tokens
// is due.
func (b *borrower) reportsDue(now time.Time) []peerKey {
	var out []peerKey
	for _, g := range b.received {
		reportDue := g.spent+g.returned > g.reported && now.Sub(g.reportedAt) >= b.reportInterval
		returnDue := g.held > 0 && !g.returnAt.After(now)
		if (reportDue || returnDue) && !slices.Contains(out, g.from) {
			out = append(out, g.from)
		}
	}
	return out
}
