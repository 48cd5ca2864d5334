// Package relay distributes committed configuration entries from the voters to
// all other VMs over a tree, reports the applied indexes back to the leader,
// forwards proposals to the leader and gossips the set of withdrawn keys. It is a
// pure state machine: the caller sends its messages and applies its entries.
package relay

import (
	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/raft"
)

// Entry is a committed log entry. Change is nil for entries of the consensus
// protocol itself.
type Entry struct {
	Index  raft.Index
	Term   raft.Term
	Change *config.Change
}

// Follow subscribes the sender to a parent and requests the entries after
// Applied.
type Follow struct{ Applied raft.Index }

// MessageName implements domain.Message.
func (*Follow) MessageName() string { return "relay.Follow" }

// Entries carries contiguous log entries. Without entries it is a heartbeat.
type Entries struct {
	Entries []Entry
	// Last is the index of the last entry that the parent has.
	Last raft.Index
	// Hops is the sender's distance to a voter, in hops. In a cycle of parents it
	// grows past the maximum, which detects the cycle.
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

// VMVersion is the log index that a VM has applied.
type VMVersion struct {
	VM      domain.VM
	Applied raft.Index
}

// Summary aggregates the applied indexes of one data centre as known to one
// parent. Every VM of the data centre that is not listed in Behind has applied
// Last.
type Summary struct {
	DataCentre domain.DataCentre
	Last       raft.Index
	Behind     []VMVersion
}

// Report is sent to the parent, and by voters to the leader, each second. It
// also renews the sender's subscription.
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

// ProposeReply answers Propose. Without a result it redirects the sender to the
// leader, if that is known.
type ProposeReply struct {
	Operation domain.OperationID
	Result    *config.Result
	Leader    domain.VM
}

// MessageName implements domain.Message.
func (*ProposeReply) MessageName() string { return "relay.ProposeReply" }

// WithdrawnDigest carries the digest of the sender's withdrawn set. A receiver
// whose digest differs answers with WithdrawnBuckets.
type WithdrawnDigest struct{ Digest Digest }

// MessageName implements domain.Message.
func (*WithdrawnDigest) MessageName() string { return "relay.WithdrawnDigest" }

// WithdrawnBuckets carries the digest of each bucket of the sender's set, by
// which the receiver finds the buckets that differ.
type WithdrawnBuckets struct{ Sums []uint64 }

// MessageName implements domain.Message.
func (*WithdrawnBuckets) MessageName() string { return "relay.WithdrawnBuckets" }

// WithdrawnKeys carries withdrawn keys. The receiver replies with its keys of the
// listed buckets that the message does not contain.
type WithdrawnKeys struct {
	Keys    []config.KeyID
	Buckets []int
}

// MessageName implements domain.Message.
func (*WithdrawnKeys) MessageName() string { return "relay.WithdrawnKeys" }

// Messages returns one value of each message type of the package, for codecs.
func Messages() []domain.Message {
	return []domain.Message{
		&Follow{}, &Entries{}, &Snapshot{}, &Report{}, &Propose{}, &ProposeReply{},
		&WithdrawnDigest{}, &WithdrawnBuckets{}, &WithdrawnKeys{},
	}
}

// Records returns the record types of the package for codecs. There are none:
// entries are stored as records of the voters' log.
func Records() []domain.Record { return nil }
