// Package controller composes the decision packages into one state machine for
// a VM. The caller passes events and the current time to Step, does what the
// output says, and passes completions back as events.
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

// Ticket ties replies to the traffic operation that asked. Zero asks for none.
type Ticket uint64

// Input is an event for the controller.
type Input interface{ isInput() }

// Wake says that the time of NextWake has come.
type Wake struct{}

// PeerMessage is a control message of another VM.
type PeerMessage struct {
	From domain.VM
	Body domain.Message
}

// Persisted says that a write is durable, or failed for good.
type Persisted struct {
	Stream Stream
	Token  uint64
	Err    error
}

// BeginCall asks for admission and for the start of a call. Its replies are
// entry.Event values, or a *domain.Refusal that ends the call.
type BeginCall struct {
	Ticket Ticket
	Key    config.KeyID
	Begin  program.BeginCall
}

// CallerDisconnected says that the caller has closed its connection.
type CallerDisconnected struct{ Call domain.CallID }

// FinishCall reports a whole answer whose bytes are stored on the holders.
type FinishCall struct{ Finish program.FinishCall }

// FailCall reports an attempt without an answer.
type FailCall struct{ Fail program.FailCall }

// EndProgram ends a program; its reply is a *program.EndProgramReply.
type EndProgram struct {
	Ticket  Ticket
	Program domain.ProgramID
}

// GetProgram reads a program; its reply is a *program.GetProgramReply.
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

// ReleaseDone confirms or fails an order to release a program's memory.
type ReleaseDone struct {
	Release program.Release
	Err     error
}

// VMList is the platform's list of VMs of the system.
type VMList struct{ Members []membership.Member }

// Change proposes a configuration change; its reply is a ChangeReply.
type Change struct {
	Ticket Ticket
	Change config.Change
}

// WithdrawKey withdraws a key at once on this VM; its reply is a ChangeReply.
type WithdrawKey struct {
	Ticket Ticket
	Key    config.KeyID
}

// Query asks for a report; its reply is the Answer to the question.
type Query struct {
	Ticket   Ticket
	Question Question
}

// ChangeVoters adds or removes a voter; its reply is a ChangeReply.
type ChangeVoters struct {
	Ticket Ticket
	Change raft.VoterChange
}

// Drain starts a planned stop. The reply Drained follows when the VM owns no
// shard and leads nothing.
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

// Stream names a durable sequence of records.
type Stream string

// The streams of a VM.
const (
	StreamRaft   Stream = "raft"
	StreamShards Stream = "shards"
	StreamKeys   Stream = "withdrawn-keys"
)

// Write asks for records to be synced to a stream, or to replace it. Writes of
// a stream complete in order, and each completes with Persisted.
type Write struct {
	Stream  Stream
	Token   uint64
	Replace bool
	Records []domain.Record
}

// Reply answers a ticket. Last says that no other reply follows.
type Reply struct {
	Ticket Ticket
	Body   any
	Last   bool
}

// ChangeReply is the outcome of a configuration change.
type ChangeReply struct {
	// Version is the configuration version with the change, or 0 when a
	// withdrawal has not reached the log yet.
	Version uint64
	Refusal *domain.Refusal
}

// Drained answers Drain.
type Drained struct{}

// Output is what the caller has to do after a step.
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
	// State is set when what the traffic side reads about the VM changed.
	State *State
	// Ended lists programs that have ended, for histograms.
	Ended []EndedProgram
	// Retried names repeated calls by reason, for counters.
	Retried []string
	// Log lists sentences for operators.
	Log []LogLine
}

// EndedProgram is the latency of a whole program.
type EndedProgram struct {
	Account domain.Account
	Latency time.Duration
}

// LogLine is one sentence for operators.
type LogLine struct {
	Part string
	Text string
	// Pairs alternates keys and values.
	Pairs []any
}

// State is what the traffic side reads about the VM. It is immutable.
type State struct {
	// Serving says that the VM has a current configuration and takes work.
	Serving bool
	// Isolated says that the VM refuses keyed requests.
	Isolated bool
	// Leaving says that the platform will take the VM away.
	Leaving bool
	// Withdrawn holds the keys that were withdrawn on any side.
	Withdrawn map[config.KeyID]bool
	// Addresses are those of all VMs that are known.
	Addresses map[domain.VM]string
	// Fatal is set when the VM must stop.
	Fatal error
}

// WithdrawnKey records a withdrawal that this VM knows of.
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

// OwnerReady says that the sender has taken over shards, so that entry VMs send
// waiting calls again at once.
type OwnerReady struct{ Shards []domain.ShardID }

// MessageName implements domain.Message.
func (*OwnerReady) MessageName() string { return "controller.OwnerReady" }
