package node

import (
	"context"

	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/controller"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/membership"
	"github.com/mangoknot/mangoknot/core/schedule"
	"github.com/mangoknot/mangoknot/port"
)

// query requests a report from the control goroutine.
func (n *Node) query(ctx context.Context, q controller.Question) (controller.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	answer, err := requestOnce[controller.Answer](ctx, n.mailbox, func(t controller.Ticket) controller.Input {
		return controller.Query{Ticket: t, Question: q}
	})
	if err != nil {
		return answer, operationError(err)
	}
	return answer, nil
}

// InForce implements port.Operations.
func (n *Node) InForce(ctx context.Context, version uint64) (port.InForce, error) {
	answer, err := n.query(ctx, controller.Question{Kind: controller.QuestionInForce, Version: version})
	return port.InForce{Version: version, Everywhere: answer.InForce, NotYet: answer.NotYet}, err
}

// Status implements port.Operations.
func (n *Node) Status(ctx context.Context) (port.Status, error) {
	answer, err := n.query(ctx, controller.Question{Kind: controller.QuestionStatus})
	if err != nil {
		return port.Status{}, err
	}
	view, state := n.View(), n.shared.state.Load()
	out := port.Status{
		VM: n.config.VM, Leader: answer.Status.Leader, Term: answer.Status.Term, Voters: answer.Status.Voters,
		Version: view.Version(), Preset: view.Preset().Name, Ready: n.Ready(), Isolated: state.Isolated,
		UnassignedShards: answer.Status.UnassignedShards, ShardsWithoutBackup: answer.Status.ShardsWithoutBackup,
		CallsInFlight: int(n.inFlight.Load()),
	}
	for _, vm := range answer.Status.VMs {
		out.VMs = append(out.VMs, port.VMStatus{
			Name: vm.Member.VM, DataCentre: vm.Member.DataCentre, Region: vm.Member.Region,
			State: vm.Member.State.String(), Version: vm.Version, Shards: vm.Shards,
		})
	}
	return out, nil
}

// Spend implements port.Operations.
func (n *Node) Spend(ctx context.Context) (port.SpendReport, error) {
	answer, err := n.query(ctx, controller.Question{Kind: controller.QuestionSpend})
	report := port.SpendReport{Accounts: []port.AccountSpend{}, Missing: answer.Missing}
	for _, s := range answer.Spend {
		line := port.AccountSpend{Account: s.Account, Charged: s.Charged, Reserved: s.Reserved, Unknown: s.Unknown}
		if spec := n.View().Account(s.Account); spec != nil {
			line.Budget = spec.MonthlyBudget
		}
		report.Accounts = append(report.Accounts, line)
	}
	return report, err
}

// Forecast implements port.Operations.
func (n *Node) Forecast(ctx context.Context, preset config.PresetName) ([]port.AccountForecast, error) {
	if _, ok := n.View().PresetByName(preset); !ok {
		return nil, domain.NotRun(domain.ReasonBadRequest, "preset %q does not exist; use ordinary, peak or maintenance", preset)
	}
	answer, err := n.query(ctx, controller.Question{Kind: controller.QuestionForecast, Preset: preset})
	out := []port.AccountForecast{}
	for _, f := range answer.Forecast {
		out = append(out, port.AccountForecast{
			Account: f.Account, Floor: f.Forecast.Floor, Expected: f.Forecast.Expected, Ceiling: f.Forecast.Ceiling,
		})
	}
	return out, err
}

// Programs implements port.Operations.
func (n *Node) Programs(ctx context.Context, account domain.Account) (port.ProgramReport, error) {
	answer, err := n.query(ctx, controller.Question{Kind: controller.QuestionPrograms, Account: account})
	report := port.ProgramReport{Programs: []port.ProgramSummary{}, Missing: answer.Missing}
	for _, p := range answer.Programs {
		report.Programs = append(report.Programs, port.ProgramSummary{
			Program: p.Summary.Program, Shard: p.Shard, Owner: p.Owner, Ended: p.Summary.EndReason != "",
			Reason: p.Summary.EndReason, Turns: p.Summary.Turns, Spent: p.Summary.Spent, Started: p.Summary.Started,
		})
	}
	return report, err
}

// UpdateVMList passes the platform's list of VMs to the control goroutine.
func (n *Node) UpdateVMList(members []membership.Member) {
	n.mailbox.tryDeliver(controller.VMList{Members: members})
}

func (n *Node) loadInput(r port.LoadReport) controller.Input {
	return controller.TargetLoad{Instance: r.Instance, Report: schedule.LoadReport{
		Target: r.Target, At: n.ports.Clock.Now(), Running: r.Running, Waiting: r.Waiting,
	}}
}

// cacheEvents converts an engine's cache event to events of the scheduler. The
// events are dated back by cacheEventDelay, because they arrive late: state that
// the scheduler recorded since then is newer.
func (n *Node) cacheEvents(e port.CacheEvent) []schedule.CacheEvent {
	at := n.ports.Clock.Now().Add(-cacheEventDelay)
	event := schedule.CacheEvent{Target: e.Target, Seq: e.Seq, At: at, Program: e.Program, Tokens: e.Tokens}
	event.Kind = schedule.CacheEvicted
	if e.Stored {
		event.Kind = schedule.CacheStored
	}
	if !e.Restarted {
		return []schedule.CacheEvent{event}
	}
	cleared := schedule.CacheEvent{Target: e.Target, Seq: e.Seq, At: at, Kind: schedule.CacheCleared}
	return []schedule.CacheEvent{cleared, event}
}
