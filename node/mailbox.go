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
	// mailboxCapacity bounds the events that wait for the control goroutine. At
	// 28 requests a second for each node and a handful of events for each, it
	// holds tens of seconds of a stalled control goroutine.
	mailboxCapacity = 8192
	// mailboxHeadroom keeps room for completions and peer messages: requests of
	// callers are refused before the mailbox is full.
	mailboxHeadroom = 2048
	// replyQueueLength bounds the replies that wait for one traffic operation.
	replyQueueLength = 16
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
	// closeTicket drops the ticket instead of carrying an input.
	closeTicket bool
}

// mailbox carries events from traffic goroutines to the control goroutine.
type mailbox struct {
	events  chan envelope
	tickets atomic.Uint64
	// stopped is closed when the control goroutine has ended.
	stopped chan struct{}
}

func newMailbox() *mailbox {
	return &mailbox{events: make(chan envelope, mailboxCapacity), stopped: make(chan struct{})}
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

// tryDeliver drops the event when the mailbox is full and reports whether it was
// taken. It is for events that are repeated anyway.
func (m *mailbox) tryDeliver(input controller.Input) bool {
	return trySend(m.events, envelope{input: input})
}

// request is a ticket with its replies.
type request struct {
	mailbox *mailbox
	ticket  controller.Ticket
	replies chan controller.Reply
}

// newRequest opens a ticket and offers the input that make returns for it.
func (m *mailbox) newRequest(inputFor func(controller.Ticket) controller.Input) (*request, error) {
	if len(m.events) > mailboxCapacity-mailboxHeadroom {
		return nil, errOverloaded()
	}
	req := &request{
		mailbox: m,
		ticket:  controller.Ticket(m.tickets.Add(1)),
		replies: make(chan controller.Reply, replyQueueLength),
	}
	if !trySend(m.events, envelope{input: inputFor(req.ticket), ticket: req.ticket, replies: req.replies}) {
		return nil, errOverloaded()
	}
	return req, nil
}

// next waits for the next reply.
func (req *request) next(ctx context.Context) (controller.Reply, error) {
	select {
	case r := <-req.replies:
		return r, nil
	case <-ctx.Done():
		return controller.Reply{}, ctx.Err()
	case <-req.mailbox.stopped:
		return controller.Reply{}, errStopped
	}
}

// close drops the ticket. Replies that still come are dropped.
func (req *request) close() {
	select {
	case req.mailbox.events <- envelope{ticket: req.ticket, closeTicket: true}:
	case <-req.mailbox.stopped:
	}
}

// requestOnce asks and waits for the only reply, which must have type T.
func requestOnce[T any](ctx context.Context, m *mailbox, inputFor func(controller.Ticket) controller.Input) (T, error) {
	var zero T
	req, err := m.newRequest(inputFor)
	if err != nil {
		return zero, err
	}
	defer req.close()
	r, err := req.next(ctx)
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
