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
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/port"
)

const (
	// callTimeout bounds one report. A region is 16 ms away; a loaded coordinator
	// answers within some ten milliseconds.
	callTimeout = 400 * time.Millisecond
	// searchFanout is the number of coordinators that are asked at a time while no
	// leader is known, as many as today's voters.
	searchFanout = 3
	// searchTimeout bounds such a report. It is a few round trips to the other
	// region, with room for a slowed VM.
	searchTimeout = 250 * time.Millisecond
	// retryDelay is the pause before other coordinators are asked.
	retryDelay = 50 * time.Millisecond
)

// Process is what a role does with reports and answers.
type Process interface {
	// Report returns the next report.
	Report(ctx context.Context) (*coordinator.Report, error)
	// Apply takes the answer to it.
	Apply(v *coordinator.View)
}

// Follower reports to the leader, and asks several coordinators at a time while it
// knows none. It is used by one goroutine.
type Follower struct {
	calls   port.Calls
	process Process
	seeds   func() []string
	log     logr.Logger

	coordinators []string
	next         int
	leader       string
	connected    bool
}

// answer is what one coordinator replied, or its error.
type answer struct {
	address string
	reply   domain.Message
	err     error
}

// New returns a follower that starts with the seeds, the peer addresses of some
// coordinators. They may change while the process runs.
func New(calls port.Calls, process Process, seeds func() []string, log logr.Logger) *Follower {
	return &Follower{calls: calls, process: process, seeds: seeds, coordinators: seeds(), log: log}
}

// Run reports until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	for {
		delay := allowance.ReportInterval
		if !f.reportOnce(ctx) {
			delay = retryDelay
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(delay):
		}
	}
}

// reportOnce sends one report and says whether the leader answered it. Without a known
// leader the first answers count; a coordinator that does not answer must not
// delay the search.
func (f *Follower) reportOnce(ctx context.Context) bool {
	report, err := f.process.Report(ctx)
	if err != nil {
		f.log.Info("no report was sent", "error", err.Error())
		return false
	}
	addresses, timeout := f.recipients()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answers := make(chan answer, len(addresses))
	for _, address := range addresses {
		go func() {
			reply, err := f.calls.Call(ctx, address, report)
			answers <- answer{address, reply, err}
		}()
	}
	for range addresses {
		if f.handleAnswer(<-answers) {
			return true
		}
	}
	return false
}

// recipients returns the leader, or the next coordinators in turn, and the time that
// they have to answer.
func (f *Follower) recipients() ([]string, time.Duration) {
	if f.leader != "" {
		return []string{f.leader}, callTimeout
	}
	var out []string
	for range min(searchFanout, len(f.coordinators)) {
		f.next++
		out = append(out, f.coordinators[f.next%len(f.coordinators)])
	}
	return out, searchTimeout
}

// handleAnswer applies one answer and says whether it comes from the leader.
func (f *Follower) handleAnswer(a answer) bool {
	if a.err != nil {
		f.callFailed(a.address, a.err)
		return false
	}
	view, ok := a.reply.(*coordinator.View)
	if !ok {
		f.log.Info("a coordinator answered with another message", "coordinator", a.address, "message", a.reply.MessageName())
		f.leader = ""
		return false
	}
	f.updateLeader(a.address, view)
	f.process.Apply(view)
	return view.Authoritative
}

func (f *Follower) callFailed(address string, err error) {
	if f.connected {
		f.log.Info("lost the coordinators; the last known state stays in use", "coordinator", address, "error", err.Error())
	}
	f.connected = false
	if f.leader == address {
		f.leader = ""
	}
	f.coordinators = union(f.coordinators, f.seeds())
}

func (f *Follower) updateLeader(address string, view *coordinator.View) {
	f.coordinators = union(view.Coordinators, f.seeds())
	if view.Authoritative {
		if !f.connected {
			f.log.Info("the coordinators' leader answers", "leader", address)
		}
		f.connected, f.leader = true, address
		return
	}
	switch {
	case view.Leader != "" && view.Leader != address:
		f.leader = view.Leader
	case f.leader == address:
		f.leader = ""
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
