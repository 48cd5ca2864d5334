// Command mangoknot-node runs one role of the system on the users' platform:
// gateway, storage or coordinator. It also checks a configuration before it is sent.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/alexflint/go-arg"

	"github.com/mangoknot/mangoknot/internal/configcheck"
	"github.com/mangoknot/mangoknot/internal/roles"
)

type arguments struct {
	MetricsPort int `arg:"--metrics-port,env:MANGOKNOT_METRICS_PORT" default:"9464" help:"port of the metrics; 0 shows none"`
	roles.Bounds
	Gateway     *struct{} `arg:"subcommand:gateway" help:"serve callers"`
	Storage     *struct{} `arg:"subcommand:storage" help:"keep turns and token budgets"`
	Coordinator *struct{} `arg:"subcommand:coordinator" help:"agree on the configuration"`
	CheckFile   *check    `arg:"subcommand:check" help:"check a configuration before it is sent"`
}

type check struct {
	File     string `arg:"positional,required" help:"the configuration"`
	InForce  string `arg:"--in-force" help:"configuration to compare with: a file, or http://HOST:PORT of a coordinator"`
	Settings string `arg:"--settings,env:MANGOKNOT_BOOT" help:"settings file of any VM, which lists the regions"`
}

func main() {
	var a arguments
	parser := arg.MustParse(&a)
	if err := serve(parser, a); err != nil {
		fmt.Fprintln(os.Stderr, "mangoknot-node:", err)
		os.Exit(1)
	}
}

// serve runs the selected role until it ends, or the check.
func serve(parser *arg.Parser, a arguments) error {
	if err := a.Bounds.Check(); err != nil {
		return err
	}
	options := roles.Options{MetricsPort: a.MetricsPort, Bounds: a.Bounds}
	switch {
	case a.Gateway != nil:
		return roles.Gateway(options)
	case a.Storage != nil:
		return roles.Storage(options)
	case a.Coordinator != nil:
		return roles.Coordinator(options)
	case a.CheckFile != nil:
		return configcheck.Run(context.Background(), configcheck.Options{File: a.CheckFile.File, InForce: a.CheckFile.InForce, Settings: a.CheckFile.Settings}, os.Stdout)
	default:
		parser.WriteHelp(os.Stderr)
		return fmt.Errorf("name a role: gateway, storage or coordinator; or check")
	}
}
