package node

import (
	"context"
	"time"

	"github.com/go-logr/logr"

	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/controller"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/port"
)

// core is the state machine that the control goroutine runs.
type core interface {
	Step(now time.Time, in controller.Input) controller.Output
	NextWake() time.Time
}

// control is the one goroutine that owns the control state. It never blocks on
// disk, network or a lock: it waits in one select and hands work to adapters
// with queues of their own.
type control struct {
	core    core
	mailbox *mailbox
	ports   Ports
	log     logr.Logger
	shared  *shared
	// viewChanged tells the traffic side about a new configuration.
	viewChanged func(*config.View)
	// leave starts a planned stop; repeating it is harmless.
	leave func()
	// waiting holds the reply channels of open tickets.
	waiting map[controller.Ticket]chan controller.Reply
	// failed ends the loop with an error.
	failed error
}

// shortestWait keeps a wake-up time in the past from becoming a busy loop.
const shortestWait = time.Millisecond

// run handles events until the context ends or the VM must stop.
func (c *control) run(ctx context.Context) error {
	defer close(c.mailbox.stopped)
	timer := c.ports.Clock.NewTimer(shortestWait)
	defer timer.Stop()
	for c.failed == nil {
		select {
		case <-ctx.Done():
			return nil
		case e := <-c.mailbox.events:
			c.handle(e)
		case <-timer.C():
			c.step(controller.Wake{})
		}
		timer.Reset(c.untilWake())
	}
	return c.failed
}

func (c *control) untilWake() time.Duration {
	return max(c.core.NextWake().Sub(c.ports.Clock.Now()), shortestWait)
}

func (c *control) handle(e envelope) {
	if e.forget {
		delete(c.waiting, e.ticket)
		return
	}
	if e.replies != nil {
		c.waiting[e.ticket] = e.replies
	}
	c.step(e.input)
}

func (c *control) step(in controller.Input) {
	start := c.ports.Clock.Now()
	out := c.core.Step(start, in)
	c.execute(out)
	c.ports.Metrics.ControlStep(c.ports.Clock.Now().Sub(start))
}

// execute hands the output to the adapters. Writes come first, so that what
// depends on them is never ahead of them in a queue.
func (c *control) execute(out controller.Output) {
	for _, w := range out.Writes {
		c.write(w)
	}
	if out.View != nil {
		c.shared.view.Store(out.View)
		c.viewChanged(out.View)
	}
	if out.State != nil {
		c.shared.state.Store(out.State)
		c.ports.Peers.SetAddresses(out.State.Addresses)
		c.failed = out.State.Fatal
		if out.State.Leaving {
			c.leave()
		}
	}
	for _, s := range out.Sends {
		c.ports.Peers.Send(s)
	}
	for _, vm := range out.ReplaceConnections {
		c.ports.Peers.Reconnect(vm)
	}
	for _, r := range out.Replies {
		c.reply(r)
	}
	c.background(out)
	for _, ended := range out.Ended {
		c.ports.Metrics.ProgramEnded(ended.Account, ended.Latency)
	}
	for _, reason := range out.Retried {
		c.ports.Metrics.Retried(reason)
	}
	for _, line := range out.Log {
		c.log.WithName(line.Part).Info(line.Text, line.Pairs...)
	}
}

// background starts the work of traffic goroutines that no caller waits for.
func (c *control) background(out controller.Output) {
	for _, release := range out.Releases {
		c.shared.jobs.release(release)
	}
	for _, program := range out.Expired {
		c.shared.jobs.forget(program)
	}
}

func (c *control) write(w controller.Write) {
	done := func(err error) {
		c.mailbox.deliver(controller.Persisted{Stream: w.Stream, Token: w.Token, Err: err})
	}
	if w.Stream == controller.StreamShards {
		c.shared.jobs.persist(w, done)
		return
	}
	writeTo(c.ports.Disk, w, done)
}

// reply passes a reply to the operation that waits for it. A full channel
// belongs to an operation that has stopped reading.
func (c *control) reply(r controller.Reply) {
	replies, ok := c.waiting[r.Ticket]
	if !ok {
		return
	}
	select {
	case replies <- r:
	default:
		c.log.Info("dropped a reply, because its operation does not read", "ticket", r.Ticket)
	}
	if r.Last {
		delete(c.waiting, r.Ticket)
	}
}

// Receive takes a control message of another VM. It returns false when the
// mailbox is full; the sender repeats what matters.
func (n *Node) Receive(from domain.VM, m domain.Message) bool {
	return n.mailbox.offer(controller.PeerMessage{From: from, Body: m})
}

// ReportLoad takes a load report of a target.
func (n *Node) ReportLoad(r port.LoadReport) { n.mailbox.offer(n.loadInput(r)) }

// eventLag is the usual age of a cache event when it arrives.
const eventLag = 2 * time.Second

// ReportCache takes a cache event of a target.
func (n *Node) ReportCache(e port.CacheEvent) {
	for _, event := range n.cacheEvents(e) {
		n.mailbox.offer(controller.CacheChange{Event: event})
	}
}
