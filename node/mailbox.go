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
	// mailboxCapacity bounds the pending events of the control goroutine. At 28
	// requests per second on each VM and a few events for each request, the
	// mailbox holds the events of tens of seconds while the control goroutine is
	// stalled.
	mailboxCapacity = 8192
	// mailboxHeadroom is reserved for completions and peer messages: requests of
	// callers are refused before the mailbox is full.
	mailboxHeadroom = 2048
	// replyQueueLength bounds the pending replies of one traffic operation.
	replyQueueLength = 16
)

// errOverloaded returns the refusal of a request while the mailbox is nearly
// full.
func errOverloaded() *domain.Refusal {
	return domain.NotRun(domain.ReasonOverloaded, "the VM has more requests than it can handle; send the request again").After(time.Second)
}

// envelope is one event in the mailbox. An event that expects replies carries a
// ticket and its reply channel.
type envelope struct {
	input   controller.Input
	ticket  controller.Ticket
	replies chan controller.Reply
	// closeTicket closes the ticket; the envelope then has no input.
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

// errStopped is returned by operations after the control goroutine has ended.
var errStopped = errors.New("node: the VM has stopped")

// deliver queues an event and blocks while the mailbox is full. It is for events
// that must not be lost, such as completions of writes; their number is bounded
// by the adapters' queues.
func (m *mailbox) deliver(input controller.Input) {
	select {
	case m.events <- envelope{input: input}:
	case <-m.stopped:
	}
}

// tryDeliver queues an event, or discards it when the mailbox is full. It reports
// whether the event was queued. It is for events that their source repeats.
func (m *mailbox) tryDeliver(input controller.Input) bool {
	return trySend(m.events, envelope{input: input})
}

// request is an open ticket with its replies.
type request struct {
	mailbox *mailbox
	ticket  controller.Ticket
	replies chan controller.Reply
}

// newRequest opens a ticket and queues the input that inputFor returns for it. It
// returns a refusal when the mailbox has no capacity for requests.
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

// next waits for the next reply. It returns errStopped after the control
// goroutine has ended.
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

// close closes the ticket. Later replies are discarded.
func (req *request) close() {
	select {
	case req.mailbox.events <- envelope{ticket: req.ticket, closeTicket: true}:
	case <-req.mailbox.stopped:
	}
}

// requestOnce sends a request and waits for its single reply, which must be a T
// or a refusal.
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
