// Command coltsfootmux-soak runs randomized soaks of the real programs under
// faults on this machine, and fails when a promise was broken.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"coltsfootmux/internal/process"
	"coltsfootmux/internal/soak"
)

var errBroken = eris.New("promises were broken")

func main() {
	process.Main(&cli.Command{
		Name:  "coltsfootmux-soak",
		Usage: "run the node program as separate processes under random faults and check what callers are told",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "program", Value: "target/coltsfootmux-node", Usage: "path of the program"},
			&cli.StringFlag{Name: "dir", Value: "soak-logs", Usage: "directory for settings and logs, one for each seed"},
			&cli.Uint64Flag{Name: "first", Value: 1, Usage: "first seed"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "number of seeds"},
			&cli.IntFlag{Name: "machines", Value: 4, Usage: "processes of the system"},
			&cli.IntFlag{Name: "workers", Value: 12, Usage: "workers"},
			&cli.DurationFlag{Name: "for", Value: 20 * time.Second, Usage: "how long load and faults last"},
			&cli.FloatFlag{Name: "rate", Value: 6, Usage: "jobs a second"},
		},
		Action: run,
	})
}

func run(_ context.Context, cmd *cli.Command) error {
	broken := 0
	for n := range uint64(cmd.Int("seeds")) {
		seed := cmd.Uint64("first") + n
		dir := filepath.Join(cmd.String("dir"), fmt.Sprint(seed))
		if err := os.MkdirAll(dir, 0o755); err != nil {
			return eris.Wrap(soak.ErrSetup, err.Error())
		}
		r, err := soak.Run(soak.Options{
			Program: cmd.String("program"), Dir: dir, Seed: seed, Machines: cmd.Int("machines"), Workers: cmd.Int("workers"),
			For: cmd.Duration("for"), Settle: 40 * time.Second, PerSecond: cmd.Float("rate"),
		})
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintf(cmd.Root().Writer, "seed %d: %d jobs, %d accepted, %d complete, %d unclear, %d starts, %d faults injected, %d promises broken\n",
			r.Seed, r.Jobs, r.Accepted, r.Complete, r.Unclear, r.Starts, len(r.Series), len(r.Faults))
		for _, f := range r.Faults {
			broken++
			_, _ = fmt.Fprintln(cmd.Root().Writer, "  "+f)
		}
	}
	if broken > 0 {
		return errBroken
	}
	return nil
}
