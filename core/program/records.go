package program

import (
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/ledger"
)

// CallStarted records that a call may be sent. The first one of a program
// creates the program.
type CallStarted struct {
	Begin       BeginCall
	First       bool
	Target      domain.Target
	Attempt     uint32
	Reservation ledger.Reservation
	// BudgetLimit is the upper bound of a child program's budget. It is set in
	// the record of the child's first call.
	BudgetLimit domain.Micros `cbor:"Cap"`
	At          time.Time
}

// CallFinished records a turn, its charge and its answer.
type CallFinished struct {
	Program domain.ProgramID
	Call    domain.CallID
	Attempt uint32
	Turn    HistoryRef
	Answer  *Answer
	// Conversation identifies the messages up to and including the turn.
	Conversation Conversation
	Charge       ledger.Charge
	At           time.Time
}

// CallFailed records that a started call has no answer. The call is not
// charged.
type CallFailed struct {
	Program domain.ProgramID
	Call    domain.CallID
	Kind    FailKind
	// Retry is set when the call continues with another attempt.
	Retry   bool
	Refusal domain.Refusal
	Charge  ledger.Charge
	At      time.Time
}

// ProgramEnded records the end of a program. It also ends the call in flight,
// without a charge.
type ProgramEnded struct {
	Program domain.ProgramID
	Reason  domain.Reason
	At      time.Time
}

// ReleaseConfirmed records that a target holds no memory of an ended program.
type ReleaseConfirmed struct {
	Program domain.ProgramID
	Target  domain.Target
	At      time.Time
}

// ProgramState is the snapshot of a program. Its amounts include the
// reservation of Running, which is therefore not applied again.
type ProgramState struct {
	Program              domain.ProgramID
	Parent               domain.ProgramName
	Started, Used, Ended time.Time
	Reason               domain.Reason
	Turns                []HistoryRef
	Conversation         Conversation
	Targets              []domain.Target
	Spent, Reserved      domain.Micros
	BudgetLimit          domain.Micros `cbor:"Cap"`
	LastFingerprint      Fingerprint   `cbor:"Last"`
	Repeats              int
	Running              *CallStarted
}

// KeyState is the snapshot of an idempotency key.
type KeyState struct {
	Program     domain.ProgramID
	Key         string
	Fingerprint Fingerprint
	Call        domain.CallID
	State       uint8
	Answer      *Answer
	At          time.Time
}

// DoneState is the snapshot of the outcome of a call that has ended.
type DoneState struct {
	Program domain.ProgramID
	Call    domain.CallID
	Turn    int
	Charge  domain.Micros
	Refusal *domain.Refusal
	At      time.Time
}

// RecordName implements domain.Record.
func (*CallStarted) RecordName() string { return "program.CallStarted" }

// RecordName implements domain.Record.
func (*CallFinished) RecordName() string { return "program.CallFinished" }

// RecordName implements domain.Record.
func (*CallFailed) RecordName() string { return "program.CallFailed" }

// RecordName implements domain.Record.
func (*ProgramEnded) RecordName() string { return "program.ProgramEnded" }

// RecordName implements domain.Record.
func (*ReleaseConfirmed) RecordName() string { return "program.ReleaseConfirmed" }

// RecordName implements domain.Record.
func (*ProgramState) RecordName() string { return "program.ProgramState" }

// RecordName implements domain.Record.
func (*KeyState) RecordName() string { return "program.KeyState" }

// RecordName implements domain.Record.
func (*DoneState) RecordName() string { return "program.DoneState" }

// Records returns a zero value of each record, for the codec. The ledger's
// records are in the same log and are listed by its package.
func Records() []domain.Record {
	return []domain.Record{
		&CallStarted{}, &CallFinished{}, &CallFailed{}, &ProgramEnded{}, &ReleaseConfirmed{},
		&ProgramState{}, &KeyState{}, &DoneState{},
	}
}
