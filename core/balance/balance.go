// Package balance chooses the target of a request at one gateway, from what the
// gateway itself has under way and from the lagging load that targets report.
package balance

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
)

// Estimated costs in milliseconds. Their ratio decides, not their size.
const (
	// runningCostMillis is the slow-down that one more running request causes: a
	// batch of an engine gets about 4% slower with each request.
	runningCostMillis = 7
	// waitingCostMillis is the wait behind one more request above the slots.
	waitingCostMillis = 40
	// otherDataCentreCostMillis and otherRegionMillis are one round trip and the paid
	// bytes on the way.
	otherDataCentreCostMillis = 4
	otherRegionCostMillis     = 30
	// coldObjectCostMillis is the extra work of a target that has not handled a plain
	// request's object lately.
	coldObjectCostMillis = 12
	// prefillTokensPerMillisecond is about what an engine reads of a prompt in a
	// millisecond. It weighs cold parts of a prompt against load.
	prefillTokensPerMillisecond = 100
	// jitterMillis breaks ties, so that gateways with the same view do not all
	// choose the same target.
	jitterMillis = 5
)

const (
	// loadReportDecay is the time over which a load report fades. Requests last some
	// hundred milliseconds, so an older report says little.
	loadReportDecay = 800 * time.Millisecond
	// minBackoff and lastPause bound the time for which a target is avoided after
	// failures. The first one is below the time a crashed target takes to return.
	minBackoff = 400 * time.Millisecond
	maxBackoff = 4 * time.Second
	// replacedBackoff is the time for which a target is avoided after another process
	// answered at its address. The list names the new process within about two
	// seconds, and a target may come back under its old name.
	replacedBackoff = 5 * time.Second
	// maxRequestsPerSlot is the number of requests per slot at which a target counts as
	// full: one batch runs and half of one waits.
	maxRequestsPerSlot = 1.5
	// partTTL is the time for which a target is taken to keep a part of a prompt.
	// At full load a cache turns over in some seconds.
	partTTL = 6 * time.Second
	// maxParts bounds the remembered parts of one target.
	maxParts = 4_000
	// maxObjects bounds the remembered objects of plain requests.
	maxObjects = 20_000
)

// Part is one part of a prompt, in order. A target that keeps a part and all
// parts before it does not read them again.
type Part struct {
	ID     string
	Tokens int
}

// Target is one entry of the platform's list.
type Target struct {
	ID         domain.Target
	Address    string
	Service    string
	DataCentre domain.DataCentre
	Region     domain.Region
	Slots      int
	Leaving    bool
}

// Load is what a target said of itself with an answer.
type Load struct{ Running, Waiting, Slots int }

// Outcome says how a request at a target ended.
type Outcome int

// The outcomes.
const (
	// Served means that the target answered.
	Served Outcome = iota + 1
	// Rejected means that the target said it did not run the request.
	Rejected
	// Failed means that the connection broke or the answer was not usable.
	Failed
	// Replaced means that another process has the target's address.
	Replaced
	// Abandoned means that the caller left or the time ran out.
	Abandoned
)

type targetState struct {
	Target
	listed       bool
	inFlight     int
	otherLoad    float64
	otherLoadAt  time.Time
	failures     int
	backoffUntil time.Time
	// parts holds when this gateway last sent a part to the target, and how many
	// tokens it had then.
	parts map[string]cachedPart
}

type cachedPart struct {
	at     time.Time
	tokens int
}

// uncachedTokens is what the target has to read of a prompt.
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

// Location is where the gateway runs.
type Location struct {
	DataCentre domain.DataCentre
	Region     domain.Region
}

// Balancer is the view of one gateway. It is not safe for concurrent use.
type Balancer struct {
	location Location
	rand     *rand.Rand
	targets  map[domain.Target]*targetState
	services map[string][]*targetState
	// objects holds the target that handled an object last.
	objects map[string]domain.Target
}

