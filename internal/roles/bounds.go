package roles

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/grpc"

	"github.com/mangoknot/mangoknot/adapter/listener"
	"github.com/mangoknot/mangoknot/adapter/memory"
	"github.com/mangoknot/mangoknot/adapter/tcp"
	"github.com/mangoknot/mangoknot/core/connections"
	"github.com/mangoknot/mangoknot/internal/settings"
	"github.com/mangoknot/mangoknot/platform"
)

// Bounds are the settings of the bounds on connections and heads.
type Bounds struct {
	settings.Bounds
	HeadTime time.Duration `arg:"--head-time,env:MANGOKNOT_HEAD_TIME" help:"time from the first byte of a head to its end, where the configuration has no limit" default:"10s"`
	IdleTime time.Duration `arg:"--idle-time,env:MANGOKNOT_IDLE_TIME" help:"time without a byte before a head, where the configuration has no limit" default:"60s"`
}

// DefaultBounds returns the defaults of the settings.
func DefaultBounds() Bounds {
	var b Bounds
	parser, err := arg.NewParser(arg.Config{IgnoreEnv: true}, &b)
	if err == nil {
		err = parser.Parse(nil)
	}
	if err != nil {
		panic(err) // a fault in the tags of Bounds
	}
	return b
}

// serviceLimits returns the limits on heads at the addresses of readiness, operators and metrics.
func serviceLimits(b Bounds) listener.Limits {
	return listener.Limits{
		Head: connections.HeadLimits{
			EmptyBytes: b.MaxEmptyBytes, LineBytes: b.MaxRequestLineBytes, HeadBytes: b.MaxServiceHeadBytes, HeadLines: b.MaxHeadLines,
		},
		HeadTime: b.HeadTime, IdleTime: b.IdleTime,
	}
}

// bound creates the budget and the monitor of the listeners, whose metrics are registered in r.
func (p *process) bound(r prometheus.Registerer) {
	memoryBytes := p.settings.MemoryMiB * bytesPerMiB
	descriptors := listener.Descriptors()
	if own := p.settings.Descriptors; own > 0 && (descriptors == 0 || own < descriptors) {
		descriptors = own
	}
	p.totals = connections.Derive(memoryBytes, descriptors, p.options.Bounds.ReservedDescriptors)
	p.budget = memory.NewBudget(memoryBytes * bufferPercent / 100)
	p.monitor = listener.NewMonitor(p.budget, r, p.log)
	p.log.Info("the bounds on connections", "callers", p.totals.Callers, "peers", p.totals.Peers, "service", p.totals.Service, "descriptors", descriptors)
}

// listen listens for callers or other processes. The backlog is handed over before it closes.
func (p *process) listen(address string, s listener.Settings) (*listener.Listener, error) {
	l, err := tcp.Listen(address)
	if err != nil {
		return nil, fmt.Errorf("roles: listen for %s on %s: %w", s.Name, address, err)
	}
	return p.monitor.Wrap(l, s), nil
}

func (p *process) listenForPeers(name, address string, protocol listener.Protocol) (*listener.Listener, error) {
	b := p.options.Bounds
	return p.listen(address, listener.Settings{
		Name: name, Protocol: protocol, Bounds: listener.Bounded(b.MaxPeerConnections, p.totals.Peers, b.MaxConnectionsPerAddress),
		Limits: func() listener.Limits { return listener.Limits{} },
	})
}

// listenForCallers listens for callers, with the limits of the configuration once it is known.
func (p *process) listenForCallers(i *platform.Ingress) (*listener.Listener, error) {
	b := p.options.Bounds
	limits := serviceLimits(b)
	limits.Head.HeadBytes = b.MaxHeadBytes
	return p.listen(p.settings.CallerAddress, listener.Settings{
		Name: "callers", Bounds: listener.Bounded(b.MaxConnections, p.totals.Callers, b.MaxConnectionsPerAddress),
		Limits: func() listener.Limits { return i.Limits(limits) },
	})
}

// listenForService listens on the address of readiness, operators or metrics. A closed
// listener does not wait for its backlog, so that the process ends at once.
func (p *process) listenForService(name, address string) (*listener.Listener, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, fmt.Errorf("roles: listen for %s on %s: %w", name, address, err)
	}
	b := p.options.Bounds
	limits := serviceLimits(b)
	return p.monitor.Wrap(l, listener.Settings{
		Name: name, Bounds: listener.Bounded(b.MaxServiceConnections, p.totals.Service, b.MaxConnectionsPerAddress),
		Limits: func() listener.Limits { return limits },
	}), nil
}

// peerLimits are the limits of gRPC on connections of other processes.
func peerLimits(b Bounds) []grpc.ServerOption {
	return listener.GRPC(b.HeadTime, b.MaxServiceHeadBytes, b.PeerIdleTime)
}

// serviceServer returns the server of readiness, operators or metrics.
func serviceServer(h http.Handler, b Bounds) *http.Server {
	s := listener.NewServer(h)
	s.MaxHeaderBytes = b.MaxServiceHeadBytes
	return s
}
