// Package turnstore holds the state of a storage VM: the turns of programs and the
// shares of their token budgets. A turn is immutable. A share is written by a single
// gateway, with increasing versions. Gateways write both to a majority of the set. A
// VM that joins the set first copies the records of the other members; until then,
// its reply that a record is absent is not authoritative.
package turnstore

import (
	"errors"
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/quorum"
	"github.com/mangoknot/mangoknot/core/tokens"
)

// TurnKey identifies a turn. Each client account has its own namespace of turns.
type TurnKey struct {
	Account domain.Account
	ID      string
}

// Turn is one stored turn. It is immutable once written.
type Turn struct {
	Key TurnKey
	// Previous is the ID of the turn that this one continues, or "".
	Previous string
	Input    []byte
	// Events holds the data of each event of the response, in order.
	Events [][]byte
	// Retention is the time for which the turn is kept with its chain. A turn before it that has a
	// shorter retention is kept as long.
	Retention time.Duration `cbor:"KeepFor"`
	// Route is the route of the turn, whose region constraint also binds the turns that
	// continue it. It is empty if no region constraint was in force.
	Route string `cbor:",omitempty"`
	// Deleted marks a record on the disk: the store has deleted the turn with this key. The other
	// fields are then empty. Builds from before restore the turn and delete it again later.
	Deleted bool `cbor:",omitempty"`
}

// RecordName implements domain.Record.
func (*Turn) RecordName() string { return "turnstore.Turn" }

