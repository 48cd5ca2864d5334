package allowance

import (
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
)

const (
	// maxHeld and maxHeldBytes bound the requests of a gateway that wait for the refill, and
	// their bodies. An account has as many reservations as its rate gives in MaxRefillWait.
	maxHeld      = 256
	maxHeldBytes = 4 << 20
)

// HeldRequest is a request that waits for the refill of its account.
type HeldRequest struct {
	Account domain.Account
	// Priority orders the requests of an account; 0 is first. Among requests of one priority
	// the one whose deadline is nearest is first.
	Priority int
	Deadline time.Time
	// GiveUp is the time until which the request may wait.
	GiveUp time.Time
	// Bytes is the size of the request.
	Bytes int
}

func (r *HeldRequest) before(other *HeldRequest) bool {
	if r.Priority != other.Priority {
		return r.Priority < other.Priority
	}
	return r.Deadline.Before(other.Deadline)
}

// Held holds the requests of one gateway that wait for the refill of their accounts. Each of
// them brings a time at which the bucket covers one request more; the first request of the
// account in order is sent at the first of these times. It is not safe for concurrent use.
type Held[T comparable] struct {
	accounts map[domain.Account]*heldAccount[T]
	length   int
	bytes    int
}

type heldAccount[T comparable] struct {
	// covered holds a time for each request, in ascending order.
	covered []time.Time
	items   []heldItem[T]
}

type heldItem[T comparable] struct {
	request HeldRequest
	value   T
}

// NewHeld returns an empty set of requests.
func NewHeld[T comparable]() *Held[T] {
	return &Held[T]{accounts: map[domain.Account]*heldAccount[T]{}}
}

// Add adds a request and the time at which the bucket covers one more. It returns the requests
// that do not wait: the request itself, or others that it would keep beyond their GiveUp. Their
// reservations have to be returned.
func (h *Held[T]) Add(r HeldRequest, covered time.Time, value T) (rejected []T) {
	if h.length >= maxHeld || h.bytes+r.Bytes > maxHeldBytes {
		return []T{value}
	}
	a := h.accounts[r.Account]
	if a == nil {
		a = &heldAccount[T]{}
		h.accounts[r.Account] = a
	}
	i, _ := slices.BinarySearchFunc(a.items, r, func(other heldItem[T], r HeldRequest) int {
		if r.before(&other.request) {
			return 1
		}
		return -1
	})
	a.items = slices.Insert(a.items, i, heldItem[T]{r, value})
	i, _ = slices.BinarySearchFunc(a.covered, covered, time.Time.Compare)
	a.covered = slices.Insert(a.covered, i, covered)
	h.length, h.bytes = h.length+1, h.bytes+r.Bytes
	for i := 0; i < len(a.items); {
		if a.covered[i].After(a.items[i].request.GiveUp) {
			rejected = append(rejected, a.items[i].value)
			h.remove(r.Account, i)
			continue
		}
		i++
	}
	return rejected
}

// remove removes a request of an account with the last time, so that those behind it move up.
func (h *Held[T]) remove(account domain.Account, i int) {
	a := h.accounts[account]
	h.length, h.bytes = h.length-1, h.bytes-a.items[i].request.Bytes
	a.items = slices.Delete(a.items, i, i+1)
	a.covered = a.covered[:len(a.covered)-1]
	if len(a.items) == 0 {
		delete(h.accounts, account)
	}
}

// Remove removes a request whose caller has left. It reports whether the request was waiting.
func (h *Held[T]) Remove(account domain.Account, value T) bool {
	a := h.accounts[account]
	if a == nil {
		return false
	}
	i := slices.IndexFunc(a.items, func(item heldItem[T]) bool { return item.value == value })
	if i >= 0 {
		h.remove(account, i)
	}
	return i >= 0
}

// Take removes and returns the requests that the buckets cover now.
func (h *Held[T]) Take(now time.Time) (covered []T) {
	for account, a := range h.accounts {
		for len(a.items) > 0 && !a.covered[0].After(now) {
			covered = append(covered, a.items[0].value)
			h.length, h.bytes = h.length-1, h.bytes-a.items[0].request.Bytes
			a.items, a.covered = a.items[1:], a.covered[1:]
		}
		if len(a.items) == 0 {
			delete(h.accounts, account)
		}
	}
	return covered
}

// Next returns the time at which a bucket covers the next request, or the zero time.
func (h *Held[T]) Next() (next time.Time) {
	for _, a := range h.accounts {
		if next.IsZero() || a.covered[0].Before(next) {
			next = a.covered[0]
		}
	}
	return next
}
