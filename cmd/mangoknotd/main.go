// Command mangoknotd is the daemon of an entry VM. It reads the settings, connects
// the adapters to the node and runs the actors.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/oklog/run"

	"github.com/mangoknot/mangoknot/adapter/logging"
	"github.com/mangoknot/mangoknot/internal/daemon"
	"github.com/mangoknot/mangoknot/internal/dev"
	"github.com/mangoknot/mangoknot/internal/settings"
)

func main() {
	if err := serve(); err != nil {
		fmt.Fprintln(os.Stderr, "mangoknotd:", err)
		os.Exit(1)
	}
}

// serve runs the daemon until it is drained, a signal arrives or an actor fails.
func serve() error {
	var s settings.Settings
	arg.MustParse(&s)
	if s.Dev {
		dev.Complete(&s)
	}
	if err := s.Check(); err != nil {
		return err
	}
	if s.CheckConfig {
		fmt.Println("the settings are valid")
		return nil
	}
	log, err := logging.New(os.Stderr, logging.Options{Format: logging.Format(s.LogFormat), Verbosity: s.Verbosity})
	if err != nil {
		return err
	}
	d, err := daemon.New(s, log)
	if err != nil {
		return err
	}
	var group run.Group
	d.AddActors(&group)
	if s.Dev {
		if err := dev.AddActors(&group, d, os.Stdout); err != nil {
			return err
		}
	}
	group.Add(run.SignalHandler(context.Background(), os.Interrupt, syscall.SIGTERM))
	if err := group.Run(); !errors.Is(err, run.ErrSignal) && !errors.Is(err, daemon.ErrDrained) {
		return err
	}
	return nil
}
