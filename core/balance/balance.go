// Package balance chooses the target of a request at one gateway, from the requests that
// the gateway itself has in flight and from the delayed load reports of the targets.
package balance

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/origin"
)

// Estimated costs in milliseconds. Only their ratio matters.
const (
	// runningCostMillis is the slow-down caused by one more running request: each
	// request makes the batch of an engine about 4% slower.
	runningCostMillis = 7
	// waitingCostMillis is the queueing delay for each request in excess of the
	// slots.
	waitingCostMillis = 40
	// otherDataCentreCostMillis and otherRegionCostMillis account for one round trip
	// and the price of the transferred bytes.
	otherDataCentreCostMillis = 4
	otherRegionCostMillis     = 30
	// coldObjectCostMillis is the additional work of a target that has not recently
	// handled the object of a plain request.
	coldObjectCostMillis = 12
	// prefillTokensPerMillisecond is the approximate prefill rate of an engine. It
	// converts the uncached tokens of a prompt to a cost.
	prefillTokensPerMillisecond = 100
	// evictionFactor multiplies that cost. Tokens that are cached at another target take the
	// place of others in a memory that is full under load, which are then processed again.
	evictionFactor = 2
	// jitterMillis breaks ties at random, so that gateways with the same view do not
	// all choose the same target.
	jitterMillis = 5
)

const (
	// loadReportDecay is the time over which the weight of a load report decays to
	// zero. Requests last some hundred milliseconds, so older reports are obsolete.
	loadReportDecay = 800 * time.Millisecond
	// minBackoff and maxBackoff bound the exponential backoff of a target after
	// failures. minBackoff is shorter than the restart of a crashed target.
	minBackoff = 400 * time.Millisecond
	maxBackoff = 4 * time.Second
	// replacedBackoff is the backoff of a target after another process answered at
	// its address. The target list includes the new process within about two seconds,
	// and a target may return under its old name.
	replacedBackoff = 5 * time.Second
	// maxRequestsPerSlot is the number of requests per slot at which a target is
	// full: one batch is running and half a batch is waiting.
	maxRequestsPerSlot = 1.5
	// partTTL is the time for which a target is assumed to cache a part of a prompt.
	// At full load the contents of a cache are replaced within some seconds.
	partTTL = 6 * time.Second
	// maxParts bounds the number of cached parts that are tracked for one target.
	maxParts = 4_000
	// maxObjects bounds the number of objects of plain requests that are tracked.
	maxObjects = 20_000
)

// Part is one part of a prompt. A target whose prefix cache holds a part and all parts
// before it does not process them again.
type Part struct {
	ID     string
	Tokens int
}

// Target is an entry of the platform's target list.
type Target struct {
	ID         domain.Target
	Address    string
	Service    string
	DataCentre domain.DataCentre
	Region     domain.Region
	Slots      int
	Leaving    bool
	// Version is the version of the target's software, or "" if it is not known.
	Version string `cbor:",omitempty"`
	// Cold reports whether the target is slow because it started lately.
	Cold bool `cbor:",omitempty"`
}

// Origins returns the services of a list with their software versions.
func Origins(list []Target) map[origin.Origin]bool {
	out := map[origin.Origin]bool{}
	for _, t := range list {
		out[origin.Origin{Service: t.Service, Version: t.Version}] = true
	}
	return out
}

// Load is the load that a target reports with an answer: its running and waiting
// requests and its slots.
type Load struct {
	Running, Waiting, Slots int
	// Pace is how long work takes at the target at this moment, in percent of the usual
	// time; 0 means unknown.
	Pace int
}

// Outcome is the result of a request at a target.
type Outcome int

// Outcomes of a request.
const (
	// Served means that the target answered.
	Served Outcome = iota + 1
	// Rejected means that the target reported that it did not run the request.
	Rejected
	// Failed means that the connection failed or the answer was invalid.
	Failed
	// Replaced means that another process uses the target's address.
	Replaced
	// Abandoned means that the outcome says nothing of the target: the caller cancelled the request,
	// its deadline expired, or the target answered the rest of a stream with an error.
	Abandoned
)

