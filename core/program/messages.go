package program

import (
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
)

// Fingerprint is a SHA-256 of account, model or route, and body.
type Fingerprint [32]byte

// HistoryRef identifies, within a program, the bytes of one stored turn.
type HistoryRef struct {
	SHA256 [32]byte
	Length uint32
}

// Conversation identifies all messages of a program up to and including a turn,
// so that the entry VM can store the next turn as only the messages that it adds.
type Conversation struct {
	Digest   [32]byte
	Messages uint32
}

// Answer identifies, within a program, the bytes of a whole stored answer.
type Answer struct {
	SHA256 [32]byte
	Length uint32
}

// BeginCall asks the owner of the program to run a call. A resend has the same
// call ID.
type BeginCall struct {
	Call    domain.CallID
	Entry   domain.VM
	Program domain.ProgramID
	// Parent is the program that started this one, if any.
	Parent domain.ProgramName
	// Single marks a program of one call: the end of the call ends the program.
	Single bool
	// Model is set for a model engine, Route for a plain service.
	Model        domain.ModelName
	Route        string
	RunOnce      bool
	Fingerprint  Fingerprint
	Key          string
	PromptTokens domain.Tokens
	TokenLimit   domain.Tokens
	// NewMessagesOnly states that the request has only new messages and that
	// the stored history precedes them.
	NewMessagesOnly bool
	Arrived         time.Time
	// Attempts is the highest attempt for which Entry has received StartCall.
	Attempts uint32
}

// StartCall orders the entry VM to send a call. It may arrive more than once;
// the entry VM sends each attempt at most once.
type StartCall struct {
	Call       domain.CallID
	Program    domain.ProgramID
	Epoch      domain.Epoch
	Target     domain.Target
	Attempt    uint32
	TokenLimit domain.Tokens
	// History lists the turns that precede new messages.
	History []HistoryRef
	// Conversation identifies the messages up to the program's last turn.
	Conversation Conversation
}

// FinishCall reports a complete answer whose bytes are stored.
type FinishCall struct {
	Call    domain.CallID
	Entry   domain.VM
	Program domain.ProgramID
	Attempt uint32
	Usage   domain.Usage
	Turn    HistoryRef
	// Answer is set for calls with an idempotency key.
	Answer *Answer
	// Conversation identifies the messages up to and including the turn.
	Conversation Conversation
	// FirstToken is the time from the start of the attempt to the first part of
	// the answer. The scheduler uses it.
	FirstToken time.Duration
}

// FailKind states why a started call has no answer.
type FailKind string

// The kinds of failure.
const (
	// FailCrashed means that the target crashed while it ran the call.
	FailCrashed FailKind = "crashed"
	// FailErrored means that the target answered with a failure of its own, after which it may
	// have run the call. Owners from before do not know this kind: they do not retry the call,
	// and its outcome is unknown.
	FailErrored FailKind = "errored"
	// FailTimedOut means that the target did not answer in time.
	FailTimedOut FailKind = "timed_out"
	// FailRefused means that the target refused the call without running it.
	FailRefused FailKind = "refused"
	// FailUnreachable means that no connection to the target could be made.
	FailUnreachable FailKind = "unreachable"
	// FailNotSent means that the entry VM did not send the call.
	FailNotSent FailKind = "not_sent"
	// FailCallerGone means that the caller closed its connection.
	FailCallerGone FailKind = "caller_gone"
	// FailCancelled confirms CancelCall.
	FailCancelled FailKind = "cancelled"
	// FailEntryDead means that membership has declared the entry VM dead.
	FailEntryDead FailKind = "entry_dead"
)

// FailCall reports that a call ended without an answer.
type FailCall struct {
	Call    domain.CallID
	Entry   domain.VM
	Program domain.ProgramID
	Attempt uint32
	Kind    FailKind
	Target  domain.Target
	// Crash is the number of the crash of the target. All calls that one crash
	// ended report the same number.
	Crash uint64
	// AnswerStarted is set when the caller has received bytes of the answer,
	// which rules out a retry.
	AnswerStarted bool `cbor:"Passed"`
}

