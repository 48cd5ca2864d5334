package balance

import (
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
)

const (
	// departureOverride is the time after which a current list that names a target as ready
	// all along is believed again: the process that left has ended, and another one has
	// started under its ID between two reads of the list.
	departureOverride = 15 * time.Second
	// departureRetention is the time for which the departure of a target that is not listed is
	// remembered.
	departureRetention = 5 * time.Minute
)

// Departures remembers the targets that said in an answer that they leave. The list of
// targets shows it later, or not at all to a gateway that is cut off. A departure ends with
// the process of the target. An entry of the list that is older than the answer does not end
// it. It is not safe for concurrent use.
type Departures struct{ targets map[domain.Target]*departure }

type departure struct {
	at time.Time
	// address and version are those of the target when it said that it leaves.
	address, version string
	// listed reports whether a list has shown since that the target leaves or is gone.
	listed bool
}

// Observe records that a target of the list said that it leaves. It reports whether that was
// not known.
func (d *Departures) Observe(now time.Time, t Target) bool {
	if _, known := d.targets[t.ID]; known {
		return false
	}
	if d.targets == nil {
		d.targets = map[domain.Target]*departure{}
	}
	d.targets[t.ID] = &departure{at: now, address: t.Address, version: t.Version}
	return true
}

// Unlisted returns the targets that said lately that they leave, which no list has shown yet.
func (d *Departures) Unlisted(now time.Time) []domain.Target {
	var out []domain.Target
	for id, departed := range d.targets {
		if !departed.listed && now.Sub(departed.at) < departureOverride {
			out = append(out, id)
		}
	}
	return out
}

// Any reports whether there is any departure.
func (d *Departures) Any() bool { return len(d.targets) > 0 }

// Mark returns the list with the targets that leave marked, and ends the departures of
// targets that have started again. current reports whether the list is current.
func (d *Departures) Mark(now time.Time, list []Target, current bool) []Target {
	if len(d.targets) == 0 {
		return list
	}
	out := make([]Target, len(list))
	present := map[domain.Target]bool{}
	for i, t := range list {
		present[t.ID] = true
		if departed := d.targets[t.ID]; departed != nil {
			t = d.mark(now, t, departed, current)
		}
		out[i] = t
	}
	for id, departed := range d.targets {
		if !present[id] {
			departed.listed = true
			if now.Sub(departed.at) > departureRetention {
				delete(d.targets, id)
			}
		}
	}
	return out
}

func (d *Departures) mark(now time.Time, t Target, departed *departure, current bool) Target {
	replaced := t.Address != departed.address || t.Version != departed.version
	switch {
	case replaced, !t.Leaving && departed.listed, !t.Leaving && current && now.Sub(departed.at) >= departureOverride:
		delete(d.targets, t.ID)
	case t.Leaving:
		departed.listed = true
	default:
		t.Leaving = true
	}
	return t
}
