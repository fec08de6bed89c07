package process

import (
	"context"
	"log/slog"
	"os"

	"github.com/urfave/cli/v3"
)

// Runner is a program that runs until its context ends.
type Runner interface {
	Run(ctx context.Context) error
}

// Action returns a command's action: it reads and checks the settings, creates the
// logger, builds the program and runs it. It returns the first error of any step.
func Action[S any, P Runner](settings func(*cli.Command) (S, error), build func(S, *slog.Logger) (P, error)) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		s, err := settings(cmd)
		if err != nil {
			return err
		}
		logger, flush, err := ServerLogger(cmd, os.Stdout)
		if err != nil {
			return err
		}
		defer flush()
		p, err := build(s, logger)
		if err != nil {
			return err
		}
		return p.Run(ctx)
	}
}
