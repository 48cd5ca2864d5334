package roles

import (
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/mangoknot/mangoknot/core/reach"
	"github.com/mangoknot/mangoknot/core/waiting"
	"github.com/mangoknot/mangoknot/node/gateway"
	"github.com/mangoknot/mangoknot/port"
)

const (
	metricsPath = "/metrics"
	// maxScrapes bounds the answers with metrics that are held in memory at a time.
	maxScrapes = 4
)

// addMetrics serves the metrics of a role on Options.MetricsPort, if it is set.
func (p *process) addMetrics(r *prometheus.Registry) error {
	if p.options.MetricsPort == 0 {
		return nil
	}
	mux := http.NewServeMux()
	mux.Handle("GET "+metricsPath, promhttp.HandlerFor(r, promhttp.HandlerOpts{MaxRequestsInFlight: maxScrapes}))
	return p.addHTTP("metrics", net.JoinHostPort(p.settings.IP, strconv.Itoa(p.options.MetricsPort)), mux)
}

// eventCounter counts the events of a role, by kind.
type eventCounter struct {
	registry *prometheus.Registry
	counts   *prometheus.CounterVec
}

func newEventCounter(name, help string) *eventCounter {
	e := &eventCounter{
		registry: prometheus.NewRegistry(),
		counts:   prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, []string{"event"}),
	}
	e.registry.MustRegister(e.counts)
	return e
}

// Count implements the metrics of coordinators and storage VMs.
func (e *eventCounter) Count(event string) { e.counts.WithLabelValues(event).Inc() }

// gatewayMetrics implements gateway.Metrics with Prometheus.
type gatewayMetrics struct {
	registry *prometheus.Registry
	served   *prometheus.CounterVec
	refused  *prometheus.CounterVec
	regions  *prometheus.CounterVec
	turned   *prometheus.CounterVec
	retried  *prometheus.CounterVec
	limits   *prometheus.CounterVec
	panics   prometheus.Counter
	leaving  prometheus.Counter
	cutOff   prometheus.Gauge
	failed   prometheus.Counter
	tunnels  *prometheus.CounterVec
	latency  prometheus.Histogram
	cold     prometheus.Gauge
	*evacuationAges
	pace    prometheus.Histogram
	refills *prometheus.CounterVec
}

func newGatewayMetrics() *gatewayMetrics {
	m := &gatewayMetrics{
		registry:       prometheus.NewRegistry(),
		evacuationAges: newEvacuationAges("mangoknot_gateway_evacuation_seconds"),
		served: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mangoknot_gateway_served_total", Help: "Answers passed on, by route.",
		}, []string{"route"}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mangoknot_gateway_refused_total", Help: "Requests refused, by reason.",
		}, []string{"reason"}),
		regions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mangoknot_gateway_region_refused_total", Help: "Requests that their region constraint left no target for, by reason.",
		}, []string{"reason"}),
		turned: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mangoknot_gateway_turned_away_total", Help: "Requests that did not wait for a target any longer, by the reason.",
		}, []string{"reason"}),
		retried: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mangoknot_gateway_retried_total", Help: "Requests sent to another target, by reason.",
		}, []string{"reason"}),
		limits: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mangoknot_gateway_limit_exceeded_total", Help: "Answers of targets that exceed a bound, by bound.",
		}, []string{"limit"}),
		panics: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "mangoknot_gateway_panics_total", Help: "Functions that panicked; only their request failed.",
		}),
		leaving: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "mangoknot_gateway_targets_leaving_total", Help: "Targets that said in an answer that they leave.",
		}),
		cutOff: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "mangoknot_gateway_cut_off", Help: "1 while the gateway reaches no target itself.",
		}),
		cold: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "mangoknot_gateway_cold_targets", Help: "Targets that count as cold at this gateway.",
		}),
		failed: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "mangoknot_gateway_tunnels_failed_total", Help: "Tunnels that other gateways did not open, or that broke.",
		}),
		tunnels: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mangoknot_gateway_tunnels_requested_total", Help: "Tunnels that other gateways requested, by the reason why they were not opened.",
		}, []string{"refusal"}),
	}
	m.latency = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "mangoknot_gateway_seconds", Help: "Time from a request to the end of its answer.",
		Buckets: []float64{0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 4},
	})
	m.refills = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "mangoknot_gateway_refill_waits_total", Help: "Requests of programs that waited for the refill of their account, by the end of the wait.",
	}, []string{"end"})
	m.pace = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "mangoknot_gateway_target_pace_percent", Help: "How long work takes at targets, in percent of the usual time, as their answers report it.",
		Buckets: []float64{100, 125, 150, 200, 250},
	})
	m.registry.MustRegister(m.served, m.refused, m.regions, m.turned, m.retried, m.limits, m.panics, m.leaving, m.cutOff, m.failed, m.tunnels, m.latency, m.cold, m.pace, m.refills, m.evacuationAges)
	return m
}

// Served implements gateway.Metrics.
func (m *gatewayMetrics) Served(route string, took time.Duration) {
	m.served.WithLabelValues(route).Inc()
	m.latency.Observe(took.Seconds())
}

// Refused implements gateway.Metrics.
func (m *gatewayMetrics) Refused(kind gateway.Kind) { m.refused.WithLabelValues(string(kind)).Inc() }

// RegionRefused implements gateway.Metrics.
func (m *gatewayMetrics) RegionRefused(kind gateway.Kind) {
	m.regions.WithLabelValues(string(kind)).Inc()
}

// TurnedAway implements gateway.Metrics.
func (m *gatewayMetrics) TurnedAway(reason waiting.Reason) {
	m.turned.WithLabelValues(string(reason)).Inc()
}

// Retried implements gateway.Metrics.
func (m *gatewayMetrics) Retried(reason string) { m.retried.WithLabelValues(reason).Inc() }

// LimitExceeded implements gateway.Metrics.
func (m *gatewayMetrics) LimitExceeded(limit port.Limit) {
	m.limits.WithLabelValues(string(limit)).Inc()
}

// Panicked implements gateway.Metrics.
func (m *gatewayMetrics) Panicked() { m.panics.Inc() }

// TargetLeaves implements gateway.Metrics.
func (m *gatewayMetrics) TargetLeaves() { m.leaving.Inc() }

// PaceReported implements gateway.Metrics.
func (m *gatewayMetrics) PaceReported(percent int) { m.pace.Observe(float64(percent)) }

// RefillAwaited implements gateway.Metrics.
func (m *gatewayMetrics) RefillAwaited(end string) { m.refills.WithLabelValues(end).Inc() }

// CutOff implements gateway.Metrics.
func (m *gatewayMetrics) CutOff(cutOff bool) {
	m.cutOff.Set(0)
	if cutOff {
		m.cutOff.Set(1)
	}
}

// ColdTargets implements gateway.Metrics.
func (m *gatewayMetrics) ColdTargets(n int) { m.cold.Set(float64(n)) }

// TunnelFailed implements gateway.Metrics.
func (m *gatewayMetrics) TunnelFailed() { m.failed.Inc() }

// TunnelRequested implements gateway.Metrics.
func (m *gatewayMetrics) TunnelRequested(refusal reach.Refusal) {
	m.tunnels.WithLabelValues(string(refusal)).Inc()
}
