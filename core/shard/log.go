package shard

import "github.com/mangoknot/mangoknot/core/domain"

// shardLog holds a snapshot of the state at base and the contiguous entries after it.
type shardLog struct {
	base     Position
	snapshot []domain.Record
	entries  []Entry
}

func (l *shardLog) lastPosition() Position {
	if len(l.entries) == 0 {
		return l.base
	}
	return l.entries[len(l.entries)-1].Position
}

// positionAt returns the position at an index. It returns false when the index is
// compacted or beyond the end of the log.
func (l *shardLog) positionAt(index uint64) (Position, bool) {
	if index == l.base.Index {
		return l.base, true
	}
	if index < l.base.Index || index > l.lastPosition().Index {
		return Position{}, false
	}
	return l.entries[index-l.base.Index-1].Position, true
}

// entriesAfter returns a copy of at most limit entries that follow the index.
func (l *shardLog) entriesAfter(index uint64, limit int) []Entry {
	tail := l.entries[index-l.base.Index:]
	return append([]Entry(nil), tail[:min(limit, len(tail))]...)
}

func (l *shardLog) append(e Entry) { l.entries = append(l.entries, e) }

// truncate discards the entry at the index and all later ones.
func (l *shardLog) truncate(index uint64) { l.entries = l.entries[:index-l.base.Index-1] }

// compact replaces the entries up to p with the snapshot. The log must contain p.
func (l *shardLog) compact(p Position, snapshot []domain.Record) {
	l.entries = append([]Entry(nil), l.entries[p.Index-l.base.Index:]...)
	l.base, l.snapshot = p, snapshot
}

// records returns a copy of the snapshot's records followed by those of the entries.
func (l *shardLog) records() []domain.Record {
	out := append([]domain.Record(nil), l.snapshot...)
	for _, e := range l.entries {
		out = append(out, e.Record)
	}
	return out
}
