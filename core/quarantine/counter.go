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

// Lists are what gateways have to know of requests that were at crashed targets, each in ascending
// order.
type Lists struct {
	// Quarantined holds the requests that must not be dispatched.
	Quarantined []Fingerprint
	// Suspected holds the requests that the next crash would quarantine, and the quarantined ones.
	// Gateways report when a target answers one of them.
	Suspected []Fingerprint
	// Cleared holds the requests that were answered after a crash, so that gateways do not report
	// these crashes to a later leader.
	Cleared []Fingerprint
}

// Lists returns the lists, without the crashes that have expired.
func (c *CrashCounter) Lists(now time.Time) Lists {
	c.expire(now)
	var out Lists
	for f, targets := range c.crashes {
		counted, cleared := 0, false
		for _, crash := range targets {
			if crash.counts() {
				counted++
			}
			cleared = cleared || crash.cleared
		}
		if counted >= CrashThreshold {
			out.Quarantined = append(out.Quarantined, f)
		}
		if counted >= CrashThreshold-1 {
			out.Suspected = append(out.Suspected, f)
		}
		if cleared {
			out.Cleared = append(out.Cleared, f)
		}
	}
	slices.Sort(out.Quarantined)
	out.Suspected, out.Cleared = firstPublished(out.Suspected), firstPublished(out.Cleared)
	return out
}

// firstPublished sorts a list and bounds it.
func firstPublished(list []Fingerprint) []Fingerprint {
	slices.Sort(list)
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
