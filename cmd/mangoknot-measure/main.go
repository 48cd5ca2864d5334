// Command mangoknot-measure compares the scheduling policies on the local machine
// and writes the records that docs/measurements.md defines.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/mangoknot/mangoknot/internal/measure"
)

type arguments struct {
	Out      string        `arg:"--out" help:"file for the records" default:"build/measure.json"`
	Seeds    int           `arg:"--seeds" help:"runs of each scenario" default:"3"`
	Window   time.Duration `arg:"--window" help:"time in which programs arrive" default:"8s"`
	Capacity float64       `arg:"--capacity" help:"programs a second; 0 measures the capacity of round robin" default:"0"`
	Scenario []string      `arg:"--scenario" help:"names of the scenarios to run; none means all"`
}

func main() {
	var args arguments
	arg.MustParse(&args)
	if err := run(args); err != nil {
		fmt.Fprintln(os.Stderr, "mangoknot-measure:", err)
		os.Exit(1)
	}
}

func run(args arguments) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	result, err := measure.Run(ctx, measure.Options{Seeds: args.Seeds, Window: args.Window, Capacity: args.Capacity, Scenarios: args.Scenario, Log: os.Stdout})
	if err != nil {
		return err
	}
	fmt.Printf("capacity, programs a second: %v; time scale %v\n", result.Capacity, result.TimeScale)
	data, err := json.MarshalIndent(result.Records, "", "  ")
	if err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Dir(args.Out), 0o755); err != nil {
		return err
	}
	return os.WriteFile(args.Out, append(data, '\n'), 0o644)
}
