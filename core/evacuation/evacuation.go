// Package evacuation holds the operators' orders that no more requests be sent to the targets
// of a data centre. The coordinators replicate them, and gateways apply them by a revision
// that only increases.
package evacuation

import (
	"cmp"
	"maps"
	"slices"

	"github.com/mangoknot/mangoknot/core/domain"
)

// Order is an operator's order for one data centre.
type Order struct {
	DataCentre domain.DataCentre
	// Evacuate is false if the order takes an evacuation back.
	Evacuate bool
	// OrderedAt is the wall clock of the VM that accepted the order, in seconds since 1970.
	// It is for operators; nothing is decided by it.
	OrderedAt int64 `cbor:",omitempty"`
}

// Entry is the newest order for a data centre that changed something.
type Entry struct {
	Order
	// Revision is the revision with which the order came into force.
	Revision uint64
}

// State holds the orders of all data centres that were ever evacuated. It does not change
// after it was created. The nil State has no order.
type State struct {
	// Revision is that of the last change.
	Revision uint64
	// Entries has one entry for each data centre, in ascending order.
	Entries []Entry
}

// Version returns the revision, which is 0 for the nil State.
func (s *State) Version() uint64 {
	if s == nil {
		return 0
	}
	return s.Revision
}

// entry returns the entry of a data centre, or nil.
func (s *State) entry(dc domain.DataCentre) *Entry {
	if s == nil {
		return nil
	}
	i, found := slices.BinarySearchFunc(s.Entries, dc, func(e Entry, dc domain.DataCentre) int { return cmp.Compare(e.DataCentre, dc) })
	if !found {
		return nil
	}
	return &s.Entries[i]
}

// Evacuated reports whether no requests may be sent to the targets of a data centre.
func (s *State) Evacuated(dc domain.DataCentre) bool {
	e := s.entry(dc)
	return e != nil && e.Evacuate
}

// InForce returns the evacuations in force, by data centre.
func (s *State) InForce() []Order {
	if s == nil {
		return nil
	}
	var out []Order
	for _, e := range s.Entries {
		if e.Evacuate {
			out = append(out, e.Order)
		}
	}
	return out
}

// With returns the state after an order that was decided with a revision. It is the same one
// if the order changes nothing, or if the state contains a later one: a restarted coordinator
// reads earlier orders again.
func (s *State) With(o Order, revision uint64) *State {
	if revision <= s.Version() || s.Evacuated(o.DataCentre) == o.Evacuate {
		return s
	}
	entries := map[domain.DataCentre]Entry{}
	if s != nil {
		for _, e := range s.Entries {
			entries[e.DataCentre] = e
		}
	}
	next := &State{Revision: revision}
	entries[o.DataCentre] = Entry{Order: o, Revision: revision}
	next.Entries = slices.SortedFunc(maps.Values(entries), func(a, b Entry) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return next
}

// Newer returns the state with the higher revision.
func Newer(a, b *State) *State {
	if b.Version() > a.Version() {
		return b
	}
	return a
}

// Changes are the differences between two states, by data centre.
type Changes struct{ Began, Ended []domain.DataCentre }

// Since returns what changed after an earlier state. A data centre whose evacuation ended
// after that counts as ended even if the earlier state did not have its evacuation: it may
// have begun and ended in between.
func (s *State) Since(earlier *State) Changes {
	var out Changes
	if s == nil {
		return out
	}
	for _, e := range s.Entries {
		switch {
		case e.Revision <= earlier.Version():
		case e.Evacuate:
			out.Began = append(out.Began, e.DataCentre)
		default:
			out.Ended = append(out.Ended, e.DataCentre)
		}
	}
	return out
}
