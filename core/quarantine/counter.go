package quarantine

import (
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
)

// concurrencyMargin is the time by which the runs of a request at two targets must overlap to count as
// concurrent. Reports of crashes that follow each other are delayed by different times.
const concurrencyMargin = 50 * time.Millisecond

// restartMargin is the least time between a crash of a target and the next request at its successor
// with the same id. Reports of several gateways on one crash differ by less.
const restartMargin = time.Second

// maxCrashes bounds the crashes that are kept for one request.
const maxCrashes = 64

// maxPublished bounds the requests in each list for the gateways that change with each crash.
const maxPublished = 256

// reportedCrash is a crash of a target while it ran a request.
type reportedCrash struct {
	target domain.Target
	// sources are the reports of the crash. Each gateway repeats its own many times.
	sources          map[crashSource]bool
	reportedAt       time.Time
	sentAt, failedAt time.Time
	// concurrent reports that the request was at several targets that crashed, so that at most one
	// of the crashes can be its fault.
	concurrent bool
	// cleared reports that a target has answered the request since.
	cleared bool
}

func (c *reportedCrash) counts() bool { return !c.concurrent && !c.cleared }

// crashSource identifies a crash in the reports of one process.
type crashSource struct {
	process string
	number  uint32
}

// suspect is a request that was at crashed targets.
type suspect struct {
	crashes []*reportedCrash
	// until is the end of the last quarantine, and judged the number of crashes that led to it.
	until  time.Time
	judged int
}

func (s *suspect) counted() int {
	n := 0
	for _, crash := range s.crashes {
		if crash.counts() {
			n++
		}
	}
	return n
}

// judge begins a quarantine if there is a further crash, and reports whether it did.
func (s *suspect) judge(now time.Time) bool {
	counted := s.counted()
	if counted < CrashThreshold || counted <= s.judged {
		s.judged = min(s.judged, counted)
		return false
	}
	s.judged = counted
	s.until = now.Add(quarantineTime(counted))
	return true
}

// quarantineTime returns how long a request is quarantined after so many crashes.
func quarantineTime(crashes int) time.Duration {
	d := minQuarantine
	for range crashes - CrashThreshold {
		d = min(d*quarantineGrowth, maxQuarantine)
	}
	return d
}

// expire removes the crashes that no longer count.
func (s *suspect) expire(now time.Time) {
	suspected := s.counted() >= CrashThreshold-1
	s.crashes = slices.DeleteFunc(s.crashes, func(c *reportedCrash) bool { return isExpired(now.Sub(c.reportedAt), suspected) })
}

// CrashCounter holds the coordinator's crash counts over all gateways. It is not safe
// for concurrent use.
type CrashCounter struct {
	suspects map[Fingerprint]*suspect
}

// NewCrashCounter returns a counter without crashes.
func NewCrashCounter() *CrashCounter {
	return &CrashCounter{suspects: map[Fingerprint]*suspect{}}
}

// Report adds the confirmed crashes that a process reports.
func (c *CrashCounter) Report(now time.Time, process string, crashes []Crash) {
	for _, crash := range crashes {
		s := c.suspects[crash.Fingerprint]
		if s == nil {
			if len(c.suspects) >= maxEntries {
				continue
			}
			s = &suspect{}
			c.suspects[crash.Fingerprint] = s
		}
		s.add(newCrash(now, crash, s.crashes), crashSource{process, crash.Number})
	}
}

// add records a report of a crash, which may be known.
func (s *suspect) add(reported *reportedCrash, source crashSource) {
	if i := slices.IndexFunc(s.crashes, func(k *reportedCrash) bool { return k.isSame(source, reported) }); i >= 0 {
		s.crashes[i].sources[source] = true
		return
	}
	reported.sources = map[crashSource]bool{source: true}
	s.crashes = append(s.crashes, reported)
	s.crashes = s.crashes[max(0, len(s.crashes)-maxCrashes):]
}

func newCrash(now time.Time, crash Crash, others []*reportedCrash) *reportedCrash {
	ago := func(ms uint32) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
	out := &reportedCrash{target: crash.Target, reportedAt: now, sentAt: ago(crash.SentAgo), failedAt: ago(crash.FailedAgo)}
	for _, other := range others {
		if other.counts() && out.overlaps(other) && other.overlaps(out) {
			out.concurrent = true
		}
	}
	return out
}

// isSame reports whether a report is about this crash. The successor of a target may have its id: a
// request that was sent well after this crash, or that failed well before it, was at another process.
// Builds that do not number crashes report each target once.
func (c *reportedCrash) isSame(source crashSource, reported *reportedCrash) bool {
	switch {
	case source.number != 0 && c.sources[source]:
		return true
	case c.target != reported.target:
		return false
	default:
		return source.number == 0 || !(reported.isAfter(c) || c.isAfter(reported))
	}
}

// isAfter reports whether the request was sent to a successor of the process that had crashed before.
func (c *reportedCrash) isAfter(before *reportedCrash) bool {
	return c.sentAt.After(before.failedAt.Add(restartMargin))
}

// overlaps reports whether the request was sent clearly before the other crash.
func (c *reportedCrash) overlaps(other *reportedCrash) bool {
	return c.sentAt.Add(concurrencyMargin).Before(other.failedAt)
}

// Served records the requests that targets have answered since they were suspected.
func (c *CrashCounter) Served(served []Fingerprint) {
	for _, f := range served {
		s := c.suspects[f]
		if s == nil {
			continue
		}
		s.judged, s.until = 0, time.Time{}
		for _, crash := range s.crashes {
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
	// Begun holds the quarantines that have begun since the last call.
	Begun []Quarantine
}

// Quarantine is a quarantine that begins.
type Quarantine struct {
	Fingerprint Fingerprint
	Crashes     int
	Duration    time.Duration
}

// Lists returns the lists, without the crashes that have expired.
func (c *CrashCounter) Lists(now time.Time) Lists {
	var out Lists
	for f, s := range c.suspects {
		s.expire(now)
		if len(s.crashes) == 0 {
			delete(c.suspects, f)
			continue
		}
		if s.judge(now) {
			out.Begun = append(out.Begun, Quarantine{f, s.judged, s.until.Sub(now)})
		}
		if now.Before(s.until) {
			out.Quarantined = append(out.Quarantined, f)
		}
		if s.counted() >= CrashThreshold-1 {
			out.Suspected = append(out.Suspected, f)
		}
		if slices.ContainsFunc(s.crashes, func(crash *reportedCrash) bool { return crash.cleared }) {
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
