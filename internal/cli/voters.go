package cli

import (
	"context"
	"fmt"

	"github.com/mangoknot/mangoknot/core/domain"
)

type voterCommand struct {
	Add    *voterAdd    `arg:"subcommand:add" help:"add a VM with a disk; it votes once it has caught up"`
	Remove *voterRemove `arg:"subcommand:remove" help:"remove a voter, for example one that has lost its disk"`
	List   *voterList   `arg:"subcommand:list" help:"list the voters"`
}

func (c *voterCommand) leaf() command {
	switch {
	case c.Add != nil:
		return c.Add
	case c.Remove != nil:
		return c.Remove
	case c.List != nil:
		return c.List
	}
	return nil
}

type voterAdd struct {
	VM string `arg:"positional,required"`
}

func (c *voterAdd) run(ctx context.Context, s *session) error {
	if err := s.client.AddVoter(ctx, domain.VM(c.VM)); err != nil {
		return err
	}
	fmt.Fprintln(s.stderr, "the VM is a learner now; mangoknot voter list shows it when it votes")
	return nil
}

type voterRemove struct {
	VM string `arg:"positional,required"`
}

func (c *voterRemove) run(ctx context.Context, s *session) error {
	return s.client.RemoveVoter(ctx, domain.VM(c.VM))
}

type voterList struct{}

func (*voterList) run(ctx context.Context, s *session) error {
	status, err := s.client.Status(ctx)
	if err != nil {
		return err
	}
	rows := [][]string{}
	for _, vm := range status.Voters {
		role := "voter"
		if vm == status.Leader {
			role = "leader"
		}
		rows = append(rows, []string{string(vm), role})
	}
	return s.print(status.Voters, []string{"VM", "ROLE"}, rows)
}
