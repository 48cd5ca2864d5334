package port

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/mangoknot/mangoknot/core/balance"
	"github.com/mangoknot/mangoknot/core/domain"
)

// Errors of a request to a target, for errors.Is. After any other error the
// request may have run.
var (
	// ErrNotRun means that the request did not run and will not run later: it was
	// not sent, or the target reported that it did not run it.
	ErrNotRun = errors.New("the target did not run the request; send it to another one")
	// ErrMisdirected means that another process now uses the target's address.
	// The request did not run.
	ErrMisdirected = errors.New("another process has the target's address; wait for the next list of targets")
	// ErrInvalidAnswer means that the target did not send a valid answer to the
	// request.
	ErrInvalidAnswer = errors.New("the target's answer is invalid; the outcome of the request is unknown")
)

// UnreachableError means that no connection to the target could be made. The
// request was not sent.
type UnreachableError struct {
	Address string
	// Refused reports whether the target's host refused the connection: the link to it works, and no
	// process listens.
	Refused bool
	Err     error
}

func (e *UnreachableError) Error() string {
	return "target " + e.Address + " cannot be reached; send the request to another one: " + e.Err.Error()
}

// Unwrap returns ErrNotRun and the cause, so that errors.Is finds both.
func (e *UnreachableError) Unwrap() []error { return []error{ErrNotRun, e.Err} }

// RejectedError is the error of an exchange whose answer cannot be forwarded.
type RejectedError struct {
	Head AnswerHead
	Err  error
}

func (e *RejectedError) Error() string { return e.Err.Error() }

// Unwrap returns the reason.
func (e *RejectedError) Unwrap() error { return e.Err }

// Limit names a bound on what one request may use.
type Limit string

// The bounds on an answer, in bytes, and on the buffers of all requests of a process.
const (
	// LimitHead bounds the status line and the headers.
	LimitHead Limit = "answer_head"
	// LimitBody bounds the body of an answer that is not a stream.
	LimitBody Limit = "answer_body"
	// LimitEvent bounds one event of a stream, LimitStream the whole stream.
	LimitEvent  Limit = "event"
	LimitStream Limit = "stream"
	// LimitMemory bounds the buffers of all requests of the process.
	LimitMemory Limit = "memory"
)

// LimitError means that an answer exceeds a bound. The rest of it is not read.
type LimitError struct {
	Limit Limit
	// Bytes is the bound.
	Bytes int64
}

func (e *LimitError) Error() string {
	if e.Limit == LimitMemory {
		return fmt.Sprintf("the buffers of all requests use their budget of %d bytes; reduce the load or add memory", e.Bytes)
	}
	return fmt.Sprintf("the answer exceeds the limit %s of %d bytes; check the target", e.Limit, e.Bytes)
}

// Unwrap returns ErrInvalidAnswer, unless the process lacks memory.
func (e *LimitError) Unwrap() error {
	if e.Limit == LimitMemory {
		return nil
	}
	return ErrInvalidAnswer
}

// Buffers accounts for the memory that one request holds.
type Buffers interface {
	// Grow reserves n bytes. It fails with a *LimitError if the budget of the process
	// is used up.
	Grow(n int) error
	// Shrink returns n of the reserved bytes.
	Shrink(n int)
}

// UnlimitedBuffers is a Buffers without a budget.
type UnlimitedBuffers struct{}

// Grow implements Buffers.
func (UnlimitedBuffers) Grow(int) error { return nil }

// Shrink implements Buffers.
func (UnlimitedBuffers) Shrink(int) {}

// TargetRequest is one request to one target.
type TargetRequest struct {
	Target  balance.Target
	Account domain.Account
	Body    []byte
	// TimeLeft is the time until the caller's deadline.
	TimeLeft time.Duration
	// Resume is the id of the last event that the caller received, or "".
	Resume string
	// Tunnels are the gateways through which the target is reached, in the order in which they
	// are tried. Without any it is reached directly.
	Tunnels []string
	// OnlyTunnels reports whether an open tunnel may be used again only if its gateway is one
	// of Tunnels. Otherwise any tunnel to the target may be.
	OnlyTunnels bool
	// OnTunnelError is called for each of them that does not open a tunnel.
	OnTunnelError func(gateway string, err error)
	// Buffers accounts for the answer.
	Buffers Buffers
	// Wire holds the encoded parts of the caller's request. Only the front end
	// that created the value reads it.
	Wire any
}

// AnswerHead holds the status and the metadata of a target's answer.
type AnswerHead struct {
	Status int
	// Success reports whether Status means success.
	Success bool
	// TargetFailed reports whether Status blames the target rather than the request, so that the
	// same target may answer otherwise when it is asked again.
	TargetFailed bool
	// MediaType is the type of the body without parameters, or "" if the target names none.
	MediaType string
	// Load is the load that the target reported with the answer, or nil.
	Load *balance.Load
	// RateLimit is the number of requests a second that the target takes from all gateways
	// together, or nil if it names no limit.
	RateLimit *float64
	// Leaving reports whether the target says that it leaves.
	Leaving bool
	// ColdFor is how much longer the target is slow after its start; 0 means not at all.
	ColdFor time.Duration
	// EndsWithConnection reports whether nothing but the end of the connection marks the end of
	// the answer.
	EndsWithConnection bool
	// Via names the gateway and the tunnel through which the target was reached, or is "".
	Via string
	// Wire holds the encoded parts of the answer that the front end forwards to
	// the caller.
	Wire any
}

// StreamEvent is one event of a stream. Raw holds its bytes as received.
type StreamEvent struct {
	ID   string
	Data []byte
	Raw  []byte
}

// Answer is a target's answer while it is being received.
type Answer interface {
	Head() AnswerHead
	// Body returns the whole body of an answer that is not a stream. It fails with
	// ErrInvalidAnswer if the body is truncated or longer than limit bytes, and with a
	// *LimitError in the latter case or if the process lacks memory.
	Body(limit int64) ([]byte, error)
	// Next returns the next complete event, or io.EOF after a complete stream. A stream
	// that ends inside an event fails with ErrInvalidAnswer. It fails with a *LimitError if
	// the event or the stream is too long.
	Next() (StreamEvent, error)
	// Close ends the exchange. If the answer was not read to its end, the request
	// is cancelled at the target.
	Close()
}

// TargetCaller sends requests to targets.
type TargetCaller interface {
	Exchange(ctx context.Context, r TargetRequest) (Answer, error)
	// Retain closes the idle connections to addresses that are not in the map.
	Retain(addresses map[string]bool)
	// Probe connects to a target directly and closes the connection. It fails with an
	// *UnreachableError.
	Probe(ctx context.Context, address string) error
	// CloseTunnels closes the idle tunnels.
	CloseTunnels()
}

// ErrReplyStarted means that the caller has already received the head of an answer. Another
// one would be a part of its body.
var ErrReplyStarted = errors.New("the answer to the caller has begun; abort it, or pass on its events")

// Reply sends the answer of a request to its caller. Exactly one call of Send or
// Begin starts it; a second one fails with ErrReplyStarted.
type Reply interface {
	// Send sends a complete answer.
	Send(h AnswerHead, body []byte) error
	// Begin starts a stream, Event forwards one event and End completes the
	// stream.
	Begin(h AnswerHead) error
	Event(e StreamEvent) error
	End() error
	// Abort closes the caller's connection, so that the caller does not take the
	// reply for complete.
	Abort()
}
