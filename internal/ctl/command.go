package ctl

import (
	"context"

	"github.com/urfave/cli/v3"

	"coltsfootmux/internal/process"
)

// Command returns the root command of coltsfootmuxctl.
func Command() *cli.Command {
	root := &cli.Command{
		Name:                  "coltsfootmuxctl",
		Usage:                 "show and change the configuration, drain workers, cells and data centres, and show the system's state",
		EnableShellCompletion: true,
		Flags: append(connectionFlags(), &cli.StringFlag{
			Name: flagOutput, Value: outputTable, Sources: process.Env(flagOutput), Usage: "output format: table or json",
		}),
		Commands: []*cli.Command{
			configCommand(), exceptionCommand(), drainCommand(), undrainCommand(), workerCommand(),
			statusCommand(), auditCommand(), cancelCommand(), nodeCommand(),
		},
		// process.Main reports the error and sets the exit status.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	return root
}

// action returns an action that calls f with a client and a printer made from
// the flags.
func action(f func(ctx context.Context, cmd *cli.Command, c *Client, p *printer) error) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		p, err := newPrinter(cmd)
		if err != nil {
			return err
		}
		c, err := newClient(cmd)
		if err != nil {
			return err
		}
		return f(ctx, cmd, c, p)
	}
}

// oneArg returns the single argument of a command. what describes the argument
// in the error text.
func oneArg(cmd *cli.Command, what string) (string, error) {
	if cmd.NArg() != 1 {
		return "", usageError("expected exactly one argument: " + what)
	}
	return cmd.Args().First(), nil
}
