package schedule

import (
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
)

// Initial estimates for a target without measurements.
const (
	defaultPrefillRate   = 8_000 // tokens per second
	defaultTokenInterval = 0.02  // seconds
	defaultCallTime      = 2.0   // seconds
	// firstTokenOverhead is the time to first token without prefill, in
	// seconds.
	firstTokenOverhead = 0.05
)

// target is the scheduling state of one target.
type target struct {
	info     TargetInfo
	ordinal  int
	distance domain.Distance
	slots    []*slot
	window   window
	lease    lease
	// renewalIndex is the position in the heap of targets whose permits are
	// renewed.
	renewalIndex int
	running      int
	promptTokens domain.Tokens // prompt tokens of the running calls
	parked       []*call
	// reservedFor is the crash suspect that the target is reserved for, until
	// that call has ended.
	reservedFor *call
	load        float64 // key in the heaps of the pools
	// consecutiveFailures counts failures since the last success. The target
	// gets no calls until suspendedUntil.
	consecutiveFailures int
	suspendedUntil      time.Time
	otherInFlight       int // calls in flight from other VMs, as last reported
	prefixes            prefixes
	paused              pausedSet
	// prefillRate is the measured prefill speed in tokens per second, and
	// callTime the smoothed duration of a call in seconds.
	prefillRate, callTime float64
}

// capacity returns the number of calls that this scheduler may have in flight
// on the target.
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

// maxPromptFraction is the fraction of an engine's cache that the prompts of
// running calls may fill. Beyond it, the engine queues calls itself and evicts
// the prefixes of paused programs, which then have to be computed again.
const maxPromptFraction = 0.5

// free returns the number of calls that may be dispatched in addition to the
// running and parked ones.
func (t *target) free(now time.Time) int {
	if !t.hasMemory(now) {
		return 0
	}
	return t.capacity(now) - t.running - len(t.parked)
}

// hasMemory reports whether the prompts of running calls leave cache memory for
// another call. A VM may use the same fraction of the cache memory as it holds
// of the permits.
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

// update recomputes the target's load and its position in the heaps of its
// pools.
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

// tokenInterval returns the expected time between two generated tokens in
// seconds, with one more call in the batch.
func (t *target) tokenInterval() float64 {
	if t.window.tokenInterval > 0 {
		return t.window.tokenInterval
	}
	return defaultTokenInterval
}

// updatePrefillRate smooths the prefill speed that calls experience, including
// the effect of the batch.
func (t *target) updatePrefillRate(uncached domain.Tokens, took time.Duration) {
	// Short prompts measure the step time of the engine instead of its prefill
	// speed.
	const minTokens = 1024
	if uncached >= minTokens && took > 0 {
		t.prefillRate += smoothing * (float64(uncached)/took.Seconds() - t.prefillRate)
	}
}

// prefillTime returns the time in seconds to prefill the uncached prompt
// tokens.
func (t *target) prefillTime(uncached domain.Tokens) float64 {
	return float64(uncached) / t.prefillRate
}
