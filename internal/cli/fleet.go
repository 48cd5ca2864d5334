package cli

import (
	"context"
	"fmt"
	"time"

	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/port"
)

type vmCommand struct {
	List   *vmList   `arg:"subcommand:list" help:"list the VMs of the system"`
	Remove *vmRemove `arg:"subcommand:remove" help:"delete a VM that has left for good"`
}

type vmList struct{}

func (*vmList) run(ctx context.Context, s *session) error {
	status, err := s.client.Status(ctx)
	if err != nil {
		return err
	}
	return s.print(status.VMs, vmHeader, vmRows(status))
}

var vmHeader = []string{"VM", "DATA CENTRE", "REGION", "STATE", "VERSION", "SHARDS"}

func vmRows(status port.Status) [][]string {
	rows := [][]string{}
	for _, vm := range status.VMs {
		rows = append(rows, []string{
			string(vm.Name), string(vm.DataCentre), string(vm.Region), vm.State, fmt.Sprint(vm.Version), fmt.Sprint(vm.Shards),
		})
	}
	return rows
}

type vmRemove struct {
	Name string `arg:"positional,required"`
}

func (c *vmRemove) run(ctx context.Context, s *session) error {
	return s.submit(ctx, &config.RemoveVM{Name: domain.VM(c.Name)})
}

type statusCommand struct{}

func (*statusCommand) run(ctx context.Context, s *session) error {
	status, err := s.client.Status(ctx)
	if err != nil {
		return err
	}
	if s.args.Output == "table" {
		fmt.Fprintf(s.stdout, "VM %s, leader %s (term %d), voters %s\n", status.VM, orNone(status.Leader), status.Term, joinNames(status.Voters))
		fmt.Fprintf(s.stdout, "configuration version %d, preset %s\n", status.Version, status.Preset)
		fmt.Fprintf(s.stdout, "ready %t, isolated %t, calls in flight %d\n", status.Ready, status.Isolated, status.CallsInFlight)
		fmt.Fprintf(s.stdout, "shards without an owner %d, without a backup %d\n\n", status.UnassignedShards, status.ShardsWithoutBackup)
	}
	return s.print(status, vmHeader, vmRows(status))
}

// orNone returns the VM's name, or "none" if there is no VM.
func orNone(vm domain.VM) string {
	if vm == "" {
		return "none"
	}
	return string(vm)
}

type drainCommand struct{}

func (*drainCommand) run(ctx context.Context, s *session) error {
	if err := s.client.Drain(ctx); err != nil {
		return err
	}
	fmt.Fprintln(s.stderr, "the VM is draining; it exits when its shards are handed over and its calls have ended")
	return nil
}

type programCommand struct {
	List *programList `arg:"subcommand:list" help:"list programs"`
}

type programList struct {
	Account string `arg:"--account" help:"only programs of this client account"`
}

func (c *programList) run(ctx context.Context, s *session) error {
	report, err := s.client.Programs(ctx, domain.Account(c.Account))
	if err != nil {
		return err
	}
	s.warnMissing(report.Missing)
	rows := [][]string{}
	for _, p := range report.Programs {
		state := "open"
		if p.Ended {
			state = "ended " + string(p.Reason)
		}
		rows = append(rows, []string{
			string(p.Program.Account), string(p.Program.Name), string(p.Owner), state, fmt.Sprint(p.Turns), p.Spent.String(), p.Started.Format(time.RFC3339),
		})
	}
	return s.print(report, []string{"ACCOUNT", "PROGRAM", "OWNER", "STATE", "TURNS", "SPENT", "STARTED"}, rows)
}

// warnMissing prints a warning with the VMs whose shards a report does not
// include.
func (s *session) warnMissing(missing []domain.VM) {
	if len(missing) > 0 {
		fmt.Fprintf(s.stderr, "warning: no answer from %s; their shards are not included\n", joinNames(missing))
	}
}

type spendCommand struct {
	Show     *spendShow     `arg:"subcommand:show" help:"spend of the current month"`
	Forecast *spendForecast `arg:"subcommand:forecast" help:"next month's bill"`
}

type spendShow struct{}

func (*spendShow) run(ctx context.Context, s *session) error {
	report, err := s.client.Spend(ctx)
	if err != nil {
		return err
	}
	s.warnMissing(report.Missing)
	rows := [][]string{}
	for _, a := range report.Accounts {
		rows = append(rows, []string{string(a.Account), a.Budget.String(), a.Charged.String(), a.Reserved.String(), fmt.Sprint(a.Unknown)})
	}
	return s.print(report, []string{"ACCOUNT", "MONTHLY BUDGET", "CHARGED", "RESERVED", "UNKNOWN OUTCOMES"}, rows)
}

type spendForecast struct {
	Preset  string `arg:"--preset" help:"forecast under this preset (default: the one in force)"`
	Compare string `arg:"--compare" help:"also show the difference under this preset"`
}

func (c *spendForecast) run(ctx context.Context, s *session) error {
	base, err := s.client.Forecast(ctx, config.PresetName(c.Preset))
	if err != nil {
		return err
	}
	header := []string{"ACCOUNT", "FLOOR", "EXPECTED", "CEILING"}
	rows := [][]string{}
	for _, f := range base {
		rows = append(rows, []string{string(f.Account), f.Floor.String(), f.Expected.String(), f.Ceiling.String()})
	}
	if c.Compare == "" {
		return s.print(base, header, rows)
	}
	other, err := s.client.Forecast(ctx, config.PresetName(c.Compare))
	if err != nil {
		return err
	}
	for i := range min(len(rows), len(other)) {
		rows[i] = append(rows[i], other[i].Expected.String(), other[i].Ceiling.String())
	}
	header = append(header, "EXPECTED "+c.Compare, "CEILING "+c.Compare)
	return s.print(map[string]any{"preset": base, "compared": other}, header, rows)
}
