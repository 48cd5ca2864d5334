// Package share limits the rate and burst of client accounts over all VMs with
// token buckets whose tokens are leased between VMs.
//
// Every request token exists in one place. The account's root and the holder of
// each data centre are sources: a source refills a token bucket and lends tokens
// to other VMs. The tokens of a grant are subtracted from the lender. A grant
// expires after GrantTerm, and its borrower may lend its tokens to another VM for
// the rest of the term.
//
// Safety: the bucket and the outstanding grants of a source together never exceed
// its part of the burst, and the bucket refills at its part of the rate divided by
// 1+DriftBound. The parts of all sources sum to the account's burst and rate. In a
// period t, all VMs therefore admit at most burst + rate*t requests. A borrower
// counts the term of a grant from the send time of its request, so a delayed grant
// expires in time. A new source lends nothing for GrantTerm, because the grants of
// its predecessor may be worth the whole burst until then. After that it refills
// from zero. The caller activates a source only after the lease of its predecessor
// has ended. While a change of an account's limit propagates, some sources use the
// old limit and some the new one, and the larger of both bounds holds.
//
// Service: without message loss and owner changes, an account that stays within
// 0.99 of its rate and within its burst is not refused. Tokens held by other VMs
// return within GrantTerm/2, which is less than MaxWait. A lost message costs at
// most the tokens of one grant. An owner change costs at most the source's part of
// the burst plus its refill during GrantTerm. Because of the drift bound, an
// account above 0.99 of its rate can have 1 request in 100 refused.
//
// The part of a holder is its base share. A base share of less than one whole token
// could not admit any request, so it stays with the root (see baseShare). While the
// root's bucket is not full, base tokens above half of a base share move to it.
// While requests wait at the root, all base tokens move to it. Without these
// moves, a full base share would not refill while the root's bucket drains.
package share

import (
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
)

// Timing of grants.
const (
	// GrantTerm is the time after which a grant expires by its source's clock.
	GrantTerm = time.Second
	// MaxWait is the longest time that a request waits for tokens at its entry VM.
	MaxWait = 2 * time.Second
	// DriftBound is the largest relative error of the speed of a VM's clock.
	DriftBound = 0.01
	// requestTimeout is the time after which an unanswered request may be repeated. It
	// exceeds answerDelay plus a round trip between regions.
	requestTimeout = 300 * time.Millisecond
	// answerDelay is the time for which a lender without tokens waits for refill and
	// donated tokens before it sends an empty answer.
	answerDelay = 150 * time.Millisecond
	// partialDelay is the time for which the root waits for donated tokens before it
	// grants less than half of a request.
	partialDelay = 20 * time.Millisecond
	// minLendTerm is the shortest remaining term for which borrowed tokens are lent.
	minLendTerm = 100 * time.Millisecond
	// maxPrefetch is the upper bound of prefetchTime.
	maxPrefetch = 400 * time.Millisecond
)

// baseFraction is the fraction of rate and burst that belongs to the holders, so
// that a data centre without a connection to the root keeps a base share.
const baseFraction = 0.25

// borrowerTermFactor is the fraction of a term that the borrower uses. With 0.98, a
// borrower whose clock is 1% slow expires a grant before a lender whose clock is 1%
// fast.
const borrowerTermFactor = 0.98

// Amount is a number of request tokens in units of 1/1,000,000 token.
type Amount int64

// Token is one whole request token.
const Token Amount = 1_000_000

// Role identifies the component of a VM that sends or receives a message.
type Role int

// The roles of a VM for an account.
const (
	RoleRoot Role = iota + 1
	RoleHolder
	RoleEntry
)

// Peer identifies the VM that has a role for an account. Epoch is the epoch of the
// shard that gives it the role.
type Peer struct {
	VM    domain.VM
	Epoch domain.Epoch
}

// Limit is the configured rate limit of an account.
type Limit struct {
	Account domain.Account
	// RatePerSecond and Burst count requests.
	RatePerSecond, Burst float64
}

// Report states the spent and the returned tokens of a grant. Both are totals since
// the grant, so that a repeated report has no effect.
type Report struct {
	Grant           uint64
	Spent, Returned Amount
}

// Request requests Want tokens from a lender and carries the reports on earlier
// grants. A request with a Want of 0 only carries reports.
type Request struct {
	Account  domain.Account
	To, From Role
	// Epoch is the lender's epoch that the sender has on record.
	Epoch domain.Epoch
	Seq   uint64
	Want  Amount
	// Urgent is set to request all unused base tokens of a holder instead of only
	// those above half of its base share.
	Urgent  bool
	Reports []Report
}

// Item is one grant of an answer. Its term starts at the send time of the request.
type Item struct {
	Grant  uint64
	Amount Amount
	Term   time.Duration
}

// Grant is a lender's answer to a request. It is empty if the lender has no tokens.
type Grant struct {
	Account domain.Account
	To      Role
	Epoch   domain.Epoch
	Seq     uint64
	Items   []Item
	// Exhausted is set if the root itself has no token to lend.
	Exhausted bool
	// RetryAfter is the estimated time until the root has a token again.
	RetryAfter time.Duration
}

// Donate is a holder's answer to the root's request for unused base tokens.
type Donate struct {
	Account domain.Account
	Epoch   domain.Epoch
	Seq     uint64
	Items   []Item
}

// MessageName implements domain.Message.
func (*Request) MessageName() string { return "share.Request" }

// MessageName implements domain.Message.
func (*Grant) MessageName() string { return "share.Grant" }

// MessageName implements domain.Message.
func (*Donate) MessageName() string { return "share.Donate" }

// Messages returns a zero value of each message type for the codec.
func Messages() []domain.Message { return []domain.Message{&Request{}, &Grant{}, &Donate{}} }

// reportIntervalFor returns the minimum time between two reports of spent tokens.
// Tokens that a source counts as outstanding limit its refill, so reports have to
// arrive well within the time in which the whole burst refills.
func reportIntervalFor(l Limit) time.Duration {
	const part, shortest, longest = 10, 20 * time.Millisecond, 250 * time.Millisecond
	if l.RatePerSecond <= 0 {
		return longest
	}
	refill := time.Duration(min(l.Burst/l.RatePerSecond, 60) * float64(time.Second))
	return min(max(refill/part, shortest), longest)
}

// prefetchTime returns the time of recent demand for which an entry keeps tokens in
// stock. All entries together hold at most a third of the burst, so that the rest
// is available to a burst of requests at one VM.
func prefetchTime(l Limit) time.Duration {
	const part = 3
	if l.RatePerSecond <= 0 {
		return 0
	}
	return min(time.Duration(min(l.Burst/l.RatePerSecond, 60)/part*float64(time.Second)), maxPrefetch)
}

// baseShare returns one holder's part of the rate and burst. It is zero if the part
// of the burst is less than one token.
func baseShare(l Limit, holders int) (rate, burst float64) {
	if holders == 0 || l.Burst*baseFraction/float64(holders) < 1 {
		return 0, 0
	}
	part := baseFraction / float64(holders)
	return l.RatePerSecond * part, l.Burst * part
}
