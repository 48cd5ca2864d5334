package schedule

import (
	"cmp"
	"container/list"
	"reflect"
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/domain"
)

// Scheduler queues the calls of one VM and dispatches them to targets. It is
// not safe for concurrent use.
type Scheduler struct {
	config      Config
	accounts    map[domain.Account]*account
	pools       map[PoolID]*pool
	targets     map[domain.Target]*target
	nextOrdinal int // ordinal of the next target that is added
	calls       map[domain.CallID]*call
	programs    map[domain.ProgramID]*program
	cache       directory
	timers      indexedHeap[*call]
	dirty       []*pool              // pools to process in the next Dispatch
	renewals    indexedHeap[*target] // targets whose permits are renewed, ordered by the time of the next request
	skipped     []*call
	// suspended lists the targets that receive no calls for some time after a
	// failure.
	suspended    []*target
	placed       []Placement
	placedBuffer []Placement // the result of the last Dispatch, reused by the next one
	expired      []Expiry
	commands     []CacheCommand
	sends        []domain.Send
}

// Expiry reports a call that was rejected because it waited too long.
type Expiry struct {
	Call    domain.CallID
	Refusal *domain.Refusal
}

// New returns a Scheduler without accounts and targets.
func New(c Config, _ time.Time) *Scheduler {
	c.MaxAge = cmp.Or(c.MaxAge, DefaultMaxAge)
	c.QueueTimeout = cmp.Or(c.QueueTimeout, DefaultQueueTimeout)
	c.CrossRegionPenalty = cmp.Or(c.CrossRegionPenalty, DefaultCrossRegionPenalty)
	return &Scheduler{
		config: c, accounts: map[domain.Account]*account{}, pools: map[PoolID]*pool{},
		targets: map[domain.Target]*target{}, calls: map[domain.CallID]*call{},
		programs: map[domain.ProgramID]*program{}, cache: newDirectory(),
		renewals: indexedHeap[*target]{
			less: func(a, b *target) bool {
				if x, y := a.lease.nextRequest(), b.lease.nextRequest(); !x.Equal(y) {
					return x.Before(y)
				}
				return a.ordinal < b.ordinal
			},
			position: func(t *target) *int { return &t.renewalIndex },
		},
		timers: indexedHeap[*call]{
			less:     func(a, b *call) bool { return a.timerAt.Before(b.timerAt) },
			position: func(c *call) *int { return &c.timerIndex },
		},
	}
}

// SetOrder sets the queue order inside accounts. It applies to calls that are
// enqueued later.
func (s *Scheduler) SetOrder(order config.QueueOrder) { s.config.Order = order }

// SetAccounts sets the weights of accounts. An account that was never listed
// has weight 1.
func (s *Scheduler) SetAccounts(infos []AccountInfo) {
	for _, info := range infos {
		s.account(info.Name).weight = float64(max(info.Weight, 1))
	}
}

func (s *Scheduler) account(name domain.Account) *account {
	a := s.accounts[name]
	if a == nil {
		a = &account{name: name, weight: 1, retries: retryBudget{tokens: retryBurst}}
		s.accounts[name] = a
	}
	return a
}

func (s *Scheduler) pool(id PoolID) *pool {
	p := s.pools[id]
	if p == nil {
		p = newPool(id)
		s.pools[id] = p
	}
	return p
}

// SetTargets replaces the list of targets. A target that is no longer listed
// drains, and the first SetTargets after its last call has ended removes it.
func (s *Scheduler) SetTargets(now time.Time, infos []TargetInfo) {
	listed := map[domain.Target]bool{}
	for _, info := range infos {
		listed[info.Name] = true
		s.setTarget(now, info)
	}
	for name, t := range s.targets {
		if !listed[name] {
			info := t.info
			info.Leaving = true
			s.setTarget(now, info)
			s.removeIfIdle(t)
		}
	}
}

// equalInfo reports whether two descriptions of a target are equal.
func equalInfo(a, b TargetInfo) bool {
	if !slices.Equal(a.Pools, b.Pools) {
		return false
	}
	a.Pools, b.Pools = nil, nil
	return reflect.DeepEqual(a, b)
}

func (s *Scheduler) setTarget(now time.Time, info TargetInfo) {
	t := s.targets[info.Name]
	if t != nil && equalInfo(t.info, info) {
		return
	}
	if t == nil {
		t = &target{ordinal: s.nextOrdinal, renewalIndex: -1, prefillRate: defaultPrefillRate, callTime: defaultCallTime, prefixes: prefixes{recent: list.New()}, paused: newPausedSet()}
		t.window = newWindow(info.MaxBatch, isService(info))
		s.nextOrdinal++
		s.targets[info.Name] = t
	}
	for _, sl := range t.slots {
		sl.pool.available[t.distance].remove(sl)
	}
	if t.info.Manager != info.Manager {
		t.lease = lease{}
		s.updateRenewal(t)
	}
	poolsChanged := !slices.Equal(t.info.Pools, info.Pools)
	t.info = info
	t.window.setMax(info.MaxBatch)
	t.distance = s.distance(info)
	if poolsChanged {
		s.attachPools(t)
	}
	if info.Leaving {
		s.unparkAll(now, t)
		s.startSuspect(now, t)
	} else if t.distance == domain.SameDataCentre {
		// Permits of targets in other data centres are requested only when
		// calls need them. Otherwise each change would cause a request for each
		// of 3,000 targets from each of 360 VMs.
		s.requestPermits(now, t)
	}
	s.offerCapacity(now, t)
}

