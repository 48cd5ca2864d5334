// Package shard decides which VM owns a shard. It holds the ownership leases,
// the replication from owner to backup, and the planner of assignments.
package shard

import "github.com/mangoknot/mangoknot/core/domain"

// Position identifies a record inside one shard.
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

// LeaseRequest asks the leader or a backup for leases. Incarnation and Sequence
// identify the request, so that late grants and releases can be told apart.
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

// Release gives up every lease requested with this or a lower sequence.
type Release struct {
	Incarnation, Sequence uint64
	Shards                []domain.ShardID
}

// MessageName implements domain.Message.
func (*Release) MessageName() string { return "shard.Release" }

// Append carries entries that follow the previous position.
type Append struct {
	Shard    domain.ShardID
	Epoch    domain.Epoch
	Previous Position
	Entries  []Entry
	Commit   uint64
	// Receiver is the incarnation the message was made for. A copy counts as
	// complete only by a message for the current process, because a delayed one
	// may name a commit index of the past.
	Receiver uint64
}

// MessageName implements domain.Message.
func (*Append) MessageName() string { return "shard.Append" }

// AppendReply acknowledges all entries up to Index. Rejected means that the
// receiver cannot extend its log; its last index is then the hint in Index.
type AppendReply struct {
	Shard       domain.ShardID
	Epoch       domain.Epoch
	Incarnation uint64
	Index       uint64
	Rejected    bool
	// Complete says that the receiver may become the owner.
	Complete bool
	// NextPart is the next part of a state copy that the receiver needs.
	NextPart uint32
	Copy     Position
}

// MessageName implements domain.Message.
func (*AppendReply) MessageName() string { return "shard.AppendReply" }

// State is one part of the snapshot that rebuilds the state up to Base.
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

// Stored is the durable form of one entry. It replaces all stored entries from
// its index on.
type Stored struct {
	Shard domain.ShardID
	Entry Entry
}

// RecordName implements domain.Record.
func (*Stored) RecordName() string { return "shard.Stored" }

// StoredSnapshot replaces all entries up to Base. With Reset it replaces the
// whole log and the copy is not complete.
type StoredSnapshot struct {
	Shard   domain.ShardID
	Base    Position
	Reset   bool
	Records []domain.Record
}

// RecordName implements domain.Record.
func (*StoredSnapshot) RecordName() string { return "shard.StoredSnapshot" }

// StoredComplete says that the stored copy holds every committed record.
type StoredComplete struct{ Shard domain.ShardID }

// RecordName implements domain.Record.
func (*StoredComplete) RecordName() string { return "shard.StoredComplete" }

// Records lists the record types of the package for codecs.
func Records() []domain.Record {
	return []domain.Record{&Stored{}, &StoredSnapshot{}, &StoredComplete{}}
}
