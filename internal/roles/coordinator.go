package roles

import (
	"context"
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/adapter/disk"
	"github.com/mangoknot/mangoknot/core/coordinator"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/raft"
	"github.com/mangoknot/mangoknot/node/coordination"
	"github.com/mangoknot/mangoknot/platform"
)

const (
	// identityStream holds the identity of a coordinator's disk.
	identityStream = "identity"
	// firstDisk is the disk part of the first voters' identities, which all of
	// them have to know before they have talked to each other.
	firstDisk = "first"
	// electionTimeout is the silence after which a follower asks for votes. It
	// exceeds several heartbeats over the longest link.
	electionTimeout = 500 * time.Millisecond
	heartbeat       = 80 * time.Millisecond
	// handOverTime is the time for which a stopping leader stays, so that its
	// successor is elected before it is gone.
	handOverTime = 400 * time.Millisecond
)

// Coordinator runs the role that agrees on the configuration.
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
	metrics := newEvents("mangoknot_coordinator_events_total", "Changes of belief, by kind.")
	n := coordination.New(coordination.Options{
		Config: coordinator.Config{
			Self: identity.VM, Voters: identity.Voters, Tolerance: p.settings.Tolerance,
			ElectionTimeout: electionTimeout, Heartbeat: heartbeat, Applied: applied, Rand: p.rand,
		},
		Restored: restored, Disk: d, Calls: p.calls, Targets: platform.NewLister(p.settings),
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
	operator, err := platform.NewOperator(n, p.settings.OperatorAddress, p.log)
	if err != nil {
		return err
	}
	if err := p.addHTTP(p.settings.OperatorAddress, operator); err != nil {
		return err
	}
	p.addSignals(func(ctx context.Context) error {
		p.handOver(ctx, n)
		return nil
	})
	return p.run()
}

// loadApplied reads the newest decided state, or nil from an empty disk.
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

func (p *process) handOver(ctx context.Context, n *coordination.Node) {
	ctx, cancel := context.WithTimeout(ctx, handOverTime)
	defer cancel()
	if err := n.TransferLeadership(ctx); err != nil {
		p.log.Info("leadership was not handed over", "error", err.Error())
		return
	}
	<-ctx.Done()
}

// identity reads the identity of the disk, or gives one to an empty disk. On the
// first start of the system the seeds are the first voters.
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
	made := &coordinator.Identity{VM: coordinator.NewVM(p.settings.CoordinatorAddress, p.start)}
	if p.settings.FirstStart && slices.Contains(p.settings.Seeds, p.settings.CoordinatorAddress) {
		made.VM = coordinator.NewVM(p.settings.CoordinatorAddress, firstDisk)
		for _, seed := range p.settings.Seeds {
			made.Voters = append(made.Voters, coordinator.NewVM(seed, firstDisk))
		}
	}
	p.log.Info("the disk is empty; it gets an identity", "vm", made.VM, "voters", made.Voters)
	return made, appendWait(d, identityStream, made)
}