// CallCommitted confirms a finished call.
type CallCommitted struct {
	Call    domain.CallID
	Program domain.ProgramID
	// Turn is the number of the turn in the program, counted from 1.
	Turn   int
	Charge domain.Micros
	// Stored is set when an earlier call with the same idempotency key produced
	// the answer.
	Stored *Answer
}

// CallRefused ends a call with a refusal.
type CallRefused struct {
	Call    domain.CallID
	Program domain.ProgramID
	Refusal domain.Refusal
}

// CallEnded reports to the owner that the caller has closed its connection.
type CallEnded struct {
	Call    domain.CallID
	Entry   domain.VM
	Program domain.ProgramID
}

// CancelCall orders the entry VM to stop a call that it has sent. It is
// repeated until the call has ended.
type CancelCall struct {
	Call    domain.CallID
	Program domain.ProgramID
	Reason  domain.Reason
}

// EndProgram asks the owner to end a program.
type EndProgram struct {
	Request domain.CallID
	From    domain.VM
	Program domain.ProgramID
}

// EndProgramReply answers EndProgram. A nil refusal confirms the end.
type EndProgramReply struct {
	Request domain.CallID
	Program domain.ProgramID
	Refusal *domain.Refusal
}

// GetProgram asks for the state of a program.
type GetProgram struct {
	Request domain.CallID
	From    domain.VM
	Program domain.ProgramID
}

// GetProgramReply answers GetProgram.
type GetProgramReply struct {
	Request domain.CallID
	Program domain.ProgramID
	Found   bool
	Parent  domain.ProgramName
	Started time.Time
	// EndReason states why the program ended; it is empty while the program is
	// open.
	EndReason domain.Reason `cbor:"Ended"`
	// Running is set while a call is in flight.
	Running bool
	Waiting int
	// Spent and Reserved include all descendants.
	Spent, Reserved, Budget domain.Micros
	History                 []HistoryRef
}

// Suspicion reports to other VMs which requests were in flight on a target when
// it crashed.
type Suspicion struct {
	Target       domain.Target
	Crash        uint64
	Fingerprints []Fingerprint
}

// Cleared reports to other VMs that a suspect has completed.
type Cleared struct{ Fingerprint Fingerprint }

// MessageName implements domain.Message.
func (*BeginCall) MessageName() string { return "program.BeginCall" }

// MessageName implements domain.Message.
func (*StartCall) MessageName() string { return "program.StartCall" }

// MessageName implements domain.Message.
func (*FinishCall) MessageName() string { return "program.FinishCall" }

// MessageName implements domain.Message.
func (*FailCall) MessageName() string { return "program.FailCall" }

// MessageName implements domain.Message.
func (*CallCommitted) MessageName() string { return "program.CallCommitted" }

// MessageName implements domain.Message.
func (*CallRefused) MessageName() string { return "program.CallRefused" }

// MessageName implements domain.Message.
func (*CallEnded) MessageName() string { return "program.CallEnded" }

// MessageName implements domain.Message.
func (*CancelCall) MessageName() string { return "program.CancelCall" }

// MessageName implements domain.Message.
func (*EndProgram) MessageName() string { return "program.EndProgram" }

// MessageName implements domain.Message.
func (*EndProgramReply) MessageName() string { return "program.EndProgramReply" }

// MessageName implements domain.Message.
func (*GetProgram) MessageName() string { return "program.GetProgram" }

// MessageName implements domain.Message.
func (*GetProgramReply) MessageName() string { return "program.GetProgramReply" }

// MessageName implements domain.Message.
func (*Suspicion) MessageName() string { return "program.Suspicion" }

// MessageName implements domain.Message.
func (*Cleared) MessageName() string { return "program.Cleared" }

// Messages returns a zero value of each message, for the codec.
func Messages() []domain.Message {
	return []domain.Message{
		&BeginCall{}, &StartCall{}, &FinishCall{}, &FailCall{}, &CallCommitted{}, &CallRefused{}, &CallEnded{},
		&CancelCall{}, &EndProgram{}, &EndProgramReply{}, &GetProgram{}, &GetProgramReply{}, &Suspicion{}, &Cleared{},
	}
}
