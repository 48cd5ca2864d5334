package turnstore

import (
	"slices"
	"sort"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/quorum"
	"github.com/mangoknot/mangoknot/core/tokens"
)

// maxReplyBytes limits one reply to Pull or Fetch, so that a copy delays the writes
// of client traffic on a slow link by a few milliseconds at most. The last record
// of a reply may exceed it.
const maxReplyBytes = 256 << 10

// Pull returns the next records for a member that copies from this store. The
// caller syncs the returned records before it sends the reply, because the copying
// member relies on this store to reject writes of older sets from then on.
func (s *Store) Pull(p *Pull) (*PullReply, []domain.Record) {
	var records []domain.Record
	if r := s.AdoptSet(p.Set); r != nil {
		records = append(records, r)
	}
	reply := &PullReply{Status: s.memberStatus(p.Set.Epoch), Last: p.After}
	if !reply.Status.Accepted && !s.wasMember(p.Set) {
		return reply, records
	}
	i := sort.Search(len(s.order), func(i int) bool { return s.order[i].sequence > p.After })
	for size := 0; i < len(s.order) && size < maxReplyBytes; i++ {
		size += s.addToPull(reply, s.order[i])
		reply.Last = s.order[i].sequence
	}
	reply.Done = i >= len(s.order)
	return reply, records
}

// wasMember reports whether the store has adopted the set and is a former member of it.
func (s *Store) wasMember(set *quorum.Set) bool {
	return s.set != nil && s.set.Epoch == set.Epoch && slices.ContainsFunc(set.Former, func(m quorum.Member) bool { return m.ID == s.id })
}

func (s *Store) addToPull(reply *PullReply, entry orderEntry) int {
	if entry.isTurn && s.turnOf(entry) == nil {
		return 0
	}
	if entry.isTurn {
		reply.Turns = append(reply.Turns, entry.turn)
		return len(entry.turn.Account) + len(entry.turn.ID)
	}
	stored, ok := s.programs[entry.program]
	if !ok {
		return 0
	}
	for _, share := range stored.shares {
		reply.Shares = append(reply.Shares, tokens.ProgramShare{Program: entry.program, Share: share})
	}
	return len(stored.shares) * turnOverheadBytes
}

// Missing returns the keys in a PullReply whose turns this store does not hold.
func (s *Store) Missing(reply *PullReply) []TurnKey {
	var out []TurnKey
	for _, key := range reply.Turns {
		if _, ok := s.turns[key]; !ok {
			out = append(out, key)
		}
	}
	return out
}

// Fetch returns the requested turns for a member that copies from this store.
func (s *Store) Fetch(f *Fetch) *FetchReply {
	reply := &FetchReply{}
	for size := 0; reply.Handled < len(f.Turns) && size < maxReplyBytes; reply.Handled++ {
		if stored, ok := s.turns[f.Turns[reply.Handled]]; ok {
			reply.Turns = append(reply.Turns, stored.turn)
			size += stored.turn.Size()
		}
	}
	return reply
}

// CopyTurns stores turns fetched from another member and returns the records to
// sync.
func (s *Store) CopyTurns(now time.Time, turns []*Turn) []domain.Record {
	var records []domain.Record
	for _, t := range turns {
		if s.addTurn(now, t) {
			records = append(records, t)
		}
	}
	return records
}

// CopyShares stores the shares of a PullReply and returns the records to sync.
func (s *Store) CopyShares(now time.Time, reply *PullReply) []domain.Record {
	return s.addShares(now, reply.Shares)
}

// FinishCopy marks the copy for a set as finished: this store holds every record
// that was acknowledged before the epoch in which it joined, and without former members among its
// sources also those before the epoch of the set. It returns the record
// to sync, or nil when the set has changed since the copy started.
func (s *Store) FinishCopy(set *quorum.Set, fromFormer bool) domain.Record {
	m, ok := s.member()
	if !ok || s.set.Epoch != set.Epoch {
		return nil
	}
	s.copiedEpoch = m.Joined
	s.wholeEpoch = set.Epoch
	if fromFormer {
		s.wholeEpoch = m.Joined
	}
	return s.copied()
}

// MarkWhole records that the store holds every record that was acknowledged before the epoch
// of the set. It returns the record to sync, or nil when the set has changed. The other members with
// which the store was compared may lose their disks, so a restarted store cannot always find out again.
func (s *Store) MarkWhole(set *quorum.Set) domain.Record {
	if s.set == nil || s.set.Epoch != set.Epoch {
		return nil
	}
	s.wholeEpoch = set.Epoch
	return s.copied()
}

func (s *Store) copied() *Copied { return &Copied{Joined: s.copiedEpoch, Whole: s.wholeEpoch} }