// attachPools adds the target to the pools it serves and removes it from all
// others.
func (s *Scheduler) attachPools(t *target) {
	for _, sl := range t.slots {
		isSlot := func(o *slot) bool { return o == sl }
		sl.pool.slots = slices.DeleteFunc(sl.pool.slots, isSlot)
		sl.pool.local = slices.DeleteFunc(sl.pool.local, isSlot)
	}
	t.slots = nil
	for _, id := range t.info.Pools {
		sl := &slot{target: t, pool: s.pool(id), index: -1}
		t.slots = append(t.slots, sl)
		sl.pool.slots = append(sl.pool.slots, sl)
		if t.distance == domain.SameDataCentre {
			sl.pool.local = append(sl.pool.local, sl)
		}
	}
}

// removeIfIdle removes an unlisted target if it has no calls.
func (s *Scheduler) removeIfIdle(t *target) {
	if t.running > 0 || len(t.parked) > 0 || t.reservedFor != nil {
		return
	}
	for e := t.prefixes.recent.Front(); e != nil; e = t.prefixes.recent.Front() {
		s.cache.remove(e.Value.(*cacheEntry))
	}
	for p, ok := t.paused.earliestFirst.top(); ok; p, ok = t.paused.earliestFirst.top() {
		t.paused.remove(p)
		p.target = nil
	}
	t.info.Pools = nil
	s.attachPools(t)
	s.renewals.remove(t)
	delete(s.targets, t.info.Name)
}

func (s *Scheduler) distance(info TargetInfo) domain.Distance {
	own := domain.Location{DataCentre: s.config.DataCentre, Region: s.config.Region}
	return own.DistanceTo(domain.Location{DataCentre: info.DataCentre, Region: info.Region})
}

// Enqueue adds a call to the queue. A call whose ID is already known is
// ignored.
func (s *Scheduler) Enqueue(now time.Time, in Call) {
	if s.calls[in.ID] != nil {
		return
	}
	p := s.pool(in.Pool)
	estimated := in.Prompt
	in.Prompt = domain.Tokens(float64(in.Prompt) * p.promptScale)
	c := &call{Call: in, estimatedPrompt: estimated, flow: p.flow(s.account(in.Program.Account)), queuedAt: now, deadline: now.Add(s.config.QueueTimeout), queueIndex: -1, timerIndex: -1}
	s.calls[in.ID] = c
	prog := s.program(c)
	s.endPause(now, prog)
	c.key = orderKey(s.config.Order, &c.Call, now, prog.attainedService, s.config.MaxAge)
	s.queue(c)
}

func (s *Scheduler) program(c *call) *program {
	p := s.programs[c.Program]
	if p == nil {
		p = &program{id: c.Program, account: c.flow.account, latestIndex: -1, earliestIndex: -1}
		s.programs[c.Program] = p
	}
	return p
}

func (s *Scheduler) queue(c *call) {
	c.target = nil
	c.flow.push(c)
	s.setTimer(c, c.deadline)
	s.markDirty(c.flow.pool)
}

func (s *Scheduler) markDirty(p *pool) {
	if !p.dirty {
		p.dirty = true
		s.dirty = append(s.dirty, p)
	}
}

func (s *Scheduler) setTimer(c *call, at time.Time) {
	c.timerAt = at
	s.timers.set(c)
}

// Cancel removes a call in any state. If the call is running, its capacity on
// the target is released. An unknown ID is ignored.
func (s *Scheduler) Cancel(now time.Time, id domain.CallID) {
	c := s.calls[id]
	if c == nil {
		return
	}
	switch c.state {
	case stateQueued:
		c.flow.remove(c)
	case stateParked:
		s.unpark(now, c)
		c.flow.remove(c)
	case stateRunning:
		s.releaseCapacity(now, c)
	}
	s.removeCall(c)
}

func (s *Scheduler) removeCall(c *call) {
	s.timers.remove(c)
	delete(s.calls, c.ID)
}

// Expired returns the calls that were rejected by a queue time-out since the
// previous Expired.
func (s *Scheduler) Expired() []Expiry {
	out := s.expired
	s.expired = nil
	return out
}

// Sends returns the messages to window managers that were produced since the
// previous Sends.
func (s *Scheduler) Sends() []domain.Send {
	out := s.sends
	s.sends = nil
	return out
}

