package share

import (
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
)

// lot holds the tokens of one accepted grant.
type lot struct {
	grant                 uint64
	from                  peerKey
	held, spent, returned Amount
	reported              Amount // spent + returned in the last report
	reportedAt            time.Time
	expires, returnAt     time.Time
}

func (lt *lot) lendable(now time.Time) Amount {
	if lt.expires.Sub(now) < minTerm {
		return 0
	}
	return lt.held
}

// ask is an unanswered request.
type ask struct {
	seq uint64
	at  time.Time
}

// borrower keeps the lots of one account and the requests for more.
type borrower struct {
	lots  []*lot
	seq   uint64
	asked map[peerKey]ask
	// reportEvery is the time between two reports on a lot.
	reportEvery time.Duration
}

func (b *borrower) expire(now time.Time) {
	b.lots = slices.DeleteFunc(b.lots, func(lt *lot) bool { return !lt.expires.After(now) })
}

func (b *borrower) lendable(now time.Time) Amount {
	var sum Amount
	for _, lt := range b.lots {
		sum += lt.lendable(now)
	}
	return sum
}

// canAsk says whether no request to the peer is on its way.
func (b *borrower) canAsk(now time.Time, to peerKey) bool {
	a, ok := b.asked[to]
	return !ok || now.Sub(a.at) >= askTimeout
}

// newRequest returns a request with the reports for its receiver. Lots past
// half of their term return what they hold, so that tokens do not stay with a
// VM that does not use them.
func (b *borrower) newRequest(now time.Time, account domain.Account, to peerKey, from Role, epoch domain.Epoch, want Amount) domain.Send {
	m := &Request{Account: account, To: to.role, From: from, Epoch: epoch, Want: want}
	b.seq++
	m.Seq = b.seq
	if want > 0 {
		b.asked[to] = ask{b.seq, now}
	}
	for _, lt := range b.lots {
		if lt.from != to {
			continue
		}
		if !lt.returnAt.After(now) {
			lt.returned += lt.held
			lt.held = 0
		}
		// Reports are totals and repeated while the lot lives, so a lost one
		// delays the refill instead of costing tokens.
		if lt.spent+lt.returned > 0 {
			m.Reports = append(m.Reports, Report{lt.grant, lt.spent, lt.returned})
		}
		lt.reported, lt.reportedAt = lt.spent+lt.returned, now
	}
	return domain.Send{To: to.vm, Body: m}
}

// take adds the items that answer the request with the number seq. It returns
// false for an answer that is late or a duplicate; its tokens are lost.
func (b *borrower) take(now time.Time, from peerKey, seq uint64, items []Item) bool {
	a, ok := b.asked[from]
	if !ok || a.seq != seq {
		return false
	}
	// After an empty answer the entry stays, so that the next request waits for
	// askTimeout. A lender on the same VM answers within the same step, which
	// would otherwise never end.
	if len(items) > 0 {
		delete(b.asked, from)
	}
	for _, it := range items {
		term := time.Duration(float64(it.Term) * borrowerTerm)
		expires := a.at.Add(term)
		if it.Amount > 0 && expires.After(now) {
			b.lots = append(b.lots, &lot{grant: it.Grant, from: from, held: it.Amount, reportedAt: now, expires: expires, returnAt: a.at.Add(term / 2)})
		}
	}
	slices.SortStableFunc(b.lots, func(x, y *lot) int { return x.expires.Compare(y.expires) })
	return true
}

// spend takes a whole token out of the lots that expire first.
func (b *borrower) spend(now time.Time) bool {
	var held Amount
	for _, lt := range b.lots {
		if lt.expires.After(now) {
			held += lt.held
		}
	}
	if held < Token {
		return false
	}
	rest := Token
	for _, lt := range b.lots {
		if lt.expires.After(now) {
			n := min(rest, lt.held)
			lt.held -= n
			lt.spent += n
			rest -= n
		}
	}
	return true
}

// due lists the lenders that wait for a report or a return.
func (b *borrower) due(now time.Time) []peerKey {
	var out []peerKey
	for _, lt := range b.lots {
		report := lt.spent+lt.returned > lt.reported && now.Sub(lt.reportedAt) >= b.reportEvery
		giveBack := lt.held > 0 && !lt.returnAt.After(now)
		if (report || giveBack) && !slices.Contains(out, lt.from) {
			out = append(out, lt.from)
		}
	}
	return out
}
