package waiting

import (
	"cmp"
	"math/bits"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
)

const (
	// prefillTokensPerMillisecond and stepTime convert the work of a generation to the time for
	// which it holds a place. Engines read 60 to 120 prompt tokens a millisecond and generate
	// one event of each running request in 2 to 3 ms. Only the ratio of two requests matters.
	prefillTokensPerMillisecond = 100
	stepTime                    = 3 * time.Millisecond
	// exemptEvery is the number of late requests of a priority of which one is treated as if it
	// was on time, and the number of requests that are turned away of which one is chosen
	// without regard to work and lateness. Without it, programs that are late or need much work
	// would not be served at all while the load lasts.
	exemptEvery = 8
)

// Work returns the time for which a generation holds its place, by the prompt tokens that the
// target has to read and the maximum number of tokens that it generates.
func Work(uncached int, output, tokensPerEvent domain.Tokens) time.Duration {
	prefill := time.Duration(uncached) * time.Millisecond / prefillTokensPerMillisecond
	return prefill + time.Duration(output/max(1, tokensPerEvent))*stepTime
}

// standing is the rank of a request within its priority, as of the time at which it was added.
type standing struct {
	// late reports whether the request cannot meet its deadline even if it is served at once.
	late bool
	// due is the deadline of the request. A late one that is treated as if it was on time is due
	// at once.
	due time.Time
}

func newStanding(now time.Time, r Request) standing {
	return standing{late: now.Add(r.Work).After(r.Deadline), due: r.Deadline}
}

// standing returns the rank of a new request. One of several late ones goes first.
func (q *Queue[T]) standing(now time.Time, r Request) standing {
	s := newStanding(now, r)
	if !s.late {
		return s
	}
	if q.late[r.Priority]++; q.late[r.Priority]%exemptEvery == 0 {
		s = standing{due: now}
	}
	return s
}

// before reports whether a request is served before another one: the more urgent one; then one
// that can meet its deadline before one that cannot. Among those that can, time left and work
// count alike, because the others wait for as long as the request holds its place. Among those
// that cannot, the one with the least work delays the others least.
func (i *item[T]) before(other *item[T]) bool {
	switch {
	case i.request.Priority != other.request.Priority:
		return i.request.Priority < other.request.Priority
	case i.late != other.late:
		return other.late
	case !i.late:
		return i.due.Add(i.request.Work).Before(other.due.Add(other.request.Work))
	case workClass(i.request.Work) != workClass(other.request.Work):
		return i.request.Work < other.request.Work
	default:
		return i.request.GiveUp.Before(other.request.GiveUp)
	}
}

// workClass returns a value that rises by one when the work doubles. The work is an estimate,
// so similar values do not decide.
func workClass(work time.Duration) int { return bits.Len64(uint64(work.Milliseconds())) }

// Reason is why a request was turned away.
type Reason string

// Reasons of a request that is turned away.
const (
	// WaitTooLong means that the request would give up before its turn.
	WaitTooLong Reason = "wait_too_long"
	// Outranked means that another request would give up before its turn otherwise, and that
	// this one of the same priority costs callers less.
	Outranked Reason = "outranked"
	// QueueFull means that the queue is full and that no other request costs callers less.
	QueueFull Reason = "queue_full"
	// GaveUp means that no place was free until the request gave up.
	GaveUp Reason = "gave_up"
)

// Turned is a request that was turned away, with the inputs of the decision.
type Turned[T comparable] struct {
	Value   T
	Request Request
	Reason  Reason
	// Late reports whether the request counted as unable to meet its deadline.
	Late bool
	// Ahead is the number of requests for the service before it, and Wait its expected wait, or
	// 0 if that is not known.
	Ahead int
	Wait  time.Duration
}

func (q *Queue[T]) describe(now time.Time, i int, reason Reason) Turned[T] {
	x := &q.items[i]
	t := Turned[T]{Value: x.value, Request: x.request, Reason: reason, Late: x.late, Ahead: q.ahead(x.request.Service, i)}
	t.Wait, _ = q.wait(now, x.request.Service, t.Ahead)
	return t
}

// victim returns the request that has to be turned away after the one at position at was added,
// and why. The reason is empty if there is none.
func (q *Queue[T]) victim(now time.Time, at int) (int, Reason) {
	if last, ok := q.displaced(now, at); ok {
		service, priority := q.items[last].request.Service, q.items[last].request.Priority
		victim := q.leastCost(last+1, func(x *item[T]) bool { return x.request.Service == service && x.request.Priority == priority })
		if last == at && (victim == at || !q.inTime(now, at, q.ahead(service, at)-1)) {
			return at, WaitTooLong
		}
		return victim, Outranked
	}
	if len(q.items) > maxLength {
		lowest := q.items[len(q.items)-1].request.Priority
		return q.leastCost(len(q.items), func(x *item[T]) bool { return x.request.Priority == lowest }), QueueFull
	}
	return 0, ""
}

// displaced returns the first request that would give up before its turn because of the one that
// was added at position at.
func (q *Queue[T]) displaced(now time.Time, at int) (int, bool) {
	service := q.items[at].request.Service
	ahead := q.ahead(service, at)
	for i := at; i < len(q.items); i++ {
		if q.items[i].request.Service != service {
			continue
		}
		if !q.inTime(now, i, ahead) && (i == at || q.inTime(now, i, ahead-1)) {
			return i, true
		}
		ahead++
	}
	return 0, false
}

// inTime reports whether the request at position i has its turn before it gives up, if the given
// number of requests for the service is ahead of it.
func (q *Queue[T]) inTime(now time.Time, i, ahead int) bool {
	r := &q.items[i].request
	wait, known := q.wait(now, r.Service, ahead)
	return !known || !now.Add(wait).After(r.GiveUp)
}

// leastCost returns the position of the request that costs callers least when it is turned away,
// among the first n for which eligible returns true, which are of one priority.
func (q *Queue[T]) leastCost(n int, eligible func(*item[T]) bool) int {
	least := -1
	for i := range q.items[:n] {
		x := &q.items[i]
		if eligible(x) && (least < 0 || q.costsLess(x, &q.items[least])) {
			least = i
		}
	}
	return least
}

// costsLess reports whether turning x away costs callers no more than turning away other, which is
// before it. A late request costs less than one that can meet its deadline. Then the one with
// the most work costs least, because others use its place. Among equals it is the one with the
// most time left, which can still be served elsewhere.
func (q *Queue[T]) costsLess(x, other *item[T]) bool {
	byWork := cmp.Compare(workClass(x.request.Work), workClass(other.request.Work))
	switch exempt := q.turned[x.request.Priority]%exemptEvery == exemptEvery-1; {
	case exempt:
		return !x.due.Before(other.due)
	case x.late != other.late:
		return x.late
	case byWork != 0:
		return byWork > 0
	default:
		return !x.due.Before(other.due)
	}
}
