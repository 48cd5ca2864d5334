// Package daemon wires the adapters to a node. cmd/mangoknotd runs one daemon;
// tests start several in one process.
package daemon

import (
	"crypto/tls"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/mangoknot/mangoknot/adapter/certs"
	"github.com/mangoknot/mangoknot/adapter/codec"
	"github.com/mangoknot/mangoknot/adapter/disk"
	"github.com/mangoknot/mangoknot/adapter/history"
	"github.com/mangoknot/mangoknot/adapter/httpapi"
	"github.com/mangoknot/mangoknot/adapter/listener"
	"github.com/mangoknot/mangoknot/adapter/logging"
	"github.com/mangoknot/mangoknot/adapter/metrics"
	"github.com/mangoknot/mangoknot/adapter/operatorapi"
	"github.com/mangoknot/mangoknot/adapter/peer"
	"github.com/mangoknot/mangoknot/adapter/systemclock"
	"github.com/mangoknot/mangoknot/adapter/target"
	"github.com/mangoknot/mangoknot/adapter/vmlist"
	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/controller"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/schedule"
	"github.com/mangoknot/mangoknot/internal/settings"
	"github.com/mangoknot/mangoknot/node"
	"github.com/mangoknot/mangoknot/port"
)

// Daemon is one VM with its adapters and listeners.
type Daemon struct {
	settings settings.Settings
	log      logr.Logger
	Node     *node.Node
	Metrics  *metrics.Metrics

	experiment Experiment

	disk    *disk.Disk
	client  *peer.Client
	targets *target.Client
	vmList  port.VMList
	grpc    *grpc.Server

	callers   *http.Server
	operators *http.Server

	listeners Listeners
	// bounded are the listeners with their bounds.
	bounded boundedListeners
}

// Listeners are the open sockets of a VM.
type Listeners struct {
	Callers   net.Listener
	Operators net.Listener
	Peers     net.Listener
}

// New opens the listeners, loads the durable state and wires the adapters. The
// settings must be valid according to Settings.Check.
func New(s settings.Settings, log logr.Logger) (*Daemon, error) {
	listeners, err := Listen(s)
	if err != nil {
		return nil, err
	}
	return NewWithListeners(s, listeners, log, Experiment{})
}

// Experiment holds options that are only for measurements and therefore not in the
// settings.
type Experiment struct {
	// Policy replaces the scheduling policy with a baseline.
	Policy schedule.Policy
}

// NewWithListeners is New with open listeners, so that the settings of several
// VMs can name ports that the operating system chose. It closes the listeners
// when it fails.
func NewWithListeners(s settings.Settings, listeners Listeners, log logr.Logger, experiment Experiment) (*Daemon, error) {
	d := &Daemon{settings: s, log: log, Metrics: metrics.New(), listeners: listeners, experiment: experiment}
	if err := d.wire(); err != nil {
		listeners.close()
		return nil, err
	}
	return d, nil
}

// Listen opens the listeners at the addresses in the settings.
func Listen(s settings.Settings) (Listeners, error) {
	var out Listeners
	for _, l := range []struct {
		address  string
		listener *net.Listener
	}{
		{s.Listen, &out.Callers},
		{s.OperatorListen, &out.Operators},
		{s.PeerListen, &out.Peers},
	} {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			out.close()
			return Listeners{}, fmt.Errorf("daemon: listen on %s (choose a free port of this VM): %w", l.address, err)
		}
		*l.listener = listener
	}
	return out, nil
}

