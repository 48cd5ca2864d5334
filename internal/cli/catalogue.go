package cli

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/mangoknot/mangoknot/adapter/operatorapi"
	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/domain"
)

type presetCommand struct {
	Use  *presetUse  `arg:"subcommand:use" help:"put a preset in force"`
	Set  *presetSet  `arg:"subcommand:set" help:"change the given limits of a preset"`
	List *presetList `arg:"subcommand:list" help:"list the presets"`
}

type presetUse struct {
	Name string `arg:"positional,required" help:"ordinary, peak or maintenance"`
}

func (c *presetUse) run(ctx context.Context, s *session) error {
	return s.submit(ctx, &config.SetPreset{Name: config.PresetName(c.Name)})
}

type presetSet struct {
	Name             string         `arg:"positional,required"`
	DailyPermille    *int           `arg:"--daily-permille" help:"largest spend of a day in 1/1000 of the monthly budget"`
	MaxGenerated     *int64         `arg:"--max-generated" help:"largest number of generated tokens of a call"`
	Models           []string       `arg:"--model,separate" help:"models that may be called; none means all"`
	Concurrency      *int           `arg:"--concurrency" help:"calls in flight of each account, 0 for no bound"`
	Order            *string        `arg:"--order" help:"least_attained, arrival or program_age"`
	NewPrograms      *bool          `arg:"--new-programs" help:"whether calls may start programs"`
	MaxTurns         *int           `arg:"--max-turns"`
	MaxWallTime      *time.Duration `arg:"--max-wall-time"`
	MaxRepeatedCalls *int           `arg:"--max-repeated-calls"`
}

func (c *presetSet) run(ctx context.Context, s *session) error {
	state, err := s.client.State(ctx)
	if err != nil {
		return err
	}
	spec := config.PresetSpec{Name: config.PresetName(c.Name)}
	for _, existing := range state.Presets {
		if existing.Name == spec.Name {
			spec = existing
		}
	}
	set(&spec.DailySpendPermille, c.DailyPermille)
	set(&spec.MaxGeneratedTokens, (*domain.Tokens)(c.MaxGenerated))
	set(&spec.AccountConcurrency, c.Concurrency)
	set(&spec.QueueOrder, (*config.QueueOrder)(c.Order))
	set(&spec.NewPrograms, c.NewPrograms)
	set(&spec.MaxTurns, c.MaxTurns)
	set(&spec.MaxWallTime, c.MaxWallTime)
	set(&spec.MaxRepeatedCalls, c.MaxRepeatedCalls)
	if c.Models != nil {
		spec.AllowedModels = modelNames(c.Models)
	}
	return s.change(ctx, state.Version, &config.PutPreset{Preset: spec})
}

func modelNames(names []string) []domain.ModelName {
	out := make([]domain.ModelName, 0, len(names))
	for _, name := range names {
		out = append(out, domain.ModelName(name))
	}
	return out
}

type presetList struct{}

func (*presetList) run(ctx context.Context, s *session) error {
	return s.list(ctx, []string{"PRESET", "", "DAILY 1/1000", "MAX GENERATED", "CONCURRENCY", "ORDER", "NEW PROGRAMS", "MAX TURNS", "MAX WALL TIME", "MAX REPEATED"}, func(state operatorapi.State) (any, [][]string) {
		rows := [][]string{}
		for _, p := range state.Presets {
			inForce := ""
			if p.Name == state.Preset {
				inForce = "in force"
			}
			rows = append(rows, []string{
				string(p.Name), inForce, fmt.Sprint(p.DailySpendPermille), fmt.Sprint(p.MaxGeneratedTokens), fmt.Sprint(p.AccountConcurrency),
				string(p.QueueOrder), fmt.Sprint(p.NewPrograms), fmt.Sprint(p.MaxTurns), p.MaxWallTime.String(), fmt.Sprint(p.MaxRepeatedCalls),
			})
		}
		return state.Presets, rows
	})
}

type modelCommand struct {
	Put  *modelPut  `arg:"subcommand:put" help:"create or replace a model"`
	List *modelList `arg:"subcommand:list" help:"list the models"`
}

type modelPut struct {
	Name           string `arg:"positional,required"`
	PromptPrice    string `arg:"--prompt-price,required" help:"currency units for 1,000,000 prompt tokens"`
	CachedPrice    string `arg:"--cached-price,required" help:"currency units for 1,000,000 cached prompt tokens"`
	GeneratedPrice string `arg:"--generated-price,required" help:"currency units for 1,000,000 generated tokens"`
	MaxContext     int64  `arg:"--max-context" help:"context size in tokens" default:"1000000"`
}

func (c *modelPut) run(ctx context.Context, s *session) error {
	spec := config.ModelSpec{Name: domain.ModelName(c.Name), MaxContext: domain.Tokens(c.MaxContext)}
	for field, text := range map[*domain.Micros]string{
		&spec.PromptPrice: c.PromptPrice, &spec.CachedPrice: c.CachedPrice, &spec.GeneratedPrice: c.GeneratedPrice,
	} {
		if err := setMoney(field, &text); err != nil {
			return err
		}
	}
	return s.submit(ctx, &config.PutModel{Model: spec})
}

type modelList struct{}

func (*modelList) run(ctx context.Context, s *session) error {
	return s.list(ctx, []string{"MODEL", "PROMPT/M", "CACHED/M", "GENERATED/M", "MAX CONTEXT"}, func(state operatorapi.State) (any, [][]string) {
		rows := [][]string{}
		for _, m := range state.Models {
			rows = append(rows, []string{string(m.Name), m.PromptPrice.String(), m.CachedPrice.String(), m.GeneratedPrice.String(), fmt.Sprint(m.MaxContext)})
		}
		return state.Models, rows
	})
}

