package schedule

import (
	"container/list"
	"math"
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
)

// Decay of directory entries.
const (
	// cacheHalfLife halves the tokens expected of an entry that was not used.
	// Evictions by other users of the engine are seen only through events.
	cacheHalfLife = 10 * time.Minute
	// gapConfidenceFactor is what remains of entries older than a gap in the events.
	gapConfidenceFactor = 0.5
	// maxEntriesPerProgram bounds the targets remembered for one program.
	maxEntriesPerProgram = 4
)

// cacheEntry is a program's prefix on one target.
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

// prefixes lists one target's entries, the most recently used first.
type prefixes struct {
	recent  *list.List
	tokens  domain.Tokens
	lastSeq uint64
}

// directory records which target holds which program's prefix.
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

// expected returns the tokens of a prompt that the target probably holds.
func (d *directory) expected(now time.Time, p domain.ProgramID, t *target, prompt domain.Tokens) domain.Tokens {
	if c := d.find(p, t); c != nil {
		return min(c.expected(now), prompt)
	}
	return 0
}

// record records a prefix, drops what the engine must have evicted for it, and
// keeps the newest copies of the program.
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

// clear drops a target's entries that are not newer than the time.
func (d *directory) clear(t *target, upTo time.Time) {
	for e := t.prefixes.recent.Front(); e != nil; {
		c := e.Value.(*cacheEntry)
		e = e.Next()
		if !c.at.After(upTo) {
			d.remove(c)
		}
	}
}

// applyEvent corrects the directory. An applyEvent older than the scheduler's own record
// of a prefix says nothing about it, because events arrive late.
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
