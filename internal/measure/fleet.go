package measure

import (
	"context"
	"crypto/sha256"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/go-logr/logr"
	"github.com/oklog/run"

	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/schedule"
	"github.com/mangoknot/mangoknot/emulator/engine"
	"github.com/mangoknot/mangoknot/emulator/tool"
	"github.com/mangoknot/mangoknot/internal/daemon"
	"github.com/mangoknot/mangoknot/internal/keys"
	"github.com/mangoknot/mangoknot/internal/settings"
)

// Topology of the fleet: 2 VMs in each data centre. The first VM of each is a
// voter and has a data folder.
var (
	centres = []domain.DataCentre{"dc-1", "dc-2", "dc-3"}
	regions = map[domain.DataCentre]domain.Region{"dc-1": "r-1", "dc-2": "r-1", "dc-3": "r-2"}
)

const (
	vmsPerCentre = 2
	modelName    = "model-a"
	routeName    = "lookup"
	setupTimeout = 30 * time.Second
	pollInterval = 50 * time.Millisecond
	// firstPermitDelay covers the first term of the window managers, in which they
	// grant no permits.
	firstPermitDelay = 3500 * time.Millisecond
)

// fleet is a running system with its stand-in engines and tool services.
type fleet struct {
	folder  string
	daemons []*daemon.Daemon
	engines []*engine.Engine
	tools   []*tool.Service
	keys    []string
	stop    context.CancelFunc
	ended   chan error
}

// startFleet starts the daemons, engines and services, and waits until the fleet
// can serve calls. The rate limits of accounts fit an offered rate in programs a
// second.
func startFleet(ctx context.Context, policy schedule.Policy, rate float64) (*fleet, error) {
	folder, err := os.MkdirTemp("", "measure-")
	if err != nil {
		return nil, fmt.Errorf("measure: create a data folder for the voters: %w", err)
	}
	f := &fleet{folder: folder, ended: make(chan error, 2)}
	commands, err := f.startTargets()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, setupTimeout)
	defer cancel()
	if err := f.startDaemons(ctx, policy); err != nil {
		return nil, err
	}
	commands = append(commands, f.accountCommands(rate)...)
	for i, command := range commands {
		if err := f.apply(ctx, i, command); err != nil {
			f.close()
			return nil, fmt.Errorf("measure: configure the fleet: %w", err)
		}
	}
	if err := f.waitReady(ctx); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

// startTargets starts the engines and tool services and returns the commands that
// configure the model, the targets and the route.
func (f *fleet) startTargets() ([]config.Command, error) {
	commands := []config.Command{&config.PutModel{Model: config.ModelSpec{
		Name: modelName, PromptPrice: 1_000, CachedPrice: 250, GeneratedPrice: 4_000, MaxContext: 1_000_000,
	}}}
	for i := range engineCount {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		e := engine.New(engine.Settings{
			Models: []string{modelName}, MaxBatch: maxBatch, PrefillPerSecond: prefillPerSecond, DecodePerSecond: decodePerSecond,
			TimeScale: TimeScale, CacheTokens: cacheTokens, AnswerTokens: 4 * meanAnswerTokens, LoadLag: time.Second / TimeScale, EventDelay: time.Second / TimeScale,
		})
		go e.Start(l) //nolint:errcheck // an engine that fails shows up as refused calls
		f.engines = append(f.engines, e)
		dc := centres[i%len(centres)]
		commands = append(commands, &config.PutTarget{Target: config.TargetSpec{
			Name: domain.Target(fmt.Sprintf("engine-%d", i)), Kind: config.TargetEngine, Address: l.Addr().String(), DataCentre: dc, Region: regions[dc],
			Models: []domain.ModelName{modelName}, Fencing: true, CacheTokens: cacheTokens, MaxBatch: maxBatch,
		}})
	}
	route := config.RouteSpec{Name: routeName, Repeatable: true, Timeout: 10 * time.Second}
	for i := range serviceCount {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		s := tool.New()
		s.Inject(tool.Fault{DelayMillis: 20})
		go s.Start(l) //nolint:errcheck // as for engines
		f.tools = append(f.tools, s)
		dc := centres[i%len(centres)]
		name := domain.Target(fmt.Sprintf("tools-%d", i))
		route.Targets = append(route.Targets, name)
		commands = append(commands, &config.PutTarget{Target: config.TargetSpec{
			Name: name, Kind: config.TargetService, Address: l.Addr().String(), DataCentre: dc, Region: regions[dc], MaxBatch: 64,
		}})
	}
	return append(commands, &config.PutRoute{Route: route}), nil
}