type routeCommand struct {
	Put    *routePut    `arg:"subcommand:put" help:"create or replace a plain service"`
	Remove *routeRemove `arg:"subcommand:remove" help:"delete a plain service"`
	List   *routeList   `arg:"subcommand:list" help:"list the plain services"`
}

type routePut struct {
	Name       string        `arg:"positional,required"`
	Open       bool          `arg:"--open" help:"needs no key"`
	Repeatable bool          `arg:"--repeatable" help:"calls may be sent again; without it a call runs at most once"`
	Timeout    time.Duration `arg:"--timeout" default:"30s"`
	Price      string        `arg:"--price" help:"currency units for each served call" default:"0"`
	Targets    []string      `arg:"--target,separate,required" help:"targets that serve the route"`
}

func (c *routePut) run(ctx context.Context, s *session) error {
	spec := config.RouteSpec{Name: c.Name, Open: c.Open, Repeatable: c.Repeatable, Timeout: c.Timeout}
	if err := setMoney(&spec.Price, &c.Price); err != nil {
		return err
	}
	for _, target := range c.Targets {
		spec.Targets = append(spec.Targets, domain.Target(target))
	}
	return s.submit(ctx, &config.PutRoute{Route: spec})
}

type routeRemove struct {
	Name string `arg:"positional,required"`
}

func (c *routeRemove) run(ctx context.Context, s *session) error {
	return s.submit(ctx, &config.RemoveRoute{Name: c.Name})
}

type routeList struct{}

func (*routeList) run(ctx context.Context, s *session) error {
	return s.list(ctx, []string{"ROUTE", "OPEN", "REPEATABLE", "TIMEOUT", "PRICE", "TARGETS"}, func(state operatorapi.State) (any, [][]string) {
		rows := [][]string{}
		for _, r := range state.Routes {
			rows = append(rows, []string{r.Name, fmt.Sprint(r.Open), fmt.Sprint(r.Repeatable), r.Timeout.String(), r.Price.String(), joinNames(r.Targets)})
		}
		return state.Routes, rows
	})
}

// joinNames joins names with commas.
func joinNames[T ~string](names []T) string {
	out := make([]string, 0, len(names))
	for _, name := range names {
		out = append(out, string(name))
	}
	return strings.Join(out, ",")
}

type targetCommand struct {
	Put    *targetPut    `arg:"subcommand:put" help:"create or replace a target"`
	Leave  *targetLeave  `arg:"subcommand:leave" help:"give the target no new work"`
	Return *targetReturn `arg:"subcommand:return" help:"give the target work again"`
	Remove *targetRemove `arg:"subcommand:remove" help:"delete a target"`
	List   *targetList   `arg:"subcommand:list" help:"list the targets"`
}

type targetPut struct {
	Name        string   `arg:"positional,required"`
	Kind        string   `arg:"--kind" help:"engine or service" default:"engine"`
	Address     string   `arg:"--target-address,required" help:"IP number and port"`
	DataCentre  string   `arg:"--data-centre,required"`
	Region      string   `arg:"--region,required"`
	Models      []string `arg:"--model,separate" help:"models that the engine has loaded"`
	Fencing     bool     `arg:"--fencing" help:"the target refuses orders with an old fencing number"`
	CacheTokens int64    `arg:"--cache-tokens" help:"size of the prefix cache" default:"200000"`
	MaxBatch    int      `arg:"--max-batch" help:"largest useful number of calls in flight" default:"32"`
}

func (c *targetPut) run(ctx context.Context, s *session) error {
	return s.submit(ctx, &config.PutTarget{Target: config.TargetSpec{
		Name:        domain.Target(c.Name),
		Kind:        config.TargetKind(c.Kind),
		Address:     c.Address,
		DataCentre:  domain.DataCentre(c.DataCentre),
		Region:      domain.Region(c.Region),
		Models:      modelNames(c.Models),
		Fencing:     c.Fencing,
		CacheTokens: domain.Tokens(c.CacheTokens),
		MaxBatch:    c.MaxBatch,
	}})
}

// targetName is the argument of commands that take only a target's name.
type targetName struct {
	Name string `arg:"positional,required"`
}

type targetLeave struct{ targetName }

func (c *targetLeave) run(ctx context.Context, s *session) error {
	return setLeaving(ctx, s, c.Name, true)
}

type targetReturn struct{ targetName }

func (c *targetReturn) run(ctx context.Context, s *session) error {
	return setLeaving(ctx, s, c.Name, false)
}

func setLeaving(ctx context.Context, s *session, name string, leaving bool) error {
	return s.submit(ctx, &config.SetTargetLeaving{Name: domain.Target(name), Leaving: leaving})
}

type targetRemove struct{ targetName }

func (c *targetRemove) run(ctx context.Context, s *session) error {
	return s.submit(ctx, &config.RemoveTarget{Name: domain.Target(c.Name)})
}

type targetList struct{}

func (*targetList) run(ctx context.Context, s *session) error {
	return s.list(ctx, []string{"TARGET", "KIND", "ADDRESS", "DATA CENTRE", "REGION", "MODELS", "LEAVING", "FENCING", "MAX BATCH"}, func(state operatorapi.State) (any, [][]string) {
		rows := [][]string{}
		for _, t := range state.Targets {
			rows = append(rows, []string{
				string(t.Name), string(t.Kind), t.Address, string(t.DataCentre), string(t.Region),
				joinNames(t.Models), fmt.Sprint(t.Leaving), fmt.Sprint(t.Fencing), fmt.Sprint(t.MaxBatch),
			})
		}
		return state.Targets, rows
	})
}
