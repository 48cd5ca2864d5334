package allowance

import (
	"fmt"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
)

// maxTurnsReported bounds the turns of one program in a report.
const maxTurnsReported = 16

// MemoryNeed is the use of the memory of engines by a turn.
type MemoryNeed struct {
	// Service is the service of the turn, and TargetTokens the memory of one of its targets; 0 means
	// that it is not limited.
	Service      string
	TargetTokens int64
	// TargetSlots is the number of requests that one target runs at once; 0 means that it is not
	// known.
	TargetSlots int
	// Class is the priority of the program; 0 is the most urgent.
	Class int
	// Chain identifies the chain of turns, of which a program may have several at once. Tokens is
	// what the turn needs beyond the part of the prompt that all programs share.
	Chain  string
	Tokens int64
}

// memoryGate is the part of a gateway that admits programs by the memory of the engines.
type memoryGate struct {
	levels   map[levelKey]*MemoryLevel
	reported map[ServiceHash]*ServiceMemory
	// used reports whether a program started at a service whose engines have a limited memory.
	used bool
}

type levelKey struct {
	service ServiceHash
	account AccountHash
	class   int
}

func (m *memoryGate) apply(levels []MemoryLevel) {
	m.levels = map[levelKey]*MemoryLevel{}
	for _, l := range levels {
		m.levels[levelKey{l.Service, l.Account, l.Class}] = &l
	}
}

// report returns what was seen of services since the last report.
func (m *memoryGate) report() []ServiceMemory {
	var out []ServiceMemory
	for _, s := range m.reported {
		out = append(out, *s)
	}
	m.reported = nil
	return out
}

// attempted records an attempt to start a program.
func (m *memoryGate) attempted(account domain.Account, need MemoryNeed) {
	m.used = true
	hash := ServiceHashOf(need.Service)
	s := m.reported[hash]
	if s == nil {
		s = &ServiceMemory{Service: hash}
		if m.reported == nil {
			m.reported = map[ServiceHash]*ServiceMemory{}
		}
		m.reported[hash] = s
	}
	s.Tokens, s.Slots = need.TargetTokens, need.TargetSlots
	for i := range s.Starts {
		if s.Starts[i].Account == account && s.Starts[i].Class == need.Class {
			s.Starts[i].N++
			return
		}
	}
	s.Starts = append(s.Starts, StartAttempts{Account: account, Class: need.Class, N: 1})
}

// level returns the level for the start of a program, or nil if it is not limited.
func (m *memoryGate) level(account domain.Account, need MemoryNeed) *MemoryLevel {
	key := levelKey{ServiceHashOf(need.Service), accountHash(account), need.Class}
	if l := m.levels[key]; l != nil {
		return l
	}
	key.account = 0
	return m.levels[key]
}

// decideMemory decides whether the memory of the engines suffices for a new program, and sets
// the decision's fields. All gateways have the same level, so that an attempt is admitted with the
// probability that there is memory for all that are expected until the next one. A level that is
// older than silenceTimeout does not count.
func (g *Gateway) decideMemory(now time.Time, d *Decision, request Request) (level *MemoryLevel, admitted bool) {
	need := request.Memory
	if need.TargetTokens <= 0 || request.Program.Name == "" {
		return nil, true
	}
	g.memory.attempted(request.Program.Account, need)
	age := now.Sub(g.lastAnswer)
	if level = g.memory.level(request.Program.Account, need); level == nil || age >= silenceTimeout {
		return nil, true
	}
	expected := max(1, level.AttemptsPerSecond*max(startVisibleAfter, age).Seconds())
	if level.Free > 0 && g.rand.Float64()*expected <= level.Free {
		return level, true
	}
	d.setLevel(level)
	d.NoMemory = true
	// Attempts that are refused together do not come back together.
	retry := time.Duration(level.RetryMillis) * time.Millisecond
	retry = max(minMemoryRetry, retry/2+time.Duration(g.rand.Float64()*float64(retry)))
	if request.TimeLeft > 0 {
		retry = min(retry, max(minMemoryRetry, request.TimeLeft/3))
	}
	d.RetryAfter = retry
	return level, false
}

// setLevel records a copy of a level, which may be nil. Other goroutines read the decision.
func (d *Decision) setLevel(level *MemoryLevel) {
	if level != nil {
		current := *level
		d.MemoryLevel = &current
	}
}

// String describes a level for a log.
func (l *MemoryLevel) String() string {
	return fmt.Sprintf("programs under way need %.2f of the usable memory, it suffices for %.1f new ones of this account and priority, %.1f attempts a second", l.Used, l.Free, l.AttemptsPerSecond)
}

// tokens returns the memory that the turn counts for. A chain of turns takes a slot, whatever its
// prompt: with more chains than slots turns wait for each other, and the programs last for
// longer. It therefore needs at least the part of the usable memory that belongs to one slot.
func (n MemoryNeed) tokens() int64 {
	if n.TargetSlots <= 0 {
		return n.Tokens
	}
	return max(n.Tokens, int64(usableMemory*float64(n.TargetTokens))/int64(n.TargetSlots))
}

// addTurn records the need of a turn for the next report.
func (u *programState) addTurn(need MemoryNeed) {
	if need.TargetTokens <= 0 {
		return
	}
	if u.memory == nil {
		u.memory = &ProgramMemory{}
	}
	u.memory.Service, u.memory.Class = ServiceHashOf(need.Service), need.Class
	turn := TurnNeed{Chain: hash32(need.Chain), Units: int((need.tokens() + needUnit - 1) / needUnit)}
	for i, t := range u.memory.Turns {
		if t.Chain == turn.Chain {
			u.memory.Turns[i] = turn
			return
		}
	}
	if len(u.memory.Turns) < maxTurnsReported {
		u.memory.Turns = append(u.memory.Turns, turn)
	}
}