// Size returns the size of the turn with its overhead, in bytes.
func (t *Turn) Size() int {
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

// Adopted records the set that the store uses. It is synced before the store
// acknowledges the set, so that a restarted store still rejects writes of older
// sets.
type Adopted struct{ Set *quorum.Set }

// RecordName implements domain.Record.
func (*Adopted) RecordName() string { return "turnstore.Adopted" }

// Copied records that the store holds every record that was acknowledged before
// the epoch in which it joined.
type Copied struct {
	Joined domain.Epoch
	// Whole is MemberStatus.Whole at that time. Builds that do not record it leave it out.
	Whole domain.Epoch `cbor:",omitempty"`
}

// RecordName implements domain.Record.
func (*Copied) RecordName() string { return "turnstore.Copied" }

// Identity records the ID of the disk. It is the first record of a disk.
type Identity struct{ ID quorum.StoreID }

// RecordName implements domain.Record.
func (*Identity) RecordName() string { return "turnstore.Identity" }

// Records returns a value of each record type of the package, for codecs.
func Records() []domain.Record {
	return []domain.Record{&Turn{}, &Share{}, &Adopted{}, &Copied{}, &Identity{}}
}

// Write stores records. Set is present when an earlier reply requested it.
type Write struct {
	Epoch domain.Epoch
	Set   *quorum.Set
	Turn  *Turn
	// Ancestors holds turns before Turn that the store lacks, newest first.
	Ancestors []*Turn
	Shares    []tokens.ProgramShare
	// SharesOf is the program whose shares the reply returns. Its name is empty when
	// no shares are requested.
	SharesOf tokens.Program `cbor:"Asks"`
}

// MessageName implements domain.Message.
func (*Write) MessageName() string { return "turnstore.Write" }

// WriteReply is the reply to Write, sent after the records are durable.
type WriteReply struct {
	Status MemberStatus `cbor:"Standing"`
	// Missing is the ID of the newest turn before Write.Turn that the store lacks, or "".
	Missing string
	// Shares holds all stored shares of the program Write.SharesOf, and Lapsed the writers of
	// those whose advance reservation has lapsed.
	Shares []tokens.Share
	Lapsed []string `cbor:",omitempty"`
}

// MessageName implements domain.Message.
func (*WriteReply) MessageName() string { return "turnstore.WriteReply" }

// MemberStatus is the status of the store within the set of the request. It is part
// of every reply except FetchReply.
type MemberStatus struct {
	// Store is the ID of the disk that replies. It is empty on builds from before this field.
	Store quorum.StoreID `cbor:",omitempty"`
	Epoch domain.Epoch
	// Accepted is false when the request has another epoch than the store, or the
	// store is not a member. A write then stores no turn and no share.
	Accepted bool
	// Complete reports whether this store holds every record that it must hold, so
	// that its replies about absent records are authoritative.
	Complete bool
	// Whole is the newest epoch for which the store holds every record that was acknowledged
	// before it, or 0. A member that copies may copy from such a store alone.
	Whole domain.Epoch `cbor:",omitempty"`
	// Copied is the newest epoch of joining for which the store has copied the records of the
	// other members.
	Copied domain.Epoch `cbor:",omitempty"`
	// NewerSet is the store's set when the request has an older epoch.
	NewerSet *quorum.Set
	// WantsSet requests the set of the request's epoch.
	WantsSet bool
}

// IsFrom reports whether the reply counts as that of a member of the set. A VM that has lost its
// disk answers at the address of the member that it was, with another disk. Without the ID of the
// disk, the reply counts unless the set has two members with this address.
func (s MemberStatus) IsFrom(set *quorum.Set, m quorum.Member) bool {
	if s.Store == "" {
		return !set.SharesAddress(m)
	}
	return s.Store == m.ID
}

// IsCompleteFor reports whether the store holds every record acknowledged before the member joined,
// whether the member still has its seat or not.
func (s MemberStatus) IsCompleteFor(m quorum.Member) bool {
	return s.Store == m.ID && s.Copied >= m.Joined
}

// ReadChain requests a turn and all turns that it continues.
type ReadChain struct {
	Epoch domain.Epoch
	Set   *quorum.Set
	Key   TurnKey
}

// MessageName implements domain.Message.
func (*ReadChain) MessageName() string { return "turnstore.ReadChain" }

// ChainReply is the reply to ReadChain. Turns starts with the requested turn, newest
// first. Missing is the ID of the first turn that was not found, or "" for a complete
// chain.
type ChainReply struct {
	Status  MemberStatus `cbor:"Standing"`
	Turns   []*Turn
	Missing string
}

// MessageName implements domain.Message.
func (*ChainReply) MessageName() string { return "turnstore.ChainReply" }

// Pull requests the records of another member after a sequence number.
type Pull struct {
	Set   *quorum.Set
	After int
}

// MessageName implements domain.Message.
func (*Pull) MessageName() string { return "turnstore.Pull" }

// PullReply is the reply to Pull. It holds the keys of turns, and whole shares. Last
// is the sequence number of the last record; Done reports whether it is the newest.
type PullReply struct {
	Status MemberStatus `cbor:"Standing"`
	Turns  []TurnKey
	Shares []tokens.ProgramShare
	Last   int
	Done   bool
}

// MessageName implements domain.Message.
func (*PullReply) MessageName() string { return "turnstore.PullReply" }

// Fetch requests turns from another member. Of turns, Pull returns only the keys,
// because a joining member already has most turns from the first member that it copied
// from, and the link to the next one may be slow.
type Fetch struct{ Turns []TurnKey }

// MessageName implements domain.Message.
func (*Fetch) MessageName() string { return "turnstore.Fetch" }

// FetchReply is the reply to Fetch. Handled is the number of requested turns, from the
// first on, that the reply covers. Turns holds those of them that are still stored.
type FetchReply struct {
	Turns   []*Turn
	Handled int
}

// MessageName implements domain.Message.
func (*FetchReply) MessageName() string { return "turnstore.FetchReply" }

// errIncomplete is returned for a message that lacks a part that its sender always sets.
var errIncomplete = errors.New("turnstore: the message lacks a part; check that both VMs run compatible versions")

// Validate returns an error if an ancestor is missing.
func (w *Write) Validate() error { return validateTurns(w.Ancestors) }

// Validate returns an error if the set is missing.
func (p *Pull) Validate() error {
	if p.Set == nil {
		return errIncomplete
	}
	return nil
}

// Validate returns an error if a turn is missing.
func (r *ChainReply) Validate() error { return validateTurns(r.Turns) }

// Validate returns an error if a turn is missing.
func (r *FetchReply) Validate() error { return validateTurns(r.Turns) }

func validateTurns(turns []*Turn) error {
	if slices.Contains(turns, nil) {
		return errIncomplete
	}
	return nil
}

// Messages returns a value of each message type of the package, for codecs.
func Messages() []domain.Message {
	return []domain.Message{&Write{}, &WriteReply{}, &ReadChain{}, &ChainReply{}, &Pull{}, &PullReply{}, &Fetch{}, &FetchReply{}, &Scoped{}}
}
