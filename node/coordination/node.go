// Package coordination runs a coordinator: the control goroutine of
// core/coordinator, its disk, its peers and the operations of operators.
package coordination

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/go-logr/logr"

	"github.com/mangoknot/mangoknot/core/coordinator"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/evacuation"
	"github.com/mangoknot/mangoknot/core/manifest"
	"github.com/mangoknot/mangoknot/core/raft"
	"github.com/mangoknot/mangoknot/node/loop"
	"github.com/mangoknot/mangoknot/port"
)

const (
	// Stream is the name of the disk stream with the Raft log.
	Stream = "coordinator"
	// AppliedStream is the name of the disk stream with the newest applied state.
	AppliedStream = "applied"
	// sendTimeout bounds the delivery of one Raft message; later messages carry
	// the same state.
	sendTimeout = 500 * time.Millisecond
	// largeSendTimeout bounds the delivery of a message with a large document. Until it
	// ends no other one is sent to the peer: Raft repeats what was not answered, and
	// repeated documents would keep a narrow link full.
	largeSendTimeout = 5 * time.Second
	// sendLimit bounds the in-flight Raft messages to all peers together.
	sendLimit = 256
	// joinInterval is the pause between two join requests.
	joinInterval = 300 * time.Millisecond
	// appliedRetryDelay is the pause before the applied state is written again.
	appliedRetryDelay = 500 * time.Millisecond
	// listTimeout bounds one read of the platform's list of targets, for all
	// pages together.
	listTimeout = 900 * time.Millisecond
)

// Metrics receives the counters of a coordinator.
type Metrics interface {
	// Count counts an event of the coordinator, by kind.
	Count(event string)
	// Evacuations records the evacuations in force.
	Evacuations(inForce []evacuation.Order)
}

// Options holds the settings and adapters of a Node.
type Options struct {
	Config coordinator.Config
	// Restored is the state of the Raft log that was read from the disk.
	Restored raft.Restored
	Disk     port.Disk
	Calls    port.RPCClient
	Targets  port.TargetLister
	Clock    port.Clock
	// Seeds returns the peer addresses of some coordinators.
	Seeds   func() []string
	Metrics Metrics
	Log     logr.Logger
}

type sendsAfterSync struct {
	token raft.PersistToken
	sends []domain.Send
}

// Node is one running coordinator.
type Node struct {
	o Options
	loop.Actor

	// The fields below belong to the control goroutine.
	coordinator  *coordinator.Coordinator
	pendingSends []sendsAfterSync
	// applied is the newest applied state. appliedDue is the time at which it is written
	// again after a failure, and zero otherwise.
	applied    *coordinator.State
	appliedDue time.Time
	operations map[coordinator.Ticket]chan error
	// sendingLarge holds the peers to which a large message is being sent.
	sendingLarge map[domain.VM]bool

	sendSlots chan struct{}
}

// New returns a node that is not running yet.
func New(o Options) *Node {
	n := &Node{
		o:            o,
		coordinator:  coordinator.New(o.Config, o.Restored, o.Clock.Now()),
		operations:   map[coordinator.Ticket]chan error{},
		sendingLarge: map[domain.VM]bool{},
		sendSlots:    make(chan struct{}, sendLimit),
	}
	n.Actor = loop.NewActor(o.Clock, n.settle)
	n.o.Metrics.Evacuations(n.coordinator.Evacuations().InForce())
	return n
}

// settle passes the effects of the coordinator to the adapters.
func (n *Node) settle(now time.Time) time.Time {
	n.coordinator.Tick(now)
	effects := n.coordinator.Ready(now)
	n.persist(effects)
	n.send(effects.Now)
	for _, outcome := range effects.Outcomes {
		if done, ok := n.operations[outcome.Ticket]; ok {
			done <- outcome.Err
			delete(n.operations, outcome.Ticket)
		}
	}
	if effects.Applied != nil {
		n.applied = effects.Applied
		n.o.Metrics.Evacuations(n.applied.Evacuations.InForce())
		n.writeApplied()
	} else if !n.appliedDue.IsZero() && !now.Before(n.appliedDue) {
		n.writeApplied()
	}
	for _, e := range effects.Events {
		n.o.Log.Info(e.Message, "detail", e.Detail)
		n.o.Metrics.Count(e.Message)
	}
	if effects.ListTargets {
		go n.listTargets()
	}
	return n.coordinator.NextWake(now)
}

