package schedule

import "time"

// Adaptation of a window.
const (
	// maxTokenIntervalRatio and slowFirst are the ratios to an idle target above which a
	// window shrinks. The batch of an engine gains throughput until its step
	// time has grown several times over, but each call slows down with it.
	maxTokenIntervalRatio = 3.0
	maxFirstTokenRatio    = 4.0
	decreaseFactor        = 0.85
	// decreaseInterval lets a decrease take effect before the next one.
	decreaseInterval = time.Second
	// growUtilization is the used part of a window above which it may grow.
	growUtilization = 0.8
	// baseIntervalSmoothing lets the base time follow an engine that became slower for good.
	baseIntervalSmoothing = 0.002
	smoothing             = 0.2
	// stepArrivalFraction bounds the calls that arrive during one step of an engine, as a
	// part of those that run.
	stepArrivalFraction = 0.25
	minStepArrivals     = 2
)

// window adapts the number of calls in flight on one target: additive increase
// for each window of finished calls, multiplicative decrease on slow-down. It
// counts calls and not users, so more VMs do not probe harder.
type window struct {
	size              float64
	max               float64
	fixed             bool
	tokenInterval     float64 // smoothed seconds between tokens
	baseTokenInterval float64 // the same on an idle target
	decreasedAt       time.Time
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

// setMax changes the largest batch.
func (w *window) setMax(maxBatch int) {
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
	if b := s.TokenInterval.Seconds(); b > 0 {
		if w.tokenInterval == 0 {
			w.tokenInterval, w.baseTokenInterval = b, b
		}
		w.tokenInterval += smoothing * (b - w.tokenInterval)
		w.baseTokenInterval = min(w.baseTokenInterval+baseIntervalSmoothing*(w.tokenInterval-w.baseTokenInterval), b)
	}
	if w.tokenInterval > maxTokenIntervalRatio*w.baseTokenInterval || s.FirstTokenRatio > maxFirstTokenRatio {
		w.decrease(now)
		return
	}
	if float64(inUse) >= growUtilization*w.size {
		w.size = min(w.size+float64(s.Calls)/w.size, w.max)
	}
}

func (w *window) decrease(now time.Time) {
	if now.Sub(w.decreasedAt) >= decreaseInterval {
		w.size = max(w.size*decreaseFactor, 1)
		w.decreasedAt = now
	}
}

// applyLoadReport applies a load applyLoadReport. Calls that wait inside the engine would be
// better off in the queue here. A few wait at any time, because an engine admits
// calls only between two steps. Reports measured before the last decrease
// describe the larger window.
func (w *window) applyLoadReport(now time.Time, r LoadReport) {
	maxWaiting := max(minStepArrivals, int(stepArrivalFraction*float64(r.Running)))
	if r.Waiting > maxWaiting && !w.fixed && r.At.After(w.decreasedAt) {
		w.size = max(min(w.size, float64(r.Running)), 1)
		w.decreasedAt = now
	}
}
