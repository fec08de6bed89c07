package ctl

import (
	"context"

	"github.com/urfave/cli/v3"

	"coltsfootmux/internal/process"
)

// Command gives the program's command line.
func Command() *cli.Command {
	root := &cli.Command{
		Name:                  "coltsfootmuxctl",
		Usage:                 "show and change the configuration, drain places, and see the system's state",
		EnableShellCompletion: true,
		Flags: append(connectionFlags(), &cli.StringFlag{
			Name: flagOutput, Value: outputTable, Sources: process.Env(flagOutput), Usage: "form of the output: table or json",
		}),
		Commands: []*cli.Command{
			configCommand(), exceptionCommand(), drainCommand(), undrainCommand(), workerCommand(),
			statusCommand(), auditCommand(), cancelCommand(), nodeCommand(),
		},
		// The program's end is left to process.Main.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	return root
}

// action runs f with a client and a printer made from the flags.
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

// oneArg gives the only argument of a command.
func oneArg(cmd *cli.Command, what string) (string, error) {
	if cmd.NArg() != 1 {
		return "", usage("want one argument: " + what)
	}
	return cmd.Args().First(), nil
}
