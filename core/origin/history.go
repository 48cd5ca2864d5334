package origin

import "time"

const (
	// FormerPeriod is the time for which coordinators tell gateways that a version has left.
	FormerPeriod = 10 * time.Second
	// historyRetention is the time for which a version that has left is remembered.
	historyRetention = time.Minute
	// MaxListAge is the time after which a list is no longer current, from the moment at which
	// a coordinator began to read it. Coordinators read the platform's list every second.
	MaxListAge = 2500 * time.Millisecond
)

// History remembers which software versions of each service were listed, and since when
// without a gap. With it a stream is resumed although its origin was not recorded, if only
// one version can have begun it. It is not safe for concurrent use.
//
// This relies on two rules that all gateways keep. A list counts for MaxListAge from the
// moment at which a coordinator began to read it, however late it arrives. A version that
// joins is unsettled for MaxListAge after its first list has arrived, and begins no stream
// that can be resumed. A gateway whose list lacks the version has therefore no current list
// any more when the first such stream begins.
type History struct {
	current map[Origin]bool
	// left holds the versions that are no longer listed, and when they were last.
	left map[Origin]time.Time
	// unsettled holds the versions that have joined, and until when they are unsettled.
	unsettled map[Origin]time.Time
	// since is the start of the time without a gap, and seen its end.
	since, seen time.Time
}

// Listed records a list that has arrived now and that a coordinator began to read at readAt.
func (h *History) Listed(now, readAt time.Time, list map[Origin]bool) {
	h.Confirmed(readAt)
	h.seen = readAt // also if the list before was newer
	if h.current == nil {
		// The first list does not tell which of its versions have just joined.
		h.left, h.unsettled, h.current = map[Origin]time.Time{}, map[Origin]time.Time{}, list
	}
	for o := range h.current {
		if !list[o] {
			h.left[o] = now
		}
	}
	for o := range list {
		if !h.current[o] {
			h.unsettled[o] = now.Add(MaxListAge)
		}
	}
	for o, at := range h.left {
		if list[o] || now.Sub(at) > historyRetention {
			delete(h.left, o)
		}
	}
	h.current = list
}

// Confirmed records that a list read since readAt is the same as the last one.
func (h *History) Confirmed(readAt time.Time) {
	if h.seen.IsZero() || readAt.Sub(h.seen) > MaxListAge {
		h.since = readAt
	}
	if readAt.After(h.seen) {
		h.seen = readAt
	}
}

// Unsettled returns the versions that begin no stream that can be resumed, because other
// gateways may not know them yet. It is nil if there are none.
func (h *History) Unsettled(now time.Time) map[Origin]bool {
	var out map[Origin]bool
	for o, until := range h.unsettled {
		if !now.Before(until) {
			delete(h.unsettled, o)
			continue
		}
		if out == nil {
			out = map[Origin]bool{}
		}
		out[o] = true
	}
	return out
}

// Former returns the versions that left within FormerPeriod, and whether the history covers
// that period.
func (h *History) Former(now time.Time) (left map[Origin]bool, complete bool) {
	left = map[Origin]bool{}
	for o, at := range h.left {
		if now.Sub(at) <= FormerPeriod {
			left[o] = true
		}
	}
	return left, h.covers(now, FormerPeriod)
}

func (h *History) covers(now time.Time, period time.Duration) bool {
	return h.isCurrent(now) && now.Sub(h.since) >= period
}

func (h *History) isCurrent(now time.Time) bool {
	return !h.seen.IsZero() && now.Sub(h.seen) <= MaxListAge
}

// Only returns the origin of all streams of a service that began within a period, if there is
// only one. former holds the versions that left within FormerPeriod by the history of the
// coordinators; it is nil if theirs does not cover that period.
func (h *History) Only(now time.Time, service string, period time.Duration, former map[Origin]bool) (Origin, bool) {
	if !h.isCurrent(now) || period > historyRetention {
		return Origin{}, false
	}
	var candidates Merge
	add := func(o Origin) {
		if o.Service == service {
			candidates.add(o)
		}
	}
	for o := range h.current {
		add(o)
	}
	switch {
	case h.covers(now, period):
		for o, at := range h.left {
			if now.Sub(at) <= period {
				add(o)
			}
		}
	case former != nil && period <= FormerPeriod:
		for o := range former {
			add(o)
		}
	default:
		return Origin{}, false
	}
	o, ok := candidates.Origin()
	return o, ok && o.Version != ""
}
