package roles

import (
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/mangoknot/mangoknot/core/evacuation"
)

// evacuationAges is a collector of the evacuations in force, with the time since each was
// ordered.
type evacuationAges struct {
	description *prometheus.Desc
	inForce     atomic.Pointer[[]evacuation.Order]
}

func newEvacuationAges(name string) *evacuationAges {
	return &evacuationAges{description: prometheus.NewDesc(name, "Evacuations in force, with the seconds since they were ordered.", []string{"data_centre"}, nil)}
}

// Evacuations implements the metrics of gateways and coordinators.
func (a *evacuationAges) Evacuations(inForce []evacuation.Order) { a.inForce.Store(&inForce) }

// Describe implements prometheus.Collector.
func (a *evacuationAges) Describe(out chan<- *prometheus.Desc) { out <- a.description }

// Collect implements prometheus.Collector.
func (a *evacuationAges) Collect(out chan<- prometheus.Metric) {
	inForce := a.inForce.Load()
	if inForce == nil {
		return
	}
	for _, o := range *inForce {
		// The clocks of two VMs differ, so the age of a new order could be negative.
		age := max(0, time.Since(time.Unix(o.OrderedAt, 0)).Seconds())
		out <- prometheus.MustNewConstMetric(a.description, prometheus.GaugeValue, age, string(o.DataCentre))
	}
}

// coordinatorMetrics implements coordination.Metrics with Prometheus.
type coordinatorMetrics struct {
	*eventCounter
	*evacuationAges
}

func newCoordinatorMetrics() *coordinatorMetrics {
	m := &coordinatorMetrics{
		eventCounter:   newEventCounter("mangoknot_coordinator_events_total", "Changes of belief, by kind."),
		evacuationAges: newEvacuationAges("mangoknot_coordinator_evacuation_seconds"),
	}
	m.registry.MustRegister(m.evacuationAges)
	return m
}
