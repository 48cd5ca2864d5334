package schedule

import "time"

// Parameters of the adaptation of a window.
const (
	// maxTokenIntervalRatio and maxFirstTokenRatio are ratios to the values of
	// an idle target. Above them, a window decreases. The throughput of an
	// engine grows with its batch until the step time is several times that of
	// an idle engine, but each call becomes slower with it.
	maxTokenIntervalRatio = 3.0
	maxFirstTokenRatio    = 4.0
	decreaseFactor        = 0.85
	// decreaseInterval is the minimum time between two decreases, so that the
	// effect of the first one is measured before the next.
	decreaseInterval = time.Second
	// growUtilization is the used fraction of a window from which it may grow.
	growUtilization = 0.8
	// baseIntervalSmoothing lets the base interval follow an engine that has
	// become slower permanently.
	baseIntervalSmoothing = 0.002
	smoothing             = 0.2
	// stepArrivalFraction is the fraction of an engine's running calls that may
	// wait in the engine without a decrease, because they arrived during its
	// current step. At least minStepArrivals calls may wait.
	stepArrivalFraction = 0.25
	minStepArrivals     = 2
)

// window is the concurrency limit of one target. It grows by 1 each time as
// many calls as its size have finished, and decreases by a factor when the target
// slows down. The growth counts calls and not VMs, so its rate is independent of
// the number of VMs.
type window struct {
	size              float64
	max               float64
	fixed             bool
	tokenInterval     float64 // smoothed seconds between tokens
	baseTokenInterval float64 // seconds between tokens on an idle target
	decreasedAt       time.Time
}

// newWindow returns a window at half of the largest batch. This neither
// overloads the targets after a restart of all VMs nor leaves them idle after the
// restart of one.
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

// observe adapts the window to measurements of calls that finished while inUse
// calls were in flight.
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

// applyLoadReport decreases the window if calls wait inside the engine, because
// they are better queued by the scheduler. A few calls may wait at any time,
// because an engine admits calls only between two steps. Reports that were
// measured before the last decrease are ignored, because they describe the
// larger window.
func (w *window) applyLoadReport(now time.Time, r LoadReport) {
	maxWaiting := max(minStepArrivals, int(stepArrivalFraction*float64(r.Running)))
	if r.Waiting > maxWaiting && !w.fixed && r.At.After(w.decreasedAt) {
		w.size = max(min(w.size, float64(r.Running)), 1)
		w.decreasedAt = now
	}
}
