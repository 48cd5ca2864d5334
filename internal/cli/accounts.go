package cli

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/mangoknot/mangoknot/adapter/operatorapi"
	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/internal/keys"
)

type accountCommand struct {
	Put  *accountPut  `arg:"subcommand:put" help:"create a client account or change the given options"`
	List *accountList `arg:"subcommand:list" help:"list the client accounts"`
}

type accountPut struct {
	Name          string   `arg:"positional,required"`
	Rate          *float64 `arg:"--rate" help:"requests a second over all VMs (default 10)"`
	Burst         *float64 `arg:"--burst" help:"requests at once over all VMs (default 20)"`
	Weight        *int     `arg:"--weight" help:"share of service relative to other accounts (default 1)"`
	Budget        *string  `arg:"--budget" help:"budget of a calendar month in currency units"`
	ProgramBudget *string  `arg:"--program-budget" help:"budget of each program in currency units"`
	Concurrency   *int     `arg:"--concurrency" help:"calls in flight, 0 for no bound"`
	Disabled      *bool    `arg:"--disabled" help:"refuse all keyed requests of the account"`
}

// Defaults of a new client account. The rate is in requests a second, the burst in
// requests. The weight is relative to those of the other accounts.
const (
	defaultRate   = 10
	defaultBurst  = 20
	defaultWeight = 1
)

func (c *accountPut) run(ctx context.Context, s *session) error {
	state, err := s.client.State(ctx)
	if err != nil {
		return err
	}
	spec := config.AccountSpec{Name: domain.Account(c.Name), RatePerSecond: defaultRate, Burst: defaultBurst, Weight: defaultWeight}
	for _, existing := range state.Accounts {
		if existing.Name == spec.Name {
			spec = *existing
		}
	}
	set(&spec.RatePerSecond, c.Rate)
	set(&spec.Burst, c.Burst)
	set(&spec.Weight, c.Weight)
	set(&spec.Concurrency, c.Concurrency)
	set(&spec.Disabled, c.Disabled)
	if err := setMoney(&spec.MonthlyBudget, c.Budget); err != nil {
		return err
	}
	if err := setMoney(&spec.ProgramBudget, c.ProgramBudget); err != nil {
		return err
	}
	return s.change(ctx, state.Version, &config.PutAccount{Account: spec})
}

// set overwrites a field if its option was given.
func set[T any](field *T, option *T) {
	if option != nil {
		*field = *option
	}
}

// setMoney parses an amount in currency units into a field if its option was
// given.
func setMoney(field *domain.Micros, option *string) error {
	if option == nil {
		return nil
	}
	amount, err := domain.ParseMicros(*option)
	if err != nil {
		return usageError{err.Error()}
	}
	*field = amount
	return nil
}

type accountList struct{}

func (*accountList) run(ctx context.Context, s *session) error {
	return s.list(ctx, []string{"ACCOUNT", "RATE/S", "BURST", "WEIGHT", "MONTHLY BUDGET", "PROGRAM BUDGET", "CONCURRENCY", "DISABLED"}, func(state operatorapi.State) (any, [][]string) {
		rows := [][]string{}
		for _, a := range state.Accounts {
			rows = append(rows, []string{
				string(a.Name), fmt.Sprint(a.RatePerSecond), fmt.Sprint(a.Burst), fmt.Sprint(a.Weight),
				a.MonthlyBudget.String(), a.ProgramBudget.String(), fmt.Sprint(a.Concurrency), fmt.Sprint(a.Disabled),
			})
		}
		return state.Accounts, rows
	})
}

type keyCommand struct {
	Create   *keyCreate   `arg:"subcommand:create" help:"make a key; it is shown once and only its hash is sent"`
	Withdraw *keyWithdraw `arg:"subcommand:withdraw" help:"withdraw a key for good"`
	List     *keyList     `arg:"subcommand:list" help:"list the keys"`
}

type keyCreate struct {
	Account string `arg:"positional,required"`
	ID      string `arg:"--id" help:"id of the key (default: the account's name and random digits)"`
}

// CreatedKey is the JSON output of the command key create.
type CreatedKey struct {
	ID      config.KeyID               `json:"id"`
	Key     string                     `json:"key"`
	Account domain.Account             `json:"account"`
	Change  operatorapi.ChangeResponse `json:"change"`
}

func (c *keyCreate) run(ctx context.Context, s *session) error {
	state, err := s.client.State(ctx)
	if err != nil {
		return err
	}
	key := keys.New()
	id := config.KeyID(c.ID)
	if id == "" {
		id = config.KeyID(c.Account + "-" + string(operatorapi.NewOperation())[:8])
	}
	spec := config.KeySpec{ID: id, Hash: sha256.Sum256([]byte(key)), Account: domain.Account(c.Account)}
	answer, err := s.client.Change(ctx, operatorapi.NewOperation(), state.Version, &config.PutKey{Key: spec})
	if err != nil {
		return err
	}
	if answer, err = s.awaitInForce(ctx, answer); err != nil {
		return err
	}
	created := CreatedKey{ID: id, Key: key, Account: spec.Account, Change: answer}
	return s.print(created, []string{"ID", "ACCOUNT", "KEY (SHOWN ONCE)"}, [][]string{{string(id), c.Account, key}})
}

type keyWithdraw struct {
	ID string `arg:"positional,required"`
}

func (c *keyWithdraw) run(ctx context.Context, s *session) error {
	answer, err := s.client.WithdrawKey(ctx, operatorapi.NewOperation(), config.KeyID(c.ID))
	if err != nil {
		return err
	}
	return s.reportChange(ctx, answer)
}

type keyList struct{}

func (*keyList) run(ctx context.Context, s *session) error {
	return s.list(ctx, []string{"ID", "ACCOUNT", "WITHDRAWN"}, func(state operatorapi.State) (any, [][]string) {
		rows := [][]string{}
		for _, k := range state.Keys {
			rows = append(rows, []string{string(k.ID), string(k.Account), fmt.Sprint(k.Withdrawn)})
		}
		return state.Keys, rows
	})
}

type operatorCommand struct {
	New  *operatorNew  `arg:"subcommand:new" help:"make a token and print its line for the operators file"`
	Hash *operatorHash `arg:"subcommand:hash" help:"read a token from standard input and print its line"`
}

type operatorNew struct {
	Name string `arg:"positional,required"`
}

// NewOperator is the JSON output of the command operator new.
type NewOperator struct {
	Name  string `json:"name"`
	Token string `json:"token"`
	Line  string `json:"line"`
}

func (c *operatorNew) run(_ context.Context, s *session) error {
	token := keys.New()
	out := NewOperator{Name: c.Name, Token: token, Line: operatorLine(c.Name, token)}
	return s.print(out, []string{"TOKEN (SHOWN ONCE)", "LINE FOR THE OPERATORS FILE"}, [][]string{{out.Token, out.Line}})
}

// operatorLine returns the line of the operators file for a token.
func operatorLine(name, token string) string {
	sum := operatorapi.HashToken(token)
	return name + ":" + hex.EncodeToString(sum[:])
}

type operatorHash struct {
	Name string `arg:"positional,required"`
}

func (c *operatorHash) run(_ context.Context, s *session) error {
	token, err := s.readLine("token: ")
	if err != nil {
		return err
	}
	line := operatorLine(c.Name, token)
	return s.print(line, []string{"LINE FOR THE OPERATORS FILE"}, [][]string{{line}})
}
