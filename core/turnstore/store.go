package turnstore

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/quorum"
	"github.com/mangoknot/mangoknot/core/tokens"
)

const (
	// turnOverheadBytes is the memory that a stored turn takes in addition to its
	// content.
	turnOverheadBytes = 200
	// retentionFactor multiplies the retention of a turn. The margin is needed because
	// the writer counts from the end of the response and the store from the receipt of
	// the record.
	retentionFactor = 2
	// shareRetention is the time after the last use at which the shares of a program
	// are deleted. It is much longer than the retention of turns, because a program
	// whose shares are deleted starts again with its full budget.
	shareRetention = 15 * time.Minute
	// MaxChainTurns bounds the turns of one chain that are read. Without it, turns that
	// continue each other in a cycle would never end.
	MaxChainTurns = 4096
	// sweepInterval is the minimum time between two sweeps of expired records.
	sweepInterval = 10 * time.Second
)

type storedTurn struct {
	turn *Turn
	// expires is the time at which the turn may be deleted. It is not before that of any stored
	// turn that continues it: a chain is kept as a whole, also after its route was replaced by one
	// with a longer retention.
	expires time.Time
	// sequence is that of the turn's entry in the order. An entry with another one is of a deleted
	// turn.
	sequence int
}

type storedProgram struct {
	shares  tokens.Union
	lapses  tokens.Lapses
	lastUse time.Time
}

// orderEntry is one entry of the list of records in insertion order. Members that
// copy from this store receive the records in this order.
type orderEntry struct {
	// sequence increases along the order. It does not change when other entries are
	// removed.
	sequence int
	turn     TurnKey
	program  tokens.Program
	isTurn   bool
}

// Store is the state of one storage VM. It is not safe for concurrent use.
type Store struct {
	// scope is that of the sets that the store adopts.
	scope       quorum.Scope
	id          quorum.StoreID
	set         *quorum.Set
	copiedEpoch domain.Epoch
	turns       map[TurnKey]*storedTurn
	// wholeEpoch is MemberStatus.Whole of a complete store.
	wholeEpoch domain.Epoch
	programs   map[tokens.Program]*storedProgram
	order      []orderEntry
	// lastSequence is the sequence number of the newest entry of order.
	lastSequence int
	// liveBytes is the size of all stored turns, with their overhead.
	liveBytes int
	// shareCount is the number of all stored shares.
	shareCount int
	// restoredBytes is the size of all records that were restored.
	restoredBytes int
	nextSweep     time.Time
}

// New returns an empty store.
func New() *Store {
	return &Store{turns: map[TurnKey]*storedTurn{}, programs: map[tokens.Program]*storedProgram{}}
}

// Restore applies one durable record. The caller passes the records in the order in
// which they were written. It returns an error for a record of another package.
func (s *Store) Restore(now time.Time, record domain.Record) error {
	s.restoredBytes += RecordBytes(record)
	switch r := record.(type) {
	case *Identity:
		s.id = r.ID
	case *Adopted:
		s.set = r.Set
	case *Copied:
		s.copiedEpoch, s.wholeEpoch = max(s.copiedEpoch, r.Joined), max(s.wholeEpoch, r.Whole)
	case *Turn:
		if r.Deleted {
			s.deleteTurn(r.Key)
			s.trimOrder()
		} else {
			s.addTurn(now, r)
		}
	case *Share:
		s.addShare(now, tokens.ProgramShare(*r))
	default:
		return fmt.Errorf("turnstore: record type %T does not belong to a storage VM; empty the data folder, and the VM copies the records of the other storage VMs", record)
	}
	return nil
}

// ID returns the ID of the disk, or "" for an empty disk.
func (s *Store) ID() quorum.StoreID { return s.id }

// AssignID sets the ID of an empty disk and returns the record to sync.
func (s *Store) AssignID(id quorum.StoreID) domain.Record {
	s.id = id
	return &Identity{ID: id}
}

// Set returns the newest set that the store has adopted, or nil.
func (s *Store) Set() *quorum.Set { return s.set }

// Counts returns the number of stored turns, the number of stored programs, and the
// size of all turns in bytes.
func (s *Store) Counts() (turns, programs, bytes int) {
	return len(s.turns), len(s.programs), s.liveBytes
}

// RecordBytes returns the approximate size of a record on the disk.
func RecordBytes(record domain.Record) int {
	if t, ok := record.(*Turn); ok {
		return t.Size()
	}
	return turnOverheadBytes
}

// RestoredBytes returns the size of all records that were restored.
func (s *Store) RestoredBytes() int { return s.restoredBytes }

// LiveBytes returns the size on the disk of all records that the store holds.
func (s *Store) LiveBytes() int { return s.liveBytes + s.shareCount*turnOverheadBytes }

// AdoptSet switches to a newer set and returns the record to sync. It returns nil
// when the set is nil, not newer or of another scope.
func (s *Store) AdoptSet(set *quorum.Set) domain.Record {
	if set == nil || set.Scope != s.scope || (s.set != nil && set.Epoch <= s.set.Epoch) {
		return nil
	}
	s.set = set
	return &Adopted{Set: set}
}