// writeApplied writes the applied state. The log holds the state as well, so a failure only
// delays the next start; the write is retried.
func (n *Node) writeApplied() {
	state := n.applied
	n.appliedDue = time.Time{}
	n.o.Disk.Replace(AppliedStream, []domain.Record{state}, func(err error) {
		if err == nil {
			return
		}
		n.o.Log.Error(err, "the applied state was not written to the disk; the write is retried")
		n.Deliver(func(now time.Time) {
			if n.applied == state {
				n.appliedDue = now.Add(appliedRetryDelay)
			}
		})
	})
}

func (n *Node) persist(e coordinator.Effects) {
	if len(e.AfterSync) > 0 {
		n.pendingSends = append(n.pendingSends, sendsAfterSync{token: e.Token, sends: e.AfterSync})
	}
	if len(e.Records) == 0 {
		return
	}
	done := func(err error) {
		n.Deliver(func(now time.Time) { n.persisted(now, e.Token, err) })
	}
	if e.Replace {
		n.o.Disk.Replace(Stream, e.Records, done)
		return
	}
	n.o.Disk.Append(Stream, e.Records, done)
}

func (n *Node) persisted(now time.Time, token raft.PersistToken, err error) {
	if err != nil {
		if !n.coordinator.DiskFailed() {
			n.o.Metrics.Count("the disk failed")
			n.o.Log.Error(err, "the disk rejects writes; this voter is silent until its log is written again")
		}
		n.coordinator.PersistFailed(now, err)
		n.pendingSends = nil
		return
	}
	if n.coordinator.DiskFailed() {
		n.o.Log.Info("the log is durable again; this voter takes part again")
	}
	n.coordinator.Persisted(now, token)
	for len(n.pendingSends) > 0 && n.pendingSends[0].token <= token {
		n.send(n.pendingSends[0].sends)
		n.pendingSends = n.pendingSends[1:]
	}
}

// send sends Raft messages. Raft tolerates loss and reordering, so a message
// above the limit is dropped.
func (n *Node) send(sends []domain.Send) {
	for _, s := range sends {
		envelope := &coordinator.Envelope{From: n.o.Config.Self, To: s.To, Body: s.Body}
		large := envelope.IsLarge()
		if large && n.sendingLarge[s.To] {
			continue
		}
		select {
		case n.sendSlots <- struct{}{}:
			if large {
				n.sendingLarge[s.To] = true
			}
			go n.sendOne(envelope, large)
		default:
			n.o.Log.V(1).Info("dropped a message because too many are in flight", "to", s.To)
		}
	}
}

func (n *Node) sendOne(e *coordinator.Envelope, large bool) {
	defer func() { <-n.sendSlots }()
	timeout := sendTimeout
	if large {
		timeout = largeSendTimeout
		defer n.Deliver(func(time.Time) { delete(n.sendingLarge, e.To) })
	}
	ctx, cancel := context.WithTimeout(n.Context(), timeout)
	defer cancel()
	if _, err := n.o.Calls.Call(ctx, coordinator.VMAddress(e.To), e); err != nil {
		n.o.Log.V(1).Info("a message could not be delivered to its peer", "to", e.To, "error", err.Error())
	}
}

func (n *Node) listTargets() {
	ctx, cancel := context.WithTimeout(n.Context(), listTimeout)
	defer cancel()
	readAt := n.o.Clock.Now()
	list, err := n.o.Targets.List(ctx)
	n.Deliver(func(now time.Time) { n.coordinator.TargetsListed(now, readAt, list, err) })
}

// Handle implements port.RPCHandler.
func (n *Node) Handle(ctx context.Context, m domain.Message) (domain.Message, error) {
	switch m := m.(type) {
	case *coordinator.Envelope:
		if m.To == n.o.Config.Self {
			n.Post(func(now time.Time) { n.coordinator.Receive(now, m.From, m.Body) })
		}
		return &coordinator.Received{}, nil
	case *coordinator.Report:
		return loop.Ask(ctx, n, func(now time.Time) domain.Message { return n.coordinator.Report(now, m) })
	case *coordinator.ReadDocument:
		return loop.Ask(ctx, n, func(time.Time) domain.Message { return n.coordinator.ReadDocument(m) })
	case *coordinator.Join:
		return loop.Ask(ctx, n, func(now time.Time) domain.Message { return n.coordinator.Join(now, m) })
	default:
		return nil, fmt.Errorf("coordination: message %s is not for a coordinator; check that both VMs run compatible versions", m.MessageName())
	}
}

