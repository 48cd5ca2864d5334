package roles

import (
	"context"
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/adapter/disk"
	"github.com/mangoknot/mangoknot/core/coordinator"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/raft"
	"github.com/mangoknot/mangoknot/core/targetlimit"
	"github.com/mangoknot/mangoknot/node/coordination"
	"github.com/mangoknot/mangoknot/platform"
)

const (
	// identityStream holds the identity of a coordinator's disk.
	identityStream = "identity"
	// initialDiskID is the disk part of the first voters' identities. It is fixed,
	// because the first voters must know each other's identities before they
	// exchange messages.
	initialDiskID = "first"
	// electionTimeout is the time without a heartbeat after which a follower
	// starts an election. It exceeds several heartbeats over the longest link.
	electionTimeout   = 500 * time.Millisecond
	heartbeatInterval = 80 * time.Millisecond
	// handOverTimeout is the time for which a stopping leader keeps running, so
	// that its successor is elected before the process ends.
	handOverTimeout = 400 * time.Millisecond
)

// Coordinator runs a coordinator, a voter of the configuration log, until the
// process is stopped.
func Coordinator(o Options) error {
	p, err := newProcess("coordinator", o)
	if err != nil {
		return err
	}
	d, err := p.openDisk()
	if err != nil {
		return err
	}
	identity, err := p.identity(d)
	if err != nil {
		return err
	}
	var restored raft.Restored
	if err := d.Load(coordination.Stream, restored.Apply); err != nil {
		return err
	}
	applied, err := loadApplied(d)
	if err != nil {
		return err
	}
	metrics := newCoordinatorMetrics()
	p.bound(metrics.registry)
	n := coordination.New(coordination.Options{
		Config: coordinator.Config{
			Self: identity.VM, Voters: identity.Voters, Tolerance: p.settings.Tolerance,
			ElectionTimeout: electionTimeout, Heartbeat: heartbeatInterval, Applied: applied, Rand: p.rand,
			ColdBounds: targetlimit.ColdBounds{Excess: p.settings.ColdExcess, Slack: p.settings.ColdSlack},
		},
		Restored: restored, Disk: d, Calls: p.rpcClient, Targets: platform.NewLister(p.settings, p.log),
		Clock: p.clock, Seeds: p.seeds, Log: p.log, Metrics: metrics,
	})
	p.group.Add(n.Run, func(error) { n.Stop() })
	p.group.Add(n.KeepJoining, func(error) { n.Stop() })
	if err := p.addGRPC(p.settings.CoordinatorAddress, n); err != nil {
		return err
	}
	if err := p.addMetrics(metrics.registry); err != nil {
		return err
	}
	operator, err := platform.NewOperator(n, p.settings, p.log)
	if err != nil {
		return err
	}
	if err := p.addHTTP("operators", p.settings.OperatorAddress, platform.BoundOperator(operator, p.budget)); err != nil {
		return err
	}
	p.addSignalHandler(func(ctx context.Context) error {
		p.handOver(ctx, n)
		return nil
	})
	return p.run()
}

// loadApplied reads the latest applied state. It returns nil for an empty disk.
func loadApplied(d *disk.Disk) (*coordinator.State, error) {
	var applied *coordinator.State
	err := d.Load(coordination.AppliedStream, func(r domain.Record) error {
		if state, ok := r.(*coordinator.State); ok {
			applied = state
		}
		return nil
	})
	return applied, err
}

// handOver transfers leadership. If the transfer succeeds, it waits until
// handOverTimeout has passed.
func (p *process) handOver(ctx context.Context, n *coordination.Node) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	if err := n.TransferLeadership(ctx); err != nil {
		p.log.Info("leadership was not handed over", "error", err.Error())
		return
	}
	<-ctx.Done()
}

// identity reads the identity of the disk. It creates one on an empty disk. On
// the first start of the system the seeds are the first voters.
func (p *process) identity(d *disk.Disk) (*coordinator.Identity, error) {
	var found *coordinator.Identity
	err := d.Load(identityStream, func(r domain.Record) error {
		if identity, ok := r.(*coordinator.Identity); ok {
			found = identity
		}
		return nil
	})
	if err != nil || found != nil {
		return found, err
	}
	created := &coordinator.Identity{VM: coordinator.NewVM(p.settings.CoordinatorAddress, p.startID)}
	if p.settings.FirstStart && slices.Contains(p.settings.Seeds, p.settings.CoordinatorAddress) {
		created.VM = coordinator.NewVM(p.settings.CoordinatorAddress, initialDiskID)
		for _, seed := range p.settings.Seeds {
			created.Voters = append(created.Voters, coordinator.NewVM(seed, initialDiskID))
		}
	}
	p.log.Info("the disk is empty; an identity is created", "vm", created.VM, "voters", created.Voters)
	return created, appendAndWait(d, identityStream, created)
}
