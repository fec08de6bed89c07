// Package program is the command line of the tool for load and experiments.
package program

import "github.com/urfave/cli/v3"

// Command returns the command line of coltsfootmux-load.
func Command() *cli.Command {
	return &cli.Command{
		Name:     "coltsfootmux-load",
		Usage:    "send load, compare placement policies, measure the path, write reports",
		Commands: []*cli.Command{runCommand(), policyCommand(), cellCommand(), pathCommand(), reportCommand()},
	}
}
