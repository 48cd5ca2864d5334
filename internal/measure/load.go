package measure

import (
	"context"
	"sync"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
)

// drainTimeout is the time after the window in which running programs may end
// before they are aborted.
const drainTimeout = 25 * time.Second

// observation holds the raw results of one run.
type observation struct {
	start    time.Time
	window   time.Duration
	calls    []callResult
	programs []programResult
	// crossRegion is the number of recorded bytes of model requests that went to
	// engines outside the region of their entry VM.
	crossRegion int64
}

// runPrograms runs the programs on a fleet and aborts those that still run when
// the drain time after the window is over. With loseTarget set, one engine fails
// after a third of the window.
func runPrograms(ctx context.Context, f *fleet, scripts []*script, window, drain time.Duration, loseTarget bool) *observation {
	ctx, cancel := context.WithTimeout(ctx, window+drain)
	defer cancel()
	c := newCaller(f)
	defer c.http.CloseIdleConnections()
	o := &observation{start: time.Now(), window: window}
	if loseTarget {
		timer := time.AfterFunc(window/3, func() { _ = f.engines[0].Close() })
		defer timer.Stop()
	}
	var running sync.WaitGroup
	for _, s := range scripts {
		running.Go(func() {
			sleep(ctx, s.arrival)
			c.runProgram(ctx, s)
		})
	}
	finished := make(chan struct{})
	go func() { running.Wait(); close(finished) }()
	o.collect(c, finished)
	o.crossRegion = f.crossRegion(o.calls)
	return o
}

// collect stores the results of calls and programs until finished is closed. It
// is the only writer of the observation during a run.
func (o *observation) collect(c *caller, finished <-chan struct{}) {
	for {
		select {
		case r := <-c.calls:
			o.calls = append(o.calls, r)
		case p := <-c.programs:
			o.programs = append(o.programs, p)
		case <-finished:
			for len(c.calls) > 0 {
				o.calls = append(o.calls, <-c.calls)
			}
			for len(c.programs) > 0 {
				o.programs = append(o.programs, <-c.programs)
			}
			return
		}
	}
}

// crossRegion returns the recorded bytes of model requests that went to an engine
// outside the region of their entry VM. It uses the call ID to find the entry
// region of each recorded request.
func (f *fleet) crossRegion(calls []callResult) int64 {
	entry := map[domain.CallID]domain.Region{}
	for _, c := range calls {
		entry[c.id] = c.entry
	}
	var bytes int64
	for i, e := range f.engines {
		region := regions[centres[i%len(centres)]]
		for _, r := range e.Requests() {
			from, known := entry[domain.CallID(r.Header.Get("X-Engine-Call"))]
			if known && from != region {
				bytes += int64(len(r.Body))
			}
		}
	}
	return bytes
}

// inProgress returns the number of programs that are running at the given time
// after the start.
func (o *observation) inProgress(at time.Duration) int {
	n, t := 0, o.start.Add(at)
	for _, p := range o.programs {
		if !p.arrived.After(t) && p.ended.After(t) {
			n++
		}
	}
	return n
}

// keepsUp reports whether the backlog of programs stayed bounded: in the second
// half of the window it grew by at most the fraction maxBacklogGrowth of the
// programs that arrived in that half.
func (o *observation) keepsUp() bool {
	half, arrived := o.window/2, 0
	for _, p := range o.programs {
		if p.arrived.After(o.start.Add(half)) {
			arrived++
		}
	}
	return float64(o.inProgress(o.window)-o.inProgress(half)) <= maxBacklogGrowth*float64(arrived)
}

// maxBacklogGrowth is a fraction of the arrived programs.
const maxBacklogGrowth = 0.1
