package schedule

import (
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
)

// OrderKind says what an engine should do with a program's cache.
type OrderKind int

// The kinds of order.
const (
	OrderKeep OrderKind = iota
	OrderExport
	OrderImport
	// OrderGiveUp lets the engine evict the prefix of a paused program.
	OrderGiveUp
	// OrderRelease frees the prefix of a program that has ended.
	OrderRelease
)

// Order tells an engine what to do with a program's cache. The engine adapter
// carries it out.
type Order struct {
	Kind    OrderKind
	Target  domain.Target
	Program domain.ProgramID
}

// Estimation of tool pauses.
const (
	defaultPause = 10.0 // seconds
	// priorPauses is the weight of the account's average in a program's own.
	priorPauses = 2.0
	// keepPart is the part of an engine's cache that paused programs may hold;
	// the rest is for running calls.
	keepPart = 0.6
)

// program is what the scheduler knows about a program.
type program struct {
	id       domain.ProgramID
	attained float64
	pauses   int
	pause    float64 // mean seconds of its own pauses
	account  *account

	// A paused program is in its target's two queues.
	pausedAt, returnAt   time.Time
	target               *target
	tokens               domain.Tokens
	exported             bool
	lateIndex, soonIndex int
}

// expectedPause blends the program's own pauses with those of its account.
func (p *program) expectedPause() time.Duration {
	prior := p.account.pause
	if prior == 0 {
		prior = defaultPause
	}
	n := float64(p.pauses)
	return time.Duration((n*p.pause + priorPauses*prior) / (n + priorPauses) * float64(time.Second))
}

// pausedSet holds the paused programs of one target whose cache is kept.
type pausedSet struct {
	late   indexed[*program] // the latest expected return first
	soon   indexed[*program] // the earliest expected return first
	tokens domain.Tokens
}

func newPausedSet() pausedSet {
	return pausedSet{
		late: indexed[*program]{
			less:     func(a, b *program) bool { return a.returnAt.After(b.returnAt) },
			position: func(p *program) *int { return &p.lateIndex },
		},
		soon: indexed[*program]{
			less:     func(a, b *program) bool { return a.returnAt.Before(b.returnAt) },
			position: func(p *program) *int { return &p.soonIndex },
		},
	}
}

func (s *pausedSet) set(p *program) {
	s.late.set(p)
	s.soon.set(p)
}

func (s *pausedSet) remove(p *program) {
	s.late.remove(p)
	s.soon.remove(p)
	s.tokens -= p.tokens
}

// pause records that a program waits for a tool, and decides which caches stay.
// The value of a kept token is its prefill time over the time it occupies
// memory, so the programs that return last leave first.
func (s *Scheduler) pause(now time.Time, p *program, t *target, tokens domain.Tokens) {
	p.pausedAt = now
	if t.info.CacheTokens <= 0 || p.target != nil || s.config.Policy != PolicyProject {
		return
	}
	p.target, p.tokens, p.returnAt = t, tokens, now.Add(p.expectedPause())
	t.paused.set(p)
	t.paused.tokens += tokens
	s.order(OrderKeep, t, p)
	s.trimPaused(now, t)
}

func (s *Scheduler) trimPaused(now time.Time, t *target) {
	limit := domain.Tokens(keepPart * float64(t.info.CacheTokens))
	for t.paused.tokens > limit {
		t.reviseOverdue(now)
		p, _ := t.paused.late.top()
		t.paused.remove(p)
		p.target = nil
		if t.exportPays(p.tokens) {
			p.exported = true
			s.order(OrderExport, t, p)
		} else {
			s.order(OrderGiveUp, t, p)
		}
		if c := s.cache.find(p.id, t); c != nil {
			s.cache.drop(c)
		}
	}
}

// reviseOverdue expects programs that did not return in time to pause as long
// again, because the rest of a long pause grows with the time already spent.
func (t *target) reviseOverdue(now time.Time) {
	for {
		p, ok := t.paused.soon.top()
		if !ok || !p.returnAt.Before(now) {
			return
		}
		p.returnAt = now.Add(max(now.Sub(p.pausedAt), time.Second))
		t.paused.set(p)
	}
}

// exportPays says whether export and import take less time than prefill.
func (t *target) exportPays(tokens domain.Tokens) bool {
	if t.info.ExportBytesPerSecond <= 0 {
		return false
	}
	return 2*float64(tokens)*t.info.BytesPerToken/t.info.ExportBytesPerSecond < t.prefillTime(tokens)
}

// resume ends a pause and learns from its length.
func (s *Scheduler) resume(now time.Time, p *program) {
	if p.pausedAt.IsZero() {
		return
	}
	took := now.Sub(p.pausedAt).Seconds()
	p.pausedAt = time.Time{}
	p.pauses++
	p.pause += (took - p.pause) / float64(min(p.pauses, 10))
	if p.account.pause == 0 {
		p.account.pause = took
	}
	p.account.pause += smoothing * (took - p.account.pause)
	if p.target != nil {
		p.target.paused.remove(p)
		p.target = nil
	}
}

// End forgets a program and orders the release of its cache.
func (s *Scheduler) End(id domain.ProgramID) {
	p := s.programs[id]
	if p == nil {
		return
	}
	if p.target != nil {
		p.target.paused.remove(p)
	}
	for len(s.cache.programs[id]) > 0 {
		c := s.cache.programs[id][0]
		s.order(OrderRelease, c.target, p)
		s.cache.drop(c)
	}
	delete(s.programs, id)
}

// Orders returns the engine orders since the last call.
func (s *Scheduler) Orders() []Order {
	out := s.orders
	s.orders = nil
	return out
}

func (s *Scheduler) order(kind OrderKind, t *target, p *program) {
	s.orders = append(s.orders, Order{kind, t.info.Name, p.id})
}