// targetState is a target with the load and the failures known to this gateway.
type targetState struct {
	Target
	listed   bool
	inFlight int
	// otherLoad is the number of requests of other gateways at the target, as of
	// otherLoadAt. A load report sets it; a rejection raises it to at least the number
	// of slots.
	otherLoad    float64
	otherLoadAt  time.Time
	pace         pace
	failures     int
	backoffUntil time.Time
	// parts maps the ID of a part to the time at which this gateway last sent the
	// part to the target, and to its number of tokens at that time.
	parts map[string]cachedPart
}

type cachedPart struct {
	at     time.Time
	tokens int
}

// uncachedTokens returns the number of prompt tokens that the target has to process.
func (s *targetState) uncachedTokens(now time.Time, parts []Part) int {
	uncached := 0
	for i, p := range parts {
		cached, ok := s.parts[p.ID]
		if !ok || now.Sub(cached.at) > partTTL {
			return uncached + tokensOf(parts[i:])
		}
		uncached += max(0, p.Tokens-cached.tokens)
	}
	return uncached
}

func tokensOf(parts []Part) int {
	sum := 0
	for _, p := range parts {
		sum += p.Tokens
	}
	return sum
}

func (s *targetState) cacheParts(now time.Time, parts []Part) {
	if len(parts) == 0 {
		return
	}
	if len(s.parts) >= maxParts {
		for id, cached := range s.parts {
			if now.Sub(cached.at) > partTTL {
				delete(s.parts, id)
			}
		}
	}
	if s.parts == nil || len(s.parts) >= maxParts {
		s.parts = map[string]cachedPart{}
	}
	for _, p := range parts {
		s.parts[p.ID] = cachedPart{at: now, tokens: p.Tokens}
	}
}

// Balancer chooses targets for the requests of one gateway. It is not safe for
// concurrent use.
type Balancer struct {
	location domain.Location
	rand     *rand.Rand
	targets  map[domain.Target]*targetState
	services map[string][]*targetState
	// inFlight is the number of requests at all targets, listed or not.
	inFlight int
	// objects maps an object to the target that handled it last.
	objects map[string]domain.Target
	limits  Limits
	// usual holds the usual load of the targets of each service.
	usual map[string]*usualLoad
	// popular holds the popularity of the shared parts of each service.
	popular map[string]*popularity
	// excluded holds the data centres whose targets get no requests.
	excluded map[domain.DataCentre]bool
}

// New returns a balancer without targets.
func New(location domain.Location, limits Limits, r *rand.Rand) *Balancer {
	return &Balancer{
		location: location, rand: r, limits: limits, targets: map[domain.Target]*targetState{},
		services: map[string][]*targetState{}, objects: map[string]domain.Target{}, usual: map[string]*usualLoad{}, popular: map[string]*popularity{},
	}
}

// SetTargets replaces the target list. Targets that are no longer listed keep their
// in-flight count until their last request ends.
func (b *Balancer) SetTargets(list []Target) {
	for _, s := range b.targets {
		s.listed = false
	}
	b.services = map[string][]*targetState{}
	for _, t := range list {
		s := b.targets[t.ID]
		if s == nil || s.Address != t.Address || s.Service != t.Service || s.Version != t.Version {
			s = &targetState{}
			b.targets[t.ID] = s
		}
		s.Target, s.listed = t, true
		b.services[t.Service] = append(b.services[t.Service], s)
	}
	for id, s := range b.targets {
		if !s.listed && s.inFlight == 0 {
			delete(b.targets, id)
		}
	}
}

