package roles

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/mangoknot/mangoknot/node/gateway"
)

// gatewayMetrics counts what a gateway does.
type gatewayMetrics struct {
	registry *prometheus.Registry
	served   *prometheus.CounterVec
	refused  *prometheus.CounterVec
	retried  *prometheus.CounterVec
}

func newGatewayMetrics() *gatewayMetrics {
	m := &gatewayMetrics{
		registry: prometheus.NewRegistry(),
		served: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mangoknot_gateway_served_total", Help: "Answers passed on, by route.",
		}, []string{"route"}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mangoknot_gateway_refused_total", Help: "Requests refused, by reason.",
		}, []string{"reason"}),
		retried: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mangoknot_gateway_retried_total", Help: "Requests sent to another target, by reason.",
		}, []string{"reason"}),
	}
	m.registry.MustRegister(m.served, m.refused, m.retried)
	return m
}

// Served implements gateway.Metrics.
func (m *gatewayMetrics) Served(route string, _ time.Duration) { m.served.WithLabelValues(route).Inc() }

// Refused implements gateway.Metrics.
func (m *gatewayMetrics) Refused(kind gateway.Kind) { m.refused.WithLabelValues(string(kind)).Inc() }

// Retried implements gateway.Metrics.
func (m *gatewayMetrics) Retried(reason string) { m.retried.WithLabelValues(reason).Inc() }
