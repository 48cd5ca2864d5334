// Package shard decides which VM owns a shard. It implements the ownership leases,
// the replication of a shard's log from its owner to its backup and learner, and
// the planning of assignments.
package shard

import "github.com/mangoknot/mangoknot/core/domain"

// Position identifies an entry of a shard's log by the epoch at which the owner
// appended it and its index, which starts at 1.
type Position struct {
	Epoch domain.Epoch
	Index uint64
}

// Entry is one record of a shard's log.
type Entry struct {
	Position
	Record domain.Record
}

// Claim names a shard and the epoch at which the sender owns it.
type Claim struct {
	Shard domain.ShardID
	Epoch domain.Epoch
}

// LeaseRequest asks the configuration leader or a backup for leases. Incarnation
// and Sequence identify the request, so that delayed grants and releases are
// recognised.
type LeaseRequest struct {
	Incarnation, Sequence uint64
	Claims                []Claim
}

// MessageName implements domain.Message.
func (*LeaseRequest) MessageName() string { return "shard.LeaseRequest" }

// LeaseGrant lists the claims of a request that were granted.
type LeaseGrant struct {
	Incarnation, Sequence uint64
	Claims                []Claim
	FromLeader            bool
}

// MessageName implements domain.Message.
func (*LeaseGrant) MessageName() string { return "shard.LeaseGrant" }

// Release releases the leases of the listed shards that were requested with this
// or a lower sequence.
type Release struct {
	Incarnation, Sequence uint64
	Shards                []domain.ShardID
}

// MessageName implements domain.Message.
func (*Release) MessageName() string { return "shard.Release" }

// Append carries the log entries that follow the position Previous, and the index
// of the last committed entry in Commit.
type Append struct {
	Shard    domain.ShardID
	Epoch    domain.Epoch
	Previous Position
	Entries  []Entry
	Commit   uint64
	// Receiver is the incarnation of the process that the message is meant for. Only
	// a message for the current process may mark a copy as complete, because a
	// delayed one may carry an outdated commit index.
	Receiver uint64
}

// MessageName implements domain.Message.
func (*Append) MessageName() string { return "shard.Append" }

// AppendReply acknowledges all entries up to Index. When Rejected is set, the
// receiver could not extend its log, and Index is a hint: the owner continues with
// the entries after it.
type AppendReply struct {
	Shard       domain.ShardID
	Epoch       domain.Epoch
	Incarnation uint64
	Index       uint64
	Rejected    bool
	// Complete reports whether the copy of the receiver holds every committed record,
	// so that the receiver may become the owner.
	Complete bool
	// NextPart is the next part that the receiver needs of the snapshot whose base is
	// Copy.
	NextPart uint32
	Copy     Position
}

// MessageName implements domain.Message.
func (*AppendReply) MessageName() string { return "shard.AppendReply" }

// State carries one part of the snapshot that rebuilds the state at Base. Part is
// counted from 0, Parts is the number of parts.
type State struct {
	Shard       domain.ShardID
	Epoch       domain.Epoch
	Base        Position
	Part, Parts uint32
	Records     []domain.Record
}

// MessageName implements domain.Message.
func (*State) MessageName() string { return "shard.State" }

// Messages lists the message types of the package for codecs.
func Messages() []domain.Message {
	return []domain.Message{&LeaseRequest{}, &LeaseGrant{}, &Release{}, &Append{}, &AppendReply{}, &State{}}
}

// Stored is the durable form of a log entry. It replaces all stored entries from
// its index on.
type Stored struct {
	Shard domain.ShardID
	Entry Entry
}

// RecordName implements domain.Record.
func (*Stored) RecordName() string { return "shard.Stored" }

// StoredSnapshot is the durable form of a snapshot. It replaces all entries up to
// Base. With Reset it replaces the whole log, and the copy no longer counts as
// complete.
type StoredSnapshot struct {
	Shard   domain.ShardID
	Base    Position
	Reset   bool
	Records []domain.Record
}

// RecordName implements domain.Record.
func (*StoredSnapshot) RecordName() string { return "shard.StoredSnapshot" }

// StoredComplete records that the stored copy holds every committed record.
type StoredComplete struct{ Shard domain.ShardID }

// RecordName implements domain.Record.
func (*StoredComplete) RecordName() string { return "shard.StoredComplete" }

// Records lists the record types of the package for codecs.
func Records() []domain.Record {
	return []domain.Record{&Stored{}, &StoredSnapshot{}, &StoredComplete{}}
}
