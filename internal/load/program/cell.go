package program

import (
	"context"
	"runtime"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"coltsfootmux/internal/cellplay"
	"coltsfootmux/internal/process"
)

const (
	flagWorkers          = "workers"
	flagLoad             = "load"
	flagSeeds            = "seeds"
	flagRejecting        = "rejecting"
	defaultArrivalPeriod = 2 * time.Minute
	// maxWorkers bounds the workers of a simulation; it is several times what one
	// cell has.
	maxWorkers = 4096
)

func cellCommand() *cli.Command {
	return &cli.Command{
		Name:  "cell",
		Usage: "simulate the cell's core in virtual time, by ranking, load and number of workers",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagMix, Usage: "simulate only this mix (default: all for small fleets; cooperative-large needs hundreds of workers)"},
			&cli.IntSliceFlag{Name: flagWorkers, Value: []int{48}, Usage: "numbers of workers"},
			&cli.FloatSliceFlag{Name: flagLoad, Value: []float64{1}, Usage: "factors on the rates of the mix"},
			&cli.DurationFlag{Name: flagFor, Value: defaultArrivalPeriod, Usage: "how long jobs arrive, such as 2m"},
			&cli.FloatFlag{Name: flagRejecting, Usage: "share of the workers that fail every task in the middle third of that time"},
			&cli.IntFlag{Name: flagSeeds, Value: 1, Usage: "number of traces for each mix, load and number of workers"},
		},
		Action: simulateCells,
	}
}

func simulateCells(_ context.Context, cmd *cli.Command) error {
	mixes, err := chosenMixes(cmd.String(flagMix))
	if err != nil {
		return err
	}
	params, err := chosenParams(cmd)
	if err != nil {
		return err
	}
	out := cmd.Root().Writer
	for _, m := range mixes {
		for _, rs := range simulateAll(&m, params) {
			cellplay.WriteTable(out, rs)
		}
	}
	return nil
}

func chosenMixes(name string) ([]cellplay.Mix, error) {
	all := cellplay.Mixes()
	if name == "" {
		return all, nil
	}
	all = append(all, cellplay.LargeCooperative(), cellplay.Lending())
	i := slices.IndexFunc(all, func(m cellplay.Mix) bool { return m.Name == name })
	if i >= 0 {
		return all[i : i+1], nil
	}
	var names []string
	for _, m := range all {
		names = append(names, m.Name)
	}
	return nil, &process.SettingError{Flag: flagMix, Value: name, Allowed: "one of " + strings.Join(names, ", ")}
}

// chosenParams returns the parameters for every combination of number of workers,
// load and seed.
func chosenParams(cmd *cli.Command) ([]cellplay.Params, error) {
	span, seeds := cmd.Duration(flagFor), cmd.Int(flagSeeds)
	if span <= 0 {
		return nil, &process.SettingError{Flag: flagFor, Value: span, Allowed: "a positive duration"}
	}
	if seeds < 1 {
		return nil, &process.SettingError{Flag: flagSeeds, Value: seeds, Allowed: "at least 1"}
	}
	rejecting := cmd.Float(flagRejecting)
	if rejecting < 0 || rejecting > 1 {
		return nil, &process.SettingError{Flag: flagRejecting, Value: rejecting, Allowed: "0 to 1"}
	}
	var out []cellplay.Params
	for _, workers := range cmd.IntSlice(flagWorkers) {
		if workers < 1 || workers > maxWorkers {
			return nil, &process.SettingError{Flag: flagWorkers, Value: workers, Allowed: "1 to 4096"}
		}
		for _, load := range cmd.FloatSlice(flagLoad) {
			if load <= 0 {
				return nil, &process.SettingError{Flag: flagLoad, Value: load, Allowed: "more than 0"}
			}
			for seed := range seeds {
				out = append(out, cellplay.Params{Workers: workers, Load: load, ArrivalPeriod: span, Seed: uint64(seed), RejectingShare: rejecting})
			}
		}
	}
	return out, nil
}

// simulateAll simulates a mix with each of the parameters under each ranking,
// several at a time.
func simulateAll(m *cellplay.Mix, params []cellplay.Params) [][]cellplay.Result {
	out := make([][]cellplay.Result, len(params))
	var g errgroup.Group
	g.SetLimit(max(1, runtime.NumCPU()/2))
	for i, s := range params {
		g.Go(func() error {
			out[i] = cellplay.SimulateEach(cellplay.Draw(m, s), cellplay.Rankings())
			return nil
		})
	}
	_ = g.Wait()
	return out
}
