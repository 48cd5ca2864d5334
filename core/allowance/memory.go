package allowance

import (
	"hash/fnv"
	"math"
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
)

const (
	// needUnit is the number of tokens in one unit of a reported need.
	needUnit = 64
	// usableMemory is the fraction of the engines' memory that programs under way may need. Their
	// prompts are not spread evenly over the targets, and some are at two of them.
	usableMemory = 0.8
	// slotMargin multiplies the square root of the slots of a service, by which the programs under
	// way may exceed them (square-root staffing). Demand varies by about the square root of its
	// size, and a peak by chance is over before it delays other programs. Without the margin,
	// bursts that small deployments serve in time were refused.
	slotMargin = 1.5
	// memoryTimeout is the time after the last report of a program for which it counts as under
	// way: nearly all pauses of programs and a report interval.
	memoryTimeout = maxPause + ReportInterval
	// chainTimeout is the time without a turn after which a chain of turns of a program, other
	// than the newest, has ended.
	chainTimeout = 2 * time.Second
	// maxChains bounds the chains of turns of one program that are counted.
	maxChains = 16
	// minMemoryRetry and maxMemoryRetry bound the retry-after of a start that is refused for
	// the memory of the engines.
	minMemoryRetry = 100 * time.Millisecond
	maxMemoryRetry = 2 * time.Second
)

// ServiceHash identifies a service in reports.
type ServiceHash uint32

// AccountHash identifies an account in levels; 0 stands for all accounts.
type AccountHash uint32

// ServiceHashOf returns the hash of a service's name.
func ServiceHashOf(service string) ServiceHash { return ServiceHash(hash32(service)) }

func accountHash(account domain.Account) AccountHash { return AccountHash(hash32(string(account))) }

func hash32(s string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(s))
	return h.Sum32()
}

// TurnNeed is the memory that a chain of turns needs at an engine: that of its newest turn, whose
// prompt contains the earlier ones.
type TurnNeed struct {
	Chain uint32 `cbor:"1,keyasint"`
	// Units is the need beyond the part of the prompt that all programs share, in needUnit tokens.
	Units int `cbor:"2,keyasint,omitempty"`
}

// ProgramMemory is the use of the memory of engines by the turns of a program since the last report.
type ProgramMemory struct {
	Service ServiceHash `cbor:"1,keyasint"`
	// Class is the priority of the program; 0 is the most urgent.
	Class int        `cbor:"2,keyasint,omitempty"`
	Turns []TurnNeed `cbor:"3,keyasint,omitempty"`
}

// ServiceMemory is what a gateway reports of a service whose engines have a limited memory.
type ServiceMemory struct {
	Service ServiceHash `cbor:"1,keyasint"`
	// Tokens is the memory of one target.
	Tokens int64 `cbor:"2,keyasint"`
	// Starts lists the attempts to start a program since the last report.
	Starts []StartAttempts `cbor:"3,keyasint,omitempty"`
	// Slots is the number of requests that one target runs at once; 0 means that it is not known.
	Slots int `cbor:"4,keyasint,omitempty"`
}

// StartAttempts counts attempts to start a program of an account and class.
type StartAttempts struct {
	Account domain.Account `cbor:"1,keyasint"`
	Class   int            `cbor:"2,keyasint,omitempty"`
	N       int            `cbor:"3,keyasint"`
}

// MemoryLevel limits the starts of programs while the memory of a service's engines does not
// suffice for all. Starts for which there is no level are not limited.
type MemoryLevel struct {
	Service ServiceHash `cbor:"1,keyasint"`
	// Account is 0 in a level for all accounts of the class that have no level of their own.
	Account AccountHash `cbor:"2,keyasint,omitempty"`
	Class   int         `cbor:"3,keyasint,omitempty"`
	// Free is the number of programs that may start, and AttemptsPerSecond the rate of attempts.
	Free              float64 `cbor:"4,keyasint,omitempty"`
	AttemptsPerSecond float64 `cbor:"5,keyasint,omitempty"`
	// RetryMillis is the time after which enough programs have ended for all attempts of this class
	// and more urgent ones.
	RetryMillis int `cbor:"6,keyasint,omitempty"`
	// Used is the fraction of the usable memory that programs under way need.
	Used float64 `cbor:"7,keyasint,omitempty"`
}

// programMemory is the need of an active program.
type programMemory struct {
	service ServiceHash
	class   int
	chains  map[uint32]chainNeed
	// turns and sum are the number and the sum of the needs after each turn, in tokens.
	turns, sum float64
	ended      bool
}

type chainNeed struct {
	tokens float64
	at     time.Time
}

// need returns the tokens that the program needs now.
func (m *programMemory) need(now time.Time) float64 {
	sum, newest := 0.0, chainNeed{}
	for key, c := range m.chains {
		if now.Sub(c.at) >= chainTimeout {
			delete(m.chains, key)
		} else {
			sum += c.tokens
		}
		if c.at.After(newest.at) {
			newest = c
		}
	}
	return max(sum, newest.tokens)
}

