package balance

import (
	"maps"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
)

const (
	// staleListAfter is the time without an answer of a coordinator with a current list after
	// which any target may be cold.
	staleListAfter = 3 * time.Second
	// maxColdReport bounds the time for which an answer is believed that says how long its target
	// is cold.
	maxColdReport = 10 * time.Minute
)

// ColdTarget is a target that said in an answer that it is cold, and for how much longer.
type ColdTarget struct {
	Target    domain.Target
	Remaining time.Duration
}

// ColdReports remembers the targets that said in an answer that they are cold. It is not safe
// for concurrent use.
type ColdReports struct{ until map[domain.Target]time.Time }

// Observe records that a target is cold for a while. It reports whether it was not known to be.
func (r *ColdReports) Observe(now time.Time, c ColdTarget) bool {
	if r.until == nil {
		r.until = map[domain.Target]time.Time{}
	}
	known := now.Before(r.until[c.Target])
	until := now.Add(min(c.Remaining, maxColdReport))
	if until.After(r.until[c.Target]) {
		r.until[c.Target] = until
	}
	return !known && now.Before(until)
}

// Mark returns the list with these targets marked.
func (r *ColdReports) Mark(now time.Time, list []Target) []Target {
	maps.DeleteFunc(r.until, func(_ domain.Target, until time.Time) bool { return !now.Before(until) })
	if len(r.until) == 0 {
		return list
	}
	out := make([]Target, len(list))
	for i, t := range list {
		_, reported := r.until[t.ID]
		t.Cold = t.Cold || reported
		out[i] = t
	}
	return out
}

// Coldness decides at one gateway which targets count as cold: those that the list or an
// answer says are, those of a data centre whose evacuation ended and those that failed, until a
// list that was read late enough says otherwise, and all while the list is not current. Only targets of services
// with a limit count. It is not safe for concurrent use.
type Coldness struct {
	// lag is by how much the list lags at most.
	lag    time.Duration
	limits map[string]float64
	list   []Target
	// readAt is the time at which the read of the present list began, and currentAt the time
	// of the last answer of a coordinator with a current list.
	readAt, currentAt time.Time
	ended             map[domain.DataCentre]time.Time
	reports           ColdReports
	// failed holds the targets that failed, with the time of the first answer after that or the
	// zero time.
	failed map[domain.Target]time.Time
	cold   map[domain.Target]float64
}

// NewColdness returns a state without a list.
func NewColdness(lag time.Duration) *Coldness {
	return &Coldness{lag: lag, ended: map[domain.DataCentre]time.Time{}, failed: map[domain.Target]time.Time{}}
}

// SetLimits replaces the limits of cold targets, in requests a second by service.
func (c *Coldness) SetLimits(limits map[string]float64) { c.limits = limits }

// SetList replaces the list of targets.
func (c *Coldness) SetList(list []Target) {
	c.list = list
	if len(c.failed) == 0 {
		return
	}
	listed := map[domain.Target]bool{}
	for _, t := range list {
		listed[t.ID] = true
	}
	maps.DeleteFunc(c.failed, func(id domain.Target, _ time.Time) bool { return !listed[id] })
}

// Confirmed records that a coordinator has the present list, whose read began at readAt.
func (c *Coldness) Confirmed(now, readAt time.Time) {
	c.currentAt = now
	if readAt.After(c.readAt) {
		c.readAt = readAt
	}
	for dc, at := range c.ended {
		if c.readAt.After(at.Add(c.lag)) {
			delete(c.ended, dc)
		}
	}
	maps.DeleteFunc(c.failed, func(_ domain.Target, answered time.Time) bool {
		return !answered.IsZero() && c.readAt.After(answered.Add(c.lag))
	})
}

// EvacuationEnded records that a data centre gets requests again.
func (c *Coldness) EvacuationEnded(now time.Time, dc domain.DataCentre) { c.ended[dc] = now }

// Failed records that a request failed at a target. Its process may have ended, and the next one
// begins cold before the list shows it.
func (c *Coldness) Failed(id domain.Target) {
	if len(c.limits) > 0 {
		c.failed[id] = time.Time{}
	}
}

// Served records that a target answered.
func (c *Coldness) Served(now time.Time, id domain.Target) {
	if answered, failed := c.failed[id]; failed && answered.IsZero() {
		c.failed[id] = now
	}
}

// Observe records that an answer says that its target is cold.
func (c *Coldness) Observe(now time.Time, t ColdTarget) { c.reports.Observe(now, t) }

// Unlisted returns the targets that said that they are cold, which the list does not show.
func (c *Coldness) Unlisted(now time.Time) []ColdTarget {
	if len(c.limits) == 0 || len(c.reports.until) == 0 {
		return nil
	}
	var out []ColdTarget
	for _, t := range c.list {
		if remaining := c.reports.until[t.ID].Sub(now); remaining > 0 && !t.Cold && c.limits[t.Service] > 0 {
			out = append(out, ColdTarget{t.ID, remaining})
		}
	}
	return out
}

// Update returns the targets that count as cold with their limits, and whether that changed.
// The result must not be modified.
func (c *Coldness) Update(now time.Time) (cold map[domain.Target]float64, changed bool) {
	var next map[domain.Target]float64
	if len(c.limits) > 0 {
		next = c.find(now)
	}
	changed = !maps.Equal(next, c.cold)
	c.cold = next
	return next, changed
}

func (c *Coldness) find(now time.Time) map[domain.Target]float64 {
	stale := c.currentAt.IsZero() || now.Sub(c.currentAt) >= staleListAfter
	var out map[domain.Target]float64
	for _, t := range c.list {
		limit := c.limits[t.Service]
		if limit <= 0 {
			continue
		}
		_, ended := c.ended[t.DataCentre]
		_, failed := c.failed[t.ID]
		if t.Cold || stale || ended || failed || now.Before(c.reports.until[t.ID]) {
			if out == nil {
				out = map[domain.Target]float64{}
			}
			out[t.ID] = limit
		}
	}
	return out
}