// Request describes a request that needs a target.
type Request struct {
	Service string
	// Object identifies the object of a plain request, or is empty. A target that has
	// recently handled the object is faster.
	Object string
	// Parts is the prompt of a generation, in order.
	Parts []Part
	// Program identifies the program of a generation, or is empty.
	Program string
	// Version restricts a stream that is resumed to the targets with this software
	// version. It is empty for other requests.
	Version string
	// Unsettled lists software versions that the request avoids while another one of the
	// service is available.
	Unsettled map[origin.Origin]bool
	// Regions restricts the request to the targets of allowed regions.
	Regions domain.RegionConstraint
	// Tried lists the targets that have rejected or failed the request.
	Tried []domain.Target
	// ConnectionCap limits the in-flight requests of this gateway at one target; 0
	// means no limit.
	ConnectionCap int
}

// fits reports whether the target has a software version that the request may use.
func (r *Request) fits(s *targetState) bool {
	if r.Version != "" {
		return r.Version == s.Version
	}
	return !r.Unsettled[origin.Origin{Service: s.Service, Version: s.Version}]
}

// Refusal is the reason why no target was chosen; it is empty if one was.
type Refusal string

// Refusals of Pick.
const (
	// NoTarget means that the service has no target that may be used.
	NoTarget Refusal = "no_target"
	// AllFull means that the service has targets that may be used, but all of them
	// are full.
	AllFull Refusal = "all_targets_full"
	// AtLimit means that the targets that may be used limit their requests, and this
	// gateway may send none to them now.
	AtLimit Refusal = "all_targets_at_limit"
)

// Temporary reports whether a target may be free soon, so that a request may wait for it.
func (r Refusal) Temporary() bool { return r == AllFull || r == AtLimit }

// Limits decides on requests to targets that limit their requests.
type Limits interface {
	// MaySend reports whether a request may be sent to the target now.
	MaySend(now time.Time, id domain.Target) bool
	// Sent records a request to the target.
	Sent(now time.Time, id domain.Target)
}

// Pick returns the target with the lowest cost and counts the request as in flight
// there.
func (b *Balancer) Pick(now time.Time, request Request) (Target, Refusal) {
	if len(request.Unsettled) > 0 && !b.anyUsable(request) {
		request.Unsettled = nil
	}
	h := b.homes(now, request)
	best, refusal := b.cheapest(now, request, h, false)
	if best == nil {
		// Without other targets those in backoff are used, because the length of the
		// backoff is only an estimate of when they recover.
		best, refusal = b.cheapest(now, request, h, true)
	}
	if best == nil {
		if refusal == NoTarget && b.Excluded(request) {
			refusal = OutsideRegions
		}
		return Target{}, refusal
	}
	best.inFlight++
	b.inFlight++
	b.limits.Sent(now, best.ID)
	b.rememberObject(request.Object, best.ID)
	b.observePrompt(request)
	best.cacheParts(now, request.Parts)
	return best.Target, ""
}

// anyUsable reports whether the service has a target that the request may use, full or not.
func (b *Balancer) anyUsable(request Request) bool {
	return slices.ContainsFunc(b.services[request.Service], func(s *targetState) bool {
		return b.mayUse(&request, s)
	})
}

// mayUse reports whether the target may get the request, apart from its load and its failures.
func (b *Balancer) mayUse(request *Request, s *targetState) bool {
	return b.available(s) && request.fits(s) && request.allows(s)
}

func (b *Balancer) cheapest(now time.Time, request Request, h homes, includeBackoff bool) (*targetState, Refusal) {
	var best *targetState
	bestCost := 0.0
	refusal := NoTarget
	for _, s := range b.services[request.Service] {
		if !b.mayUse(&request, s) || slices.Contains(request.Tried, s.ID) {
			continue
		}
		if now.Before(s.backoffUntil) && !includeBackoff {
			continue
		}
		if s.full(now, request.ConnectionCap) {
			refusal = AllFull
			continue
		}
		if !b.limits.MaySend(now, s.ID) {
			if refusal == NoTarget {
				refusal = AtLimit
			}
			continue
		}
		if cost := b.cost(now, s, request, &h); best == nil || cost < bestCost {
			best, bestCost = s, cost
		}
	}
	return best, refusal
}

func (s *targetState) load(now time.Time) float64 {
	weight := 1 - float64(now.Sub(s.otherLoadAt))/float64(loadReportDecay)
	return float64(s.inFlight) + s.otherLoad*max(0, weight)
}

