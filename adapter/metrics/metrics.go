// Package metrics implements port.Metrics with the Prometheus client.
package metrics

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/port"
)

// maxAccountLabels limits the client accounts that have their own label value.
// The target size is 1,800 accounts; accounts above the limit share the value
// "other".
const maxAccountLabels = 2_000

const otherAccountsLabel = "other"

// Metrics holds the Prometheus collectors of one process.
type Metrics struct {
	registry       *prometheus.Registry
	accounts       *accountLabels
	refused        *prometheus.CounterVec
	retried        *prometheus.CounterVec
	dropped        *prometheus.CounterVec
	firstToken     *prometheus.HistogramVec
	callLatency    *prometheus.HistogramVec
	programLatency *prometheus.HistogramVec
	tokens         *prometheus.CounterVec
	charged        *prometheus.CounterVec
	controlStep    prometheus.Histogram
	callsCut       prometheus.Counter
}

var _ port.Metrics = (*Metrics)(nil)

// latencyBuckets are upper bounds in seconds. The bound of 0.69 s is the stated
// limit of the time to the first token.
var latencyBuckets = []float64{0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.69, 1, 2.5, 5, 10, 30, 60, 300, 1800, 7200}

// New returns metrics that are registered in a new registry.
func New() *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		accounts: newAccountLabels(maxAccountLabels),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mangoknot_refused_total", Help: "Requests refused, by client account, reason and outcome.",
		}, []string{"account", "reason", "outcome"}),
		retried: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mangoknot_retried_total", Help: "Calls and control messages that were retried, by reason.",
		}, []string{"reason"}),
		dropped: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mangoknot_control_messages_dropped_total", Help: "Control messages dropped because a queue was full, by peer VM.",
		}, []string{"vm"}),
		firstToken:     histogram("mangoknot_first_token_seconds", "Time from the request to the first byte of the response, by client account."),
		callLatency:    histogram("mangoknot_call_seconds", "Time from the request to the end of the response, by client account."),
		programLatency: histogram("mangoknot_program_seconds", "Time from the first call of a program to its end, by client account."),
		tokens: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mangoknot_tokens_total", Help: "Tokens served, by client account and kind.",
		}, []string{"account", "kind"}),
		charged: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mangoknot_charged_micros_total", Help: "Amount charged, in 1/1,000,000 of the currency unit, by client account.",
		}, []string{"account"}),
		controlStep: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "mangoknot_control_step_seconds", Help: "Duration of one step of the control goroutine.",
			Buckets: []float64{1e-6, 1e-5, 1e-4, 1e-3, 1e-2, 1e-1},
		}),
	}
	m.callsCut = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "mangoknot_calls_cut_total", Help: "Calls cancelled at the deadline of a planned stop.",
	})
	m.registry.MustRegister(m.callsCut, m.refused, m.retried, m.dropped, m.firstToken, m.callLatency, m.programLatency, m.tokens, m.charged, m.controlStep,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

func histogram(name, help string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: name, Help: help, Buckets: latencyBuckets}, []string{"account"})
}

// Handler returns a handler that serves the metrics in the Prometheus text
// format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Registry returns the registry of the metrics, for embedding programs and tests.
func (m *Metrics) Registry() *prometheus.Registry { return m.registry }

// Refused implements port.Metrics.
func (m *Metrics) Refused(account domain.Account, reason domain.Reason, outcome domain.Outcome) {
	m.refused.WithLabelValues(m.accounts.label(account), string(reason), outcome.String()).Inc()
}

// Retried implements port.Metrics.
func (m *Metrics) Retried(reason string) { m.retried.WithLabelValues(reason).Inc() }

// CallDone implements port.Metrics.
func (m *Metrics) CallDone(account domain.Account, firstToken, total time.Duration, usage domain.Usage, cost domain.Micros) {
	label := m.accounts.label(account)
	m.firstToken.WithLabelValues(label).Observe(firstToken.Seconds())
	m.callLatency.WithLabelValues(label).Observe(total.Seconds())
	m.tokens.WithLabelValues(label, "prompt").Add(float64(usage.Prompt - usage.Cached))
	m.tokens.WithLabelValues(label, "cached").Add(float64(usage.Cached))
	m.tokens.WithLabelValues(label, "generated").Add(float64(usage.Generated))
	m.charged.WithLabelValues(label).Add(float64(cost))
}

// ProgramEnded implements port.Metrics.
func (m *Metrics) ProgramEnded(account domain.Account, latency time.Duration) {
	m.programLatency.WithLabelValues(m.accounts.label(account)).Observe(latency.Seconds())
}

// MessageDropped implements port.Metrics.
func (m *Metrics) MessageDropped(to domain.VM) { m.dropped.WithLabelValues(string(to)).Inc() }

// ControlStep implements port.Metrics.
func (m *Metrics) ControlStep(d time.Duration) { m.controlStep.Observe(d.Seconds()) }

// CallsCut counts calls that were cancelled at the deadline of a planned stop.
func (m *Metrics) CallsCut(calls int64) { m.callsCut.Add(float64(calls)) }
