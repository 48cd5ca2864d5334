package schedule

import (
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
)

// Timing and number of permit requests.
const (
	permitRetryInterval = 300 * time.Millisecond
	// minPermitInterval is the minimum time between urgent requests for a
	// target while a pool has no free capacity. It exceeds a round trip inside
	// a data centre.
	minPermitInterval = 20 * time.Millisecond
	// permitIdleTimeout is the time without use after which the permits of a
	// target are returned.
	permitIdleTimeout = 5 * time.Second
	// localRequestsPerPool is the number of targets in the own data centre
	// whose permits are requested when a pool has no free capacity.
	localRequestsPerPool = 2
)

// lease is the part of a target's window that this scheduler holds.
type lease struct {
	permits       int
	exclusive     bool
	window        int
	expiresAt     time.Time
	seq           uint64
	appliedSeq    uint64
	sentAt        time.Time
	awaitingGrant bool // a request has not been answered
	urgent        bool // the next request is due after minPermitInterval
	usedAt        time.Time
	sample        Sample
}

// requestPermits marks the permits of a target for an urgent request. It does
// nothing for a target without a window manager.
func (s *Scheduler) requestPermits(now time.Time, t *target) {
	if t.info.Manager != "" {
		t.lease.urgent = true
		t.lease.usedAt = now
		s.renewals.set(t)
	}
}

// requestPoolPermits requests permits for a pool that has queued calls and no
// free capacity: from the next targets in the own data centre, and from the
// next one of all targets. Each list has its own cursor, because a shared one
// would skip the same targets in every round.
func (s *Scheduler) requestPoolPermits(now time.Time, p *pool) {
	for range min(localRequestsPerPool, len(p.local)) {
		s.requestNextPermits(now, p.local, &p.localCursor)
	}
	s.requestNextPermits(now, p.slots, &p.cursor)
}

func (s *Scheduler) requestNextPermits(now time.Time, slots []*slot, cursor *int) {
	if len(slots) == 0 {
		return
	}
	*cursor++
	if t := slots[*cursor%len(slots)].target; !t.info.Leaving && t.reservedFor == nil {
		s.requestPermits(now, t)
	}
}

// nextRequest returns the time of the next permit request.
func (l *lease) nextRequest() time.Time {
	switch {
	case l.awaitingGrant:
		return l.sentAt.Add(permitRetryInterval)
	case l.urgent:
		return l.sentAt.Add(minPermitInterval)
	default:
		return l.sentAt.Add(permitRenewInterval)
	}
}

// updateRenewal restores a target's position in the renewal heap after the time
// of its next request has changed.
func (s *Scheduler) updateRenewal(t *target) {
	if t.renewalIndex >= 0 {
		s.renewals.set(t)
	}
}

// sendPermitRequests sends the permit requests that are due.
func (s *Scheduler) sendPermitRequests(now time.Time) {
	for {
		t, ok := s.renewals.top()
		if !ok || now.Before(t.lease.nextRequest()) {
			return
		}
		idle := t.running+len(t.parked) == 0 && t.reservedFor == nil && now.Sub(t.lease.usedAt) >= permitIdleTimeout
		if idle {
			s.renewals.remove(t)
		}
		s.sends = append(s.sends, domain.Send{To: t.info.Manager, Body: s.newPermitRequest(now, t, idle)})
		s.updateRenewal(t)
	}
}

func (s *Scheduler) newPermitRequest(now time.Time, t *target, idle bool) *PermitRequest {
	l := &t.lease
	if l.seq == 0 {
		l.seq = s.config.Rand.Uint64() >> 1
	}
	l.seq++
	l.sentAt, l.awaitingGrant, l.urgent = now, true, false
	r := &PermitRequest{Target: t.info.Name, Seq: l.seq, AppliedSeq: l.appliedSeq, InUse: t.running, Sample: l.sample}
	l.sample = Sample{}
	if idle || t.info.Leaving {
		// The permits end here immediately, so the manager may count them as
		// returned.
		l.permits, l.expiresAt = 0, time.Time{}
		t.update(now)
		r.Want = t.running
		return r
	}
	r.Want = t.running + len(t.parked) + t.headroom()
	r.Exclusive = t.reservedFor != nil && t.reservedFor.state == stateParked || l.exclusive && t.reservedFor != nil
	return r
}

// headroom returns the number of permits wanted in addition to those in use. It
// is higher while calls of the target's pools are queued.
func (t *target) headroom() int {
	for _, sl := range t.slots {
		if sl.pool.queued > 0 {
			return 1 + max((t.running+len(t.parked))/4, min(sl.pool.queued/len(sl.pool.slots), t.info.MaxBatch))
		}
	}
	return 1
}

// Step processes a message from a window manager. Grants that do not answer the
// latest request are ignored.
func (s *Scheduler) Step(now time.Time, from domain.VM, m domain.Message) {
	g, ok := m.(*PermitGrant)
	if !ok {
		return
	}
	t := s.targets[g.Target]
	if t == nil || t.info.Manager != from || !t.lease.awaitingGrant || g.Seq != t.lease.seq {
		return
	}
	l := &t.lease
	l.awaitingGrant, l.appliedSeq = false, g.Seq
	s.updateRenewal(t)
	l.permits, l.exclusive, l.window = g.Permits, g.Exclusive, g.Window
	l.expiresAt = l.sentAt.Add(time.Duration(float64(g.Term) * permitMargin))
	t.otherInFlight = max(g.TotalInUse-t.running, 0)
	s.offerCapacity(now, t)
}
