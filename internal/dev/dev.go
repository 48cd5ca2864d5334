// Package dev sets up a single VM on loopback with a stand-in engine and tool
// service, a client account, a key and a budget, so that one command is enough
// to try the system.
package dev

import (
	"cmp"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"github.com/oklog/run"

	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/emulator/engine"
	"github.com/mangoknot/mangoknot/emulator/tool"
	"github.com/mangoknot/mangoknot/internal/daemon"
	"github.com/mangoknot/mangoknot/internal/keys"
	"github.com/mangoknot/mangoknot/internal/settings"
)

// Names of the objects that --dev creates.
const (
	vmName     = "dev"
	centreName = "local"
	modelName  = "model-a"
	account    = "demo"
)

// setupTimeout bounds the time until the VM has elected itself leader and has the
// objects.
const setupTimeout = 30 * time.Second

// Complete sets the defaults of a single VM for the settings that are empty. It
// also sets the unready delay to 0, because there is no balancer.
func Complete(s *settings.Settings) {
	s.VM = cmp.Or(s.VM, vmName)
	s.DataCentre = cmp.Or(s.DataCentre, centreName)
	s.Region = cmp.Or(s.Region, centreName)
	s.Voters = cmp.Or(s.Voters, s.VM+"="+s.PeerListen)
	s.Homes = cmp.Or(s.Homes, s.DataCentre)
	s.UnreadyDelay = 0
}

// AddActors adds the stand-ins and the setup to the group. The setup prints the
// commands for a first call to out.
func AddActors(group *run.Group, d *daemon.Daemon, out io.Writer) error {
	engineListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("dev: %w", err)
	}
	toolListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("dev: %w", err)
	}
	model := engine.New(engine.Settings{Models: []string{modelName}})
	service := tool.New()
	group.Add(func() error { return model.Start(engineListener) }, func(error) { _ = model.Close() })
	group.Add(func() error { return service.Start(toolListener) }, func(error) { _ = service.Close() })
	ctx, cancel := context.WithCancel(context.Background())
	group.Add(func() error {
		if err := setUp(ctx, d, engineListener.Addr().String(), toolListener.Addr().String(), out); err != nil {
			return err
		}
		<-ctx.Done()
		return nil
	}, func(error) { cancel() })
	return nil
}

// setUp creates the objects and prints the commands for a first call.
func setUp(ctx context.Context, d *daemon.Daemon, engineAddress, toolAddress string, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, setupTimeout)
	defer cancel()
	key := keys.New()
	for i, command := range objects(engineAddress, toolAddress, key) {
		change := config.Change{Operation: domain.OperationID(fmt.Sprintf("dev-%s-%d", key[:8], i)), Operator: "dev", Command: command}
		if err := apply(ctx, d, change); err != nil {
			return fmt.Errorf("dev: %w", err)
		}
	}
	fmt.Fprint(out, usage(d.CallerAddress(), key))
	return nil
}

// apply repeats a change until it is accepted, because the VM may not have elected
// itself leader yet. It stops at a refusal with OutcomeNotRun and returns it.
func apply(ctx context.Context, d *daemon.Daemon, change config.Change) error {
	for {
		_, err := d.Node.Change(ctx, change)
		refusal, refused := domain.AsRefusal(err)
		if err == nil || refused && refusal.Outcome == domain.OutcomeNotRun || ctx.Err() != nil {
			return err
		}
	}
}

// objects returns the commands that create the demo configuration.
func objects(engineAddress, toolAddress, key string) []config.Command {
	return []config.Command{
		&config.PutModel{Model: config.ModelSpec{Name: modelName, PromptPrice: 1_000_000, CachedPrice: 250_000, GeneratedPrice: 4_000_000, MaxContext: 1_000_000}},
		&config.PutTarget{Target: config.TargetSpec{
			Name: "engine-1", Kind: config.TargetEngine, Address: engineAddress, DataCentre: centreName, Region: centreName,
			Models: []domain.ModelName{modelName}, Fencing: true, CacheTokens: 1 << 18, MaxBatch: 32,
		}},
		&config.PutTarget{Target: config.TargetSpec{
			Name: "tools-1", Kind: config.TargetService, Address: toolAddress, DataCentre: centreName, Region: centreName, MaxBatch: 32,
		}},
		&config.PutRoute{Route: config.RouteSpec{Name: "lookup", Repeatable: true, Timeout: 10 * time.Second, Targets: []domain.Target{"tools-1"}}},
		&config.PutRoute{Route: config.RouteSpec{Name: "payment", Timeout: 10 * time.Second, Price: 1_000, Targets: []domain.Target{"tools-1"}}},
		&config.PutRoute{Route: config.RouteSpec{Name: "status", Open: true, Repeatable: true, Timeout: 5 * time.Second, Targets: []domain.Target{"tools-1"}}},
		&config.PutAccount{Account: config.AccountSpec{
			Name: account, RatePerSecond: 20, Burst: 40, Weight: 1, MonthlyBudget: 100_000_000, ProgramBudget: 2_000_000,
		}},
		&config.PutKey{Key: config.KeySpec{ID: config.KeyID("demo-" + key[3:9]), Hash: sha256.Sum256([]byte(key)), Account: account}},
	}
}

func usage(address, key string) string {
	lines := []string{
		"export MANGOKNOT_KEY=" + key,
		"curl -N http://" + address + `/v1/chat/completions -H "Authorization: Bearer $MANGOKNOT_KEY" -H "Mangoknot-Program: first" -d '{"model":"` + modelName + `","stream":true,"messages":[{"role":"user","content":"hello"}]}'`,
	}
	return "The VM is ready. Paste these lines to get a streamed answer:\n" + strings.Join(lines, "\n") + "\n"
}