// Whole returns the newest epoch for which the store holds every record that was acknowledged
// before it, or 0. No record was acknowledged before the first epoch.
func (s *Store) Whole() domain.Epoch {
	if s.Complete() {
		return max(s.wholeEpoch, quorum.FirstEpoch)
	}
	return 0
}

// IsCompleteFor reports whether the store holds every record acknowledged before the member joined,
// whether the member still has its seat or not. A member of the first set does by definition.
func (s *Store) IsCompleteFor(m quorum.Member) bool { return s.id == m.ID && s.copiedEpoch >= m.Joined }

// NeedsCopy reports whether the store is a member that has not yet copied the records
// of the other members.
func (s *Store) NeedsCopy() bool {
	m, ok := s.member()
	return ok && !s.IsCompleteFor(m)
}

// Complete reports whether the store is a member that holds every record acknowledged
// before it joined, so that its replies about absent records are authoritative.
func (s *Store) Complete() bool {
	m, ok := s.member()
	return ok && s.IsCompleteFor(m)
}

func (s *Store) member() (quorum.Member, bool) {
	if s.set == nil {
		return quorum.Member{}, false
	}
	return s.set.Member(s.id)
}

// memberStatus compares the epoch of a request with the epoch of the store.
func (s *Store) memberStatus(epoch domain.Epoch) MemberStatus {
	out := MemberStatus{Store: s.id, Complete: s.Complete(), Whole: s.Whole(), Copied: s.copiedEpoch}
	if s.set == nil {
		out.WantsSet = true
		return out
	}
	out.Epoch = s.set.Epoch
	_, member := s.member()
	switch {
	case epoch < s.set.Epoch:
		out.NewerSet = s.set
	case epoch > s.set.Epoch:
		out.WantsSet = true
	default:
		out.Accepted = member
	}
	return out
}

// Write stores the turn and the shares of a write, unless the reply's status is not
// accepted. The caller syncs the returned records before it sends the reply.
func (s *Store) Write(now time.Time, w *Write) (*WriteReply, []domain.Record) {
	var records []domain.Record
	if r := s.AdoptSet(w.Set); r != nil {
		records = append(records, r)
	}
	reply := &WriteReply{Status: s.memberStatus(w.Epoch)}
	if !reply.Status.Accepted {
		return reply, records
	}
	for _, t := range w.Ancestors {
		if s.addTurn(now, t) {
			records = append(records, t)
		}
	}
	if w.Turn != nil {
		if s.addTurn(now, w.Turn) {
			records = append(records, w.Turn)
		}
		reply.Missing = s.firstMissing(w.Turn)
	}
	records = append(records, s.addShares(now, w.Shares)...)
	if w.SharesOf.Name != "" {
		reply.Shares, reply.Lapsed = s.sharesOf(now, w.SharesOf)
	}
	return reply, records
}

// addShares stores the shares that are newer than the stored ones and returns the
// records to sync.
func (s *Store) addShares(now time.Time, entries []tokens.ProgramShare) []domain.Record {
	var records []domain.Record
	for _, e := range entries {
		if s.addShare(now, e) {
			record := Share(e)
			records = append(records, &record)
		}
	}
	return records
}

// sharesOf returns the shares of a program, and the writers whose advance reservations have lapsed.
func (s *Store) sharesOf(now time.Time, program tokens.Program) (shares []tokens.Share, lapsed []string) {
	stored, ok := s.programs[program]
	if !ok {
		return nil, nil
	}
	return slices.Collect(maps.Values(stored.shares)), stored.lapses.Lapsed(now)
}

func (s *Store) addTurn(now time.Time, t *Turn) bool {
	if t.Deleted {
		return false
	}
	expires := now.Add(retentionFactor * t.Retention)
	s.extend(TurnKey{Account: t.Key.Account, ID: t.Previous}, expires)
	if _, ok := s.turns[t.Key]; ok {
		return false
	}
	sequence := s.appendOrder(orderEntry{turn: t.Key, isTurn: true})
	s.turns[t.Key] = &storedTurn{turn: t, expires: expires, sequence: sequence}
	s.liveBytes += t.Size()
	return true
}

// turnOf returns the turn of an entry of the order, or nil if it was deleted.
func (s *Store) turnOf(entry orderEntry) *storedTurn {
	stored := s.turns[entry.turn]
	if stored == nil || stored.sequence != entry.sequence {
		return nil
	}
	return stored
}

func (s *Store) deleteTurn(key TurnKey) {
	if stored := s.turns[key]; stored != nil {
		s.liveBytes -= stored.turn.Size()
		delete(s.turns, key)
	}
}

// minTrimmed is the number of entries of the order below which those of deleted turns are kept.
const minTrimmed = 1024

