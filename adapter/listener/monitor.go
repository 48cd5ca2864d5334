// Package listener serves the addresses of a process with bounds on connections, on the bytes and
// lines of heads, and on their time. net/http and grpc-go serve the connections as before.
package listener

import (
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/mangoknot/mangoknot/adapter/memory"
	"github.com/mangoknot/mangoknot/core/connections"
)

// logInterval is the time between two log lines on the same bound of a listener. Lines in
// between are counted.
const logInterval = 5 * time.Second

// Monitor is shared by the listeners of a process: it has their budget for heads, and records the
// bounds that were hit.
type Monitor struct {
	budget *memory.Budget
	log    logr.Logger
	hits   *prometheus.CounterVec
	open   *prometheus.GaugeVec

	mu        sync.Mutex
	listeners []*Listener
	reported  map[reportKey]*report
}

type reportKey struct {
	listener string
	bound    connections.Bound
}

// report is the time of the last log line on a bound, and the number of hits since.
type report struct {
	at         time.Time
	unreported int
}

// NewMonitor returns a monitor whose metrics are registered in r.
func NewMonitor(b *memory.Budget, r prometheus.Registerer, log logr.Logger) *Monitor {
	m := &Monitor{
		budget: b, log: log, reported: map[reportKey]*report{},
		hits: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mangoknot_listener_bound_total", Help: "Connections that were refused or closed, by listener and bound.",
		}, []string{"listener", "bound"}),
		open: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "mangoknot_listener_connections", Help: "Open connections, by listener.",
		}, []string{"listener"}),
	}
	r.MustRegister(m.hits, m.open)
	b.OnShortage(m.relieve)
	return m
}

// hit records that a connection was refused or closed. Idle connections that are closed after
// their time are ordinary and get no log line.
func (m *Monitor) hit(l *Listener, b connections.Bound, c *conn) {
	m.hits.WithLabelValues(l.settings.Name, string(b)).Inc()
	if b == connections.IdleTime {
		return
	}
	remote, ofAddress := "", 0
	if c != nil {
		remote, ofAddress = c.RemoteAddr().String(), l.lenOf(c.address)
	}
	m.mu.Lock()
	key, now := reportKey{l.settings.Name, b}, time.Now()
	r := m.reported[key]
	if r == nil {
		r = &report{}
		m.reported[key] = r
	}
	if now.Sub(r.at) < logInterval {
		r.unreported++
		m.mu.Unlock()
		return
	}
	unreported := r.unreported
	r.at, r.unreported = now, 0
	m.mu.Unlock()
	m.log.Info("a connection exceeds a bound; it is refused or closed", "listener", l.settings.Name, "bound", string(b), "remote", remote,
		"connections_of_address", ofAddress, "connections", l.len(), "hits_without_line", unreported)
}

// relieve closes a connection that holds memory and makes no progress.
func (m *Monitor) relieve() {
	m.mu.Lock()
	listeners := m.listeners
	m.mu.Unlock()
	for _, l := range listeners {
		if l.settings.Protocol == HTTP && l.relieve(connections.Memory) {
			return
		}
	}
}

func (m *Monitor) add(l *Listener) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listeners = append(m.listeners[:len(m.listeners):len(m.listeners)], l)
}
