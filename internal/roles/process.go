// Package roles wires the adapters of the roles of the system on a users'
// platform: gateway, storage VM and coordinator.
package roles

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"math/big"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/oklog/run"
	"google.golang.org/grpc"

	"github.com/mangoknot/mangoknot/adapter/codec"
	"github.com/mangoknot/mangoknot/adapter/listener"
	"github.com/mangoknot/mangoknot/adapter/logging"
	"github.com/mangoknot/mangoknot/adapter/memory"
	"github.com/mangoknot/mangoknot/adapter/rpc"
	"github.com/mangoknot/mangoknot/adapter/systemclock"
	"github.com/mangoknot/mangoknot/core/connections"
	"github.com/mangoknot/mangoknot/core/coordinator"
	"github.com/mangoknot/mangoknot/core/origin"
	"github.com/mangoknot/mangoknot/core/raft"
	"github.com/mangoknot/mangoknot/core/reach"
	"github.com/mangoknot/mangoknot/core/turnstore"
	"github.com/mangoknot/mangoknot/platform"
	"github.com/mangoknot/mangoknot/port"
)

const (
	// memoryLimitPercent is the soft memory limit of the Go runtime, in percent of
	// the VM's memory. The rest is for kernel buffers and stacks.
	memoryLimitPercent = 60
	// gcPercent is the GOGC value: the growth of the heap in percent between two
	// collections. It is low because memory is scarcer than CPU time on small VMs.
	gcPercent   = 60
	bytesPerMiB = 1 << 20
)

// Options are the settings that the platform does not provide.
type Options struct {
	// MetricsPort is the port of the metrics on the VM's address; 0 disables them.
	MetricsPort int
	// Bounds are the bounds on connections and heads.
	Bounds Bounds
}

// process is the part that all roles share: settings, log, clients and actors.
type process struct {
	options   Options
	settings  *platform.Settings
	codec     *codec.Codec
	rpcClient *rpc.Client
	clock     port.Clock
	rand      *mathrand.Rand
	log       logr.Logger
	logOutput *logging.Async
	group     run.Group
	// current holds the latest settings. Only the seeds take effect while the
	// process runs; all other changes need a restart.
	current      atomic.Pointer[platform.Settings]
	settingsPath string
	// budget bounds the buffers and heads of all requests, totals the connections at each
	// address. The monitor is that of all listeners.
	budget  *memory.Budget
	totals  connections.Totals
	monitor *listener.Monitor
	// startID is unique for each start of the process.
	startID string
}

func newProcess(role string, o Options) (*process, error) {
	path, err := platform.SettingsPath()
	if err != nil {
		return nil, err
	}
	settings, err := platform.ReadSettings(path)
	if err != nil {
		return nil, err
	}
	if settings.MemoryMiB > 0 {
		debug.SetMemoryLimit(settings.MemoryMiB * bytesPerMiB * memoryLimitPercent / 100)
	}
	debug.SetGCPercent(gcPercent)
	c, err := codec.New(
		slices.Concat(raft.Messages(), coordinator.Messages(), turnstore.Messages(), origin.Messages(), reach.Messages()),
		slices.Concat(raft.Records(), coordinator.Records(), turnstore.Records()),
	)
	if err != nil {
		return nil, err
	}
	p := &process{options: o, settings: settings, codec: c, rpcClient: rpc.NewClient(c), clock: systemclock.Boot{}, logOutput: logging.NewAsync(os.Stdout)}
	root, err := logging.New(p.logOutput, logging.Options{Format: logging.FormatJSON})
	if err != nil {
		return nil, err
	}
	p.log = logging.Part(root, role)
	p.settingsPath = path
	p.current.Store(settings)
	p.addActor(p.reload)
	if p.startID, err = randomID(); err != nil {
		return nil, err
	}
	seed, err := rand.Int(rand.Reader, big.NewInt(1<<62))
	if err != nil {
		return nil, err
	}
	p.rand = mathrand.New(mathrand.NewPCG(seed.Uint64(), 0))
	if len(settings.OddSeeds) > 0 {
		p.log.Info("some seeds are no addresses and are not used; check the settings", "seeds", settings.OddSeeds)
	}
	p.log.Info("the process is starting", "vm", settings.Name, "data_centre", settings.DataCentre, "first_start", settings.FirstStart, "process", p.startID)
	return p, nil
}

func (p *process) seeds() []string { return p.current.Load().Seeds }

// reloadInterval is the time between two reads of the settings. They are read
// periodically because the file may change without a signal.
const reloadInterval = 3 * time.Second

// reload reads the settings on SIGHUP and every reloadInterval.
func (p *process) reload(ctx context.Context) error {
	changed := make(chan os.Signal, 1)
	signal.Notify(changed, syscall.SIGHUP)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
			p.log.Info("SIGHUP received; reloading the settings")
		case <-time.After(reloadInterval):
		}
		settings, err := platform.ReadSettings(p.settingsPath)
		if err != nil {
			p.log.Error(err, "the settings could not be reloaded; the previous ones stay in use")
			continue
		}
		if !slices.Equal(settings.Seeds, p.seeds()) {
			p.log.Info("the seeds in the settings have changed", "seeds", settings.Seeds)
		}
		p.current.Store(settings)
	}
}

func randomID() (string, error) {
	var b [6]byte
	if _, err := rand.Read(b[:]); err != nil {
		return "", fmt.Errorf("roles: random name: %w", err)
	}
	return hex.EncodeToString(b[:]), nil
}

// run starts the actors and stops all of them when the first one ends. A stop by
// a signal is not an error.
func (p *process) run() error {
	written := make(chan struct{})
	go func() { p.logOutput.Run(); close(written) }()
	err := p.group.Run()
	p.log.Info("the process is stopping", "cause", fmt.Sprint(err))
	p.rpcClient.Close()
	p.logOutput.Close()
	<-written
	if errors.Is(err, errSignal) {
		return nil
	}
	return err
}

// addActor adds an actor that is stopped by its context.
func (p *process) addActor(f func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	p.group.Add(func() error { return f(ctx) }, func(error) { cancel() })
}

// addGRPC serves RPCs of other processes.
func (p *process) addGRPC(address string, handler port.RPCHandler) error {
	l, err := p.listenForPeers("peers", address, listener.Stream)
	if err != nil {
		return err
	}
	server := rpc.NewServer(p.codec, handler, p.log, peerLimits(p.options.Bounds)...)
	p.group.Add(func() error { return serveGRPC(server, l) }, func(error) { server.Stop() })
	return nil
}

func serveGRPC(s *grpc.Server, l net.Listener) error { return s.Serve(l) }

// httpShutdownTimeout bounds the shutdown of a server that only answers short
// requests.
const httpShutdownTimeout = 500 * time.Millisecond

// addHTTP serves short HTTP requests.
func (p *process) addHTTP(name, address string, h http.Handler) error {
	l, err := p.listenForService(name, address)
	if err != nil {
		return err
	}
	server := serviceServer(h, p.options.Bounds)
	l.Attach(server)
	p.group.Add(func() error { return server.Serve(l) }, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), httpShutdownTimeout)
		defer cancel()
		if err := server.Shutdown(ctx); err != nil {
			server.Close()
		}
	})
	return nil
}
