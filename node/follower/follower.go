// Package follower keeps a process up to date with the coordinators: it sends
// reports to the leader and applies the replies.
package follower

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/go-logr/logr"

	"github.com/mangoknot/mangoknot/core/allowance"
	"github.com/mangoknot/mangoknot/core/coordinator"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/port"
)

const (
	// callTimeout bounds one report to the leader. Another region is 16 ms away,
	// and a loaded coordinator answers within some tens of milliseconds.
	callTimeout = 400 * time.Millisecond
	// searchFanout is the number of coordinators that receive a report
	// concurrently while no leader is known. It equals the number of voters.
	searchFanout = 3
	// searchTimeout bounds a report while no leader is known. It allows a few
	// round trips to the other region and a slow VM.
	searchTimeout = 250 * time.Millisecond
	// retryDelay is the pause before the next coordinators are tried.
	retryDelay = 50 * time.Millisecond
)

// Process is the role that creates the reports and applies the replies.
type Process interface {
	// Report returns the report to be sent next.
	Report(ctx context.Context) (*coordinator.Report, error)
	// Apply applies the reply to a report.
	Apply(v *coordinator.View)
}

// Follower sends reports to the leader, or to several coordinators concurrently
// while no leader is known. It is used by one goroutine.
type Follower struct {
	calls   port.RPCClient
	process Process
	seeds   func() []string
	log     logr.Logger

	coordinators []string
	next         int
	leader       string
	connected    bool
	documents    documentReader
}

// errUnexpectedReply is returned for a reply of another type.
var errUnexpectedReply = errors.New("follower: the reply is of an unexpected type; check that all VMs run compatible versions")

// answer is the reply of one coordinator, or its error.
type answer struct {
	address string
	reply   domain.Message
	err     error
}

// New returns a follower that starts with the seeds, the peer addresses of some
// coordinators. The result of seeds may change while the process runs.
func New(calls port.RPCClient, process Process, seeds func() []string, log logr.Logger) *Follower {
	return &Follower{calls: calls, process: process, seeds: seeds, coordinators: seeds(), log: log, documents: documentReader{calls: calls, process: process, log: log}}
}

// Run sends reports until the context ends, and returns the context's error.
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

// reportOnce sends one report and reports whether the leader answered it.
// Without a known leader each reply is applied as it arrives, so that an
// unresponsive coordinator does not delay the search.
func (f *Follower) reportOnce(ctx context.Context) bool {
	report, err := f.process.Report(ctx)
	if err != nil {
		f.log.Info("the report could not be created", "error", err.Error())
		return false
	}
	addresses, timeout := f.recipients()
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answers := make(chan answer, len(addresses))
	for _, address := range addresses {
		go func() {
			reply, err := f.calls.Call(callCtx, address, report)
			answers <- answer{address, reply, err}
		}()
	}
	for range addresses {
		if f.handleAnswer(ctx, <-answers) {
			return true
		}
	}
	return false
}

// recipients returns the leader, or the next coordinators in turn, and the
// time-out of the calls.
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

// handleAnswer applies one answer and reports whether it comes from the leader.
func (f *Follower) handleAnswer(ctx context.Context, a answer) bool {
	if a.err != nil {
		f.callFailed(a.address, a.err)
		return false
	}
	view, ok := a.reply.(*coordinator.View)
	if !ok {
		f.log.Info("a coordinator answered with an unexpected message", "coordinator", a.address, "message", a.reply.MessageName())
		f.leader = ""
		return false
	}
	f.updateLeader(a.address, view)
	f.process.Apply(view)
	if view.NewerDocument > 0 {
		// The coordinator that answered first is probably the nearest one.
		f.documents.start(ctx, view.NewerDocument, append([]string{a.address}, f.coordinators...))
	}
	return view.Authoritative
}

func (f *Follower) callFailed(address string, err error) {
	if f.connected {
		f.log.Info("lost the connection to the coordinators; the last known state stays in use", "coordinator", address, "error", err.Error())
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
			f.log.Info("connected to the leader of the coordinators", "leader", address)
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
