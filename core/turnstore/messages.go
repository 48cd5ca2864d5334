// Package turnstore is the state of a storage VM: the stored turns of programs
// and the shares of their token budgets. A turn never changes; a share is changed
// by one gateway only, under increasing versions. Gateways write both to a majority
// of the set. A VM that joins the set copies the records of the others before its
// absence answers count.
package turnstore

import (
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/quorum"
	"github.com/mangoknot/mangoknot/core/tokens"
)

// TurnKey identifies a turn. Turns of two client accounts never meet.
type TurnKey struct {
	Account domain.Account
	ID      string
}

// Turn is one stored turn. It never changes after it was written.
type Turn struct {
	Key TurnKey
	// Previous is the id of the turn that this one continues, or "".
	Previous string
	Input    []byte
	// Events holds the data of each event of the answer, in order.
	Events [][]byte
	// Retention is the time after the last use at which the turn may be dropped.
	Retention time.Duration `cbor:"KeepFor"`
}

// RecordName implements domain.Record.
func (*Turn) RecordName() string { return "turnstore.Turn" }

func (t *Turn) size() int {
	n := len(t.Input) + len(t.Key.ID) + len(t.Previous) + turnOverheadBytes
	for _, e := range t.Events {
		n += len(e)
	}
	return n
}

// Share is a gateway's share of a program's token budget.
type Share struct {
	Program tokens.Program
	Share   tokens.Share
}

// RecordName implements domain.Record.
func (*Share) RecordName() string { return "turnstore.Share" }

// Adopted is the set that the store follows. It is durable before the store
// confirms it, so that a restarted store still refuses writes of older sets.
type Adopted struct{ Set *quorum.Set }

// RecordName implements domain.Record.
func (*Adopted) RecordName() string { return "turnstore.Adopted" }

// Copied says that the store holds every record that was acknowledged before
// the epoch in which it joined.
type Copied struct{ Joined domain.Epoch }

// RecordName implements domain.Record.
func (*Copied) RecordName() string { return "turnstore.Copied" }

// Identity names the disk. It is the first record of a disk.
type Identity struct{ ID quorum.StoreID }

// RecordName implements domain.Record.
func (*Identity) RecordName() string { return "turnstore.Identity" }

// Records lists the record types of the package for codecs.
func Records() []domain.Record {
	return []domain.Record{&Turn{}, &Share{}, &Adopted{}, &Copied{}, &Identity{}}
}

// Write stores records. Set is present when an earlier reply asked for it.
type Write struct {
	Epoch  domain.Epoch
	Set    *quorum.Set
	Turn   *Turn
	Shares []tokens.Entry
	// SharesOf names the program whose shares are asked for; its name is empty when
	// nothing is to be decided.
	SharesOf tokens.Program `cbor:"Asks"`
}

// MessageName implements domain.Message.
func (*Write) MessageName() string { return "turnstore.Write" }

// WriteReply answers Write after the records are durable.
type WriteReply struct {
	Status MemberStatus `cbor:"Standing"`
	// Shares holds all shares that the store knows of the program that was asked for.
	Shares []tokens.Share
}

// MessageName implements domain.Message.
func (*WriteReply) MessageName() string { return "turnstore.WriteReply" }

// MemberStatus is the store's position in the set, part of each reply.
type MemberStatus struct {
	Epoch domain.Epoch
	// Accepted is false when the request belongs to another epoch, or the store is
	// no member. Nothing was stored then.
	Accepted bool
	// Complete says that absence answers of this store count.
	Complete bool
	// NewerSet is present when the asker follows an older set.
	NewerSet *quorum.Set
	// WantsSet asks for the set of the request's epoch.
	WantsSet bool
}

// ReadChain asks for a turn and all turns that it continues.
type ReadChain struct {
	Epoch domain.Epoch
	Set   *quorum.Set
	Key   TurnKey
}

// MessageName implements domain.Message.
func (*ReadChain) MessageName() string { return "turnstore.ReadChain" }

// ChainReply answers ReadChain. Turns starts with the asked turn; Missing is the
// id at which the chain breaks off, or "" for a whole chain.
type ChainReply struct {
	Status  MemberStatus `cbor:"Standing"`
	Turns   []*Turn
	Missing string
}

// MessageName implements domain.Message.
func (*ChainReply) MessageName() string { return "turnstore.ChainReply" }

// Pull asks another member for its records after a position.
type Pull struct {
	Set   *quorum.Set
	After int
}

// MessageName implements domain.Message.
func (*Pull) MessageName() string { return "turnstore.Pull" }

// PullReply answers Pull with the keys of turns and with shares. Last is the
// position of the last record; Done says that there are no more.
type PullReply struct {
	Status MemberStatus `cbor:"Standing"`
	Turns  []TurnKey
	Shares []tokens.Entry
	Last   int
	Done   bool
}

// MessageName implements domain.Message.
func (*PullReply) MessageName() string { return "turnstore.PullReply" }

// Fetch asks another member for turns. A joining member has most turns from the
// first member that it copied from, and the link to the next one may be narrow.
type Fetch struct{ Turns []TurnKey }

// MessageName implements domain.Message.
func (*Fetch) MessageName() string { return "turnstore.Fetch" }

// FetchReply answers Fetch. It handles the first Handled of the asked turns and
// holds those that are still kept.
type FetchReply struct {
	Turns   []*Turn
	Handled int
}

// MessageName implements domain.Message.
func (*FetchReply) MessageName() string { return "turnstore.FetchReply" }

// Messages lists the message types of the package for codecs.
func Messages() []domain.Message {
	return []domain.Message{&Write{}, &WriteReply{}, &ReadChain{}, &ChainReply{}, &Pull{}, &PullReply{}, &Fetch{}, &FetchReply{}}
}
