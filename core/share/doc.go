// Package share bounds the rate and burst of client accounts over all VMs.
//
// Every request token exists in one place. The account's root and the holder
// of each data centre are sources: a source refills its bucket and lends
// tokens to others. A grant is subtracted from the lender, expires after
// GrantTerm, and may be lent on for the rest of its term.
//
// Safety: a source keeps bucket + outstanding grants at or below its part of
// the burst, and refills at its part of the rate divided by 1+DriftBound. The
// parts of all sources sum to the account's burst and rate. Over a window t all
// VMs therefore admit at most burst + rate*t. A borrower counts the term of a
// grant from the send time of its request, so delayed grants expire in time. A
// new source lends nothing for GrantTerm, because grants of its predecessor may
// be worth the whole burst until then, and refills from zero afterwards. The
// caller activates a source only after the lease of its predecessor has ended.
// While a change of an account's limit spreads, the parts of old and new limit
// mix, and the larger of both bounds holds.
//
// Quality: without message loss or owner changes, an account inside 0.99 of its
// rate and its burst is not refused. Tokens held by other VMs return within
// GrantTerm/2, which is less than MaxWait. A lost message costs at most the
// tokens of one grant, and an owner change at most the source's part of the
// burst plus its refill of GrantTerm. An account above 0.99 of its rate can be
// refused 1 request in 100, the price of the drift bound.
//
// A base share of less than one whole token could never admit a request, so it
// stays with the root (see baseShare). Base tokens above half of a base share
// move to the root's bucket while it is not full, and all of them when its
// requests have to wait; otherwise a full base share would stop refilling while
// the root's bucket drains.
package share

import (
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
)

// Timing of grants.
const (
	// GrantTerm is the life of a grant on the clock of its source.
	GrantTerm = time.Second
	// MaxWait bounds the time a request waits for tokens at its entry VM.
	MaxWait = 2 * time.Second
	// DriftBound is the largest relative error of a VM's clock rate.
	DriftBound = 0.01
	// requestTimeout is the time after which an unanswered request is repeated. It
	// exceeds answerDelay and a round trip between regions.
	requestTimeout = 300 * time.Millisecond
	// answerDelay is the time a lender without tokens collects refill and
	// donations before it answers that there are none.
	answerDelay = 150 * time.Millisecond
	// partialDelay is the time the root collects donations before it grants less
	// than half of a request.
	partialDelay = 20 * time.Millisecond
	// minLendTerm is the shortest rest of a term that is worth lending on.
	minLendTerm = 100 * time.Millisecond
	// maxPrefetch bounds the time of recent demand that an entry keeps in stock.
	maxPrefetch = 400 * time.Millisecond
)

// baseFraction is the part of rate and burst that the data centres' holders
// refill, so that a data centre that is cut off keeps a base share.
const baseFraction = 0.25

// borrowerTermFactor shortens a term for the borrower. With 0.98, a borrower whose
// clock is 1% slow drops a grant before a lender whose clock is 1% fast does.
const borrowerTermFactor = 0.98

// Amount counts request tokens in units of 1/1,000,000.
type Amount int64

// Token is one whole request token.
const Token Amount = 1_000_000

// Role tells the parts of a VM apart that exchange messages.
type Role int

// The roles.
const (
	RoleRoot Role = iota + 1
	RoleHolder
	RoleEntry
)

// Peer names the VM that has a role for an account, and the epoch of the shard
// that gives it the role.
type Peer struct {
	VM    domain.VM
	Epoch domain.Epoch
}

// Limit is the configured bound of an account.
type Limit struct {
	Account domain.Account
	// RatePerSecond and Burst are in requests.
	RatePerSecond, Burst float64
}

// Report returns tokens of a grant and tells what was spent. Both are totals
// since the grant, so that a repeated report changes nothing.
type Report struct {
	Grant           uint64
	Spent, Returned Amount
}

// Request asks a lender for tokens and reports on earlier grants.
type Request struct {
	Account  domain.Account
	To, From Role
	// Epoch is the lender's epoch as the sender knows it.
	Epoch domain.Epoch
	Seq   uint64
	Want  Amount
	// Urgent asks a holder for all unused base tokens instead of those that
	// exceed half of its base share.
	Urgent  bool
	Reports []Report
}

// Item is one grant. Its term counts from the send time of the request.
type Item struct {
	Grant  uint64
	Amount Amount
	Term   time.Duration
}

// Grant answers a request.
type Grant struct {
	Account domain.Account
	To      Role
	Epoch   domain.Epoch
	Seq     uint64
	Items   []Item
	// Exhausted says that the root itself had no token to give.
	Exhausted bool
	// RetryAfter estimates when the root has a token again.
	RetryAfter time.Duration
}

// Donate answers a request of the root to a holder for unused base tokens.
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

// Messages returns a zero value of each message type.
func Messages() []domain.Message { return []domain.Message{&Request{}, &Grant{}, &Donate{}} }

// reportIntervalFor returns the time between two reports of spent tokens. A source
// does not refill for tokens that it must count as outstanding, so reports
// have to arrive well within the time in which the burst refills.
func reportIntervalFor(l Limit) time.Duration {
	const part, shortest, longest = 10, 20 * time.Millisecond, 250 * time.Millisecond
	if l.RatePerSecond <= 0 {
		return longest
	}
	refill := time.Duration(min(l.Burst/l.RatePerSecond, 60) * float64(time.Second))
	return min(max(refill/part, shortest), longest)
}

// prefetchTime returns the time of recent demand that an entry keeps in stock.
// All entries together hold at most a third of the burst, so that a burst at
// one VM finds the rest at once.
func prefetchTime(l Limit) time.Duration {
	const part = 3
	if l.RatePerSecond <= 0 {
		return 0
	}
	return min(time.Duration(min(l.Burst/l.RatePerSecond, 60)/part*float64(time.Second)), maxPrefetch)
}

// baseShare returns the part of rate and burst of one holder.
func baseShare(l Limit, holders int) (rate, burst float64) {
	if holders == 0 || l.Burst*baseFraction/float64(holders) < 1 {
		return 0, 0
	}
	part := baseFraction / float64(holders)
	return l.RatePerSecond * part, l.Burst * part
}
