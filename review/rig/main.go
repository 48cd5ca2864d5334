// Command rig plays one case of the review against the processes of the project. It starts
// them with the commands of deploy/system.toml on loopback addresses, plays the platform, the
// workers, the operator and the clients, and checks one rule.
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not
// run. With TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases maps the names of the cases to their functions. A case returns errBroken if the rule
// was broken, and another error if it could not run.
var cases = map[string]func(*run) error{
	"retire": playRetire,
	"chain":  playChain,
}

// errBroken means that the rule of the case was broken.
var errBroken = errors.New("the rule was broken")

// run is one run of a case.
type run struct {
	*record
	fleet *fleet
	// trouble reports whether the disruption takes place.
	trouble bool
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// play runs one case, writes record.txt into the folder, and returns the exit code.
func play(playCase func(*run) error, folder string) int {
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	f, err := newFleet(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer f.stop()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, os.Interrupt)
	ended := make(chan error, 1)
	go func() { ended <- playCase(&run{record: rec, fleet: f, trouble: os.Getenv("TROUBLE") != "0"}) }()
	select {
	case err = <-ended:
	case s := <-interrupted:
		err = fmt.Errorf("the case was interrupted by %s", s)
	}
	switch {
	case err == nil:
		rec.printf("RESULT: the rule held")
		return exitHeld
	case errors.Is(err, errBroken):
		rec.printf("RESULT: %v", err)
		return exitBroken
	default:
		rec.printf("RESULT: the case could not run: %v", err)
		return exitNotRun
	}
}