// accountCommands returns the commands that create the accounts and their keys.
// The rate limit of an account exceeds its part of the offered programs, so that
// only the noisy account is limited.
func (f *fleet) accountCommands(rate float64) (out []config.Command) {
	for i, part := range accountShares {
		key := keys.New()
		f.keys = append(f.keys, key)
		name := accountName(i)
		requests := max(requestRate(rate, i), 2)
		out = append(out,
			&config.PutAccount{Account: config.AccountSpec{
				Name: name, RatePerSecond: requests, Burst: rateBurst(requests), Weight: part,
				MonthlyBudget: 1e15, ProgramBudget: 1e12,
			}},
			&config.PutKey{Key: config.KeySpec{ID: config.KeyID("key-" + string(name)), Hash: sha256.Sum256([]byte(key)), Account: name}},
		)
	}
	return out
}

// anyPort makes the operating system choose a free loopback port.
const anyPort = "127.0.0.1:0"

func accountName(i int) domain.Account { return domain.Account(fmt.Sprintf("account-%d", i)) }

// startDaemons starts the daemons of all VMs, the voters first.
func (f *fleet) startDaemons(ctx context.Context, policy schedule.Policy) error {
	type place struct {
		name      string
		listeners daemon.Listeners
		dc        domain.DataCentre
		voter     bool
	}
	var vms []place
	voterList := ""
	for i := range vmsPerCentre * len(centres) {
		// All listeners are opened before the first VM starts, so that no outgoing
		// connection takes one of the ports.
		listeners, err := daemon.Listen(settings.Settings{Listen: anyPort, OperatorListen: anyPort, PeerListen: anyPort})
		if err != nil {
			return err
		}
		p := place{fmt.Sprintf("vm-%d", i), listeners, centres[i%len(centres)], i < len(centres)}
		vms = append(vms, p)
		if p.voter {
			voterList += "," + p.name + "=" + listeners.Peers.Addr().String()
		}
	}
	var stopped context.Context
	stopped, f.stop = context.WithCancel(context.Background())
	// The voters start first, as when a new system is bootstrapped.
	for _, voters := range []bool{true, false} {
		var group run.Group
		group.Add(func() error { <-stopped.Done(); return nil }, func(error) { f.stop() })
		for _, p := range vms {
			if p.voter != voters {
				continue
			}
			s := settings.Settings{
				VM: p.name, DataCentre: string(p.dc), Region: string(regions[p.dc]), Listen: anyPort, OperatorListen: anyPort,
				PeerListen: p.listeners.Peers.Addr().String(), Voters: voterList[1:], Homes: "dc-1,dc-2,dc-3", Insecure: true, CutOffKeys: "serve", DrainDeadline: time.Second,
			}
			if p.voter {
				s.DataDir = filepath.Join(f.folder, p.name)
			}
			d, err := daemon.NewWithListeners(s, p.listeners, logr.Discard(), daemon.Experiment{Policy: policy})
			if err != nil {
				return err
			}
			d.AddActors(&group)
			f.daemons = append(f.daemons, d)
		}
		go func() { f.ended <- group.Run() }()
		if voters {
			for !f.daemons[0].Node.Ready() && sleep(ctx, pollInterval) {
			}
		}
	}
	return nil
}

// apply commits a configuration change. It retries until the voters have elected a
// leader, the change is rejected as a bad request or the context ends.
func (f *fleet) apply(ctx context.Context, number int, command config.Command) error {
	change := config.Change{Operation: domain.OperationID(fmt.Sprintf("measure-%d", number)), Operator: "measure", Command: command}
	for {
		_, err := f.daemons[0].Node.Change(ctx, change)
		refusal, refused := domain.AsRefusal(err)
		if err == nil || refused && refusal.Reason == domain.ReasonBadRequest || ctx.Err() != nil {
			return err
		}
		if !sleep(ctx, pollInterval) {
			return err
		}
	}
}

// waitReady waits until every VM is ready and knows all accounts. It then waits
// firstPermitDelay, after which the window managers grant permits.
func (f *fleet) waitReady(ctx context.Context) error {
	for _, d := range f.daemons {
		for !d.Node.Ready() || len(d.Node.View().Accounts()) < len(accountShares) {
			if !sleep(ctx, pollInterval) {
				return fmt.Errorf("measure: a VM is not ready after %s; the machine may be overloaded", setupTimeout)
			}
		}
	}
	sleep(ctx, firstPermitDelay)
	return nil
}

// closeTimeout limits the time to stop a fleet, so that an actor that does not
// stop cannot prevent the records from being written.
const closeTimeout = 15 * time.Second

// close stops the daemons, engines and services and removes the data folder. After
// closeTimeout it returns without the rest of the cleanup.
func (f *fleet) close() {
	f.stop()
	limit := time.NewTimer(closeTimeout)
	defer limit.Stop()
	for range 2 {
		select {
		case <-f.ended:
		case <-limit.C:
			return
		}
	}
	for _, e := range f.engines {
		_ = e.Close()
	}
	for _, t := range f.tools {
		_ = t.Close()
	}
	_ = os.RemoveAll(f.folder)
}

// sleep waits for d and reports whether it did so before the context ended.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
