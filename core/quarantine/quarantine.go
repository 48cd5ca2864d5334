// Package quarantine detects requests that crash the targets that run them. Each
// gateway records the requests that were in flight at a target when it crashed. The
// coordinator counts the crashes of a request across all gateways and quarantines the
// request after the third one in a row. Targets that crash together, such as those of a rack,
// count once, and an answer of a target clears the request. After the quarantine one crash suffices for the
// next, longer one. core/program detects such requests
// at the owner of their program. This package needs no owner, because any gateway may receive
// the same request.
package quarantine

import (
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
)

// Fingerprint identifies a request by its client account, method, path, query and body, and by the
// turn that it continues.
type Fingerprint uint64

const (
	// CrashThreshold is the number of crashed targets at which a request is
	// quarantined.
	CrashThreshold = 3
	// confirmationTimeout is the time after a connection failure within which the
	// target must be found unreachable for the failure to count as a crash.
	confirmationTimeout = 3 * time.Second
	// probeDelay is the time between a connection failure and the probe of its target. The listener
	// of a target that crashes may outlast its connections by some milliseconds.
	probeDelay = 100 * time.Millisecond
	// maxProbed bounds the targets that are probed at once.
	maxProbed = 8
	// crashTTL is the time after which a crash no longer counts, and suspicionTTL that for requests
	// that one more crash would quarantine.
	crashTTL     = 2 * time.Minute
	suspicionTTL = time.Hour
	// minQuarantine is the time of the first quarantine of a request. Each further crash makes the next
	// one quarantineGrowth times as long, up to maxQuarantine.
	minQuarantine    = 2 * time.Minute
	quarantineGrowth = 4
	maxQuarantine    = time.Hour
	// maxEntries bounds each of the lists of connection failures and of confirmed
	// crashes at a gateway, and the requests with crashes at the coordinator.
	maxEntries = 4096
)

// Crash records that a target crashed while it ran a request.
type Crash struct {
	Fingerprint Fingerprint
	Target      domain.Target
	// SentAgo and FailedAgo are the times in milliseconds since the request was sent to the target
	// and since its connection failed. SentAgo is 0 on builds that do not report them. The names are
	// short because gateways report each crash many times.
	SentAgo   uint32 `cbor:"S,omitempty"`
	FailedAgo uint32 `cbor:"F,omitempty"`
	// Number tells the crashes of one gateway apart. It is 0 on builds that do not number them.
	Number uint32 `cbor:"N,omitempty"`
}

type recordedFailure struct {
	fingerprint      Fingerprint
	target           domain.Target
	sentAt, failedAt time.Time
	// probed reports whether the target was to be probed for this failure.
	probed bool
	// confirmedAt is the time at which the failure was confirmed as a crash, and number the number
	// of the crash. suspectedAt is when the request was last known to be suspected, or zero.
	confirmedAt, suspectedAt time.Time
	number                   uint32
}

// Watch tracks the connection failures and crashes seen by one gateway. It is not safe
// for concurrent use.
type Watch struct {
	failures  []recordedFailure
	confirmed []recordedFailure
	// crashes is the number of the last confirmed crash.
	crashes uint32
}

// ConnectionFailed records a request that was sent at a time, and whose connection to the target
// failed.
func (w *Watch) ConnectionFailed(now, sentAt time.Time, f Fingerprint, t domain.Target) {
	w.failures = appendBounded(w.failures, recordedFailure{fingerprint: f, target: t, sentAt: sentAt, failedAt: now})
}

// Unconfirmed returns the targets to which the gateway has to connect now, to learn whether those whose
// connections failed have crashed: without other traffic nothing else would tell. Each failure leads to
// one probe. next is the time of the next call, or zero if none is due.
func (w *Watch) Unconfirmed(now time.Time) (targets []domain.Target, next time.Time) {
	w.failures = slices.DeleteFunc(w.failures, func(f recordedFailure) bool { return now.Sub(f.failedAt) > confirmationTimeout })
	for i := range w.failures {
		f := &w.failures[i]
		due := f.failedAt.Add(probeDelay)
		switch {
		case f.probed:
		case due.After(now):
			if next.IsZero() || due.Before(next) {
				next = due
			}
		case slices.Contains(targets, f.target):
			f.probed = true
		case len(targets) < maxProbed:
			f.probed = true
			targets = append(targets, f.target)
		default:
			next = now.Add(probeDelay)
		}
	}
	return targets, next
}

// TargetUnreachable confirms the recent connection failures at a target as crashes.
func (w *Watch) TargetUnreachable(now time.Time, t domain.Target) {
	w.failures = slices.DeleteFunc(w.failures, func(b recordedFailure) bool {
		recent := now.Sub(b.failedAt) <= confirmationTimeout
		if recent && b.target == t {
			w.crashes++
			b.confirmedAt, b.number = now, w.crashes
			w.confirmed = appendBounded(w.confirmed, b)
			return true
		}
		return !recent
	})
}

// Forget removes the connection failures that are not confirmed: the gateway's own links
// failed, not the targets.
func (w *Watch) Forget() { w.failures = nil }

// Served removes the failures and crashes of a request that a target has answered.
func (w *Watch) Served(f Fingerprint) {
	matches := func(b recordedFailure) bool { return b.fingerprint == f }
	w.failures = slices.DeleteFunc(w.failures, matches)
	w.confirmed = slices.DeleteFunc(w.confirmed, matches)
}

// Crashes returns the confirmed crashes that have not expired. Those of suspected requests are kept
// longer, for a later leader.
func (w *Watch) Crashes(now time.Time, suspected map[Fingerprint]bool) []Crash {
	for i := range w.confirmed {
		if suspected[w.confirmed[i].fingerprint] {
			w.confirmed[i].suspectedAt = now
		}
	}
	w.confirmed = slices.DeleteFunc(w.confirmed, func(b recordedFailure) bool {
		// A new leader does not know yet which requests are suspected.
		return isExpired(now.Sub(b.confirmedAt), now.Sub(b.suspectedAt) <= crashTTL)
	})
	var out []Crash
	for _, b := range w.confirmed {
		out = append(out, Crash{
			Fingerprint: b.fingerprint, Target: b.target, Number: b.number,
			SentAgo: max(1, milliseconds(now.Sub(b.sentAt))), FailedAgo: milliseconds(now.Sub(b.failedAt)),
		})
	}
	return out
}

// isExpired reports whether a crash of a certain age no longer counts.
func isExpired(age time.Duration, suspected bool) bool {
	return age > suspicionTTL || (age > crashTTL && !suspected)
}

func milliseconds(d time.Duration) uint32 { return uint32(max(0, d.Milliseconds())) }

func appendBounded(list []recordedFailure, b recordedFailure) []recordedFailure {
	if len(list) >= maxEntries {
		list = list[1:]
	}
	return append(list, b)
}
