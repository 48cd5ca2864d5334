package program_test

import (
	"fmt"
	"time"

	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/ledger"
	"github.com/mangoknot/mangoknot/core/program"
)

// Runs one call of one program. The caller treats each record as replicated at
// once. Guards against an interface that cannot be used without the controller.
func Example() {
	now := time.Date(2026, 11, 3, 10, 0, 0, 0, time.UTC)
	id := domain.ProgramID{Account: "acme", Name: "first"}
	view := config.Restore(&config.Snapshot{
		Presets:       map[config.PresetName]config.PresetSpec{"p": {DailySpendPermille: 1000, MaxGeneratedTokens: 1000, NewPrograms: true}},
		PresetInForce: "p", Homes: []domain.DataCentre{"a"},
		Accounts: map[domain.Account]config.AccountSpec{"acme": {Name: "acme", MonthlyBudget: 1e9, ProgramBudget: 1e6}},
		Models:   map[domain.ModelName]config.ModelSpec{"m": {PromptPrice: 1e6, CachedPrice: 1e6, GeneratedPrice: 1e6}},
		Targets:  map[domain.Target]config.TargetSpec{"engine-1": {}},
	}).View()
	shard, err := ledger.RootShard(view, "acme")
	if err != nil {
		fmt.Println(err)
		return
	}
	store := program.New(shard, program.NewVMState())
	var records uint64
	var ready []program.Ready
	var handle func(program.Effects)
	handle = func(e program.Effects) {
		ready = append(ready, e.Ready...)
		for _, s := range e.Sends {
			fmt.Println(s.To, "gets", s.Body.MessageName())
		}
		// This shard holds the account's budget, so transfers return to it.
		for _, out := range e.Outbound {
			handle(store.Step(now, out.Body))
		}
		if len(e.Records) > 0 {
			records += uint64(len(e.Records))
			handle(store.Committed(records))
		}
	}
	handle(store.Activate(now, 1, view))
	handle(store.Step(now, &program.BeginCall{Call: "c1", Entry: "e1", Program: id, Model: "m", PromptTokens: 10, TokenLimit: 20, Arrived: now}))
	for _, r := range ready {
		e, err := store.Place(now, r.Call, "engine-1", false)
		if err != nil {
			fmt.Println(err)
		}
		handle(e)
	}
	handle(store.Step(now, &program.FinishCall{
		Call: "c1", Entry: "e1", Program: id, Attempt: 1, Usage: domain.Usage{Prompt: 10, Generated: 5}, Turn: program.HistoryRef{Length: 1},
	}))
	for _, p := range store.Programs("acme", 10) {
		fmt.Println(p.Program.Name, p.Turns, "turn")
	}
	// Output:
	// e1 gets program.StartCall
	// e1 gets program.CallCommitted
	// first 1 turn
}
