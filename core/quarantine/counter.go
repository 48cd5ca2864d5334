package quarantine

import (
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
)

// concurrencyMargin is the time by which the runs of a request at two targets must overlap to count as
// concurrent. Reports of crashes that follow each other are delayed by different times.
const concurrencyMargin = 50 * time.Millisecond

// maxPublished bounds the requests in each list for the gateways that change with each crash.
const maxPublished = 256

// reportedCrash is a crash of a target while it ran a request.
type reportedCrash struct {
	reportedAt       time.Time
	sentAt, failedAt time.Time
	// concurrent reports that the request was at several targets that crashed, so that at most one
	// of the crashes can be its fault.
	concurrent bool
	// cleared reports that a target has answered the request since.
	cleared bool
}

func (c *reportedCrash) counts() bool { return !c.concurrent && !c.cleared }

// CrashCounter holds the coordinator's crash counts over all gateways. It is not safe
// for concurrent use.
type CrashCounter struct {
	crashes map[Fingerprint]map[domain.Target]*reportedCrash
}

// NewCrashCounter returns a counter without crashes.
func NewCrashCounter() *CrashCounter {
	return &CrashCounter{crashes: map[Fingerprint]map[domain.Target]*reportedCrash{}}
}

// Report adds the confirmed crashes of one gateway, which reports each of them many times.
func (c *CrashCounter) Report(now time.Time, crashes []Crash) {
	for _, crash := range crashes {
		targets := c.crashes[crash.Fingerprint]
		if targets == nil {
			if len(c.crashes) >= maxEntries {
				continue
			}
			targets = map[domain.Target]*reportedCrash{}
			c.crashes[crash.Fingerprint] = targets
		}
		if _, known := targets[crash.Target]; !known {
			targets[crash.Target] = newCrash(now, crash, targets)
		}
	}
}

func newCrash(now time.Time, crash Crash, others map[domain.Target]*reportedCrash) *reportedCrash {
	ago := func(ms uint32) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
	out := &reportedCrash{reportedAt: now, sentAt: ago(crash.SentAgo), failedAt: ago(crash.FailedAgo)}
	for _, other := range others {
		if other.counts() && out.overlaps(other) && other.overlaps(out) {
			out.concurrent = true
		}
	}
	return out
}

// overlaps reports whether the request was sent clearly before the other crash.
func (c *reportedCrash) overlaps(other *reportedCrash) bool {
	return c.sentAt.Add(concurrencyMargin).Before(other.failedAt)
}

// Served records the requests that targets have answered since they were suspected.
func (c *CrashCounter) Served(served []Fingerprint) {
	for _, f := range served {
		for _, crash := range c.crashes[f] {
			crash.cleared = true
		}
	}
}

// Quarantined returns the requests that must not be dispatched, in ascending order.
func (c *CrashCounter) Quarantined(now time.Time) []Fingerprint {
	c.expire(now)
	return c.list(func(counted, _ int) bool { return counted >= CrashThreshold })
}

// Suspected returns the requests that the next crash would quarantine, and the quarantined ones, in
// ascending order. Gateways report when a target answers one of them.
func (c *CrashCounter) Suspected() []Fingerprint {
	list := c.list(func(counted, _ int) bool { return counted >= CrashThreshold-1 })
	return list[:min(len(list), maxPublished)]
}

// Cleared returns the requests that were answered after a crash, in ascending order, so that
// gateways do not report these crashes to a later leader.
func (c *CrashCounter) Cleared() []Fingerprint {
	list := c.list(func(_, cleared int) bool { return cleared > 0 })
	return list[:min(len(list), maxPublished)]
}

// expire removes the crashes that no longer count. Gateways have forgotten them before.
func (c *CrashCounter) expire(now time.Time) {
	for f, targets := range c.crashes {
		for t, crash := range targets {
			if now.Sub(crash.reportedAt) > crashTTL {
				delete(targets, t)
			}
		}
		if len(targets) == 0 {
			delete(c.crashes, f)
		}
	}
}

// list returns the requests that a function of the numbers of counted and cleared crashes selects.
func (c *CrashCounter) list(selects func(counted, cleared int) bool) []Fingerprint {
	var out []Fingerprint
	for f, targets := range c.crashes {
		counted, cleared := 0, 0
		for _, crash := range targets {
			if crash.counts() {
				counted++
			}
			if crash.cleared {
				cleared++
			}
		}
		if selects(counted, cleared) {
			out = append(out, f)
		}
	}
	slices.Sort(out)
	return out
}
