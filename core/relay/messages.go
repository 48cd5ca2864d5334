// Package relay carries committed configuration entries from the voters to all
// other VMs, reports the applied versions back to the leader, forwards proposals
// to the leader and gossips the set of withdrawn keys. It is a pure state
// machine: the caller sends its messages and applies its entries.
package relay

import (
	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/raft"
)

// Entry is a committed log entry. Change is nil for entries of agreement itself.
type Entry struct {
	Index  raft.Index
	Term   raft.Term
	Change *config.Change
}

// Follow asks a parent for the entries after Applied.
type Follow struct{ Applied raft.Index }

// MessageName implements domain.Message.
func (*Follow) MessageName() string { return "relay.Follow" }

// Entries carries contiguous entries. Without entries it is a heartbeat.
type Entries struct {
	Entries []Entry
	// Last is the last index that the parent has.
	Last raft.Index
	// Hops counts the VMs between the sender and a voter. It grows without end
	// in a loop of parents, which is how a loop is found.
	Hops   int
	Leader domain.VM
}

// MessageName implements domain.Message.
func (*Entries) MessageName() string { return "relay.Entries" }

// Snapshot replaces the state of a follower whose next entry was compacted.
type Snapshot struct {
	Index raft.Index
	State *config.Snapshot
}

// MessageName implements domain.Message.
func (*Snapshot) MessageName() string { return "relay.Snapshot" }

// VMVersion is the applied index of a VM.
type VMVersion struct {
	VM      domain.VM
	Applied raft.Index
}

// Summary describes the VMs of one data centre that follow one VM. Every VM of
// the data centre that is not listed in Behind has applied Last.
type Summary struct {
	DataCentre domain.DataCentre
	Last       raft.Index
	Behind     []VMVersion
}

// Report goes up to the parent, and from voters to the leader, each second. It
// also keeps the sender subscribed.
type Report struct {
	Applied   raft.Index
	Summaries []Summary
}

// MessageName implements domain.Message.
func (*Report) MessageName() string { return "relay.Report" }

// Propose forwards a change to the leader.
type Propose struct{ Change *config.Change }

// MessageName implements domain.Message.
func (*Propose) MessageName() string { return "relay.Propose" }

// ProposeReply answers Propose. Without a result it names the leader, if known.
type ProposeReply struct {
	Operation domain.OperationID
	Result    *config.Result
	Leader    domain.VM
}

// MessageName implements domain.Message.
func (*ProposeReply) MessageName() string { return "relay.ProposeReply" }

// WithdrawnDigest compares two sets of withdrawn keys.
type WithdrawnDigest struct{ Digest Digest }

// MessageName implements domain.Message.
func (*WithdrawnDigest) MessageName() string { return "relay.WithdrawnDigest" }

// WithdrawnBuckets finds the part in which two sets differ.
type WithdrawnBuckets struct{ Sums []uint64 }

// MessageName implements domain.Message.
func (*WithdrawnBuckets) MessageName() string { return "relay.WithdrawnBuckets" }

// WithdrawnKeys carries withdrawn keys. Buckets lists the buckets of which the
// sender wants the receiver's other keys in return.
type WithdrawnKeys struct {
	Keys    []config.KeyID
	Buckets []int
}

// MessageName implements domain.Message.
func (*WithdrawnKeys) MessageName() string { return "relay.WithdrawnKeys" }

// Messages lists the message types of the package for codecs.
func Messages() []domain.Message {
	return []domain.Message{
		&Follow{}, &Entries{}, &Snapshot{}, &Report{}, &Propose{}, &ProposeReply{},
		&WithdrawnDigest{}, &WithdrawnBuckets{}, &WithdrawnKeys{},
	}
}

// Records lists the record types of the package for codecs. The package keeps
// no records: entries are records of the voters' log.
func Records() []domain.Record { return nil }
