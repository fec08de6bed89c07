// Command coltsfootmux-soak runs randomized soak tests on this machine: separate
// processes of the node program, under injected faults. It fails if a guarantee was
// violated.
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

// settleTime is how long the accepted jobs may take to complete after the end of the load.
// Recurring jobs of the mixed load with tasks far from their data need longer.
const (
	settleTime      = 40 * time.Second
	mixedSettleTime = 90 * time.Second
)

var errViolations = eris.New("guarantees were violated")

func main() {
	process.Main(&cli.Command{
		Name:  "coltsfootmux-soak",
		Usage: "run the node program as separate processes under random faults and check the answers to callers",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "program", Value: "target/coltsfootmux-node", Usage: "path of the node program"},
			&cli.StringFlag{Name: "dir", Value: "soak-logs", Usage: "directory for settings and logs, with a subdirectory for each seed"},
			&cli.Uint64Flag{Name: "first", Value: 1, Usage: "first seed"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "number of seeds"},
			&cli.IntFlag{Name: "machines", Value: 4, Usage: "number of processes of the node program"},
			&cli.IntFlag{Name: "workers", Value: 12, Usage: "number of workers"},
			&cli.DurationFlag{Name: "for", Value: 20 * time.Second, Usage: "duration of load and faults"},
			&cli.BoolFlag{Name: "unfit", Usage: "beside all other faults, faults that last 20 s and by which the owner can't do its work"},
			&cli.BoolFlag{Name: "unfit-alone", Usage: "faults as with --unfit in place of all others; work has to go on beside them"},
			&cli.IntFlag{Name: "unfit-kind", Usage: "with these, only faults of one kind: 1 workers, 2 peers, 3 one-way loss, 4 narrow path, 5 stopped in a cycle, 6 most machines down, 7 all machines short of processor time, 8 the owner stopped past the silence of its links in a cycle, 9 the owner short of processor time; 0 for 1 to 6"},
			&cli.BoolFlag{Name: "pauses", Usage: "single faults of the owner in place of all others, each followed by a quiet time"},
			&cli.BoolFlag{Name: "backlogs", Usage: "in place of all faults, ends of many tasks that workers can't list at once, while the store takes no progress or the owner is replaced"},
			&cli.BoolFlag{Name: "small-records", Usage: "a store that takes small records and appends only, and jobs with many occurrences"},
			&cli.BoolFlag{Name: "calm", Usage: "no faults"},
			&cli.IntFlag{Name: "pause-kind", Usage: "with these, only faults of one kind: 1 pause, 2 pause and another machine killed, 3 pause and a slow store, 4 no path to the advice service; 0 for all"},
			&cli.BoolFlag{Name: "mixed", Usage: "a load of gangs, labels, data on racks, runs that fail and tasks that need advice"},
			&cli.FloatFlag{Name: "width", Usage: "with this load, factor of the number of tasks of a step"},
			&cli.FloatFlag{Name: "work", Usage: "with this load, factor of the work of a task"},
			&cli.DurationFlag{Name: "policy-every", Usage: "time between changes of the policy; 0 for none"},
			&cli.IntFlag{Name: "later", Usage: "with faults of the owner, number of machines that are added during the run"},
			&cli.FloatFlag{Name: "rate", Value: 6, Usage: "jobs submitted per second"},
		},
		Action: run,
	})
}

func run(_ context.Context, cmd *cli.Command) error {
	violations, settle := 0, settleTime
	if cmd.Bool("mixed") {
		settle = mixedSettleTime
	}
	for n := range uint64(cmd.Int("seeds")) {
		seed := cmd.Uint64("first") + n
		dir := filepath.Join(cmd.String("dir"), fmt.Sprint(seed))
		if err := os.MkdirAll(dir, 0o755); err != nil {
			return eris.Wrap(soak.ErrSetup, err.Error())
		}
		r, err := soak.Run(soak.Options{
			Program: cmd.String("program"), Dir: dir, Seed: seed, Machines: cmd.Int("machines"), Workers: cmd.Int("workers"),
			LoadTime: cmd.Duration("for"), SettleTime: settle, JobsPerSecond: cmd.Float("rate"),
			Unfit: cmd.Bool("unfit"), UnfitAlone: cmd.Bool("unfit-alone"), UnfitKind: cmd.Int("unfit-kind"), Later: cmd.Int("later"),
			Pauses: cmd.Bool("pauses"), Calm: cmd.Bool("calm"), Backlogs: cmd.Bool("backlogs"), SmallRecords: cmd.Bool("small-records"), PauseKind: cmd.Int("pause-kind"), PolicyEvery: cmd.Duration("policy-every"),
			Mixed: cmd.Bool("mixed"), WidthFactor: cmd.Float("width"), WorkFactor: cmd.Float("work"),
		})
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintf(cmd.Root().Writer, "seed %d: %d jobs, %d accepted, %d complete, %d unclear, %d starts, %d faults injected, %d partitions, %d guarantees violated; %s\n",
			r.Seed, r.Jobs, r.Accepted, r.Complete, r.OutcomeUnknown, r.Starts, len(r.InjectedFaults), len(r.Partitions), len(r.Violations), r.Stands)
		for _, f := range r.Unfit {
			_, _ = fmt.Fprintln(cmd.Root().Writer, "  "+f)
		}
		for _, f := range r.Violations {
			violations++
			_, _ = fmt.Fprintln(cmd.Root().Writer, "  "+f)
		}
	}
	if violations > 0 {
		return errViolations
	}
	return nil
}
