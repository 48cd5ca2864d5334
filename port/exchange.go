package port

import (
	"context"
	"errors"
	"time"

	"github.com/mangoknot/mangoknot/core/balance"
	"github.com/mangoknot/mangoknot/core/domain"
)

// Errors of a request at a target, for errors.Is. Every other error means that
// the request may have run.
var (
	// ErrNotRun means that the request did not run and never will: it was not
	// sent, or the target said so.
	ErrNotRun = errors.New("the target did not run the request; send it to another one")
	// ErrMisdirected means that another process has the target's address. The
	// request did not run.
	ErrMisdirected = errors.New("another process has the target's address; wait for the next list of targets")
	// ErrInvalidAnswer means that the target sent bytes that are not an answer to the
	// request.
	ErrInvalidAnswer = errors.New("the target's answer cannot be used; its outcome is unknown")
)

// UnreachableError says that no connection to the target could be made. The
// request was not sent.
type UnreachableError struct {
	Address string
	Err     error
}

func (e *UnreachableError) Error() string {
	return "target " + e.Address + " cannot be reached; send the request to another one: " + e.Err.Error()
}

// Unwrap makes errors.Is find both ErrNotRun and the cause.
func (e *UnreachableError) Unwrap() []error { return []error{ErrNotRun, e.Err} }

// TargetRequest is one request to one target.
type TargetRequest struct {
	Target  balance.Target
	Account domain.Account
	Body    []byte
	// TimeLeft is the time that the caller still waits.
	TimeLeft time.Duration
	// Resume is the id of the last event that the caller has, or "".
	Resume string
	// Wire is what the front end keeps of the caller's request.
	Wire any
}

// AnswerHead is the beginning of a target's answer.
type AnswerHead struct {
	Status int
	// Success says that the status is a success.
	Success bool
	// Load is what the target said of itself, or nil.
	Load *balance.Load
	// Wire is what the front end passes on to the caller.
	Wire any
}

// StreamEvent is one event of a stream. Raw holds its bytes as they came.
type StreamEvent struct {
	ID   string
	Data []byte
	Raw  []byte
}

// Answer is a target's answer under way.
type Answer interface {
	Head() AnswerHead
	// Body returns the whole body of an answer that is not a stream.
	Body(limit int64) ([]byte, error)
	// Next returns the next whole event, or io.EOF after a complete stream. Raw of
	// the last event may lack Data when the target ends with other bytes.
	Next() (StreamEvent, error)
	// Close ends the exchange. An answer that was not read to its end is cancelled
	// at the target.
	Close()
}

// TargetCaller sends requests to targets.
type TargetCaller interface {
	Exchange(ctx context.Context, r TargetRequest) (Answer, error)
	// Retain closes idle connections to addresses that are not listed.
	Retain(addresses map[string]bool)
}

// Reply is the caller's side of a request. Exactly one of its methods other
// than Event begins the reply.
type Reply interface {
	// Send sends a complete answer.
	Send(h AnswerHead, body []byte) error
	// Begin starts a stream; Event passes one event on and End completes it.
	Begin(h AnswerHead) error
	Event(e StreamEvent) error
	End() error
	// Abort breaks a reply off, so that it cannot look complete.
	Abort()
}
