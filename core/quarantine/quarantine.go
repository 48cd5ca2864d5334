// Package quarantine finds requests that crash the targets which run them. Each
// gateway notes which requests were under way when a target crashed; the
// coordinator counts the crashes of a request over all gateways and quarantines
// it after the third. Unlike core/program's suspects it needs no owner of a
// program, because the same request may come to any gateway.
package quarantine

import (
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
)

// Fingerprint identifies a request by its client account, method, path and body.
type Fingerprint uint64

const (
	// CrashThreshold is the number of targets that a request may crash.
	CrashThreshold = 3
	// confirmationTimeout is the time after a broken request within which its target must
	// turn out to be unreachable, for the break to count as a crash.
	confirmationTimeout = 3 * time.Second
	// crashTTL is the time for which a crash counts.
	crashTTL = 2 * time.Minute
	// maxEntries bounds the remembered breaks and crashes of one process.
	maxEntries = 4096
)

// Crash is a target that ended while it ran a request.
type Crash struct {
	Fingerprint Fingerprint
	Target      domain.Target
}

type connectionFailure struct {
	crash Crash
	at    time.Time
}

// Watch is the state of one gateway. It is not safe for concurrent use.
type Watch struct {
	failures  []connectionFailure
	confirmed []connectionFailure
}

// ConnectionFailed notes a request whose connection broke off.
func (w *Watch) ConnectionFailed(now time.Time, f Fingerprint, t domain.Target) {
	w.failures = appendBounded(w.failures, connectionFailure{Crash{f, t}, now})
}

// TargetUnreachable confirms the breaks at a target as crashes.
func (w *Watch) TargetUnreachable(now time.Time, t domain.Target) {
	w.failures = slices.DeleteFunc(w.failures, func(b connectionFailure) bool {
		recent := now.Sub(b.at) <= confirmationTimeout
		if recent && b.crash.Target == t {
			w.confirmed = appendBounded(w.confirmed, connectionFailure{b.crash, now})
			return true
		}
		return !recent
	})
}

// Served clears a request that a target has answered.
func (w *Watch) Served(f Fingerprint) {
	matches := func(b connectionFailure) bool { return b.crash.Fingerprint == f }
	w.failures = slices.DeleteFunc(w.failures, matches)
	w.confirmed = slices.DeleteFunc(w.confirmed, matches)
}

// Crashes returns the confirmed crashes that still count.
func (w *Watch) Crashes(now time.Time) []Crash {
	w.confirmed = slices.DeleteFunc(w.confirmed, func(b connectionFailure) bool { return now.Sub(b.at) > crashTTL })
	var out []Crash
	for _, b := range w.confirmed {
		out = append(out, b.crash)
	}
	return out
}

func appendBounded(list []connectionFailure, b connectionFailure) []connectionFailure {
	if len(list) >= maxEntries {
		list = list[1:]
	}
	return append(list, b)
}

// CrashCounter is the coordinator's count over all gateways. It is not safe for
// concurrent use.
type CrashCounter struct {
	crashes map[Fingerprint]map[domain.Target]time.Time
}

// NewCrashCounter returns an empty count.
func NewCrashCounter() *CrashCounter {
	return &CrashCounter{crashes: map[Fingerprint]map[domain.Target]time.Time{}}
}

// Report adds the crashes that one gateway has confirmed.
func (c *CrashCounter) Report(now time.Time, crashes []Crash) {
	for _, crash := range crashes {
		targets := c.crashes[crash.Fingerprint]
		if targets == nil {
			if len(c.crashes) >= maxEntries {
				continue
			}
			targets = map[domain.Target]time.Time{}
			c.crashes[crash.Fingerprint] = targets
		}
		if _, known := targets[crash.Target]; !known {
			targets[crash.Target] = now
		}
	}
}

// Quarantined returns the requests that must not run any more.
func (c *CrashCounter) Quarantined(now time.Time) []Fingerprint {
	var out []Fingerprint
	for f, targets := range c.crashes {
		for t, at := range targets {
			if now.Sub(at) > crashTTL {
				delete(targets, t)
			}
		}
		switch {
		case len(targets) == 0:
			delete(c.crashes, f)
		case len(targets) >= CrashThreshold:
			out = append(out, f)
		}
	}
	slices.Sort(out)
	return out
}