// KeepJoining requests that the leader admit this VM for as long as it is not a
// member. It returns nil when the node stops.
func (n *Node) KeepJoining() error {
	next := 0
	leader := ""
	for {
		select {
		case <-n.Context().Done():
			return nil
		case <-time.After(joinInterval):
		}
		wants := false
		if err := n.Do(n.Context(), func(time.Time) { wants = n.coordinator.WantsToJoin() }); err != nil || !wants {
			continue
		}
		address := leader
		if address == "" {
			seeds := n.o.Seeds()
			address = seeds[next%len(seeds)]
			next++
		}
		leader = n.requestJoin(address)
	}
}

// requestJoin sends one join request. It returns the address for the next
// request, or "" for the next seed.
func (n *Node) requestJoin(address string) string {
	ctx, cancel := context.WithTimeout(n.Context(), sendTimeout)
	defer cancel()
	reply, err := n.o.Calls.Call(ctx, address, &coordinator.Join{VM: n.o.Config.Self})
	if err != nil {
		n.o.Log.Info("a coordinator does not answer the join request", "coordinator", address, "error", err.Error())
		return ""
	}
	joined, ok := reply.(*coordinator.JoinReply)
	switch {
	case !ok:
		return ""
	case joined.Accepted:
		return address
	case joined.Leader != address:
		return joined.Leader
	default:
		return ""
	}
}

// wait starts an operation on the control goroutine and waits for its outcome.
// It returns coordinator.ErrOutcomeUnknown if the context ends first.
func (n *Node) wait(ctx context.Context, operation func(now time.Time) (coordinator.Ticket, error)) error {
	done := make(chan error, 1)
	err := n.Do(ctx, func(now time.Time) {
		ticket, err := operation(now)
		if err != nil || ticket == 0 {
			done <- err
			return
		}
		n.operations[ticket] = done
	})
	if err != nil {
		return err
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return fmt.Errorf("%w: no majority answered in time", coordinator.ErrOutcomeUnknown)
	}
}

// Put replaces the manifest and waits until the change is committed.
func (n *Node) Put(ctx context.Context, d manifest.Document) error {
	return n.wait(ctx, func(now time.Time) (coordinator.Ticket, error) { return n.coordinator.Put(now, d) })
}

// Read returns the newest manifest.
func (n *Node) Read(ctx context.Context) (manifest.Document, error) {
	r, err := loop.Ask(ctx, n, func(now time.Time) outcome[manifest.Document] { return outcomeOf(n.coordinator.Read(now)) })
	return r.value, errors.Join(err, r.err)
}

// outcome is the result of an operation of the coordinator.
type outcome[T any] struct {
	value T
	err   error
}

func outcomeOf[T any](value T, err error) outcome[T] { return outcome[T]{value, err} }

// Retire starts to drain a storage VM, so that it can be removed.
func (n *Node) Retire(ctx context.Context, name string) error {
	return n.wait(ctx, func(now time.Time) (coordinator.Ticket, error) { return n.coordinator.Retire(now, name) })
}

// Retired reports whether the retirement of a storage VM is complete.
func (n *Node) Retired(ctx context.Context, name string) (bool, error) {
	r, err := loop.Ask(ctx, n, func(now time.Time) outcome[bool] { return outcomeOf(n.coordinator.RetirementComplete(now, name)) })
	return r.value, errors.Join(err, r.err)
}

// Evacuate decides an order for a data centre and waits until it is committed.
func (n *Node) Evacuate(ctx context.Context, o evacuation.Order) error {
	return n.wait(ctx, func(now time.Time) (coordinator.Ticket, error) { return n.coordinator.Evacuate(now, o) })
}

// TransferLeadership transfers leadership to another voter before a planned
// stop.
func (n *Node) TransferLeadership(ctx context.Context) error {
	return n.Do(ctx, func(now time.Time) { n.coordinator.TransferLeadership(now) })
}
