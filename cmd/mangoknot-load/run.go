package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/mangoknot/mangoknot/internal/load"
)

type runCommand struct {
	Programs   string        `arg:"--programs,required" placeholder:"FILE" help:"JSON file with the programs"`
	VMs        []string      `arg:"--vm,separate,required" placeholder:"IP:PORT" help:"callers' address of an entry VM; repeatable"`
	Accounts   string        `arg:"--accounts" placeholder:"FILE" help:"JSON file with client accounts and keys"`
	Keys       []string      `arg:"--key,separate" placeholder:"ACCOUNT=KEY" help:"key of a client account; repeatable"`
	Record     string        `arg:"--record" placeholder:"FILE" help:"write each request and response as a line of JSON"`
	Summary    string        `arg:"--summary" placeholder:"FILE" help:"write the summary as JSON"`
	Prefix     string        `arg:"--prefix" help:"put before the names of all programs, to run a file again"`
	RetryLimit time.Duration `arg:"--retry-limit" default:"20s" help:"longest time of all attempts of one call"`
	Engines    []string      `arg:"--engine,separate" placeholder:"IP:PORT" help:"stand-in engine to check after the run; repeatable"`
	Tools      []string      `arg:"--tool,separate" placeholder:"IP:PORT" help:"stand-in tool service to check after the run; repeatable"`
	Drained    []string      `arg:"--drained,separate" placeholder:"IP:PORT" help:"VM with a planned stop during the run, which must cut no request; repeatable"`
	Rate       float64       `arg:"--rate" help:"open-loop arrivals: mean number of programs a second"`
	Seed       uint64        `arg:"--seed" default:"1" help:"open-loop arrivals: seed"`
	Duration   time.Duration `arg:"--duration" default:"30s" help:"open-loop arrivals: time in which programs start"`
}

func (c *runCommand) execute(ctx context.Context) error {
	file, err := load.ReadFile(c.Programs)
	if err != nil {
		return err
	}
	accounts, err := load.ReadAccounts(c.Accounts, c.Keys)
	if err != nil {
		return err
	}
	recorder, closeRecord, err := c.recorder()
	if err != nil {
		return err
	}
	runner := c.run(ctx, file, accounts, recorder)
	records, err := recorder.Records()
	if err := errors.Join(err, closeRecord()); err != nil {
		return fmt.Errorf("write the record: %w", err)
	}
	summary := load.Summarize(runner.Results(), records, accounts)
	if err := c.write(summary); err != nil {
		return err
	}
	return c.verify(ctx, summary, records, accounts)
}

// recorder returns a recorder and a function that flushes and closes its file.
func (c *runCommand) recorder() (*load.Recorder, func() error, error) {
	if c.Record == "" {
		return load.NewRecorder(nil), func() error { return nil }, nil
	}
	file, err := os.Create(c.Record)
	if err != nil {
		return nil, nil, err
	}
	buffer := bufio.NewWriter(file)
	return load.NewRecorder(buffer), func() error { return errors.Join(buffer.Flush(), file.Close()) }, nil
}

// run runs the programs of the file, as open-loop arrivals if a rate is set, and
// returns the runner with the results.
func (c *runCommand) run(ctx context.Context, file *load.File, accounts map[string]load.Account, recorder *load.Recorder) *load.Runner {
	balancer := load.NewBalancer(c.VMs)
	balancer.Check(ctx)
	checks, stop := context.WithCancel(ctx)
	defer stop()
	go balancer.Run(checks)
	client := load.NewClient(balancer, recorder)
	client.RetryLimit = c.RetryLimit
	runner := &load.Runner{Client: client, Accounts: accounts}
	if c.Rate > 0 {
		runner.RunOpen(ctx, file, load.Arrivals{Seed: c.Seed, Rate: c.Rate, Duration: c.Duration}, c.Prefix)
	} else {
		runner.RunFile(ctx, file, c.Prefix)
	}
	return runner
}

// write prints the summary and writes it to the summary file, if one is set.
func (c *runCommand) write(summary load.Summary) error {
	if err := summary.Print(os.Stdout); err != nil {
		return err
	}
	if c.Summary == "" {
		return nil
	}
	data, err := json.MarshalIndent(summary, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(c.Summary, append(data, '\n'), 0o600)
}

// verify prints each violated guarantee and returns errGuaranteeViolated if there
// is one.
func (c *runCommand) verify(ctx context.Context, summary load.Summary, records []load.Record, accounts map[string]load.Account) error {
	violations := summary.Violations()
	for _, address := range c.Drained {
		violations = append(violations, load.InterruptedRequests(address, records)...)
	}
	standInViolations, err := load.Emulators{Engines: c.Engines, Tools: c.Tools}.Verify(ctx, summary.Programs, accounts)
	for _, text := range append(violations, standInViolations...) {
		fmt.Println("BROKEN:", text)
	}
	if err != nil {
		return err
	}
	if len(violations)+len(standInViolations) > 0 {
		return errGuaranteeViolated
	}
	fmt.Println("no promise was seen broken")
	return nil
}
