package port

import (
	"context"

	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/domain"
)

// Identity is the client account and key that a request came with.
type Identity struct {
	Account domain.Account
	Key     config.KeyID
}

// CallSpec describes a caller's request apart from its encoding.
type CallSpec struct {
	Identity Identity
	// Program is empty for a call that is a program of its own, and
	// NewProgram for a name that the system makes.
	Program domain.ProgramName
	// Parent names the program that started this one as a sub-agent.
	Parent domain.ProgramName
	// Model is set for model calls, Route for plain services.
	Model domain.ModelName
	Route string
	// IdempotencyKey names the request for a resend; it may be empty.
	IdempotencyKey string
	// Fingerprint hashes what the target would receive.
	Fingerprint [32]byte
	// NewMessagesOnly says that the stored history goes before the messages.
	NewMessagesOnly bool
	// PromptTokens is an upper estimate of the tokens that the caller sent.
	PromptTokens domain.Tokens
	// MaxTokens bounds the generated tokens; 0 takes the preset's bound.
	MaxTokens domain.Tokens
}

// NewProgram asks the system to make a program name homed in the data centre
// of the entry VM.
const NewProgram domain.ProgramName = "new"

// Conversation identifies the messages of a program up to a turn, so that a
// turn stores only what it adds when a caller sends the whole conversation.
type Conversation struct {
	// Digest is a hash chain over the messages, computed by the front end.
	Digest [32]byte
	// Messages counts them.
	Messages int
}

// ChatExchange is one model call as the front end's protocol encodes it. Its
// methods are called by one goroutine.
type ChatExchange interface {
	// Accepted tells the program's name before the first event.
	Accepted(program domain.ProgramID, call domain.CallID)
	// Body builds the engine's request. The stored turns, oldest first, are
	// nil unless the caller sent only new messages.
	Body(turns [][]byte, tokenLimit domain.Tokens) ([]byte, error)
	// Event takes one event of the engine's answer. What completes the answer
	// is held back until Commit.
	Event(payload []byte) error
	// Turn returns the bytes to store, once the answer is whole, and the
	// conversation after it. The earlier conversation is the zero value before
	// the first turn.
	Turn(earlier Conversation) ([]byte, Conversation, error)
	// Replay answers with a stored turn.
	Replay(turn []byte) error
	// Commit completes the answer after it is stored and charged.
	Commit() error
}

// ServiceRequest is a request for a plain service.
type ServiceRequest struct {
	Method string
	// Path and Query are relative to the route.
	Path   string
	Query  string
	Header Header
	Body   []byte
}

// ServiceAnswer is the whole answer of a plain service.
type ServiceAnswer struct {
	Status int
	Header Header
	Body   []byte
}

// ServiceExchange encodes what is stored of a call of a plain service.
type ServiceExchange interface {
	// Encode returns the bytes to store for a whole answer.
	Encode(answer *ServiceAnswer) ([]byte, error)
	// Decode returns the answer inside stored bytes.
	Decode(stored []byte) (*ServiceAnswer, error)
}

// ProgramStatus is what a caller may read about a program.
type ProgramStatus struct {
	Name   domain.ProgramName
	Ended  bool
	Reason domain.Reason
	Turns  int
	// Spent and Budget are in micros.
	Spent  domain.Micros
	Budget domain.Micros
}

// Frontend is what a front end for callers needs from the node. Errors are
// *domain.Refusal where the caller is to see them.
type Frontend interface {
	// Identify finds the client account of a key.
	Identify(key string) (Identity, error)
	// View returns the configuration in force on this VM.
	View() *config.View
	// Ready says whether the VM takes new work.
	Ready() bool
	Chat(ctx context.Context, spec CallSpec, exchange ChatExchange) error
	// Service runs a keyed call of a plain service.
	Service(ctx context.Context, spec CallSpec, request ServiceRequest, exchange ServiceExchange) (*ServiceAnswer, domain.ProgramID, error)
	// CallOpenRoute runs a call of a route that is open to all.
	CallOpenRoute(ctx context.Context, route string, request ServiceRequest) (*ServiceAnswer, error)
	EndProgram(ctx context.Context, identity Identity, name domain.ProgramName) (ProgramStatus, error)
	GetProgram(ctx context.Context, identity Identity, name domain.ProgramName) (ProgramStatus, error)
	// History returns the stored turns, oldest first.
	History(ctx context.Context, identity Identity, name domain.ProgramName) ([][]byte, error)
	// Refused counts a refusal that the front end itself decided.
	Refused(account domain.Account, refusal *domain.Refusal)
}
