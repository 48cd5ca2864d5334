package port

import (
	"context"

	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/domain"
)

// Identity is the client account and the key that authenticated a request.
type Identity struct {
	Account domain.Account
	Key     config.KeyID
}

// CallSpec describes a caller's request independently of its encoding.
type CallSpec struct {
	Identity Identity
	// Program is empty if the call is a program of its own. It is NewProgram if
	// the system is to choose the name.
	Program domain.ProgramName
	// Parent is the program that started this one as a sub-agent.
	Parent domain.ProgramName
	// Model is set for model calls, Route for plain services.
	Model domain.ModelName
	Route string
	// IdempotencyKey identifies repeated sends of one request; it may be empty.
	IdempotencyKey string
	// Fingerprint is a hash of what the target would receive.
	Fingerprint [32]byte
	// NewMessagesOnly means that the request holds only new messages, which are
	// appended to the stored history.
	NewMessagesOnly bool
	// PromptTokens is an upper estimate of the tokens that the caller sent.
	PromptTokens domain.Tokens
	// MaxTokens limits the generated tokens; 0 selects the preset's limit.
	MaxTokens domain.Tokens
}

// NewProgram requests a generated program name whose home is the data centre of
// the entry VM.
const NewProgram domain.ProgramName = "new"

// Conversation identifies the messages of a program up to a turn. With it, a
// turn stores only its new messages when a caller sends the whole conversation.
type Conversation struct {
	// Digest is a hash chain over the messages, computed by the front end.
	Digest [32]byte
	// Messages is the number of messages.
	Messages int
}

// ChatExchange encodes one model call in the front end's protocol. Its methods
// are called by one goroutine.
type ChatExchange interface {
	// Accepted reports the program's name before the first event.
	Accepted(program domain.ProgramID, call domain.CallID)
	// Body encodes the request to the engine. The stored turns, oldest first, are
	// nil unless the caller sent only new messages.
	Body(turns [][]byte, tokenLimit domain.Tokens) ([]byte, error)
	// Event handles one event of the engine's answer. The part that completes the
	// answer is held back until Commit.
	Event(payload []byte) error
	// Turn returns the bytes to store after a complete answer, and the
	// conversation that includes it. The earlier conversation is the zero value
	// before the first turn.
	Turn(earlier Conversation) ([]byte, Conversation, error)
	// Replay answers with a stored turn.
	Replay(turn []byte) error
	// Commit completes the answer after it is stored and charged.
	Commit() error
}

// ServiceRequest is a request to a plain service.
type ServiceRequest struct {
	Method string
	// Path and Query are relative to the route.
	Path   string
	Query  string
	Header Header
	Body   []byte
}

// ServiceAnswer is the complete answer of a plain service.
type ServiceAnswer struct {
	Status int
	Header Header
	Body   []byte
}

// ServiceExchange encodes the stored answers of plain services.
type ServiceExchange interface {
	// Encode returns the bytes to store for a complete answer.
	Encode(answer *ServiceAnswer) ([]byte, error)
	// Decode returns the answer that the stored bytes hold.
	Decode(stored []byte) (*ServiceAnswer, error)
}

// ProgramStatus is the part of a program's state that callers may read.
type ProgramStatus struct {
	Name   domain.ProgramName
	Ended  bool
	Reason domain.Reason
	Turns  int
	// Spent and Budget are in micros.
	Spent  domain.Micros
	Budget domain.Micros
}

// Frontend is the part of the node that a front end for callers uses. Errors
// that the caller may see are *domain.Refusal.
type Frontend interface {
	// Identify returns the client account of a key.
	Identify(key string) (Identity, error)
	// View returns the configuration in force on this VM.
	View() *config.View
	// Ready reports whether the VM accepts new work.
	Ready() bool
	Chat(ctx context.Context, spec CallSpec, exchange ChatExchange) error
	// Service runs a keyed call of a plain service.
	Service(ctx context.Context, spec CallSpec, request ServiceRequest, exchange ServiceExchange) (*ServiceAnswer, domain.ProgramID, error)
	// CallOpenRoute runs a call of a route that needs no key.
	CallOpenRoute(ctx context.Context, route string, request ServiceRequest) (*ServiceAnswer, error)
	EndProgram(ctx context.Context, identity Identity, name domain.ProgramName) (ProgramStatus, error)
	GetProgram(ctx context.Context, identity Identity, name domain.ProgramName) (ProgramStatus, error)
	// History returns the stored turns, oldest first.
	History(ctx context.Context, identity Identity, name domain.ProgramName) ([][]byte, error)
	// Refused counts a refusal that the front end itself decided.
	Refused(account domain.Account, refusal *domain.Refusal)
}