// New returns a balancer without targets.
func New(location Location, r *rand.Rand) *Balancer {
	return &Balancer{
		location: location, rand: r, targets: map[domain.Target]*targetState{},
		services: map[string][]*targetState{}, objects: map[string]domain.Target{},
	}
}

// SetTargets replaces the list. Targets that are no longer listed keep their
// count until their last request ends.
func (b *Balancer) SetTargets(list []Target) {
	for _, s := range b.targets {
		s.listed = false
	}
	b.services = map[string][]*targetState{}
	for _, t := range list {
		s := b.targets[t.ID]
		if s == nil || s.Address != t.Address || s.Service != t.Service {
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

// Request describes the request that needs a target.
type Request struct {
	Service string
	// Object names what a plain request is about, or is "": a target that has
	// handled it lately is faster.
	Object string
	// Parts describes the prompt of a generation.
	Parts []Part
	// Tried lists targets that have rejected or failed the request.
	Tried []domain.Target
	// ConnectionCap bounds the requests of this gateway at one target; 0 means no
	// bound.
	ConnectionCap int
}

// Refusal says why there is no target.
type Refusal string

// The reasons.
const (
	NoTarget Refusal = "no_target"
	AllFull  Refusal = "all_targets_full"
)

// Pick returns the cheapest target and counts the request as under way there.
func (b *Balancer) Pick(now time.Time, request Request) (Target, Refusal) {
	best, refusal := b.cheapest(now, request, false)
	if best == nil {
		// Targets on pause are better than none: the pause is only a guess.
		best, refusal = b.cheapest(now, request, true)
	}
	if best == nil {
		return Target{}, refusal
	}
	best.inFlight++
	b.rememberObject(request.Object, best.ID)
	best.cacheParts(now, request.Parts)
	return best.Target, ""
}

func (b *Balancer) cheapest(now time.Time, request Request, includeBackoff bool) (*targetState, Refusal) {
	var best *targetState
	bestCost := 0.0
	refusal := NoTarget
	for _, s := range b.services[request.Service] {
		if s.Leaving || slices.Contains(request.Tried, s.ID) {
			continue
		}
		if now.Before(s.backoffUntil) && !includeBackoff {
			continue
		}
		if s.full(now, request.ConnectionCap) {
			refusal = AllFull
			continue
		}
		if cost := b.cost(now, s, request); best == nil || cost < bestCost {
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

func (b *Balancer) cost(now time.Time, s *targetState, request Request) float64 {
	load, slots := s.load(now), float64(max(1, s.Slots))
	cost := runningCostMillis * min(load, slots)
	cost += waitingCostMillis * max(0, load-slots)
	switch {
	case s.DataCentre == b.location.DataCentre:
	case s.Region == b.location.Region:
		cost += otherDataCentreCostMillis
	default:
		cost += otherRegionCostMillis
	}
	if request.Object != "" && b.objects[request.Object] != s.ID {
		cost += coldObjectCostMillis
	}
	cost += float64(s.uncachedTokens(now, request.Parts)) / prefillTokensPerMillisecond
	return cost + jitterMillis*b.rand.Float64()
}

// AddInFlight counts a request that goes back to a target.
func (b *Balancer) AddInFlight(id domain.Target) {
	if s := b.targets[id]; s != nil {
		s.inFlight++
	}
}

func (b *Balancer) rememberObject(object string, id domain.Target) {
	if object == "" {
		return
	}
	if len(b.objects) >= maxObjects {
		clear(b.objects)
	}
	b.objects[object] = id
}

// Done ends one request at a target.
func (b *Balancer) Done(now time.Time, id domain.Target, outcome Outcome, load *Load) {
	s := b.targets[id]
	if s == nil {
		return
	}
	s.inFlight = max(0, s.inFlight-1)
	if load != nil {
		s.otherLoad = max(0, float64(load.Running+load.Waiting-1-s.inFlight))
		s.otherLoadAt = now
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
