package node

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/mangoknot/mangoknot/core/controller"
	"github.com/mangoknot/mangoknot/core/domain"
)

const (
	// mailboxLength bounds the events that wait for the control goroutine. At
	// 28 requests a second for each node and a handful of events for each, it
	// holds tens of seconds of a stalled control goroutine.
	mailboxLength = 8192
	// trafficReserve keeps room for completions and peer messages: requests of
	// callers are refused before the mailbox is full.
	trafficReserve = 2048
	// replyLength bounds the replies that wait for one traffic operation.
	replyLength = 16
)

// errOverloaded refuses a request while the mailbox is nearly full.
func errOverloaded() *domain.Refusal {
	return domain.NotRun(domain.ReasonOverloaded, "the VM handles more requests than it can; send the request again").After(time.Second)
}

// envelope is one event in the mailbox, with the channel of its ticket.
type envelope struct {
	input   controller.Input
	ticket  controller.Ticket
	replies chan controller.Reply
	// forget drops the ticket instead of carrying an input.
	forget bool
}

// mailbox carries events from traffic goroutines to the control goroutine.
type mailbox struct {
	events  chan envelope
	tickets atomic.Uint64
	// stopped is closed when the control goroutine has ended.
	stopped chan struct{}
}

func newMailbox() *mailbox {
	return &mailbox{events: make(chan envelope, mailboxLength), stopped: make(chan struct{})}
}

// errStopped ends operations whose control goroutine has ended.
var errStopped = errors.New("node: the VM has stopped")

// deliver waits for room. It is for events that must not be lost, such as
// completions of writes; their number is bounded by the adapters' queues.
func (m *mailbox) deliver(input controller.Input) {
	select {
	case m.events <- envelope{input: input}:
	case <-m.stopped:
	}
}

// offer drops the event when the mailbox is full and reports whether it was
// taken. It is for events that are repeated anyway.
func (m *mailbox) offer(input controller.Input) bool {
	return offerTo(m.events, envelope{input: input})
}

// request is a ticket with its replies.
type request struct {
	mailbox *mailbox
	ticket  controller.Ticket
	replies chan controller.Reply
}

// ask opens a ticket and offers the input that make returns for it.
func (m *mailbox) ask(inputFor func(controller.Ticket) controller.Input) (*request, error) {
	if len(m.events) > mailboxLength-trafficReserve {
		return nil, errOverloaded()
	}
	c := &request{
		mailbox: m,
		ticket:  controller.Ticket(m.tickets.Add(1)),
		replies: make(chan controller.Reply, replyLength),
	}
	if !offerTo(m.events, envelope{input: inputFor(c.ticket), ticket: c.ticket, replies: c.replies}) {
		return nil, errOverloaded()
	}
	return c, nil
}

// next waits for the next reply.
func (c *request) next(ctx context.Context) (controller.Reply, error) {
	select {
	case r := <-c.replies:
		return r, nil
	case <-ctx.Done():
		return controller.Reply{}, ctx.Err()
	case <-c.mailbox.stopped:
		return controller.Reply{}, errStopped
	}
}

// close drops the ticket. Replies that still come are dropped.
func (c *request) close() {
	select {
	case c.mailbox.events <- envelope{ticket: c.ticket, forget: true}:
	case <-c.mailbox.stopped:
	}
}

// askOnce asks and waits for the only reply, which must have type T.
func askOnce[T any](ctx context.Context, m *mailbox, inputFor func(controller.Ticket) controller.Input) (T, error) {
	var zero T
	c, err := m.ask(inputFor)
	if err != nil {
		return zero, err
	}
	defer c.close()
	r, err := c.next(ctx)
	if err != nil {
		return zero, err
	}
	switch body := r.Body.(type) {
	case T:
		return body, nil
	case *domain.Refusal:
		return zero, body
	default:
		return zero, errors.New("node: unexpected reply type")
	}
}
