package schedule

import (
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
)

// CacheCommandKind is the kind of a CacheCommand.
type CacheCommandKind int

// The kinds of cache command.
const (
	CommandKeep CacheCommandKind = iota
	CommandExport
	CommandImport
	// CommandEvict allows the engine to evict the prefix of a paused program.
	CommandEvict
	// CommandRelease frees the prefix of a program that has ended.
	CommandRelease
)

// CacheCommand instructs an engine how to treat the cached prefix of a program.
// The engine adapter executes it.
type CacheCommand struct {
	Kind    CacheCommandKind
	Target  domain.Target
	Program domain.ProgramID
}

// Prediction of tool pauses and limit of the caches kept during them.
const (
	defaultPause = 10.0 // seconds
	// priorWeight is the weight of the account's average pause, as a number of
	// pauses of the program itself.
	priorWeight = 2.0
	// maxPausedFraction is the fraction of an engine's cache that paused
	// programs may hold. The rest is for running calls.
	maxPausedFraction = 0.6
)

// program is the scheduling state of a program.
type program struct {
	id              domain.ProgramID
	attainedService float64
	pauseCount      int
	meanPause       float64 // mean duration of its own pauses in seconds
	account         *account

	// While its cache is kept, a paused program is in both heaps of its target.
	pausedAt, expectedReturn   time.Time
	target                     *target
	tokens                     domain.Tokens
	exported                   bool
	latestIndex, earliestIndex int
}

// expectedPause predicts the next tool pause as the weighted mean of the
// program's own pauses and those of its account.
func (p *program) expectedPause() time.Duration {
	prior := p.account.meanPause
	if prior == 0 {
		prior = defaultPause
	}
	n := float64(p.pauseCount)
	return time.Duration((n*p.meanPause + priorWeight*prior) / (n + priorWeight) * float64(time.Second))
}

// pausedSet holds the paused programs of one target whose caches are kept.
type pausedSet struct {
	latestFirst   indexedHeap[*program] // the latest expected return first
	earliestFirst indexedHeap[*program] // the earliest expected return first
	tokens        domain.Tokens
}

func newPausedSet() pausedSet {
	return pausedSet{
		latestFirst: indexedHeap[*program]{
			less:     func(a, b *program) bool { return a.expectedReturn.After(b.expectedReturn) },
			position: func(p *program) *int { return &p.latestIndex },
		},
		earliestFirst: indexedHeap[*program]{
			less:     func(a, b *program) bool { return a.expectedReturn.Before(b.expectedReturn) },
			position: func(p *program) *int { return &p.earliestIndex },
		},
	}
}

func (s *pausedSet) set(p *program) {
	s.latestFirst.set(p)
	s.earliestFirst.set(p)
}

func (s *pausedSet) remove(p *program) {
	s.latestFirst.remove(p)
	s.earliestFirst.remove(p)
	s.tokens -= p.tokens
}

// beginPause records that a program waits for a tool, and selects the caches to
// keep. The value of a cached token is its prefill time divided by the time it
// occupies memory, so the programs that are expected to return last are evicted
// first.
func (s *Scheduler) beginPause(now time.Time, p *program, t *target, tokens domain.Tokens) {
	p.pausedAt = now
	if t.info.CacheTokens <= 0 || p.target != nil || s.config.Policy != PolicyDefault {
		return
	}
	p.target, p.tokens, p.expectedReturn = t, tokens, now.Add(p.expectedPause())
	t.paused.set(p)
	t.paused.tokens += tokens
	s.emitCommand(CommandKeep, t, p)
	s.evictPaused(now, t)
}

func (s *Scheduler) evictPaused(now time.Time, t *target) {
	limit := domain.Tokens(maxPausedFraction * float64(t.info.CacheTokens))
	for t.paused.tokens > limit {
		t.extendOverdue(now)
		p, _ := t.paused.latestFirst.top()
		t.paused.remove(p)
		p.target = nil
		if t.exportIsFaster(p.tokens) {
			p.exported = true
			s.emitCommand(CommandExport, t, p)
		} else {
			s.emitCommand(CommandEvict, t, p)
		}
		if c := s.cache.find(p.id, t); c != nil {
			s.cache.remove(c)
		}
	}
}

// extendOverdue predicts for each overdue program that its pause continues for
// as long as it has already lasted, because the remaining time of a long pause
// grows with the elapsed time.
func (t *target) extendOverdue(now time.Time) {
	for {
		p, ok := t.paused.earliestFirst.top()
		if !ok || !p.expectedReturn.Before(now) {
			return
		}
		p.expectedReturn = now.Add(max(now.Sub(p.pausedAt), time.Second))
		t.paused.set(p)
	}
}

// exportIsFaster reports whether export and import of a prefix take less time
// than its prefill.
func (t *target) exportIsFaster(tokens domain.Tokens) bool {
	if t.info.ExportBytesPerSecond <= 0 {
		return false
	}
	return 2*float64(tokens)*t.info.BytesPerToken/t.info.ExportBytesPerSecond < t.prefillTime(tokens)
}

// endPause ends the pause of a program and updates the averages that predict
// the next one.
func (s *Scheduler) endPause(now time.Time, p *program) {
	if p.pausedAt.IsZero() {
		return
	}
	pauseSeconds := now.Sub(p.pausedAt).Seconds()
	p.pausedAt = time.Time{}
	p.pauseCount++
	p.meanPause += (pauseSeconds - p.meanPause) / float64(min(p.pauseCount, 10))
	if p.account.meanPause == 0 {
		p.account.meanPause = pauseSeconds
	}
	p.account.meanPause += smoothing * (pauseSeconds - p.account.meanPause)
	if p.target != nil {
		p.target.paused.remove(p)
		p.target = nil
	}
}

// EndProgram removes a program and emits commands that release its cached
// prefixes. An unknown ID is ignored.
func (s *Scheduler) EndProgram(id domain.ProgramID) {
	p := s.programs[id]
	if p == nil {
		return
	}
	if p.target != nil {
		p.target.paused.remove(p)
	}
	for len(s.cache.programs[id]) > 0 {
		c := s.cache.programs[id][0]
		s.emitCommand(CommandRelease, c.target, p)
		s.cache.remove(c)
	}
	delete(s.programs, id)
}

// CacheCommands returns the commands to engines that were produced since the
// previous CacheCommands.
func (s *Scheduler) CacheCommands() []CacheCommand {
	out := s.commands
	s.commands = nil
	return out
}

func (s *Scheduler) emitCommand(kind CacheCommandKind, t *target, p *program) {
	s.commands = append(s.commands, CacheCommand{kind, t.info.Name, p.id})
}
