package schedule

import (
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
)

// distance says how far a target is from this VM.
type distance int

const (
	sameDataCentre distance = iota
	sameRegion
	otherRegion
	distances
)

// Assumptions about a target that was not measured yet.
const (
	defaultPrefill = 8_000 // tokens a second
	defaultBetween = 0.02  // seconds
	defaultCall    = 2.0   // seconds
	// firstOverhead is the time to first token without prefill.
	firstOverhead = 0.05
)

// target is the state of one back end.
type target struct {
	info     TargetInfo
	order    int
	distance distance
	slots    []*slot
	window   window
	lease    lease
	// leaseIndex is the place among the targets whose permits are renewed.
	leaseIndex int
	running    int
	tokens     domain.Tokens // prompt tokens of the running calls
	parked     []*call
	// reserved keeps the target for a crash suspect until that call has ended.
	reserved *call
	load     float64 // key in the pools' indexes
	// failures counts those in a row, and suspendedUntil ends the pause after
	// the last one.
	failures       int
	suspendedUntil time.Time
	external       int // calls in flight of other VMs, as last known
	prefixes       prefixes
	paused         pausedSet
	// prefill is the measured speed in tokens a second, callTime the smoothed
	// duration of a call in seconds.
	prefill, callTime float64
}

// capacity returns the calls that may be in flight from this scheduler.
func (t *target) capacity(now time.Time) int {
	switch {
	case t.info.Leaving || t.reserved != nil || now.Before(t.suspendedUntil):
		return 0
	case t.info.Manager == "":
		return t.window.permits()
	case now.Before(t.lease.until):
		return t.lease.permits
	}
	return 0
}

// batchPart is the part of an engine's cache that the prompts of running calls
// may fill. Beyond it, an engine queues calls itself and evicts the prefixes of
// paused programs, which then have to be computed again.
const batchPart = 0.5

// free returns the places for new calls.
func (t *target) free(now time.Time) int {
	if !t.hasMemory(now) {
		return 0
	}
	return t.capacity(now) - t.running - len(t.parked)
}

// hasMemory says whether the running prompts leave room for another one. A VM
// that holds a part of the permits uses the same part of the memory.
func (t *target) hasMemory(now time.Time) bool {
	if t.info.CacheTokens <= 0 || t.running == 0 {
		return true
	}
	limit := batchPart * float64(t.info.CacheTokens)
	if t.lease.window > 0 {
		limit *= float64(t.capacity(now)) / float64(t.lease.window)
	}
	return float64(t.tokens) < limit
}

// update restores the target's position in the indexes of its pools.
func (t *target) update(now time.Time) {
	size := max(t.capacity(now), 1)
	if t.lease.window > 0 {
		size = t.lease.window
	}
	t.load = float64(t.running+len(t.parked)+t.external) / float64(size)
	open := t.free(now) > 0
	for _, s := range t.slots {
		h := &s.pool.open[t.distance]
		if open {
			h.set(s)
		} else {
			h.remove(s)
		}
	}
}

// between returns the expected time between tokens with one more call.
func (t *target) between() float64 {
	if t.window.between > 0 {
		return t.window.between
	}
	return defaultBetween
}

// measurePrefill averages the speed that calls see, with the batch they meet.
func (t *target) measurePrefill(uncached domain.Tokens, took time.Duration) {
	// Short prompts measure the step time of the engine instead of its speed.
	const enough = 1024
	if uncached >= enough && took > 0 {
		t.prefill += smoothing * (float64(uncached)/took.Seconds() - t.prefill)
	}
}

// prefillTime returns the seconds to process prompt tokens without a cache.
func (t *target) prefillTime(uncached domain.Tokens) float64 {
	return float64(uncached) / t.prefill
}
