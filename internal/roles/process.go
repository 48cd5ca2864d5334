// Package roles wires the adapters of each role of the system on the users'
// platform: gateway, storage and coordinator.
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
	"github.com/mangoknot/mangoknot/adapter/logging"
	"github.com/mangoknot/mangoknot/adapter/rpc"
	"github.com/mangoknot/mangoknot/adapter/systemclock"
	"github.com/mangoknot/mangoknot/core/coordinator"
	"github.com/mangoknot/mangoknot/core/raft"
	"github.com/mangoknot/mangoknot/core/turnstore"
	"github.com/mangoknot/mangoknot/platform"
	"github.com/mangoknot/mangoknot/port"
)

const (
	// memoryLimitPercent is the part of the VM's memory at which the collector
	// works harder. The rest is for buffers of the kernel and for stacks.
	memoryLimitPercent = 60
	// gcPercent is the growth of the heap between two collections. Memory
	// is dearer than processor time on small VMs.
	gcPercent   = 60
	bytesPerMiB = 1 << 20
)

// Options are the settings that the platform does not know.
type Options struct {
	// MetricsPort is the port of the metrics on the VM's address; 0 shows none.
	MetricsPort int
}

// process is what all roles share.
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
	// current holds the newest settings. Only the seeds change while a process
	// runs; everything else needs a restart.
	current      atomic.Pointer[platform.Settings]
	settingsPath string
	// startID is unique for each startID of the process.
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
		slices.Concat(raft.Messages(), coordinator.Messages(), turnstore.Messages()),
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
	p.log.Info("starts", "vm", settings.Name, "data_centre", settings.DataCentre, "first_start", settings.FirstStart, "process", p.startID)
	return p, nil
}

func (p *process) seeds() []string { return p.current.Load().Seeds }

// reloadInterval is the time between two reads of the settings. The file may
// change without a signal.
const reloadInterval = 3 * time.Second

// reload reads the settings again on SIGHUP and from time to time.
func (p *process) reload(ctx context.Context) error {
	changed := make(chan os.Signal, 1)
	signal.Notify(changed, syscall.SIGHUP)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
			p.log.Info("SIGHUP: reads the settings again")
		case <-time.After(reloadInterval):
		}
		settings, err := platform.ReadSettings(p.settingsPath)
		if err != nil {
			p.log.Error(err, "the settings were not reloaded; the earlier ones stay in use")
			continue
		}
		if !slices.Equal(settings.Seeds, p.seeds()) {
			p.log.Info("the settings name other seeds", "seeds", settings.Seeds)
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

// run starts the actors and ends with the first one.
func (p *process) run() error {
	written := make(chan struct{})
	go func() { p.logOutput.Run(); close(written) }()
	err := p.group.Run()
	p.log.Info("stops", "cause", fmt.Sprint(err))
	p.rpcClient.Close()
	p.logOutput.Close()
	<-written
	if errors.Is(err, errSignal) {
		return nil
	}
	return err
}

// addActor adds an actor that ends with its context.
func (p *process) addActor(f func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	p.group.Add(func() error { return f(ctx) }, func(error) { cancel() })
}

// addGRPC serves other processes.
func (p *process) addGRPC(address string, handler port.RPCHandler) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return fmt.Errorf("roles: listen for other processes: %w", err)
	}
	server := rpc.NewServer(p.codec, handler)
	p.group.Add(func() error { return serveGRPC(server, listener) }, func(error) { server.Stop() })
	return nil
}

func serveGRPC(s *grpc.Server, l net.Listener) error { return s.Serve(l) }

// httpShutdownTimeout bounds the end of a server that only answers short requests.
const httpShutdownTimeout = 500 * time.Millisecond

// addHTTP serves short requests.
func (p *process) addHTTP(address string, h http.Handler) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return fmt.Errorf("roles: listen on %s: %w", address, err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	p.group.Add(func() error { return server.Serve(listener) }, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), httpShutdownTimeout)
		defer cancel()
		if err := server.Shutdown(ctx); err != nil {
			server.Close()
		}
	})
	return nil
}

// headerTimeout bounds how long a caller of a short request may take to send it.
const headerTimeout = 5 * time.Second
