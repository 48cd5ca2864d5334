package node

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"sync/atomic"

	"github.com/go-logr/logr"

	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/controller"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/port"
)

// Ports are the adapters that a node uses.
type Ports struct {
	Clock    port.Clock
	Disk     port.Disk
	Peers    port.Peers
	Transfer port.HistoryTransfer
	History  port.HistoryStore
	Targets  port.Targets
	Orders   port.EngineControl
	Signals  port.TargetSignals
	Metrics  port.Metrics
}

// Config holds the settings of a node.
type Config struct {
	VM         domain.VM
	DataCentre domain.DataCentre
	Region     domain.Region
	// MaxAnswerBytes limits the size of a plain service's answer.
	MaxAnswerBytes int64
}

// shared is the state that traffic goroutines read without a request to the
// control goroutine. Neither pointer is nil after New.
type shared struct {
	view  atomic.Pointer[config.View]
	state atomic.Pointer[controller.State]
	jobs  *jobs
}

// Node is one VM of the system. Its control goroutine runs in Run; its other
// methods are for traffic goroutines.
type Node struct {
	config  Config
	ports   Ports
	log     logr.Logger
	mailbox *mailbox
	shared  *shared
	control *control
	signals *signals
	// incarnation and calls keep call ids unique across restarts.
	incarnation string
	calls       atomic.Uint64
	// inFlight counts the traffic operations in progress, for a planned stop.
	inFlight atomic.Int64
	draining drain
	// openRouteCalls counts calls of open routes, to spread them over the targets
	// in turn.
	openRouteCalls atomic.Uint64
}

var (
	_ port.Frontend   = (*Node)(nil)
	_ port.Operations = (*Node)(nil)
)

// New returns a node that runs the controller. Run starts it.
func New(c Config, ports Ports, ctrl *controller.Controller, log logr.Logger) *Node {
	n := &Node{
		config:      c,
		ports:       ports,
		log:         log,
		mailbox:     newMailbox(),
		shared:      &shared{},
		incarnation: randomText(),
		draining:    drain{started: make(chan struct{})},
	}
	n.shared.view.Store(config.NewState().View())
	n.shared.state.Store(&controller.State{})
	n.shared.jobs = newJobs(n)
	n.signals = newSignals(n)
	n.control = &control{
		core:        ctrl,
		mailbox:     n.mailbox,
		ports:       ports,
		log:         log,
		shared:      n.shared,
		viewChanged: n.signals.update,
		startDrain:  func() { _ = n.Drain(context.Background()) },
		openTickets: map[controller.Ticket]chan controller.Reply{},
	}
	return n
}

// randomBytes is the size of the random part of call ids and program names.
const randomBytes = 8

func randomText() string {
	var raw [randomBytes]byte
	// crypto/rand ends the process when the random source fails.
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

// Run runs the control goroutine until the context ends or a fatal error occurs.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	n.shared.jobs.start(ctx)
	n.signals.start(ctx)
	return n.control.run(ctx)
}

// View implements port.Frontend.
func (n *Node) View() *config.View { return n.shared.view.Load() }

// Ready implements port.Frontend.
func (n *Node) Ready() bool { return n.shared.state.Load().Serving && !n.isDraining() }

// Refused implements port.Frontend.
func (n *Node) Refused(account domain.Account, r *domain.Refusal) {
	n.ports.Metrics.Refused(account, r.Reason, r.Outcome)
}

// Identify implements port.Frontend. It refuses a withdrawn key as soon as this
// VM has received the withdrawal, from the configuration or from another VM.
func (n *Node) Identify(key string) (port.Identity, error) {
	state := n.shared.state.Load()
	if state.Isolated {
		return port.Identity{}, controller.Isolated()
	}
	spec := n.View().KeyByHash(sha256.Sum256([]byte(key)))
	if spec == nil {
		return port.Identity{}, domain.NotRun(domain.ReasonKeyUnknown, "the key is not known; check it, or ask the operator for a new one")
	}
	if spec.Withdrawn || state.Withdrawn[spec.ID] {
		return port.Identity{}, controller.KeyWithdrawn()
	}
	return port.Identity{Account: spec.Account, Key: spec.ID}, nil
}

func (n *Node) newCallID() domain.CallID {
	return domain.CallID(fmt.Sprintf("%s-%s-%d", n.config.VM, n.incarnation, n.calls.Add(1)))
}

// beginOperation counts a traffic operation until end is called. It returns a
// refusal while the VM is starting.
func (n *Node) beginOperation() (end func(), err error) {
	if !n.shared.state.Load().Serving {
		return nil, controller.Starting()
	}
	n.inFlight.Add(1)
	return func() { n.inFlight.Add(-1) }, nil
}

// InFlight returns the number of traffic operations in progress.
func (n *Node) InFlight() int64 { return n.inFlight.Load() }