func (s *targetState) full(now time.Time, connectionCap int) bool {
	if connectionCap > 0 && s.inFlight >= connectionCap {
		return true
	}
	return s.Slots > 0 && s.load(now) >= maxRequestsPerSlot*float64(s.Slots)
}

func (b *Balancer) cost(now time.Time, s *targetState, request Request, h *homes) float64 {
	load, slots := b.expectedLoad(now, s), float64(max(1, s.Slots))
	// The request itself is one more that runs, which matters only where work takes longer.
	slowdown := s.pace.slowdown(now)
	cost := runningCostMillis * (min(load, slots)*(1+slowdown) + slowdown)
	cost += waitingCostMillis * max(0, load-slots) * (1 + slowdown)
	switch b.location.DistanceTo(domain.Location{DataCentre: s.DataCentre, Region: s.Region}) {
	case domain.SameRegion:
		cost += otherDataCentreCostMillis
	case domain.OtherRegion:
		cost += otherRegionCostMillis
	}
	if request.Object != "" && b.objects[request.Object] != s.ID {
		cost += coldObjectCostMillis
	}
	uncached := min(float64(s.uncachedTokens(now, request.Parts)), h.expectedUncached(s))
	cost += uncached / prefillTokensPerMillisecond * evictionFactor * (1 + slowdown)
	cost -= h.firstTurnAdvantage(s)
	return cost + jitterMillis*b.rand.Float64()
}

// Service returns the service of a target, or "" if it is not known.
func (b *Balancer) Service(id domain.Target) string {
	if s := b.targets[id]; s != nil {
		return s.Service
	}
	return ""
}

// ForgetFailures ends all backoffs. The gateway's own links failed, not the targets.
func (b *Balancer) ForgetFailures() {
	for _, s := range b.targets {
		s.failures, s.backoffUntil = 0, time.Time{}
	}
}

// Reconnect counts a request that is dispatched to the same target again, without Pick. It
// reports false if the target leaves, is in an excluded data centre or outside of the allowed
// regions, or now has another software version.
func (b *Balancer) Reconnect(now time.Time, t Target, regions domain.RegionConstraint) bool {
	s := b.targets[t.ID]
	if b.excluded[t.DataCentre] || !regions.Allows(t.Region) {
		return false
	}
	if s != nil && (s.Version != t.Version || !b.available(s) || !regions.Allows(s.Region)) {
		return false
	}
	b.limits.Sent(now, t.ID)
	b.inFlight++
	if s != nil {
		s.inFlight++
	}
	return true
}

// InFlight returns the number of requests at targets.
func (b *Balancer) InFlight() int { return b.inFlight }

func (b *Balancer) rememberObject(object string, id domain.Target) {
	if object == "" {
		return
	}
	if len(b.objects) >= maxObjects {
		clear(b.objects)
	}
	b.objects[object] = id
}

// Done records the outcome of a request at a target, and the load that the target
// reported or nil.
func (b *Balancer) Done(now time.Time, id domain.Target, outcome Outcome, load *Load) {
	b.inFlight--
	s := b.targets[id]
	if s == nil {
		return
	}
	s.inFlight = max(0, s.inFlight-1)
	if load != nil {
		s.otherLoad = max(0, float64(load.Running+load.Waiting-1-s.inFlight))
		s.otherLoadAt = now
		b.observeUsual(now, s.Service, float64(load.Running+load.Waiting-1))
	}
	switch outcome {
	case Served:
		s.failures = 0
	case Rejected:
		s.otherLoad, s.otherLoadAt = max(s.otherLoad, float64(s.Slots)), now
	case Failed:
		s.failures++
		s.backoffUntil = now.Add(backoff(s.failures))
	case Replaced:
		s.backoffUntil = now.Add(replacedBackoff)
	}
	if !s.listed && s.inFlight == 0 {
		delete(b.targets, id)
	}
}

func backoff(failures int) time.Duration {
	return min(maxBackoff, minBackoff<<min(failures-1, 4))
}
