// Package follower keeps a process up to date with the coordinators: it reports
// to the leader and applies the answers.
package follower

import (
	"context"
	"slices"
	"time"

	"github.com/go-logr/logr"

	"github.com/mangoknot/mangoknot/core/allowance"
	"github.com/mangoknot/mangoknot/core/coordinator"
	"github.com/mangoknot/mangoknot/port"
)

const (
	// callTimeout bounds one report. A region is 16 ms away; a loaded coordinator
	// answers within some ten milliseconds.
	callTimeout = 400 * time.Millisecond
	// retryDelay is the pause before another coordinator is asked.
	retryDelay = 50 * time.Millisecond
)

// Process is what a role does with reports and answers.
type Process interface {
	// Report returns the next report.
	Report(ctx context.Context) (*coordinator.Report, error)
	// Apply takes the answer to it.
	Apply(v *coordinator.View)
}

// Follower asks one coordinator after the other until it finds the leader. It is
// used by one goroutine.
type Follower struct {
	calls   port.Calls
	process Process
	seeds   func() []string
	log     logr.Logger

	known   []string
	next    int
	leader  string
	reached bool
}

// New returns a follower that starts with the seeds, the peer addresses of some
// coordinators. They may change while the process runs.
func New(calls port.Calls, process Process, seeds func() []string, log logr.Logger) *Follower {
	return &Follower{calls: calls, process: process, seeds: seeds, known: seeds(), log: log}
}

// Run reports until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	for {
		delay := allowance.ReportInterval
		if !f.once(ctx) {
			delay = retryDelay
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(delay):
		}
	}
}

// once sends one report and says whether the leader answered it.
func (f *Follower) once(ctx context.Context) bool {
	report, err := f.process.Report(ctx)
	if err != nil {
		return false
	}
	address := f.address()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := f.calls.Call(ctx, address, report)
	if err != nil {
		f.failed(address, err)
		return false
	}
	view, ok := reply.(*coordinator.View)
	if !ok {
		f.log.Info("a coordinator answered with another message", "coordinator", address, "message", reply.MessageName())
		f.leader = ""
		return false
	}
	f.follow(address, view)
	f.process.Apply(view)
	return view.Authoritative
}

// address returns the leader, or the next coordinator in turn.
func (f *Follower) address() string {
	if f.leader != "" {
		return f.leader
	}
	f.next++
	return f.known[f.next%len(f.known)]
}

func (f *Follower) failed(address string, err error) {
	if f.reached {
		f.log.Info("lost the coordinators; the last known state stays in use", "coordinator", address, "error", err.Error())
	}
	f.reached, f.leader = false, ""
	f.known = union(f.known, f.seeds())
}

func (f *Follower) follow(address string, view *coordinator.View) {
	f.known = union(view.Coordinators, f.seeds())
	if view.Authoritative {
		if !f.reached {
			f.log.Info("the coordinators' leader answers", "leader", address)
		}
		f.reached, f.leader = true, address
		return
	}
	f.leader = ""
	if view.Leader != "" && view.Leader != address {
		f.leader = view.Leader
	}
}

func union(a, b []string) []string {
	out := slices.Clone(a)
	for _, s := range b {
		if !slices.Contains(out, s) {
			out = append(out, s)
		}
	}
	return out
}