// memory holds the programs under way for each service whose engines have a limited memory.
type memory struct {
	services map[ServiceHash]*serviceMemory
	levels   []MemoryLevel
	// limited is whether there were levels when changedAt was set.
	limited   bool
	changedAt time.Time
}

type serviceMemory struct {
	perTarget float64
	slots     int
	targets   int
	version   uint64
	groups    map[startGroup]*groupDemand
	// programs and sum average the needs of programs over their turns, as of those that ended
	// lately. ended is the rate of ends.
	programs, sum float64
	ended         attemptRate
	// present and presentSum are the number and the needs of the programs under way.
	present, presentSum float64
}

// startGroup is the programs of an account and class.
type startGroup struct {
	account domain.Account
	class   int
}

type groupDemand struct {
	attempts attemptRate
	// used is the tokens of the programs under way.
	used float64
}

func (s *serviceMemory) group(g startGroup) *groupDemand {
	d := s.groups[g]
	if d == nil {
		d = &groupDemand{}
		s.groups[g] = d
	}
	return d
}

// meanNeed returns the mean need of a program over its turns, or 0 if it is not known. A new
// leader has seen no program end and knows only the needs so far.
func (s *serviceMemory) meanNeed() float64 {
	if s.programs == 0 {
		return s.presentSum / max(1, s.present)
	}
	return s.sum / s.programs
}

// usable returns the tokens that programs under way may need.
func (s *serviceMemory) usable() float64 {
	out := usableMemory * s.perTarget * float64(s.targets)
	if slots := float64(s.slots * s.targets); slots > 0 {
		out *= 1 + slotMargin/math.Sqrt(slots)
	}
	return out
}

func (m *memory) service(hash ServiceHash) *serviceMemory {
	s := m.services[hash]
	if s == nil {
		if len(m.services) >= maxKinds {
			clear(m.services)
		}
		s = &serviceMemory{groups: map[startGroup]*groupDemand{}}
		m.services[hash] = s
	}
	return s
}

// SetTargets sets the number of targets of each service that are listed and do not leave.
func (f *Fleet) SetTargets(count map[string]int) {
	for _, s := range f.memory.services {
		s.targets = 0
	}
	for service, n := range count {
		f.memory.service(ServiceHashOf(service)).targets = n
	}
}

// updateMemory computes the levels of all services as often as the active programs are recounted.
func (f *Fleet) updateMemory(now time.Time) {
	if now.Sub(f.activity.updated) < activityUpdateInterval {
		return
	}
	f.memory.update(now, f.activity.programs, func(account domain.Account) Limit {
		if t := f.totals[account]; t != nil {
			return t.bucket.limit
		}
		return Limit{}
	})
}

// memoryChangeInterval is the time between two records of a change of MemoryState.
const memoryChangeInterval = time.Second

// MemoryState describes the use of the memory of engines, of the service that uses most of it.
type MemoryState struct {
	// Levels is the number of levels in force.
	Levels int
	// Used is the fraction of the usable memory that programs under way need, and MeanNeed what
	// one of them needs in tokens.
	Used, MeanNeed, EndsPerSecond float64
}

// MemoryChanged reports whether the memory began or ceased to limit new programs since the last
// change, at most once in memoryChangeInterval.
func (f *Fleet) MemoryChanged(now time.Time) (state MemoryState, changed bool) {
	m := &f.memory
	if limited := len(m.levels) > 0; limited == m.limited || now.Sub(m.changedAt) < memoryChangeInterval {
		return MemoryState{}, false
	}
	m.limited, m.changedAt = !m.limited, now
	state.Levels = len(m.levels)
	for _, l := range m.levels {
		if s := m.services[l.Service]; l.Used >= state.Used {
			state.Used, state.MeanNeed, state.EndsPerSecond = l.Used, round(s.meanNeed()), round(s.ended.perSecond(now))
		}
	}
	return state, true
}

// add records what a gateway reports of services.
func (m *memory) add(now time.Time, version uint64, reported []ServiceMemory) {
	for _, r := range reported {
		s := m.service(r.Service)
		if version >= s.version {
			s.perTarget, s.slots, s.version = float64(max(0, r.Tokens)), max(0, r.Slots), version
		}
		for _, a := range r.Starts {
			s.group(startGroup{a.Account, a.Class}).attempts.add(now, float64(max(0, a.N)))
		}
	}
}

// addTurns records the turns of a program.
func (p *fleetProgram) addTurns(now time.Time, r *ProgramMemory) {
	if r == nil {
		return
	}
	if p.memory == nil {
		p.memory = &programMemory{chains: map[uint32]chainNeed{}}
	}
	m := p.memory
	m.service, m.class = r.Service, r.Class
	for _, t := range r.Turns {
		if _, known := m.chains[t.Chain]; known || len(m.chains) < maxChains {
			m.chains[t.Chain] = chainNeed{tokens: float64(max(0, t.Units)) * needUnit, at: now}
		}
		m.turns++
		m.sum += m.need(now)
	}
}

