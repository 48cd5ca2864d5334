// Package waiting orders the requests of one gateway that wait for a target, and estimates
// how long a request has to wait.
package waiting

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/core/rate"
)

const (
	// maxLength bounds the requests that wait.
	maxLength = 512
	// ratePeriod is the time over which the rate of freed places is averaged.
	ratePeriod = time.Second
	// minRetryAfter and maxRetryAfter bound the time after which a rejected request may
	// come back. Callers wait for at most a third of the time that they have left.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = time.Second
	// unknownRetryAfter is that time while no place was freed recently. It is about the
	// duration of one short request.
	unknownRetryAfter = 250 * time.Millisecond
	// retrySpread is the part of a retry-after time by which it varies, so that requests
	// that were rejected together do not come back together.
	retrySpread = 0.5
)

// Request is a request that waits for a target of a service.
type Request struct {
	Service string
	// Priority orders the requests; 0 is served first.
	Priority int
	// Deadline is the time at which the request, or the program that it belongs to, has to
	// end. It may have passed.
	Deadline time.Time
	// Work is the time for which the request is expected to hold its place, or 0 if that is not
	// known.
	Work time.Duration
	// GiveUp is the time until which the request may wait.
	GiveUp time.Time
}

// Queue holds the waiting requests in the order in which they are served. The load pattern
// that it answers: more requests than places, of several priorities, with long and short work,
// some of which belong to programs that are late. It is not safe for concurrent use.
type Queue[T comparable] struct {
	rand  *rand.Rand
	items []item[T]
	// freed holds, for each service, the rate at which its places become free.
	freed map[string]*rate.Average
	// late and turned count, for each priority, the late requests and those turned away.
	late, turned map[int]int
}

type item[T comparable] struct {
	request Request
	standing
	value T
}

// NewQueue returns an empty queue.
func NewQueue[T comparable](r *rand.Rand) *Queue[T] {
	return &Queue[T]{rand: r, freed: map[string]*rate.Average{}, late: map[int]int{}, turned: map[int]int{}}
}

// Add adds a request. If not all can be served, it turns away the request that costs callers
// least, and reports it: the new one, or one that waits. A request that is turned away can go to another gateway
// at once instead of after its wait.
func (q *Queue[T]) Add(now time.Time, r Request, value T) (turned Turned[T], ok bool) {
	added := item[T]{r, q.standing(now, r), value}
	at := q.position(&added)
	q.items = slices.Insert(q.items, at, added)
	victim, reason := q.victim(now, at)
	if reason == "" {
		return turned, false
	}
	turned = q.describe(now, victim, reason)
	q.items = slices.Delete(q.items, victim, victim+1)
	q.turned[turned.Request.Priority]++
	return turned, true
}

// position returns the position of a new request.
func (q *Queue[T]) position(added *item[T]) int {
	i, _ := slices.BinarySearchFunc(q.items, added, func(other item[T], added *item[T]) int {
		if added.before(&other) {
			return 1
		}
		return -1
	})
	return i
}

// ahead returns the number of requests for the service before position i.
func (q *Queue[T]) ahead(service string, i int) int {
	n := 0
	for _, other := range q.items[:i] {
		if other.request.Service == service {
			n++
		}
	}
	return n
}

// wait returns the expected wait of a request with the given number of requests ahead, and
// whether places were freed recently.
func (q *Queue[T]) wait(now time.Time, service string, ahead int) (time.Duration, bool) {
	f := q.freed[service]
	if f == nil {
		return 0, false
	}
	perSecond := f.PerSecond(now)
	if perSecond*ratePeriod.Seconds() < 1 {
		return 0, false
	}
	return time.Duration(float64(ahead+1) / perSecond * float64(time.Second)), true
}

// RetryAfter returns the time after which a rejected request can expect a place: when all
// that wait now have been served.
func (q *Queue[T]) RetryAfter(now time.Time, service string) time.Duration {
	wait, known := q.wait(now, service, q.ahead(service, len(q.items)))
	if !known {
		wait = unknownRetryAfter
	}
	wait = max(minRetryAfter, min(maxRetryAfter, wait))
	return wait + time.Duration(retrySpread*q.rand.Float64()*float64(wait))
}

// Remove removes a request that gives up.
func (q *Queue[T]) Remove(value T) {
	q.items = slices.DeleteFunc(q.items, func(i item[T]) bool { return i.value == value })
}

// Freed records that a place of the service has become free.
func (q *Queue[T]) Freed(now time.Time, service string) {
	f := q.freed[service]
	if f == nil {
		f = &rate.Average{Period: ratePeriod}
		q.freed[service] = f
	}
	f.Add(now)
}

// Serve offers a place to each waiting request in order. Requests for which place returns
// true leave the queue after the last offer, so that place may call RetryAfter.
func (q *Queue[T]) Serve(place func(value T) bool) { q.serve(len(q.items), place) }

// ServeBefore offers a place to the waiting requests that go before a new one.
func (q *Queue[T]) ServeBefore(now time.Time, r Request, place func(value T) bool) {
	q.serve(q.position(&item[T]{request: r, standing: newStanding(now, r)}), place)
}

func (q *Queue[T]) serve(n int, place func(value T) bool) {
	var kept []item[T]
	for i, waits := range q.items {
		if i >= n || !place(waits.value) {
			kept = append(kept, waits)
		}
	}
	q.items = kept
}

// Len returns the number of requests that wait.
func (q *Queue[T]) Len() int { return len(q.items) }
