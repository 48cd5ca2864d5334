package allowance

import (
	"cmp"
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
)

const (
	// activityTimeout is the time after the last report of a program for which the
	// coordinator counts it as active. It spans a report interval and a round trip.
	activityTimeout = ReportInterval + 50*time.Millisecond
	// endTimeout is the time after the last report of a program for which it counts as
	// the same run of the program.
	endTimeout = 2 * time.Second
	// activityUpdateInterval is the time between two recounts of the active programs.
	activityUpdateInterval = 50 * time.Millisecond
	// costDecayPrograms is the number of programs over which the measured cost of a
	// kind is averaged.
	costDecayPrograms = 200.0
	// defaultCostWeight is the weight of the assumed cost of a kind, in programs.
	defaultCostWeight = 3.0
	// maxAnnounced bounds the programs that are announced in one reply, which is about
	// 5 bytes for each.
	maxAnnounced = 2000
	// maxKinds bounds the kinds whose costs are measured.
	maxKinds = 1000
)

// activity measures the demand of programs over all gateways. The load pattern that it
// answers: the requests of one program reach many gateways, each of which sees a
// fraction of it. Counting the programs of each gateway separately overstates their
// number, and a gateway that serves few programs cannot measure their request rate.
type activity struct {
	programs map[ProgramHash]*fleetProgram
	kinds    map[ProgramKind]*kindDemand
	// active holds the number of active programs and their demand as of updated.
	active  map[domain.Account]accountDemand
	updated time.Time
	// announced lists the programs that became active, oldest first. announcedUntil is
	// the sequence number of the last one.
	announced      []ProgramHash
	announcedUntil uint64
}

type accountDemand struct {
	programs int
	requests float64
	// remaining is the part of requests that is left when the programs that end are not counted.
	remaining float64
}

// fleetProgram is an active program as reported by all gateways.
type fleetProgram struct {
	account         domain.Account
	kind            ProgramKind
	started, seen   time.Time
	initialRequests int
	// memory is the program's need of the memory of engines, or nil.
	memory *programMemory
}

// kindDemand holds measurements of the programs of one kind. All of them decay over
// costDecayPrograms programs.
type kindDemand struct {
	// starts is the number of programs, and initialRequests the number of requests
	// that they sent within forecastSpan of their start.
	starts, initialRequests float64
	// requests is the number of requests of active programs, and activeSeconds the time
	// for which a program counted as active.
	requests, activeSeconds float64
}

func (k *kindDemand) cost() float64 {
	assumed := defaultProgramRate * forecastSpan.Seconds()
	return (k.initialRequests + defaultCostWeight*assumed) / (k.starts + defaultCostWeight)
}

// rate returns the requests a second of a program that counts as active.
func (k *kindDemand) rate() float64 {
	return (k.requests + defaultCostWeight*defaultProgramRate) / (k.activeSeconds + defaultCostWeight)
}

func (k *kindDemand) decay() {
	if k.starts < costDecayPrograms {
		return
	}
	for _, v := range []*float64{&k.starts, &k.initialRequests, &k.requests, &k.activeSeconds} {
		*v /= 2
	}
}

func newActivity() *activity {
	return &activity{programs: map[ProgramHash]*fleetProgram{}, kinds: map[ProgramKind]*kindDemand{}, active: map[domain.Account]accountDemand{}}
}

// add records the programs of an account that one gateway reports.
func (a *activity) add(now time.Time, account domain.Account, reported []Activity) {
	for _, r := range reported {
		p := a.programs[r.Program]
		if p == nil {
			p = &fleetProgram{account: account, started: now, seen: now}
			a.programs[r.Program] = p
			a.announce(r.Program)
		}
		p.addTurns(now, r.Memory)
		if r.Kind != 0 {
			p.kind = r.Kind
		}
		k := a.kind(p.kind)
		k.requests += float64(r.Requests)
		k.activeSeconds += min(now.Sub(p.seen), activityTimeout).Seconds()
		if now.Sub(p.started) < forecastSpan {
			p.initialRequests += r.Requests
		}
		p.seen = now
	}
}

func (a *activity) announce(program ProgramHash) {
	a.announcedUntil++
	if len(a.announced) >= 2*maxAnnounced {
		a.announced = slices.Clone(a.announced[maxAnnounced:])
	}
	a.announced = append(a.announced, program)
}

// announcedSince returns the programs after a sequence number, at most the last
// maxAnnounced ones.
func (a *activity) announcedSince(sequence uint64) []ProgramHash {
	missing := a.announcedUntil - min(sequence, a.announcedUntil)
	n := min(missing, maxAnnounced, uint64(len(a.announced)))
	return slices.Clone(a.announced[len(a.announced)-int(n):])
}

func (a *activity) kind(kind ProgramKind) *kindDemand {
	k := a.kinds[kind]
	if k == nil {
		if len(a.kinds) >= maxKinds {
			clear(a.kinds)
		}
		k = &kindDemand{}
		a.kinds[kind] = k
	}
	return k
}

// update removes the programs that have ended and recounts the demand of the others. It
// returns the accounts whose number of active programs has changed.
func (a *activity) update(now time.Time) (changed []domain.Account) {
	if now.Sub(a.updated) < activityUpdateInterval {
		return nil
	}
	a.updated = now
	before := a.active
	a.active = map[domain.Account]accountDemand{}
	for key, p := range a.programs {
		k := a.kind(p.kind)
		if now.Sub(p.seen) >= endTimeout {
			delete(a.programs, key)
			k.starts++
			k.initialRequests += float64(p.initialRequests)
			k.activeSeconds += activityTimeout.Seconds()
			k.decay()
		}
		if now.Sub(p.seen) >= activityTimeout {
			continue
		}
		d := a.active[p.account]
		d.programs++
		requests := k.rate() * forecastSpan.Seconds()
		d.requests += requests
		d.remaining += requests * k.remaining()
		a.active[p.account] = d
	}
	for account, d := range a.active {
		if d.programs != before[account].programs {
			changed = append(changed, account)
		}
	}
	for account := range before {
		if _, ok := a.active[account]; !ok {
			changed = append(changed, account)
		}
	}
	return changed
}

func (a *activity) demand(account domain.Account) accountDemand { return a.active[account] }

// statistics returns the measurements of all kinds in a stable order.
func (a *activity) statistics() []KindStatistics {
	var out []KindStatistics
	for kind, k := range a.kinds {
		if kind != 0 {
			out = append(out, KindStatistics{Kind: kind, Cost: k.cost()})
		}
	}
	slices.SortFunc(out, func(x, y KindStatistics) int { return cmp.Compare(x.Kind, y.Kind) })
	return out
}
