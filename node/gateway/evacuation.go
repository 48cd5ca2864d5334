package gateway

import (
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/evacuation"
)

// applyEvacuations puts newer orders into force. Older ones are ignored: a coordinator that
// lags must not take a newer decision back. Requests that wait for a target are placed again by
// the settle call that follows.
func (g *Gateway) applyEvacuations(now time.Time, s *evacuation.State) {
	if s.Version() <= g.evacuations.Version() {
		return
	}
	changes := s.Since(g.evacuations)
	g.evacuations = s
	inForce := s.InForce()
	excluded := make([]domain.DataCentre, len(inForce))
	for i, o := range inForce {
		excluded[i] = o.DataCentre
	}
	g.balancer.Exclude(excluded)
	g.o.Metrics.Evacuations(inForce)
	for _, dc := range changes.Began {
		g.o.Log.Info("an evacuation is in force; the targets of the data centre get no new requests", "data_centre", dc, "revision", s.Revision)
	}
	for _, dc := range changes.Ended {
		g.cold.EvacuationEnded(now, dc)
		g.o.Log.Info("an evacuation has ended; the targets of the data centre get requests again", "data_centre", dc, "revision", s.Revision)
	}
}
