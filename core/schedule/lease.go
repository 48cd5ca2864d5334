package schedule

import (
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
)

// Timing of permit requests.
const (
	permitRetry = 300 * time.Millisecond
	// permitSpacing bounds the rate of urgent requests while a pool has no free
	// place. It is above a round trip inside a data centre.
	permitSpacing = 20 * time.Millisecond
	// permitIdle returns the permits of a target that was not used.
	permitIdle = 5 * time.Second
	// askWidth is the number of targets asked when a pool has no free place.
	askWidth = 2
)

// lease is what the scheduler holds of a target's window.
type lease struct {
	permits   int
	exclusive bool
	window    int
	until     time.Time
	seq       uint64
	taken     uint64
	sentAt    time.Time
	waiting   bool // a request is unanswered
	urgent    bool // send at the next Dispatch or Tick
	usedAt    time.Time
	sample    Sample
}

// askPermits marks a target whose permits should be renewed at once.
func (s *Scheduler) askPermits(now time.Time, t *target) {
	if t.info.Manager != "" {
		t.lease.urgent = true
		t.lease.usedAt = now
		s.leased.set(t)
	}
}

// askPool asks targets of a pool that has queued calls and no place: the next
// ones of the own data centre, and one of all. Each list has a cursor of its
// own, because a shared one would skip the same targets in every round.
func (s *Scheduler) askPool(now time.Time, p *pool) {
	for range min(askWidth, len(p.near)) {
		s.askNext(now, p.near, &p.nearCursor)
	}
	s.askNext(now, p.slots, &p.cursor)
}

func (s *Scheduler) askNext(now time.Time, slots []*slot, cursor *int) {
	if len(slots) == 0 {
		return
	}
	*cursor++
	if t := slots[*cursor%len(slots)].target; !t.info.Leaving && t.reserved == nil {
		s.askPermits(now, t)
	}
}

// nextRequest returns the time of the next request for permits.
func (l *lease) nextRequest() time.Time {
	switch {
	case l.waiting:
		return l.sentAt.Add(permitRetry)
	case l.urgent:
		return l.sentAt.Add(permitSpacing)
	default:
		return l.sentAt.Add(permitRenew)
	}
}

// rescheduled restores a target's position after the time of its next request
// has changed.
func (s *Scheduler) rescheduled(t *target) {
	if t.leaseIndex >= 0 {
		s.leased.set(t)
	}
}

// sendPermitRequests renews what is due.
func (s *Scheduler) sendPermitRequests(now time.Time) {
	for {
		t, ok := s.leased.top()
		if !ok || now.Before(t.lease.nextRequest()) {
			return
		}
		idle := t.running+len(t.parked) == 0 && t.reserved == nil && now.Sub(t.lease.usedAt) >= permitIdle
		if idle {
			s.leased.remove(t)
		}
		s.sends = append(s.sends, domain.Send{To: t.info.Manager, Body: s.permitRequest(now, t, idle)})
		s.rescheduled(t)
	}
}

func (s *Scheduler) permitRequest(now time.Time, t *target, idle bool) *PermitRequest {
	l := &t.lease
	if l.seq == 0 {
		l.seq = s.config.Rand.Uint64() >> 1
	}
	l.seq++
	l.sentAt, l.waiting, l.urgent = now, true, false
	r := &PermitRequest{Target: t.info.Name, Seq: l.seq, Taken: l.taken, InUse: t.running, Sample: l.sample}
	l.sample = Sample{}
	if idle || t.info.Leaving {
		// The permits end here at once, so the manager may count them as returned.
		l.permits, l.until = 0, time.Time{}
		t.update(now)
		r.Want = t.running
		return r
	}
	r.Want = t.running + len(t.parked) + t.headroom()
	r.Exclusive = t.reserved != nil && t.reserved.state == stateParked || l.exclusive && t.reserved != nil
	return r
}

// headroom returns the permits wanted beyond those in use: more while calls of
// the target's pools are queued.
func (t *target) headroom() int {
	for _, sl := range t.slots {
		if sl.pool.queued > 0 {
			return 1 + max((t.running+len(t.parked))/4, min(sl.pool.queued/len(sl.pool.slots), t.info.MaxBatch))
		}
	}
	return 1
}

// Step handles a message from a window manager.
func (s *Scheduler) Step(now time.Time, from domain.VM, m domain.Message) {
	g, ok := m.(*PermitGrant)
	if !ok {
		return
	}
	t := s.targets[g.Target]
	if t == nil || t.info.Manager != from || !t.lease.waiting || g.Seq != t.lease.seq {
		return
	}
	l := &t.lease
	l.waiting, l.taken = false, g.Seq
	s.rescheduled(t)
	l.permits, l.exclusive, l.window = g.Permits, g.Exclusive, g.Window
	l.until = l.sentAt.Add(time.Duration(float64(g.Term) * permitMargin))
	t.external = max(g.Total-t.running, 0)
	s.freed(now, t)
}