func (l Listeners) close() {
	for _, listener := range []net.Listener{l.Callers, l.Operators, l.Peers} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// CallerAddress returns the listen address for callers. It differs from the
// settings when their port is 0.
func (d *Daemon) CallerAddress() string { return d.listeners.Callers.Addr().String() }

// OperatorAddress returns the listen address for operators.
func (d *Daemon) OperatorAddress() string { return d.listeners.Operators.Addr().String() }

// PeerAddress returns the listen address for the other VMs.
func (d *Daemon) PeerAddress() string { return d.listeners.Peers.Addr().String() }

func (d *Daemon) wire() error {
	c, err := codec.New(controller.Messages(), controller.Records())
	if err != nil {
		return err
	}
	security, err := d.security()
	if err != nil {
		return err
	}
	store, err := d.openStorage(c)
	if err != nil {
		return err
	}
	restored, err := load(d.disk)
	if err != nil {
		return err
	}
	part := func(name string) logr.Logger { return logging.Part(d.log, name) }
	d.client = peer.NewClient(domain.VM(d.settings.VM), c, security.client, part("peer"), d.Metrics.MessageDropped)
	lookup := func(name domain.Target) *config.TargetSpec { return d.Node.View().Target(name) }
	d.targets = target.New(target.Settings{}, lookup, part("target"))
	clock := systemclock.Clock{}
	ctrl := controller.New(d.controllerConfig(clock), restored, clock.Now())
	d.Node = node.New(node.Config{
		VM: domain.VM(d.settings.VM), DataCentre: domain.DataCentre(d.settings.DataCentre), Region: domain.Region(d.settings.Region),
		MaxAnswerBytes: httpapi.DefaultLimits().BodyBytes,
	}, node.Ports{
		Clock: clock, Disk: d.disk, Peers: d.client, Transfer: d.client, History: store,
		Targets: d.targets, Orders: d.targets, Signals: d.targets, Metrics: d.Metrics,
	}, ctrl, d.log)
	d.bound(security.operators != nil)
	limits := listener.GRPC(d.settings.HeadTime, d.settings.MaxServiceHeadBytes, d.settings.PeerIdleTime)
	d.grpc = peer.NewServer(c, d.Node, store, part("peer")).GRPC(append(limits, grpc.Creds(security.server))...)
	if d.settings.VMList != "" {
		d.vmList = vmlist.File{Path: d.settings.VMList, Interval: d.settings.VMListInterval, Log: part("vmlist")}
	}
	return d.frontEnds(security, part)
}

func (d *Daemon) frontEnds(security security, part func(string) logr.Logger) error {
	operators, err := d.loadOperators()
	if err != nil {
		return err
	}
	d.callers = httpapi.New(d.Node, httpapi.DefaultLimits(), part("callers")).Server(d.Metrics.Handler())
	d.operators = operatorapi.New(d.Node, operators, part("operators")).Server()
	d.operators.TLSConfig = security.operators
	d.bounded.callers.Attach(d.callers)
	d.bounded.operators.Attach(d.operators)
	return nil
}

func (d *Daemon) loadOperators() (operatorapi.Operators, error) {
	if d.settings.OperatorsFile == "" {
		return operatorapi.Operators{}, nil
	}
	f, err := os.Open(d.settings.OperatorsFile)
	if err != nil {
		return nil, fmt.Errorf("daemon: open the operators file (set --operators-file to a readable file): %w", err)
	}
	defer f.Close()
	return operatorapi.ParseOperators(f)
}

func (d *Daemon) controllerConfig(clock port.Clock) controller.Config {
	s := d.settings
	// Settings.Check has parsed both lists, so there are no errors here.
	voters, _ := settings.ParsePeers("voters", s.Voters)
	seeds, _ := settings.ParsePeers("join", s.Join)
	maps.Copy(seeds, voters)
	address := s.AdvertisedPeerAddress()
	if s.PeerAddress == "" {
		address = d.PeerAddress()
	}
	return controller.Config{
		VM:               domain.VM(s.VM),
		DataCentre:       domain.DataCentre(s.DataCentre),
		Region:           domain.Region(s.Region),
		PeerAddress:      address,
		HasDisk:          s.DataDir != "" || s.Dev,
		Incarnation:      uint64(clock.Now().UnixNano()),
		Voters:           slices.Sorted(maps.Keys(voters)),
		Seeds:            seeds,
		Homes:            settings.ParseDataCentres(s.Homes),
		RefuseWhenCutOff: s.CutOffKeys == "refuse",
		Rand:             rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Policy:           d.experiment.Policy,
	}
}

// openStorage opens the data folder. On a VM without a disk it uses memory.
func (d *Daemon) openStorage(c *codec.Codec) (port.HistoryStore, error) {
	if d.settings.DataDir == "" {
		d.disk = disk.NewMemory(0)
		return history.NewMemory(), nil
	}
	folder := filepath.Join(d.settings.DataDir, "records")
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, fmt.Errorf("daemon: create the data folder (set --data-dir to a writable folder): %w", err)
	}
	d.disk = disk.New(folder, c, 0)
	return history.Open(filepath.Join(d.settings.DataDir, "history"))
}

// load reads the durable state of an earlier run.
func load(store port.Disk) (controller.Restored, error) {
	var out controller.Restored
	err := store.Load(string(controller.StreamRaft), out.Raft.Apply)
	if err != nil {
		return out, fmt.Errorf("daemon: load the configuration log: %w", err)
	}
	err = store.Load(string(controller.StreamShards), func(r domain.Record) error {
		out.Shards = append(out.Shards, r)
		return nil
	})
	if err != nil {
		return out, fmt.Errorf("daemon: load the shards: %w", err)
	}
	err = store.Load(string(controller.StreamKeys), func(r domain.Record) error {
		if key, ok := r.(*controller.WithdrawnKey); ok {
			out.Withdrawn = append(out.Withdrawn, key.Key)
		}
		return nil
	})
	if err != nil {
		return out, fmt.Errorf("daemon: load the withdrawn keys: %w", err)
	}
	return out, nil
}

// security holds the transport credentials of the listeners and clients.
type security struct {
	client    credentials.TransportCredentials
	server    credentials.TransportCredentials
	operators *tls.Config
}

func (d *Daemon) security() (security, error) {
	s := d.settings
	if s.Insecure || s.Dev {
		return security{client: insecure.NewCredentials(), server: insecure.NewCredentials()}, nil
	}
	loader, err := certs.NewLoader(certs.Files{Certificate: s.TLSCert, Key: s.TLSKey, Authority: s.TLSCA}, time.Now)
	if err != nil {
		return security{}, err
	}
	return security{
		client:    credentials.NewTLS(loader.Client()),
		server:    credentials.NewTLS(loader.Server()),
		operators: loader.Server(),
	}, nil
}

// ErrDrained is the result of the actors after a planned stop.
var ErrDrained = errors.New("the planned stop is complete")

// Close closes the clients and the disk, which the actors do not close.
func (d *Daemon) Close() {
	d.client.Close()
	d.targets.Close()
	if err := d.disk.Close(); err != nil {
		d.log.Error(err, "the disk was not closed cleanly")
	}
}
