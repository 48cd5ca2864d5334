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

// control is the state of the goroutine that owns the control state. The
// goroutine does not block on the disk, the network or a lock: it waits in one
// select and passes work to adapters that have their own queues.
type control struct {
	core    core
	mailbox *mailbox
	ports   Ports
	log     logr.Logger
	shared  *shared
	// viewChanged passes a new configuration to the traffic side.
	viewChanged func(*config.View)
	// startDrain starts a planned stop. It is idempotent.
	startDrain func()
	// openTickets holds the reply channel of each open ticket.
	openTickets map[controller.Ticket]chan controller.Reply
	// fatal is the error that ends the loop.
	fatal error
}

// minTimerDelay prevents a busy loop when the wake-up time is in the past.
const minTimerDelay = time.Millisecond

// run handles events until the context ends or the state machine reports a fatal
// error, which it returns.
func (c *control) run(ctx context.Context) error {
	defer close(c.mailbox.stopped)
	timer := c.ports.Clock.NewTimer(minTimerDelay)
	defer timer.Stop()
	for c.fatal == nil {
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
	return c.fatal
}

func (c *control) untilWake() time.Duration {
	return max(c.core.NextWake().Sub(c.ports.Clock.Now()), minTimerDelay)
}

func (c *control) handle(e envelope) {
	if e.closeTicket {
		delete(c.openTickets, e.ticket)
		return
	}
	if e.replies != nil {
		c.openTickets[e.ticket] = e.replies
	}
	c.step(e.input)
}

func (c *control) step(in controller.Input) {
	start := c.ports.Clock.Now()
	out := c.core.Step(start, in)
	c.execute(out)
	c.ports.Metrics.ControlStep(c.ports.Clock.Now().Sub(start))
}

// execute passes the output to the adapters. Writes are queued first, so that
// work that depends on them is behind them in each queue.
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
		c.fatal = out.State.Fatal
		if out.State.Leaving {
			c.startDrain()
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
	c.startJobs(out)
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

// startJobs queues the background work of the output.
func (c *control) startJobs(out controller.Output) {
	for _, release := range out.Releases {
		c.shared.jobs.queueRelease(release)
	}
	for _, program := range out.Expired {
		c.shared.jobs.queueDeletion(program)
	}
}

func (c *control) write(w controller.Write) {
	done := func(err error) {
		c.mailbox.deliver(controller.Persisted{Stream: w.Stream, Token: w.Token, Err: err})
	}
	if w.Stream == controller.StreamShards {
		c.shared.jobs.queueWrite(w, done)
		return
	}
	writeTo(c.ports.Disk, w, done)
}

// reply passes a reply to the operation that waits for it. It does not block: a
// channel is full only when its operation has stopped reading.
func (c *control) reply(r controller.Reply) {
	replies, ok := c.openTickets[r.Ticket]
	if !ok {
		return
	}
	select {
	case replies <- r:
	default:
		c.log.Info("a reply was discarded, because its operation has stopped reading", "ticket", r.Ticket)
	}
	if r.Last {
		delete(c.openTickets, r.Ticket)
	}
}

// Receive queues a control message of another VM. It returns false when the
// mailbox is full; senders repeat the messages that must arrive.
func (n *Node) Receive(from domain.VM, m domain.Message) bool {
	return n.mailbox.tryDeliver(controller.PeerMessage{From: from, Body: m})
}

// ReportLoad queues a load report of a target. The report is discarded when the
// mailbox is full.
func (n *Node) ReportLoad(r port.LoadReport) { n.mailbox.tryDeliver(n.loadInput(r)) }

// cacheEventDelay is the assumed age of a cache event on arrival.
const cacheEventDelay = 2 * time.Second

// ReportCache queues a cache event of a target. The event is discarded when the
// mailbox is full.
func (n *Node) ReportCache(e port.CacheEvent) {
	for _, event := range n.cacheEvents(e) {
		n.mailbox.tryDeliver(controller.CacheChange{Event: event})
	}
}
