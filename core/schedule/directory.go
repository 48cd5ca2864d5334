package schedule

import (
	"container/list"
	"math"
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
)

// Limits and decay of directory entries.
const (
	// cacheHalfLife is the time in which the expected tokens of an unused entry
	// halve. Evictions caused by other users of the engine are visible only
	// through events.
	cacheHalfLife = 10 * time.Minute
	// gapConfidenceFactor reduces the confidence in entries that are older than
	// a gap in the events.
	gapConfidenceFactor = 0.5
	// maxEntriesPerProgram limits the targets recorded for one program.
	maxEntriesPerProgram = 4
)

// cacheEntry is the prefix of a program in the cache of one target.
type cacheEntry struct {
	program    domain.ProgramID
	target     *target
	tokens     domain.Tokens
	confidence float64
	at         time.Time
	element    *list.Element
}

func (c *cacheEntry) expected(now time.Time) domain.Tokens {
	age := max(now.Sub(c.at), 0)
	return domain.Tokens(float64(c.tokens) * c.confidence * math.Exp2(-age.Seconds()/cacheHalfLife.Seconds()))
}

// prefixes holds the directory entries of one target, the most recently used
// first.
type prefixes struct {
	recent  *list.List
	tokens  domain.Tokens
	lastSeq uint64
}

// directory records which targets hold the prefix of which program.
type directory struct {
	programs map[domain.ProgramID][]*cacheEntry
}

func newDirectory() directory { return directory{programs: map[domain.ProgramID][]*cacheEntry{}} }

func (d *directory) find(p domain.ProgramID, t *target) *cacheEntry {
	for _, c := range d.programs[p] {
		if c.target == t {
			return c
		}
	}
	return nil
}

// expected returns the number of prompt tokens that the target's prefix cache
// is expected to hold.
func (d *directory) expected(now time.Time, p domain.ProgramID, t *target, prompt domain.Tokens) domain.Tokens {
	if c := d.find(p, t); c != nil {
		return min(c.expected(now), prompt)
	}
	return 0
}

// record adds or refreshes the prefix of a program on a target. It removes the
// target's least recently used entries above the capacity of its cache, which the
// engine must have evicted, and the program's oldest entry above
// maxEntriesPerProgram.
func (d *directory) record(now time.Time, p domain.ProgramID, t *target, tokens domain.Tokens) {
	if t.info.CacheTokens <= 0 {
		return
	}
	c := d.find(p, t)
	if c == nil {
		if entries := d.programs[p]; len(entries) >= maxEntriesPerProgram {
			d.remove(slices.MinFunc(entries, func(a, b *cacheEntry) int { return a.at.Compare(b.at) }))
		}
		c = &cacheEntry{program: p, target: t}
		c.element = t.prefixes.recent.PushFront(c)
		d.programs[p] = append(d.programs[p], c)
	}
	t.prefixes.recent.MoveToFront(c.element)
	t.prefixes.tokens += tokens - c.tokens
	c.tokens, c.confidence, c.at = tokens, 1, now
	for t.prefixes.tokens > t.info.CacheTokens && t.prefixes.recent.Len() > 0 {
		d.remove(t.prefixes.recent.Back().Value.(*cacheEntry))
	}
}

func (d *directory) remove(c *cacheEntry) {
	c.target.prefixes.recent.Remove(c.element)
	c.target.prefixes.tokens -= c.tokens
	entries := slices.DeleteFunc(d.programs[c.program], func(o *cacheEntry) bool { return o == c })
	if len(entries) == 0 {
		delete(d.programs, c.program)
	} else {
		d.programs[c.program] = entries
	}
}

// clear removes a target's entries that are not newer than upTo.
func (d *directory) clear(t *target, upTo time.Time) {
	for e := t.prefixes.recent.Front(); e != nil; {
		c := e.Value.(*cacheEntry)
		e = e.Next()
		if !c.at.After(upTo) {
			d.remove(c)
		}
	}
}

// applyEvent updates the directory from a cache event. An event that is older
// than the scheduler's own record of a prefix is ignored for this prefix,
// because events arrive with a delay.
func (d *directory) applyEvent(t *target, e CacheEvent) {
	p := &t.prefixes
	if e.Seq <= p.lastSeq {
		return
	}
	if p.lastSeq != 0 && e.Seq != p.lastSeq+1 {
		for el := p.recent.Front(); el != nil; el = el.Next() {
			if c := el.Value.(*cacheEntry); !c.at.After(e.At) {
				c.confidence *= gapConfidenceFactor
			}
		}
	}
	p.lastSeq = e.Seq
	c := d.find(e.Program, t)
	switch {
	case e.Kind == CacheCleared:
		d.clear(t, e.At)
	case c != nil && c.at.After(e.At):
	case e.Kind == CacheEvicted && c != nil:
		d.remove(c)
	case e.Kind == CacheStored:
		d.record(e.At, e.Program, t, e.Tokens)
	}
}
