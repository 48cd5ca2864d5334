package cli

import (
	"context"
	"fmt"
	"os"

	"github.com/mangoknot/mangoknot/internal/report"
)

type reportCommand struct {
	In  string `arg:"--in" help:"records that make measure has written" default:"build/measure.json"`
	Out string `arg:"--out" help:"the HTML page to write" default:"build/report.html"`
}

func (c *reportCommand) run(_ context.Context, s *session) error {
	in, err := os.Open(c.In)
	if err != nil {
		return fmt.Errorf("open the records (run make measure first): %w", err)
	}
	defer in.Close()
	records, err := report.Read(in)
	if err != nil {
		return err
	}
	out, err := os.Create(c.Out)
	if err != nil {
		return err
	}
	if err := report.Write(out, records); err != nil {
		_ = out.Close()
		return err
	}
	fmt.Fprintln(s.stderr, "wrote", c.Out)
	return out.Close()
}
