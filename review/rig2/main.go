// Command rig2 plays the scripted cases of the second review. It starts the roles of the deploy
// file as processes on loopback addresses, plays the platform, the operator, the workers and the
// clients, and checks one rule from what they see.
//
// It exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run. TROUBLE=0
// leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime/debug"
	"syscall"
	"time"
)

// maxRuntime ends a case that does not end by itself.
const maxRuntime = 115 * time.Second

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases maps the name of a case to its function, which returns an exit code.
var cases = map[string]func(*rig) int{
	"restart-memory": restartMemory,
	"retention":      retention,
	"same-input":     sameInput,
	"lost-seat":      lostSeat,
	"last-turn":      lastTurn,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// notRun is the value of a panic that ends a case which cannot run.
type notRun string

func play(run func(*rig) int, recordPath string) (code int) {
	record, err := os.Create(filepath.Clean(recordPath))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.Close()
	r, err := newRig(record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.stopAll()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	ended := make(chan int, 1)
	go func() {
		defer func() {
			if reason := recover(); reason != nil {
				r.note("the case could not run: %v", reason)
				if _, ok := reason.(notRun); !ok {
					r.note("%s", debug.Stack())
				}
				ended <- exitNotRun
			}
		}()
		ended <- run(r)
	}()
	select {
	case code = <-ended:
	case <-stop:
		code = exitNotRun
	case <-time.After(maxRuntime):
		r.note("the case did not end within %v", maxRuntime)
		code = exitNotRun
	}
	r.note("result: %s", map[int]string{exitHeld: "the rule held", exitBroken: "the rule was broken", exitNotRun: "the case could not run"}[code])
	return code
}
