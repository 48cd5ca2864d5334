package gateway

import (
	"time"

	"github.com/mangoknot/mangoknot/core/turnstore"
)

const (
	// maxCacheBytes bounds the memory of the cached turns. It holds some
	// seconds of traffic; the next turn of a program usually arrives within a
	// second.
	maxCacheBytes = 4 << 20
	// cacheTTL is the time after which a turn is evicted.
	cacheTTL = 10 * time.Second
	// cacheOverheadBytes is the memory of an entry in addition to the turn's
	// content.
	cacheOverheadBytes = 256
)

type cacheEntry struct {
	turn    *turnstore.Turn
	addedAt time.Time
	size    int
}

// turnCache holds the turns that this gateway wrote or read last, so that the
// next turn of a program needs no read from storage. Turns are immutable.
type turnCache struct {
	turns map[turnstore.TurnKey]*turnstore.Turn
	order []cacheEntry
	bytes int
}

func newTurnCache() *turnCache {
	return &turnCache{turns: map[turnstore.TurnKey]*turnstore.Turn{}}
}

func (c *turnCache) add(now time.Time, t *turnstore.Turn) {
	if _, ok := c.turns[t.Key]; ok {
		return
	}
	size := len(t.Input) + cacheOverheadBytes
	for _, e := range t.Events {
		size += len(e)
	}
	c.turns[t.Key] = t
	c.order = append(c.order, cacheEntry{turn: t, addedAt: now, size: size})
	c.bytes += size
	for c.bytes > maxCacheBytes {
		c.dropOldest()
	}
}

func (c *turnCache) dropOldest() {
	oldest := c.order[0]
	c.order[0] = cacheEntry{}
	c.order = c.order[1:]
	c.bytes -= oldest.size
	delete(c.turns, oldest.turn.Key)
}

func (c *turnCache) expire(now time.Time) {
	for len(c.order) > 0 && now.Sub(c.order[0].addedAt) > cacheTTL {
		c.dropOldest()
	}
}

// chain returns a turn and its predecessors, newest first, or nil if one of
// them is not cached.
func (c *turnCache) chain(key turnstore.TurnKey) []*turnstore.Turn {
	var out []*turnstore.Turn
	for key.ID != "" {
		t, ok := c.turns[key]
		if !ok || len(out) == turnstore.MaxChainTurns {
			return nil
		}
		out = append(out, t)
		key.ID = t.Previous
	}
	return out
}
