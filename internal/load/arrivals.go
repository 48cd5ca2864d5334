package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Arrivals describe an open-loop Poisson process: programs start at random times
// that do not depend on how fast earlier programs are served.
type Arrivals struct {
	Seed uint64
	// Rate is the mean number of programs per second.
	Rate float64
	// Duration is the time during which programs start.
	Duration time.Duration
}

// Arrival is the start of one program: At is the time since the start of the run,
// Program the index in the file.
type Arrival struct {
	At      time.Duration
	Program int
}

// Plan returns the arrivals of a run with that many programs in the file. The
// intervals are exponentially distributed and the programs uniformly. The same
// seed gives the same plan.
func (a Arrivals) Plan(programs int) []Arrival {
	random := rand.New(rand.NewPCG(a.Seed, 0))
	var out []Arrival
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() / a.Rate * float64(time.Second))
		if at >= a.Duration {
			return out
		}
		out = append(out, Arrival{at, random.IntN(programs)})
	}
}

// RunOpen starts programs of the file at the planned arrivals and returns when
// all have ended.
func (r *Runner) RunOpen(ctx context.Context, f *File, a Arrivals, prefix string) {
	var running sync.WaitGroup
	started := time.Now()
	for i, arrival := range a.Plan(len(f.Programs)) {
		if !sleep(ctx, time.Until(started.Add(arrival.At))) {
			break
		}
		p := f.Programs[arrival.Program]
		running.Go(func() { r.Run(ctx, p, fmt.Sprintf("%s%s-%d", prefix, p.Name, i+1)) })
	}
	running.Wait()
}
