package node

import (
	"context"
	"sync"

	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/domain"
)

// signals watches the load reports and cache events of the engines in the data
// centre of the VM, which its programs prefer.
type signals struct {
	node *Node

	mu      sync.Mutex
	ctx     context.Context
	watched map[domain.Target]*targetWatch
}

// targetWatch is the running watch of one engine.
type targetWatch struct {
	address string
	cancel  context.CancelFunc
}

func newSignals(n *Node) *signals {
	return &signals{node: n, watched: map[domain.Target]*targetWatch{}}
}

func (s *signals) start(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ctx = ctx
}

// update starts and stops watches after a change of the configuration.
func (s *signals) update(view *config.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx == nil {
		return
	}
	for name, w := range s.watched {
		if t := view.Target(name); t == nil || t.Address != w.address {
			w.cancel()
			delete(s.watched, name)
		}
	}
	for _, t := range view.Targets() {
		if t.Kind == config.TargetEngine && t.DataCentre == s.node.config.DataCentre && s.watched[t.Name] == nil {
			s.watched[t.Name] = s.watch(t)
		}
	}
}

func (s *signals) watch(t *config.TargetSpec) *targetWatch {
	ctx, cancel := context.WithCancel(s.ctx)
	go s.node.ports.Signals.WatchLoad(ctx, t.Name, s.node.ReportLoad)
	go s.node.ports.Signals.WatchCache(ctx, t.Name, s.node.ReportCache)
	return &targetWatch{address: t.Address, cancel: cancel}
}
