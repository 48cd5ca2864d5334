// Command mangoknot-load runs agent programs against entry VMs and checks the
// guarantees that a caller can observe.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
)

// arguments are the subcommands of the command line.
type arguments struct {
	Run     *runCommand     `arg:"subcommand:run" help:"run the programs of a file"`
	Stream  *streamCommand  `arg:"subcommand:stream" help:"hold one long stream and print how it ended"`
	Refused *refusedCommand `arg:"subcommand:refused" help:"wait until every VM refuses a key"`
	Ready   *readyCommand   `arg:"subcommand:ready" help:"wait until every VM is ready"`
	Ports   *portsCommand   `arg:"subcommand:ports" help:"print free loopback ports"`
}

// Description returns the text above the help text.
func (arguments) Description() string {
	return "mangoknot-load runs agent programs against mangoknot.\nExit codes: 0 done, 1 failed, 2 wrong usage, 3 a promise was seen broken."
}

// errGuaranteeViolated reports that at least one guarantee was violated.
var errGuaranteeViolated = errors.New("a promise was seen broken")

// Exit codes.
const (
	exitFailed    = 1
	exitUsage     = 2
	exitViolation = 3
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := execute(ctx)
	stop()
	switch {
	case errors.Is(err, errGuaranteeViolated):
		fmt.Fprintln(os.Stderr, "mangoknot-load:", err)
		os.Exit(exitViolation)
	case err != nil:
		fmt.Fprintln(os.Stderr, "mangoknot-load:", err)
		os.Exit(exitFailed)
	}
}

func execute(ctx context.Context) error {
	var a arguments
	parser := arg.MustParse(&a)
	switch {
	case a.Run != nil:
		return a.Run.execute(ctx)
	case a.Stream != nil:
		return a.Stream.execute(ctx)
	case a.Refused != nil:
		return a.Refused.execute(ctx)
	case a.Ready != nil:
		return a.Ready.execute(ctx)
	case a.Ports != nil:
		return a.Ports.execute()
	}
	parser.WriteHelp(os.Stderr)
	os.Exit(exitUsage)
	return nil
}
