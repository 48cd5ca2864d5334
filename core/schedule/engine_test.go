package schedule

import (
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
)

// Parameters of the fake engine. Steps become slower as the batch grows,
// prefill and generation share the time, and running calls and cached prefixes
// share the memory.
const (
	engineStep         = 10 * time.Millisecond
	enginePrefill      = 8_000.0 // tokens per second
	engineMemory       = 120_000 // tokens
	engineBaseInterval = 0.012   // seconds between tokens for a batch of 0
	enginePerCall      = 0.0008  // additional seconds for each call in the batch
)

type engineCall struct {
	id                domain.CallID
	program           domain.ProgramID
	prompt, generated domain.Tokens
	cached            domain.Tokens
	prefillLeft, done float64
	first             bool
}

type fakeEngine struct {
	waiting, running        []*engineCall
	prefixes                map[domain.ProgramID]domain.Tokens
	lru                     []domain.ProgramID
	batchTokens, usedTokens domain.Tokens // tokens of the running calls, and tokens in use including cached prefixes
}

func newFakeEngine() *fakeEngine {
	return &fakeEngine{prefixes: map[domain.ProgramID]domain.Tokens{}}
}

func (e *fakeEngine) add(c *engineCall) { e.waiting = append(e.waiting, c) }

func (e *fakeEngine) evict(p domain.ProgramID) {
	e.usedTokens -= e.prefixes[p]
	delete(e.prefixes, p)
	e.lru = slices.DeleteFunc(e.lru, func(o domain.ProgramID) bool { return o == p })
}

// admit moves waiting calls into the batch while memory is available.
func (e *fakeEngine) admit() {
	for len(e.waiting) > 0 {
		c := e.waiting[0]
		need := c.prompt + c.generated
		if e.batchTokens+need > engineMemory && len(e.running) > 0 {
			return
		}
		c.cached = min(e.prefixes[c.program], c.prompt)
		e.evict(c.program)
		e.batchTokens += need
		e.usedTokens += need
		for e.usedTokens > engineMemory && len(e.lru) > 0 {
			e.evict(e.lru[0])
		}
		c.prefillLeft = float64(c.prompt - c.cached)
		e.running = append(e.running, c)
		e.waiting = e.waiting[1:]
	}
}

// step simulates one step of the engine. It returns the calls that generated
// their first token and those that are complete.
func (e *fakeEngine) step() (first, finished []*engineCall) {
	e.admit()
	generationShare := 1.0
	for _, c := range e.running {
		if c.prefillLeft > 0 {
			generationShare = 0.5
		}
	}
	budget := enginePrefill * engineStep.Seconds()
	if generationShare < 1 && slices.ContainsFunc(e.running, func(c *engineCall) bool { return c.prefillLeft <= 0 }) {
		budget /= 2
	}
	tokens := generationShare * engineStep.Seconds() / (engineBaseInterval + enginePerCall*float64(len(e.running)))
	for _, c := range e.running {
		if c.prefillLeft > 0 {
			n := min(budget, c.prefillLeft)
			c.prefillLeft -= n
			budget -= n
			continue
		}
		c.done += tokens
		if !c.first && c.done >= 1 {
			c.first = true
			first = append(first, c)
		}
	}
	e.running = slices.DeleteFunc(e.running, func(c *engineCall) bool {
		if c.done < float64(c.generated) {
			return false
		}
		finished = append(finished, c)
		e.batchTokens -= c.prompt + c.generated
		e.prefixes[c.program] = c.prompt + c.generated
		e.lru = append(e.lru, c.program)
		return true
	})
	return first, finished
}
