package engine

import (
	"container/list"
	"hash/fnv"
)

// Sizes of the prefix cache's blocks. A token has tokenBytes bytes of text.
const (
	tokenBytes  = 4
	blockTokens = 16
	blockBytes  = tokenBytes * blockTokens
)

// countTokens returns the number of tokens of a text, ceil(bytes/4).
func countTokens(text string) int { return (len(text) + tokenBytes - 1) / tokenBytes }

type block struct {
	hash   uint64
	owners map[string]bool
}

// cache is an LRU cache of prefix blocks. A block's hash covers the block and all
// text before it.
type cache struct {
	limit  int
	blocks map[uint64]*list.Element
	order  *list.List // most recently used first
	emit   func(kind, program string, tokens int)
}

func newCache(limit int, emit func(kind, program string, tokens int)) *cache {
	return &cache{limit: limit, blocks: map[uint64]*list.Element{}, order: list.New(), emit: emit}
}

// hashBlocks returns the hashes of the complete blocks of a text. The hash
// includes the model, so models do not share blocks.
func hashBlocks(model, text string) []uint64 {
	h := fnv.New64a()
	h.Write([]byte(model + "\x00"))
	chain := make([]uint64, 0, len(text)/blockBytes)
	for ; len(text) >= blockBytes; text = text[blockBytes:] {
		h.Write([]byte(text[:blockBytes]))
		chain = append(chain, h.Sum64())
	}
	return chain
}

// match returns the number of tokens in the longest cached prefix.
func (c *cache) match(chain []uint64) int {
	for i, hash := range chain {
		if c.blocks[hash] == nil {
			return i * blockTokens
		}
	}
	return len(chain) * blockTokens
}

// store adds the blocks of the chain for the program. It marks them as used from
// the last to the first, so that eviction removes the end of a prefix before its
// start.
func (c *cache) store(program string, chain []uint64) {
	added := 0
	for i := len(chain) - 1; i >= 0; i-- {
		element := c.blocks[chain[i]]
		if element == nil {
			element = c.order.PushFront(&block{hash: chain[i], owners: map[string]bool{}})
			c.blocks[chain[i]] = element
			added += blockTokens
		}
		element.Value.(*block).owners[program] = true
		c.order.MoveToFront(element)
	}
	if added > 0 {
		c.emit("stored", program, added)
	}
	c.evict()
}

// evict removes the least recently used blocks until the cache is within its
// limit.
func (c *cache) evict() {
	evicted := map[string]int{}
	for len(c.blocks)*blockTokens > c.limit {
		oldest := c.order.Back()
		for owner := range oldest.Value.(*block).owners {
			evicted[owner] += blockTokens
		}
		c.remove(oldest)
	}
	for owner, tokens := range evicted {
		c.emit("removed", owner, tokens)
	}
}

func (c *cache) remove(element *list.Element) {
	delete(c.blocks, element.Value.(*block).hash)
	c.order.Remove(element)
}

// programBlocks returns the program's blocks, least recently used first.
func (c *cache) programBlocks(program string) (chain []uint64) {
	for e := c.order.Back(); e != nil; e = e.Prev() {
		if b := e.Value.(*block); b.owners[program] {
			chain = append(chain, b.hash)
		}
	}
	return chain
}

// release removes the program's blocks that no other program shares. It returns
// the number of tokens that the program had in the cache.
func (c *cache) release(program string) int {
	chain := c.programBlocks(program)
	for _, hash := range chain {
		element := c.blocks[hash]
		owners := element.Value.(*block).owners
		delete(owners, program)
		if len(owners) == 0 {
			c.remove(element)
		}
	}
	if len(chain) > 0 {
		c.emit("removed", program, len(chain)*blockTokens)
	}
	return len(chain) * blockTokens
}

// heldTokens returns the cached tokens of each program.
func (c *cache) heldTokens() map[string]int {
	held := map[string]int{}
	for _, element := range c.blocks {
		for owner := range element.Value.(*block).owners {
			held[owner] += blockTokens
		}
	}
	return held
}
