package cli

import (
	"context"
	"fmt"
	"time"

	"github.com/mangoknot/mangoknot/adapter/operatorapi"
	"github.com/mangoknot/mangoknot/core/config"
)

// progressInterval is the polling interval while a change is not in force on every
// VM.
const progressInterval = 200 * time.Millisecond

// change sends a command that is based on the given configuration version and
// reports on which VMs it is in force.
func (s *session) change(ctx context.Context, base uint64, c config.Command) error {
	operation := operatorapi.NewOperation()
	answer, err := s.client.Change(ctx, operation, base, c)
	if err != nil {
		return err
	}
	return s.reportChange(ctx, answer)
}

// submit sends a command that is based on the current configuration version.
func (s *session) submit(ctx context.Context, c config.Command) error {
	state, err := s.client.State(ctx)
	if err != nil {
		return err
	}
	return s.change(ctx, state.Version, c)
}

// list prints a part of the configuration as rows under the header.
func (s *session) list(ctx context.Context, header []string, rowsOf func(operatorapi.State) (any, [][]string)) error {
	state, err := s.client.State(ctx)
	if err != nil {
		return err
	}
	value, rows := rowsOf(state)
	return s.print(value, header, rows)
}

// reportChange waits at most the time of --wait until the change is in force on
// every VM, and prints on which VMs it is.
func (s *session) reportChange(ctx context.Context, answer operatorapi.ChangeResponse) error {
	answer, err := s.awaitInForce(ctx, answer)
	if err != nil {
		return err
	}
	notYet := "none"
	if len(answer.NotYet) > 0 {
		notYet = joinNames(answer.NotYet)
	}
	return s.print(answer, []string{"VERSION", "IN FORCE", "NOT YET"},
		[][]string{{fmt.Sprint(answer.Version), joinNames(answer.InForce), notYet}})
}

// awaitInForce polls until the change is in force on every VM or the time of --wait
// is over, and returns the last answer. A time-out is not an error.
func (s *session) awaitInForce(ctx context.Context, answer operatorapi.ChangeResponse) (operatorapi.ChangeResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, s.args.Wait)
	defer cancel()
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	version := answer.Version
	for len(answer.NotYet) > 0 && s.args.Wait > 0 {
		fmt.Fprintf(s.stderr, "waiting for %s\n", joinNames(answer.NotYet))
		select {
		case <-ctx.Done():
			return answer, nil
		case <-ticker.C:
		}
		next, err := s.client.InForce(ctx, version)
		if ctx.Err() != nil {
			return answer, nil
		}
		if err != nil {
			return answer, err
		}
		answer = next
	}
	return answer, nil
}