// NextWake returns the time at which Dispatch must run if there is no other
// input, or the zero time if there is none.
func (s *Scheduler) NextWake() time.Time {
	var wake time.Time
	if c, ok := s.timers.top(); ok {
		wake = c.timerAt
	}
	if t, ok := s.renewals.top(); ok {
		at := t.lease.nextRequest()
		if wake.IsZero() || at.Before(wake) {
			wake = at
		}
	}
	for _, t := range s.suspended {
		if wake.IsZero() || t.suspendedUntil.Before(wake) {
			wake = t.suspendedUntil
		}
	}
	return wake
}

// FirstToken records the arrival of a call's first token.
func (s *Scheduler) FirstToken(now time.Time, id domain.CallID) {
	if c := s.calls[id]; c != nil && c.state == stateRunning && c.firstTokenAt.IsZero() {
		c.firstTokenAt = now
	}
}

// Finished removes a running call that succeeded and charges its measured
// usage.
func (s *Scheduler) Finished(now time.Time, id domain.CallID, u domain.Usage) {
	c := s.calls[id]
	if c == nil || c.state != stateRunning {
		return
	}
	t, actual := c.target, s.actualCost(c, u)
	c.flow.pool.updatePromptScale(c.estimatedPrompt, u.Prompt)
	t.consecutiveFailures, t.suspendedUntil = 0, time.Time{}
	c.flow.charge(actual - c.chargedCost)
	c.flow.generated += smoothing * (float64(u.Generated) - c.flow.generated)
	c.flow.account.retries.credit()
	prog := s.program(c)
	prog.attainedService += actual
	s.recordMeasurements(now, c, u)
	s.cache.record(now, c.Program, t, u.Prompt+u.Generated)
	s.releaseCapacity(now, c)
	s.removeCall(c)
	s.beginPause(now, prog, t, u.Prompt+u.Generated)
}

func (s *Scheduler) actualCost(c *call, u domain.Usage) float64 {
	if c.Pool.Service != "" {
		return 1
	}
	return float64(max(u.Prompt-u.Cached, 0) + u.Generated)
}

// updatePromptScale smooths the ratio of actual to estimated prompt tokens.
// Without this correction, prompts whose estimate is twice their size would
// fill the caches in the scheduler's accounting and delay other calls.
func (p *pool) updatePromptScale(estimated, actual domain.Tokens) {
	const minRatio, maxRatio = 0.1, 2
	if estimated <= 0 || actual <= 0 {
		return
	}
	ratio := min(max(float64(actual)/float64(estimated), minRatio), maxRatio)
	p.promptScale += smoothing * (ratio - p.promptScale)
}

// estimatedCost returns the expected cost of a call.
func (s *Scheduler) estimatedCost(c *call, cached domain.Tokens) float64 {
	if c.Pool.Service != "" {
		return 1
	}
	generated := c.flow.generated
	if c.MaxGenerated > 0 {
		generated = min(generated, float64(c.MaxGenerated))
	}
	return float64(c.Prompt-cached) + generated
}

func (s *Scheduler) recordMeasurements(now time.Time, c *call, u domain.Usage) {
	t := c.target
	t.callTime += smoothing * (now.Sub(c.startedAt).Seconds() - t.callTime)
	if c.firstTokenAt.IsZero() || u.Generated < 2 {
		return
	}
	uncached := max(u.Prompt-u.Cached, 0)
	firstTokenDelay := c.firstTokenAt.Sub(c.startedAt)
	sample := Sample{Calls: 1, TokenInterval: now.Sub(c.firstTokenAt) / time.Duration(u.Generated-1)}
	sample.FirstTokenRatio = firstTokenDelay.Seconds() / (firstTokenOverhead + t.prefillTime(uncached))
	t.updatePrefillRate(uncached, firstTokenDelay)
	if t.info.Manager == "" {
		t.window.observe(now, sample, t.running)
		return
	}
	l := &t.lease.sample
	n := float64(l.Calls)
	l.TokenInterval = time.Duration((n*float64(l.TokenInterval) + float64(sample.TokenInterval)) / (n + 1))
	l.FirstTokenRatio = (n*l.FirstTokenRatio + sample.FirstTokenRatio) / (n + 1)
	l.Calls++
	t.window.tokenInterval = l.TokenInterval.Seconds()
}

// ApplyLoadReport applies a load report of a target without a window manager.
// For a target with one, the manager receives the reports on its own VM and
// this method does nothing.
func (s *Scheduler) ApplyLoadReport(now time.Time, r LoadReport) {
	if t := s.targets[r.Target]; t != nil && t.info.Manager == "" {
		t.window.applyLoadReport(now, r)
		s.offerCapacity(now, t)
	}
}

// CacheEvent applies a cache event to the directory.
func (s *Scheduler) CacheEvent(_ time.Time, e CacheEvent) {
	if t := s.targets[e.Target]; t != nil {
		s.cache.applyEvent(t, e)
	}
}
