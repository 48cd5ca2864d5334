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
	defaultPrefillRate   = 8_000 // tokens a second
	defaultTokenInterval = 0.02  // seconds
	defaultCallTime      = 2.0   // seconds
	// firstTokenOverhead is the time to first token without prefill.
	firstTokenOverhead = 0.05
)

// target is the state of one back end.
type target struct {
	info     TargetInfo
	ordinal  int
	distance distance
	slots    []*slot
	window   window
	lease    lease
	// renewalIndex is the place among the targets whose permits are renewed.
	renewalIndex int
	running      int
	promptTokens domain.Tokens // prompt tokens of the running calls
	parked       []*call
	// reservedFor keeps the target for a crash suspect until that call has ended.
	reservedFor *call
	load        float64 // key in the pools' indexes
	// consecutiveFailures counts those in a row, and suspendedUntil ends the pause after
	// the last one.
	consecutiveFailures int
	suspendedUntil      time.Time
	otherInFlight       int // calls in flight of other VMs, as last known
	prefixes            prefixes
	paused              pausedSet
	// prefillRate is the measured speed in tokens a second, callTime the smoothed
	// duration of a call in seconds.
	prefillRate, callTime float64
}

// capacity returns the calls that may be in flight from this scheduler.
func (t *target) capacity(now time.Time) int {
	switch {
	case t.info.Leaving || t.reservedFor != nil || now.Before(t.suspendedUntil):
		return 0
	case t.info.Manager == "":
		return t.window.permits()
	case now.Before(t.lease.expiresAt):
		return t.lease.permits
	}
	return 0
}

// maxPromptFraction is the part of an engine's cache that the prompts of running calls
// may fill. Beyond it, an engine queues calls itself and evicts the prefixes of
// paused programs, which then have to be computed again.
const maxPromptFraction = 0.5

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
	limit := maxPromptFraction * float64(t.info.CacheTokens)
	if t.lease.window > 0 {
		limit *= float64(t.capacity(now)) / float64(t.lease.window)
	}
	return float64(t.promptTokens) < limit
}

// update restores the target's position in the indexes of its pools.
func (t *target) update(now time.Time) {
	size := max(t.capacity(now), 1)
	if t.lease.window > 0 {
		size = t.lease.window
	}
	t.load = float64(t.running+len(t.parked)+t.otherInFlight) / float64(size)
	open := t.free(now) > 0
	for _, s := range t.slots {
		h := &s.pool.available[t.distance]
		if open {
			h.set(s)
		} else {
			h.remove(s)
		}
	}
}

// tokenInterval returns the expected time tokenInterval tokens with one more call.
func (t *target) tokenInterval() float64 {
	if t.window.tokenInterval > 0 {
		return t.window.tokenInterval
	}
	return defaultTokenInterval
}

// updatePrefillRate averages the speed that calls see, with the batch they meet.
func (t *target) updatePrefillRate(uncached domain.Tokens, took time.Duration) {
	// Short prompts measure the step time of the engine instead of its speed.
	const minTokens = 1024
	if uncached >= minTokens && took > 0 {
		t.prefillRate += smoothing * (float64(uncached)/took.Seconds() - t.prefillRate)
	}
}

// prefillTime returns the seconds to process prompt tokens without a cache.
func (t *target) prefillTime(uncached domain.Tokens) float64 {
	return float64(uncached) / t.prefillRate
}
