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
	// otherDataCentreMillis and otherRegionMillis are one round trip and the paid
	// bytes on the way.
	otherDataCentreMillis = 4
	otherRegionMillis     = 30
	// coldObjectMillis is the extra work of a target that has not handled a plain
	// request's object lately.
	coldObjectMillis = 12
	// prefillTokensPerMilli is about what an engine reads of a prompt in a
	// millisecond. It weighs cold parts of a prompt against load.
	prefillTokensPerMilli = 100
	// jitterMillis breaks ties, so that gateways with the same view do not all
	// choose the same target.
	jitterMillis = 5
)

const (
	// reportTrust is the time over which a load report fades. Requests last some
	// hundred milliseconds, so an older report says little.
	reportTrust = 800 * time.Millisecond
	// firstPause and lastPause bound the time for which a target is avoided after
	// failures. The first one is below the time a crashed target takes to return.
	firstPause = 400 * time.Millisecond
	lastPause  = 4 * time.Second
	// gonePause is the time for which a target is avoided after another process
	// answered at its address. The list names the new process within about two
	// seconds, and a target may come back under its old name.
	gonePause = 5 * time.Second
	// queueFactor is the number of requests per slot at which a target counts as
	// full: one batch runs and half of one waits.
	queueFactor = 1.5
	// partTrust is the time for which a target is taken to keep a part of a prompt.
	// At full load a cache turns over in some seconds.
	partTrust = 6 * time.Second
	// partLimit bounds the remembered parts of one target.
	partLimit = 4_000
	// objectLimit bounds the remembered objects of plain requests.
	objectLimit = 20_000
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
	// Gone means that another process has the target's address.
	Gone
	// Abandoned means that the caller left or the time ran out.
	Abandoned
)

type state struct {
	Target
	listed     bool
	inFlight   int
	foreign    float64
	foreignAt  time.Time
	failures   int
	pauseUntil time.Time
	// parts holds when this gateway last sent a part to the target, and how many
	// tokens it had then.
	parts map[string]keptPart
}

type keptPart struct {
	at     time.Time
	tokens int
}

// coldTokens is what the target has to read of a prompt.
func (s *state) coldTokens(now time.Time, parts []Part) int {
	cold := 0
	for i, p := range parts {
		kept, ok := s.parts[p.ID]
		if !ok || now.Sub(kept.at) > partTrust {
			return cold + tokensOf(parts[i:])
		}
		cold += max(0, p.Tokens-kept.tokens)
	}
	return cold
}

func tokensOf(parts []Part) int {
	sum := 0
	for _, p := range parts {
		sum += p.Tokens
	}
	return sum
}

func (s *state) keep(now time.Time, parts []Part) {
	if len(parts) == 0 {
		return
	}
	if len(s.parts) >= partLimit {
		for id, kept := range s.parts {
			if now.Sub(kept.at) > partTrust {
				delete(s.parts, id)
			}
		}
	}
	if s.parts == nil || len(s.parts) >= partLimit {
		s.parts = map[string]keptPart{}
	}
	for _, p := range parts {
		s.parts[p.ID] = keptPart{at: now, tokens: p.Tokens}
	}
}

// Place is where the gateway runs.
type Place struct {
	DataCentre domain.DataCentre
	Region     domain.Region
}

// Balancer is the view of one gateway. It is not safe for concurrent use.
type Balancer struct {
	place    Place
	rand     *rand.Rand
	targets  map[domain.Target]*state
	services map[string][]*state
	// objects holds the target that handled an object last.
	objects map[string]domain.Target
}

// New returns a balancer without targets.
func New(place Place, r *rand.Rand) *Balancer {
	return &Balancer{
		place: place, rand: r, targets: map[domain.Target]*state{},
		services: map[string][]*state{}, objects: map[string]domain.Target{},
	}
}

// SetTargets replaces the list. Targets that are no longer listed keep their
// count until their last request ends.
func (b *Balancer) SetTargets(list []Target) {
	for _, s := range b.targets {
		s.listed = false
	}
	b.services = map[string][]*state{}
	for _, t := range list {
		s := b.targets[t.ID]
		if s == nil || s.Address != t.Address || s.Service != t.Service {
			s = &state{}
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

// Ask describes the request that needs a target.
type Ask struct {
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
func (b *Balancer) Pick(now time.Time, ask Ask) (Target, Refusal) {
	best, refusal := b.cheapest(now, ask, false)
	if best == nil {
		// Targets on pause are better than none: the pause is only a guess.
		best, refusal = b.cheapest(now, ask, true)
	}
	if best == nil {
		return Target{}, refusal
	}
	best.inFlight++
	b.remember(ask.Object, best.ID)
	best.keep(now, ask.Parts)
	return best.Target, ""
}

func (b *Balancer) cheapest(now time.Time, ask Ask, paused bool) (*state, Refusal) {
	var best *state
	bestCost := 0.0
	refusal := NoTarget
	for _, s := range b.services[ask.Service] {
		if s.Leaving || slices.Contains(ask.Tried, s.ID) {
			continue
		}
		if now.Before(s.pauseUntil) && !paused {
			continue
		}
		if s.full(now, ask.ConnectionCap) {
			refusal = AllFull
			continue
		}
		if cost := b.cost(now, s, ask); best == nil || cost < bestCost {
			best, bestCost = s, cost
		}
	}
	return best, refusal
}

func (s *state) load(now time.Time) float64 {
	fade := 1 - float64(now.Sub(s.foreignAt))/float64(reportTrust)
	return float64(s.inFlight) + s.foreign*max(0, fade)
}

func (s *state) full(now time.Time, connectionCap int) bool {
	if connectionCap > 0 && s.inFlight >= connectionCap {
		return true
	}
	return s.Slots > 0 && s.load(now) >= queueFactor*float64(s.Slots)
}

func (b *Balancer) cost(now time.Time, s *state, ask Ask) float64 {
	load, slots := s.load(now), float64(max(1, s.Slots))
	cost := runningCostMillis * min(load, slots)
	cost += waitingCostMillis * max(0, load-slots)
	switch {
	case s.DataCentre == b.place.DataCentre:
	case s.Region == b.place.Region:
		cost += otherDataCentreMillis
	default:
		cost += otherRegionMillis
	}
	if ask.Object != "" && b.objects[ask.Object] != s.ID {
		cost += coldObjectMillis
	}
	cost += float64(s.coldTokens(now, ask.Parts)) / prefillTokensPerMilli
	return cost + jitterMillis*b.rand.Float64()
}

// Return counts a request that goes back to a target.
func (b *Balancer) Return(id domain.Target) {
	if s := b.targets[id]; s != nil {
		s.inFlight++
	}
}

func (b *Balancer) remember(object string, id domain.Target) {
	if object == "" {
		return
	}
	if len(b.objects) >= objectLimit {
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
		s.foreign = max(0, float64(load.Running+load.Waiting-1-s.inFlight))
		s.foreignAt = now
	}
	switch outcome {
	case Served:
		s.failures = 0
	case Rejected:
		s.foreign, s.foreignAt = max(s.foreign, float64(s.Slots)), now
	case Failed:
		s.failures++
		s.pauseUntil = now.Add(pause(s.failures))
	case Gone:
		s.pauseUntil = now.Add(gonePause)
	}
	if !s.listed && s.inFlight == 0 {
		delete(b.targets, id)
	}
}

func pause(failures int) time.Duration {
	return min(lastPause, firstPause<<min(failures-1, 4))
}
