package schedule

import "time"

// Adaptation of a window.
const (
	// slowBetween and slowFirst are the ratios to an idle target above which a
	// window shrinks. The batch of an engine gains throughput until its step
	// time has grown several times over, but each call slows down with it.
	slowBetween = 3.0
	slowFirst   = 4.0
	shrink      = 0.85
	// shrinkPause lets a decrease take effect before the next one.
	shrinkPause = time.Second
	// busyPart is the used part of a window above which it may grow.
	busyPart = 0.8
	// baseDrift lets the base time follow an engine that became slower for good.
	baseDrift = 0.002
	smoothing = 0.2
	// stepPart bounds the calls that arrive during one step of an engine, as a
	// part of those that run.
	stepPart  = 0.25
	leastStep = 2
)

// window adapts the number of calls in flight on one target: additive increase
// for each window of finished calls, multiplicative decrease on slow-down. It
// counts calls and not users, so more VMs do not probe harder.
type window struct {
	size     float64
	max      float64
	fixed    bool
	between  float64 // smoothed seconds between tokens
	base     float64 // the same on an idle target
	shrunkAt time.Time
}

// newWindow starts at half of the largest batch, so that neither a restart of
// all VMs floods the targets nor a single one idles them.
func newWindow(maxBatch int, fixed bool) window {
	limit := float64(max(maxBatch, 1))
	if fixed {
		return window{size: limit, max: limit, fixed: true}
	}
	return window{size: max(limit/2, 1), max: limit}
}

func (w *window) permits() int { return int(w.size) }

// limit changes the largest batch.
func (w *window) limit(maxBatch int) {
	w.max = float64(max(maxBatch, 1))
	if w.fixed {
		w.size = w.max
	}
	w.size = min(w.size, w.max)
}

// observe adapts to measurements of finished calls while inUse were in flight.
func (w *window) observe(now time.Time, s Sample, inUse int) {
	if s.Calls == 0 || w.fixed {
		return
	}
	if b := s.Between.Seconds(); b > 0 {
		if w.between == 0 {
			w.between, w.base = b, b
		}
		w.between += smoothing * (b - w.between)
		w.base = min(w.base+baseDrift*(w.between-w.base), b)
	}
	if w.between > slowBetween*w.base || s.FirstSlow > slowFirst {
		w.decrease(now)
		return
	}
	if float64(inUse) >= busyPart*w.size {
		w.size = min(w.size+float64(s.Calls)/w.size, w.max)
	}
}

func (w *window) decrease(now time.Time) {
	if now.Sub(w.shrunkAt) >= shrinkPause {
		w.size = max(w.size*shrink, 1)
		w.shrunkAt = now
	}
}

// report applies a load report. Calls that wait inside the engine would be
// better off in the queue here. A few wait at any time, because an engine admits
// calls only between two steps. Reports measured before the last decrease
// describe the larger window.
func (w *window) report(now time.Time, r LoadReport) {
	betweenSteps := max(leastStep, int(stepPart*float64(r.Running)))
	if r.Waiting > betweenSteps && !w.fixed && r.At.After(w.shrunkAt) {
		w.size = max(min(w.size, float64(r.Running)), 1)
		w.shrunkAt = now
	}
}
