package node

import (
	"context"
	"sync"

	"github.com/mangoknot/mangoknot/core/controller"
)

// drain is the state of a planned stop.
type drain struct {
	once    sync.Once
	started chan struct{}
}

// Drain implements port.Operations. It makes the VM unready and returns; the
// daemon carries out the planned stop.
func (n *Node) Drain(context.Context) error {
	n.draining.once.Do(func() { close(n.draining.started) })
	return nil
}

// Draining returns a channel that is closed when a planned stop begins.
func (n *Node) Draining() <-chan struct{} { return n.draining.started }

func (n *Node) isDraining() bool {
	select {
	case <-n.draining.started:
		return true
	default:
		return false
	}
}

// HandOver transfers the VM's shards and leadership to other VMs. The VM stays
// an entry VM until its front end is shut down, so that no caller is refused
// while the balancer still sends requests here.
func (n *Node) HandOver(ctx context.Context) error {
	_, err := requestOnce[controller.Drained](ctx, n.mailbox, func(t controller.Ticket) controller.Input {
		return controller.Drain{Ticket: t}
	})
	return err
}
