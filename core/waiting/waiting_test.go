package waiting

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var start = time.Unix(1000, 0)

func newQueue() *Queue[int] { return NewQueue[int](rand.New(rand.NewPCG(1, 1))) }

// queueWithTenPerSecond returns a queue and the time after which ten places of the service
// s were freed a second for a long time.
func queueWithTenPerSecond() (*Queue[int], time.Time) {
	q, now := newQueue(), start
	for range 200 {
		now = now.Add(100 * time.Millisecond)
		q.Freed(now, "s")
	}
	return q, now
}

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// order serves all requests and returns them in their order.
func order(q *Queue[int]) []int {
	var out []int
	q.Serve(func(value int) bool { out = append(out, value); return true })
	return out
}

// Guards against urgent requests, or those of programs that are nearly late, that wait
// behind others that came earlier.
func TestOrder(t *testing.T) {
	q := newQueue()
	for i, r := range []Request{
		{Priority: 1, Deadline: at(900)}, {Priority: 0, Deadline: at(2000)}, {Priority: 1, Deadline: at(300)},
		{Priority: 0, Deadline: at(500)}, {Priority: 1, Deadline: at(900)},
	} {
		r.GiveUp = at(100)
		must.True(t, q.Add(start, r, i))
	}
	must.Eq(t, []int{3, 1, 2, 0, 4}, order(q))
}

// Guards against requests that wait although they will not be served in time: with ten
// places freed a second and a wait of at most 300 ms, only the first three can be served.
func TestLateRequestsAreRejectedAtOnce(t *testing.T) {
	q, now := queueWithTenPerSecond()
	accepted := 0
	for i := range 50 {
		if q.Add(now, Request{Service: "s", Deadline: now.Add(time.Minute), GiveUp: now.Add(350 * time.Millisecond)}, i) {
			accepted++
		}
	}
	must.Between(t, 2, accepted, 4)
	// A more urgent request goes before them.
	must.True(t, q.Add(now, Request{Service: "s", Priority: -1, GiveUp: now.Add(350 * time.Millisecond)}, 100))
	// Another service is not affected, and one without a known rate accepts.
	must.True(t, q.Add(now, Request{Service: "other", Priority: 5, GiveUp: now.Add(time.Millisecond)}, 101))
}

// Guards against rejected requests that come back together, or before a place can be
// free: a burst of 30 requests, of which ten places a second serve three at a time.
func TestReturnsAreSpread(t *testing.T) {
	q, now := queueWithTenPerSecond()
	var earliest, latest time.Duration
	for i := range 30 {
		if q.Add(now, Request{Service: "s", GiveUp: now.Add(350 * time.Millisecond)}, i) {
			continue
		}
		after := q.RetryAfter(now, "s")
		must.GreaterEq(t, 300*time.Millisecond, after)
		if earliest == 0 || after < earliest {
			earliest = after
		}
		latest = max(latest, after)
	}
	must.GreaterEq(t, 100*time.Millisecond, latest-earliest)
	must.LessEq(t, maxRetryAfter*3/2, latest)
	must.GreaterEq(t, unknownRetryAfter, q.RetryAfter(now, "idle"))
}

// Guards against a rate of a second ago that rejects requests after the load has ended.
func TestRateIsForgotten(t *testing.T) {
	q := newQueue()
	q.Freed(start, "s")
	now := start.Add(2 * time.Second)
	must.True(t, q.Add(now, Request{Service: "s", GiveUp: now}, 1))
	q.Remove(1)
	must.SliceEmpty(t, order(q))
}

// Guards against a retry-after time that is computed from a half-updated queue, when a
// request is refused while the queue is served.
func TestRetryAfterWhileServing(t *testing.T) {
	q, now := queueWithTenPerSecond()
	for i, service := range []string{"s", "other", "s"} {
		must.True(t, q.Add(now, Request{Service: service, Deadline: now.Add(time.Duration(i) * time.Second), GiveUp: now.Add(time.Minute)}, i))
	}
	q.Serve(func(value int) bool {
		if value == 2 {
			must.GreaterEq(t, 290*time.Millisecond, q.RetryAfter(now, "s"))
		}
		return value != 1
	})
	must.Eq(t, []int{1}, order(q))
}