// update recounts the programs under way and computes the levels.
func (m *memory) update(now time.Time, programs map[ProgramHash]*fleetProgram, limitOf func(domain.Account) Limit) {
	for _, s := range m.services {
		for _, d := range s.groups {
			d.used = 0
		}
		s.present, s.presentSum = 0, 0
	}
	for _, p := range programs {
		if p.memory != nil && now.Sub(p.seen) < memoryTimeout {
			s := m.service(p.memory.service)
			s.present, s.presentSum = s.present+1, s.presentSum+p.memory.need(now)
		}
	}
	for _, p := range programs {
		if p.memory == nil {
			continue
		}
		s := m.service(p.memory.service)
		if now.Sub(p.seen) < memoryTimeout {
			// A program that has just begun will need as much as others.
			s.group(startGroup{p.account, p.memory.class}).used += max(p.memory.need(now), s.meanNeed())
			p.memory.ended = false
		} else if !p.memory.ended {
			p.memory.ended = true
			s.ended.add(now, 1)
			s.programs++
			s.sum += p.memory.sum / max(1, p.memory.turns)
			if s.programs >= costDecayPrograms {
				s.programs, s.sum = s.programs/2, s.sum/2
			}
		}
	}
	m.levels = nil
	for hash, s := range m.services {
		m.levels = append(m.levels, s.levels(now, hash, limitOf)...)
	}
}

// wantedPrograms returns the number of programs of the group that are expected to start before a
// level that is computed now is replaced.
func (d *groupDemand) wantedPrograms(now time.Time) float64 {
	return d.attempts.perSecond(now) * startVisibleAfter.Seconds()
}

// levels returns the levels for the starts of a service's programs, or nil while its memory
// suffices for all. Classes have the memory in the order of their priority; the accounts of a class
// share it by weighted max-min fairness, with their rates as weights. The load pattern that it
// answers: a burst starts more programs than the engines have memory for. Each turn then evicts the
// prompts of other programs, which are processed again, so that programs last for longer and
// there stay too many after the burst.
func (s *serviceMemory) levels(now time.Time, hash ServiceHash, limitOf func(domain.Account) Limit) []MemoryLevel {
	mean, usable := s.meanNeed(), s.usable()
	if mean == 0 || usable == 0 {
		return nil
	}
	// Programs that end before the levels are replaced make room too. Without them a twelfth of
	// the memory stays free in the simulation of playBurst.
	left := usable + s.ended.perSecond(now)*startVisibleAfter.Seconds()*mean
	demand, used := 0.0, 0.0
	classes := map[int][]shareDemand{}
	for g, d := range s.groups {
		wanted := d.wantedPrograms(now) * mean
		if d.used == 0 && wanted < mean/needUnit {
			delete(s.groups, g)
			continue
		}
		demand, used = demand+d.used+wanted, used+d.used
		classes[g.class] = append(classes[g.class], shareDemand{group: g, demand: d.used + wanted, weight: limitOf(g.account).RatePerSecond})
	}
	if demand <= left {
		return nil
	}
	var out []MemoryLevel
	waiting, fraction := 0.0, used/usable
	for _, class := range sortedKeys(classes) {
		shares := classes[class]
		if left <= 0 {
			out = append(out, MemoryLevel{Service: hash, Class: class, Used: round(fraction)})
		}
		left = max(0, left-fairShares(left, shares))
		first := len(out)
		for _, share := range shares {
			if share.share >= share.demand {
				continue
			}
			d := s.groups[share.group]
			free := max(0, share.share-d.used) / mean
			waiting += max(0, d.wantedPrograms(now)-free)
			out = append(out, MemoryLevel{
				Service: hash, Account: accountHash(share.group.account), Class: class, Used: round(fraction),
				Free: round(free), AttemptsPerSecond: round(d.attempts.perSecond(now)),
			})
		}
		retry := time.Duration(waiting / max(1, s.ended.perSecond(now)) * float64(time.Second))
		for i := range out[first:] {
			out[first+i].RetryMillis = int(max(minMemoryRetry, min(maxMemoryRetry, retry)).Milliseconds())
		}
	}
	return out
}

func sortedKeys[V any](m map[int]V) []int {
	var out []int
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// shareDemand is the demand of a group and its share of what there is.
type shareDemand struct {
	group                 startGroup
	demand, weight, share float64
}

// fairShares sets the shares of a capacity by weighted max-min fairness and returns their sum: each
// demand that is less than its fair part is met, and the others divide the rest by their weights. A
// weight of 0 stands for the largest one.
func fairShares(capacity float64, list []shareDemand) float64 {
	largest := 0.0
	for _, d := range list {
		largest = max(largest, d.weight)
	}
	weights := 0.0
	for i := range list {
		if list[i].weight <= 0 {
			list[i].weight = max(1, largest)
		}
		weights += list[i].weight
	}
	slices.SortFunc(list, func(a, b shareDemand) int {
		switch x, y := a.demand*b.weight, b.demand*a.weight; {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return 0
	})
	sum := 0.0
	for i := range list {
		d := &list[i]
		d.share = min(d.demand, max(0, capacity-sum)*d.weight/weights)
		sum += d.share
		weights -= d.weight
	}
	return sum
}
