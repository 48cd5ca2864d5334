package share

import (
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
)

// receivedGrant holds the tokens of one accepted grant.
type receivedGrant struct {
	grant                 uint64
	from                  peerKey
	held, spent, returned Amount
	reported              Amount // spent + returned in the last report
	reportedAt            time.Time
	expires, returnAt     time.Time
}

func (g *receivedGrant) lendable(now time.Time) Amount {
	if g.expires.Sub(now) < minLendTerm {
		return 0
	}
	return g.held
}

// unansweredRequest is an unanswered request.
type unansweredRequest struct {
	seq    uint64
	sentAt time.Time
}

// borrower keeps the lots of one account and the requests for more.
type borrower struct {
	received   []*receivedGrant
	seq        uint64
	unanswered map[peerKey]unansweredRequest
	// reportInterval is the time between two reports on a lot.
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

// canRequest says whether no request to the peer is on its way.
func (b *borrower) canRequest(now time.Time, to peerKey) bool {
	a, ok := b.unanswered[to]
	return !ok || now.Sub(a.sentAt) >= requestTimeout
}

// newRequest returns a request with the reports for its receiver. Lots past
// half of their term return what they hold, so that tokens do not stay with a
// VM that does not use them.
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
		// Reports are totals and repeated while the lot lives, so a lost one
		// delays the refill instead of costing tokens.
		if g.spent+g.returned > 0 {
			m.Reports = append(m.Reports, Report{g.grant, g.spent, g.returned})
		}
		g.reported, g.reportedAt = g.spent+g.returned, now
	}
	return domain.Send{To: to.vm, Body: m}
}

// acceptItems adds the items that answer the request with the number seq. It returns
// false for an answer that is late or a duplicate; its tokens are lost.
func (b *borrower) acceptItems(now time.Time, from peerKey, seq uint64, items []Item) bool {
	a, ok := b.unanswered[from]
	if !ok || a.seq != seq {
		return false
	}
	// After an empty answer the entry stays, so that the next request waits for
	// askTimeout. A lender on the same VM answers within the same step, which
	// would otherwise never end.
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

// spendToken takes a whole token out of the lots that expire first.
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

// reportsDue lists the lenders that wait for a report or a return.
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
