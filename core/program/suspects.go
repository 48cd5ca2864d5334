package program

import (
	"bytes"
	"maps"
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
)

const (
	// suspicionRetention is how long a crash counts after its last report.
	suspicionRetention = time.Hour
	// maxCrashes bounds the stored crashes; the oldest is evicted.
	maxCrashes = 1024
	// refuseAfterCrashes is the number of crashes after which a request is
	// refused.
	refuseAfterCrashes = 2
)

type crashID struct {
	target domain.Target
	number uint64
}

type crash struct {
	at       time.Time
	inFlight map[Fingerprint]bool
}

// VMState is shared by the stores of one VM. It holds the calls in flight of
// each account and target, and the crash suspects. It is not safe for
// concurrent use.
type VMState struct {
	inFlightByAccount map[domain.Account]int
	inFlightByTarget  map[domain.Target]map[domain.CallID]Fingerprint
	crashes           map[crashID]*crash
}

// NewVMState returns the empty state of a VM.
func NewVMState() *VMState {
	return &VMState{
		inFlightByAccount: map[domain.Account]int{},
		inFlightByTarget:  map[domain.Target]map[domain.CallID]Fingerprint{},
		crashes:           map[crashID]*crash{},
	}
}

// Step merges the crash suspects that another VM reports.
func (v *VMState) Step(now time.Time, msg domain.Message) {
	switch m := msg.(type) {
	case *Suspicion:
		v.addSuspects(now, m)
	case *Cleared:
		v.clear(m.Fingerprint)
	}
}

func (v *VMState) addSuspects(now time.Time, m *Suspicion) {
	id := crashID{m.Target, m.Crash}
	c := v.crashes[id]
	if c == nil {
		v.evictCrashes(now)
		c = &crash{inFlight: map[Fingerprint]bool{}}
		v.crashes[id] = c
	}
	c.at = now
	for _, f := range m.Fingerprints {
		if _, known := c.inFlight[f]; !known {
			c.inFlight[f] = true
		}
	}
}

func (v *VMState) evictCrashes(now time.Time) {
	maps.DeleteFunc(v.crashes, func(_ crashID, c *crash) bool { return now.Sub(c.at) > suspicionRetention })
	if len(v.crashes) < maxCrashes {
		return
	}
	var oldest crashID
	for id, c := range v.crashes {
		if o := v.crashes[oldest]; o == nil || c.at.Before(o.at) {
			oldest = id
		}
	}
	delete(v.crashes, oldest)
}

// clear ends the suspicion of a completed request and reports whether there was
// one. The request still counts in k, so that the suspicion of the others does
// not grow.
func (v *VMState) clear(f Fingerprint) bool {
	cleared := false
	for _, c := range v.crashes {
		if c.inFlight[f] {
			c.inFlight[f] = false
			cleared = true
		}
	}
	return cleared
}

// Suspicion returns the sum of 1/k over the crashes of the request, where k is
// the number of requests in flight at a crash, and reports whether the request
// must run alone and whether it must be refused.
func (v *VMState) Suspicion(now time.Time, f Fingerprint) (sum float64, alone, refused bool) {
	crashes, crashesAlone := 0, 0
	for _, c := range v.crashes {
		if !c.inFlight[f] || now.Sub(c.at) > suspicionRetention {
			continue
		}
		crashes++
		sum += 1 / float64(len(c.inFlight))
		if len(c.inFlight) == 1 {
			crashesAlone++
		}
	}
	return sum, crashes > 0, crashes >= refuseAfterCrashes && crashesAlone > 0
}

// recordCrash adds the suspects of a crash that a failed call reports, and
// returns the message about them. The first report of a crash names everything
// in flight on the target. A later report adds only its own call, because the
// others may run on the restarted target.
func (v *VMState) recordCrash(now time.Time, m *FailCall, f Fingerprint) *Suspicion {
	s := &Suspicion{Target: m.Target, Crash: m.Crash, Fingerprints: []Fingerprint{f}}
	if v.crashes[crashID{m.Target, m.Crash}] == nil {
		for _, other := range v.inFlightByTarget[m.Target] {
			s.Fingerprints = append(s.Fingerprints, other)
		}
	}
	slices.SortFunc(s.Fingerprints, func(a, b Fingerprint) int { return bytes.Compare(a[:], b[:]) })
	s.Fingerprints = slices.Compact(s.Fingerprints)
	v.addSuspects(now, s)
	return s
}

func (v *VMState) addInFlight(t domain.Target, id domain.CallID, f Fingerprint) {
	if v.inFlightByTarget[t] == nil {
		v.inFlightByTarget[t] = map[domain.CallID]Fingerprint{}
	}
	v.inFlightByTarget[t][id] = f
}

func (v *VMState) removeInFlight(t domain.Target, id domain.CallID) {
	delete(v.inFlightByTarget[t], id)
	if len(v.inFlightByTarget[t]) == 0 {
		delete(v.inFlightByTarget, t)
	}
}
