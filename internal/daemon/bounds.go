package daemon

import (
	"time"

	"github.com/mangoknot/mangoknot/adapter/listener"
	"github.com/mangoknot/mangoknot/adapter/logging"
	"github.com/mangoknot/mangoknot/adapter/memory"
	"github.com/mangoknot/mangoknot/core/connections"
)

const (
	// headMemoryPercent is the part of the memory that the heads of all requests may use, in percent.
	headMemoryPercent = 10
	bytesPerMB        = 1 << 20
)

// boundedListeners are the listeners of a VM with their bounds.
type boundedListeners struct {
	callers, operators, peers *listener.Listener
}

// bound sets the bounds of the listeners. operatorTLS reports whether operators use TLS.
func (d *Daemon) bound(operatorTLS bool) {
	s := d.settings
	memoryBytes := s.MemoryMB * bytesPerMB
	if memoryBytes == 0 {
		memoryBytes = listener.Memory()
	}
	totals := connections.Derive(memoryBytes, listener.Descriptors(), s.ReservedDescriptors)
	monitor := listener.NewMonitor(memory.NewBudget(memoryBytes*headMemoryPercent/100), d.Metrics.Registry(), logging.Part(d.log, "listener"))
	limits := func(headBytes int, head, idle time.Duration) func() listener.Limits {
		out := listener.Limits{
			Head:     connections.HeadLimits{EmptyBytes: s.MaxEmptyBytes, LineBytes: s.MaxRequestLineBytes, HeadBytes: headBytes, HeadLines: s.MaxHeadLines},
			HeadTime: head, IdleTime: idle,
		}
		return func() listener.Limits { return out }
	}
	operators := listener.Settings{
		Name: "operators", Bounds: listener.Bounded(s.MaxServiceConnections, totals.Service, s.MaxConnectionsPerAddress),
		Limits: limits(s.MaxServiceHeadBytes, s.HeadTime, s.IdleTime), WriteTime: s.WriteTime,
	}
	if operatorTLS {
		operators.Protocol = listener.TLS
	}
	d.bounded = boundedListeners{
		callers: monitor.Wrap(d.listeners.Callers, listener.Settings{
			Name: "callers", Bounds: listener.Bounded(s.MaxConnections, totals.Callers, s.MaxConnectionsPerAddress),
			Limits: limits(s.MaxHeadBytes, s.HeadTime, s.IdleTime), WriteTime: s.WriteTime,
		}),
		operators: monitor.Wrap(d.listeners.Operators, operators),
		peers: monitor.Wrap(d.listeners.Peers, listener.Settings{
			Name: "peers", Protocol: listener.Stream, Bounds: listener.Bounded(s.MaxPeerConnections, totals.Peers, s.MaxConnectionsPerAddress),
			Limits: limits(0, 0, 0),
		}),
	}
}
