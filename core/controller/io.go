// Package controller composes the decision packages into one state machine for
// an entry VM. It does no I/O: the caller passes events and the current time to
// Step, carries out the returned Output, and passes completions back as events.
package controller

import (
	"time"

	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/membership"
	"github.com/mangoknot/mangoknot/core/program"
	"github.com/mangoknot/mangoknot/core/raft"
	"github.com/mangoknot/mangoknot/core/schedule"
)

// Ticket identifies the operation to which a reply belongs. Zero means that no
// reply is wanted.
type Ticket uint64

// Input is an event for the controller.
type Input interface{ isInput() }

// Wake reports that the time of NextWake has been reached.
type Wake struct{}

// PeerMessage is a control message from another VM.
type PeerMessage struct {
	From domain.VM
	Body domain.Message
}

// Persisted reports that a write is durable, or that it failed permanently with
// Err.
type Persisted struct {
	Stream Stream
	Token  uint64
	Err    error
}

// BeginCall requests the admission and start of a call. Its replies are
// entry.Event values, or a *domain.Refusal that ends the call.
type BeginCall struct {
	Ticket Ticket
	Key    config.KeyID
	Begin  program.BeginCall
}

// CallerDisconnected reports that the caller has closed its connection.
type CallerDisconnected struct{ Call domain.CallID }

// FinishCall reports a complete answer whose bytes are stored on the replicas of
// the program's shard.
type FinishCall struct{ Finish program.FinishCall }

// FailCall reports an attempt that ended without a complete answer.
type FailCall struct{ Fail program.FailCall }

// EndProgram ends a program. Its reply is a *program.EndProgramReply, or a
// *domain.Refusal if the owner does not reply in time.
type EndProgram struct {
	Ticket  Ticket
	Program domain.ProgramID
}

// GetProgram reads a program. Its reply is a *program.GetProgramReply, or a
// *domain.Refusal if the owner does not reply in time.
type GetProgram struct {
	Ticket  Ticket
	Program domain.ProgramID
}

// TargetLoad is a load report of a target. Instance changes when the target
// restarts.
type TargetLoad struct {
	Report   schedule.LoadReport
	Instance string
}

// CacheChange is a cache event of a target.
type CacheChange struct{ Event schedule.CacheEvent }

// ReleaseDone reports the result of releasing a program's memory on a target.
type ReleaseDone struct {
	Release program.Release
	Err     error
}

// VMList is the platform's list of the VMs of the system and of targets.
type VMList struct{ Members []membership.Member }

// Change proposes a configuration change. Its reply is a ChangeReply.
type Change struct {
	Ticket Ticket
	Change config.Change
}

// WithdrawKey withdraws a key, on this VM immediately. Its reply is a
// ChangeReply.
type WithdrawKey struct {
	Ticket Ticket
	Key    config.KeyID
}

// Query requests a report. Its reply is the Answer to the question.
type Query struct {
	Ticket   Ticket
	Question Question
}

// ChangeVoters adds or removes a voter. Its reply is a ChangeReply.
type ChangeVoters struct {
	Ticket Ticket
	Change raft.VoterChange
}

// Drain starts a planned stop. The reply is Drained, which follows when the VM
// owns no shard and is not the leader, as far as other VMs can take over.
type Drain struct{ Ticket Ticket }

func (Wake) isInput()               {}
func (PeerMessage) isInput()        {}
func (Persisted) isInput()          {}
func (BeginCall) isInput()          {}
func (CallerDisconnected) isInput() {}
func (FinishCall) isInput()         {}
func (FailCall) isInput()           {}
func (EndProgram) isInput()         {}
func (GetProgram) isInput()         {}
func (TargetLoad) isInput()         {}
func (CacheChange) isInput()        {}
func (ReleaseDone) isInput()        {}
func (VMList) isInput()             {}
func (Change) isInput()             {}
func (WithdrawKey) isInput()        {}
func (Query) isInput()              {}
func (ChangeVoters) isInput()       {}
func (Drain) isInput()              {}

// Stream is the name of a durable sequence of records.
type Stream string

// The streams of a VM.
const (
	StreamRaft   Stream = "raft"
	StreamShards Stream = "shards"
	StreamKeys   Stream = "withdrawn-keys"
)

// Write requests that records are appended durably to a stream. If Replace is
// set, they replace the contents of the stream. The writes of a stream complete
// in order, each with a Persisted event.
type Write struct {
	Stream  Stream
	Token   uint64
	Replace bool
	Records []domain.Record
}

// Reply is a reply to a ticket. Last reports that no other reply follows.
type Reply struct {
	Ticket Ticket
	Body   any
	Last   bool
}

// ChangeReply is the outcome of a configuration change.
type ChangeReply struct {
	// Version is the configuration version that contains the change. It is 0 for
	// a key withdrawal that is not in the log yet and for a change of the voters.
	Version uint64
	Refusal *domain.Refusal
}

// Drained is the reply to Drain.
type Drained struct{}

// Output holds the actions that the caller must take after a step.
type Output struct {
	Sends              []domain.Send
	Writes             []Write
	Replies            []Reply
	Releases           []program.Release
	ReplaceConnections []domain.VM
	// Expired lists programs whose history is no longer needed on any VM.
	Expired []domain.ProgramID
	// View is set when the configuration in force changed.
	View *config.View
	// State is set when the state that the traffic side reads changed.
	State *State
	// Ended lists programs that have ended, for latency histograms.
	Ended []EndedProgram
	// Retried holds the failure kind of each retried call, for counters.
	Retried []string
	// Log holds log lines for operators.
	Log []LogLine
}

// EndedProgram holds the time from the start to the end of a program.
type EndedProgram struct {
	Account domain.Account
	Latency time.Duration
}

// LogLine is one log line for operators.
type LogLine struct {
	Part string
	Text string
	// Pairs holds alternating keys and values.
	Pairs []any
}

// State is the state of the VM that the traffic side reads. It is immutable.
type State struct {
	// Serving reports that the VM has a current configuration and accepts work.
	Serving bool
	// Isolated reports that the VM refuses keyed requests.
	Isolated bool
	// Leaving reports that the platform will remove the VM.
	Leaving bool
	// Withdrawn holds the withdrawn keys that this VM knows, from the log and from
	// other VMs.
	Withdrawn map[config.KeyID]bool
	// Addresses holds the peer addresses of all known VMs.
	Addresses map[domain.VM]string
	// Fatal is the reason why the VM must stop, or nil.
	Fatal error
}

// WithdrawnKey is the durable record of a withdrawn key.
type WithdrawnKey struct{ Key config.KeyID }

// RecordName implements domain.Record.
func (*WithdrawnKey) RecordName() string { return "controller.WithdrawnKey" }

// ShardMessage carries a message to the owner of a shard.
type ShardMessage struct {
	To   domain.ShardID
	Body domain.Message
}

// MessageName implements domain.Message.
func (*ShardMessage) MessageName() string { return "controller.ShardMessage" }

// OwnerReady reports that the sender has taken over shards, so that entry VMs
// immediately resend the calls that wait for these shards.
type OwnerReady struct{ Shards []domain.ShardID }

// MessageName implements domain.Message.
func (*OwnerReady) MessageName() string { return "controller.OwnerReady" }
