// Command mangoknot-emulator runs stand-in model engines and tool services on
// loopback addresses.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/oklog/run"

	"github.com/mangoknot/mangoknot/emulator/engine"
	"github.com/mangoknot/mangoknot/emulator/tool"
)

// settings are the options of the command line.
type settings struct {
	Engine        []string      `arg:"--engine,separate" placeholder:"IP:PORT" help:"run an engine on this loopback address; repeatable"`
	Tool          []string      `arg:"--tool,separate" placeholder:"IP:PORT" help:"run a tool service on this loopback address; repeatable"`
	Model         []string      `arg:"--model,separate" help:"model that the engines have loaded; repeatable [default: model-a]"`
	MaxBatch      int           `arg:"--max-batch" default:"32" help:"calls that an engine runs at once"`
	Prefill       float64       `arg:"--prefill" default:"8000" help:"prompt tokens a second"`
	Decode        float64       `arg:"--decode" default:"60" help:"generated tokens a second in a batch of one"`
	Slowdown      float64       `arg:"--slowdown" default:"0.05" help:"relative cost that each further call adds to a step"`
	TimeScale     float64       `arg:"--time-scale" default:"1" help:"divides all simulated times"`
	CacheTokens   int           `arg:"--cache-tokens" default:"262144" help:"size of the prefix cache"`
	AnswerTokens  int           `arg:"--answer-tokens" default:"64" help:"longest answer of a request without a limit"`
	LoadLag       time.Duration `arg:"--load-lag" default:"1s" help:"age of load reports"`
	EventDelay    time.Duration `arg:"--event-delay" default:"500ms" help:"delay of cache events"`
	EventGap      int           `arg:"--event-gap" default:"0" help:"drop each cache event whose number is a multiple of this; 0 drops none"`
	IgnoreFencing bool          `arg:"--ignore-fencing" help:"obey orders with an old fencing number"`
}

func (s settings) engineSettings() engine.Settings {
	return engine.Settings{
		Models: s.Model, MaxBatch: s.MaxBatch, PrefillPerSecond: s.Prefill, DecodePerSecond: s.Decode,
		Slowdown: s.Slowdown, TimeScale: s.TimeScale, CacheTokens: s.CacheTokens, AnswerTokens: s.AnswerTokens,
		LoadLag: s.LoadLag, EventDelay: s.EventDelay, DropEventEvery: s.EventGap, IgnoreFencing: s.IgnoreFencing,
	}
}

// server is implemented by the stand-in engine and the stand-in tool service.
type server interface {
	Start(net.Listener) error
	Close() error
}

func main() {
	var s settings
	arg.MustParse(&s)
	if err := serve(s); err != nil {
		fmt.Fprintf(os.Stderr, "mangoknot-emulator: %v\n", err)
		os.Exit(1)
	}
}

// serve runs the servers until SIGINT or SIGTERM, or until one of them fails.
func serve(s settings) error {
	if len(s.Engine)+len(s.Tool) == 0 {
		return errors.New("nothing to run; give --engine or --tool")
	}
	var group run.Group
	for _, address := range s.Engine {
		if err := addServer(&group, "engine", address, engine.New(s.engineSettings())); err != nil {
			return err
		}
	}
	for _, address := range s.Tool {
		if err := addServer(&group, "tool", address, tool.New()); err != nil {
			return err
		}
	}
	group.Add(run.SignalHandler(context.Background(), os.Interrupt, syscall.SIGTERM))
	if err := group.Run(); !errors.Is(err, run.ErrSignal) {
		return err
	}
	return nil
}

// addServer opens a listener on a loopback address and adds the server to the
// group. It prints the actual address, because port 0 selects a free port.
func addServer(group *run.Group, kind, address string, srv server) error {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || !parsed.Addr().IsLoopback() {
		return fmt.Errorf("%s address %q is not a numeric loopback address and port", kind, address)
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("%s: %w", kind, err)
	}
	fmt.Printf("%s %s\n", kind, listener.Addr())
	group.Add(func() error { return srv.Start(listener) }, func(error) { _ = srv.Close() })
	return nil
}
