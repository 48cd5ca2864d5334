package coordinator

import (
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/evacuation"
	"github.com/mangoknot/mangoknot/core/raft"
)

// PutEvacuation is the command that evacuates a data centre, or takes that back. It has no
// effect if the data centre is in that state already.
type PutEvacuation struct{ Order evacuation.Order }

// RecordName implements domain.Record.
func (*PutEvacuation) RecordName() string { return "coordinator.PutEvacuation" }

// Evacuate proposes an order for a data centre. An order that changes nothing is
// acknowledged with ticket 0. The error is a *Redirect or ErrNoLeader.
func (c *Coordinator) Evacuate(now time.Time, o evacuation.Order) (Ticket, error) {
	if err := c.checkAuthority(now); err != nil {
		return 0, err
	}
	// An entry that is not applied yet may be the opposite order, whose answer was lost.
	if !c.hasUnappliedEntries() && c.state.Evacuations.Evacuated(o.DataCentre) == o.Evacuate {
		return 0, nil
	}
	return c.propose(now, &PutEvacuation{Order: o})
}

// Evacuations returns the applied orders.
func (c *Coordinator) Evacuations() *evacuation.State { return c.state.Evacuations }

// applyEvacuation applies a decided order. Its revision is its index in the log, which no
// other order has.
func (c *Coordinator) applyEvacuation(index raft.Index, o evacuation.Order) {
	before := c.state.Evacuations
	c.state.Evacuations = before.With(o, uint64(index))
	if c.state.Evacuations == before {
		return
	}
	message := "the evacuation of a data centre is decided"
	if !o.Evacuate {
		message = "the end of the evacuation of a data centre is decided"
	}
	c.event(message, map[string]any{"data_centre": o.DataCentre, "revision": c.state.Evacuations.Revision})
}

// newerEvacuations returns the orders if they are newer than those of a report, or nil.
func (c *Coordinator) newerEvacuations(revision uint64) *evacuation.State {
	if c.state.Evacuations.Version() <= revision {
		return nil
	}
	return c.state.Evacuations
}

// evacuated reports whether no requests may be sent to the targets of a data centre.
func (c *Coordinator) evacuated(dc domain.DataCentre) bool { return c.state.Evacuations.Evacuated(dc) }