// trimOrder removes the entries of deleted turns once they are more than half.
func (s *Store) trimOrder() {
	if len(s.order) < minTrimmed || len(s.order) < 2*(len(s.turns)+len(s.programs)) {
		return
	}
	s.order = slices.DeleteFunc(s.order, func(e orderEntry) bool { return e.isTurn && s.turnOf(e) == nil })
}

// firstMissing returns the ID of the newest turn before t that the store lacks, or "".
func (s *Store) firstMissing(t *Turn) string {
	key := TurnKey{Account: t.Key.Account, ID: t.Previous}
	for range MaxChainTurns {
		stored, ok := s.turns[key]
		if key.ID == "" || !ok {
			break
		}
		key.ID = stored.turn.Previous
	}
	if _, ok := s.turns[key]; ok {
		return "" // longer than any chain that is read
	}
	return key.ID
}

func (s *Store) appendOrder(p orderEntry) (sequence int) {
	s.lastSequence++
	p.sequence = s.lastSequence
	s.order = append(s.order, p)
	return p.sequence
}

// extend keeps a turn and all turns before it until a time.
func (s *Store) extend(key TurnKey, until time.Time) {
	for key.ID != "" {
		stored, ok := s.turns[key]
		if !ok || !stored.expires.Before(until) {
			return
		}
		stored.expires = until
		key.ID = stored.turn.Previous
	}
}

// extendChains keeps each turn as long as the turns that continue it. A copy and a restart may add
// these first, when the turn could not be extended yet.
func (s *Store) extendChains() {
	for _, entry := range slices.Backward(s.order) {
		if !entry.isTurn {
			continue
		}
		if stored := s.turnOf(entry); stored != nil {
			s.extend(TurnKey{Account: entry.turn.Account, ID: stored.turn.Previous}, stored.expires)
		}
	}
}

func (s *Store) addShare(now time.Time, e tokens.ProgramShare) bool {
	p := s.programs[e.Program]
	if p == nil {
		p = &storedProgram{shares: tokens.Union{}, lapses: tokens.Lapses{}}
		s.programs[e.Program] = p
		s.appendOrder(orderEntry{program: e.Program})
	}
	p.lastUse = now
	before := len(p.shares)
	if !p.shares.Add(e.Share) {
		return false
	}
	s.shareCount += len(p.shares) - before
	p.lapses.Received(now, e.Share)
	return true
}

// Read returns a turn and the turns before it, up to the first one that is missing.
// The caller syncs the returned records before it sends the reply.
func (s *Store) Read(now time.Time, r *ReadChain) (*ChainReply, []domain.Record) {
	var records []domain.Record
	if record := s.AdoptSet(r.Set); record != nil {
		records = append(records, record)
	}
	reply := &ChainReply{Status: s.memberStatus(r.Epoch)}
	if stored, ok := s.turns[r.Key]; ok {
		s.extend(r.Key, now.Add(retentionFactor*stored.turn.Retention))
	}
	key := r.Key
	for key.ID != "" {
		stored, ok := s.turns[key]
		if !ok || len(reply.Turns) == MaxChainTurns {
			reply.Missing = key.ID
			break
		}
		reply.Turns = append(reply.Turns, stored.turn)
		key.ID = stored.turn.Previous
	}
	return reply, records
}

// Sweep deletes expired records, at most once per sweepInterval. It returns records that mark the
// deleted turns. Without them a restarted store would hold all turns since the last compaction.
func (s *Store) Sweep(now time.Time) []domain.Record {
	if now.Before(s.nextSweep) {
		return nil
	}
	s.nextSweep = now.Add(sweepInterval)
	s.extendChains()
	var deleted []domain.Record
	kept := s.order[:0:0]
	for _, p := range s.order {
		switch {
		case p.isTurn && s.turnOf(p) == nil: // deleted, and perhaps stored again with another entry
		case !s.hasExpired(now, p):
			kept = append(kept, p)
		case p.isTurn:
			s.deleteTurn(p.turn)
			deleted = append(deleted, &Turn{Key: p.turn, Deleted: true})
		default:
			s.shareCount -= len(s.programs[p.program].shares)
			delete(s.programs, p.program)
		}
	}
	s.order = kept
	return deleted
}

func (s *Store) hasExpired(now time.Time, entry orderEntry) bool {
	if entry.isTurn {
		return !now.Before(s.turns[entry.turn].expires)
	}
	return now.Sub(s.programs[entry.program].lastUse) >= shareRetention
}

// LiveRecords returns all records that the store holds, for a compaction of the disk.
func (s *Store) LiveRecords() []domain.Record {
	records := []domain.Record{&Identity{ID: s.id}}
	if s.set != nil {
		records = append(records, &Adopted{Set: s.set})
	}
	if s.copiedEpoch > 0 || s.wholeEpoch > 0 {
		records = append(records, s.copied())
	}
	for _, p := range s.order {
		if p.isTurn {
			if stored := s.turnOf(p); stored != nil {
				records = append(records, stored.turn)
			}
			continue
		}
		for _, share := range s.programs[p.program].shares {
			records = append(records, &Share{Program: p.program, Share: share})
		}
	}
	return records
}
