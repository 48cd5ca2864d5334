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
	// Crashes is the number of targets that a request may crash.
	Crashes = 3
	// confirmWithin is the time after a broken request within which its target must
	// turn out to be unreachable, for the break to count as a crash.
	confirmWithin = 3 * time.Second
	// rememberFor is the time for which a crash counts.
	rememberFor = 2 * time.Minute
	// limit bounds the remembered breaks and crashes of one process.
	limit = 4096
)

// Crash is a target that ended while it ran a request.
type Crash struct {
	Fingerprint Fingerprint
	Target      domain.Target
}

type broken struct {
	crash Crash
	at    time.Time
}

// Watch is the state of one gateway. It is not safe for concurrent use.
type Watch struct {
	broken    []broken
	confirmed []broken
}

// Broke notes a request whose connection broke off.
func (w *Watch) Broke(now time.Time, f Fingerprint, t domain.Target) {
	w.broken = appendBounded(w.broken, broken{Crash{f, t}, now})
}

// Unreachable confirms the breaks at a target as crashes.
func (w *Watch) Unreachable(now time.Time, t domain.Target) {
	w.broken = slices.DeleteFunc(w.broken, func(b broken) bool {
		recent := now.Sub(b.at) <= confirmWithin
		if recent && b.crash.Target == t {
			w.confirmed = appendBounded(w.confirmed, broken{b.crash, now})
			return true
		}
		return !recent
	})
}

// Served clears a request that a target has answered.
func (w *Watch) Served(f Fingerprint) {
	other := func(b broken) bool { return b.crash.Fingerprint == f }
	w.broken = slices.DeleteFunc(w.broken, other)
	w.confirmed = slices.DeleteFunc(w.confirmed, other)
}

// Crashes returns the confirmed crashes that still count.
func (w *Watch) Crashes(now time.Time) []Crash {
	w.confirmed = slices.DeleteFunc(w.confirmed, func(b broken) bool { return now.Sub(b.at) > rememberFor })
	var out []Crash
	for _, b := range w.confirmed {
		out = append(out, b.crash)
	}
	return out
}

func appendBounded(list []broken, b broken) []broken {
	if len(list) >= limit {
		list = list[1:]
	}
	return append(list, b)
}

// Census is the coordinator's count over all gateways. It is not safe for
// concurrent use.
type Census struct {
	crashes map[Fingerprint]map[domain.Target]time.Time
}

// NewCensus returns an empty count.
func NewCensus() *Census { return &Census{crashes: map[Fingerprint]map[domain.Target]time.Time{}} }

// Report adds the crashes that one gateway has confirmed.
func (c *Census) Report(now time.Time, crashes []Crash) {
	for _, crash := range crashes {
		targets := c.crashes[crash.Fingerprint]
		if targets == nil {
			if len(c.crashes) >= limit {
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
func (c *Census) Quarantined(now time.Time) []Fingerprint {
	var out []Fingerprint
	for f, targets := range c.crashes {
		for t, at := range targets {
			if now.Sub(at) > rememberFor {
				delete(targets, t)
			}
		}
		switch {
		case len(targets) == 0:
			delete(c.crashes, f)
		case len(targets) >= Crashes:
			out = append(out, f)
		}
	}
	slices.Sort(out)
	return out
}
