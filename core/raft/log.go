package raft

import "slices"

// memoryLog holds the last snapshot and the entries after it. Elements of
// returned slices are never overwritten, because messages in memory share them.
type memoryLog struct {
	snapshot *Snapshot // nil before the first snapshot
	entries  []Entry
}

func (l *memoryLog) snapshotIndex() Index {
	if l.snapshot == nil {
		return 0
	}
	return l.snapshot.Index
}

func (l *memoryLog) last() Index { return l.snapshotIndex() + Index(len(l.entries)) }

func (l *memoryLog) lastTerm() Term {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of entry i, or false if the entry was compacted or does
// not exist.
func (l *memoryLog) term(i Index) (Term, bool) {
	switch {
	case i == l.snapshotIndex() && l.snapshot == nil:
		return 0, true
	case i == l.snapshotIndex():
		return l.snapshot.Term, true
	case i < l.snapshotIndex() || i > l.last():
		return 0, false
	}
	return l.entries[i-l.snapshotIndex()-1].Term, true
}

// slice returns the entries from lo to hi, both inclusive.
func (l *memoryLog) slice(lo, hi Index) []Entry {
	if lo > hi {
		return nil
	}
	return l.entries[lo-l.snapshotIndex()-1 : hi-l.snapshotIndex() : hi-l.snapshotIndex()]
}

// truncate removes the entries from index i on. It copies the remaining ones, so
// that slices in messages keep their content.
func (l *memoryLog) truncate(i Index) {
	l.entries = slices.Clone(l.entries[:i-l.snapshotIndex()-1])
}

func (l *memoryLog) append(entries ...Entry) { l.entries = append(l.entries, entries...) }

// compact installs a snapshot. It keeps the entries after the snapshot if the
// log matches the snapshot's index and term.
func (l *memoryLog) compact(s *Snapshot) {
	var kept []Entry
	if t, ok := l.term(s.Index); ok && t == s.Term {
		kept = slices.Clone(l.slice(s.Index+1, l.last()))
	}
	l.snapshot, l.entries = s, kept
}

// firstOfTerm returns the index of the first entry of the term of entry i.
func (l *memoryLog) firstOfTerm(i Index) Index {
	t, _ := l.term(i)
	for i > l.snapshotIndex()+1 {
		if before, ok := l.term(i - 1); !ok || before != t {
			break
		}
		i--
	}
	return i
}

// lastOfTerm returns the last index at or below hi whose term is at most t, and
// reports whether its term is t. Without such an entry it returns 0 and false.
func (l *memoryLog) lastOfTerm(t Term, hi Index) (Index, bool) {
	for i := min(hi, l.last()); i > l.snapshotIndex(); i-- {
		found, _ := l.term(i)
		if found <= t {
			return i, found == t
		}
	}
	return 0, false
}

// members returns the member set in force at index i, and the index of the entry
// or snapshot that holds it.
func (l *memoryLog) members(i Index, initial Members) (Members, Index) {
	for ; i > l.snapshotIndex(); i-- {
		if m := l.entries[i-l.snapshotIndex()-1].Members; m != nil {
			return *m, i
		}
	}
	if l.snapshot != nil {
		return l.snapshot.Members, l.snapshot.Index
	}
	return initial, 0
}
