package program

import (
	"context"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/urfave/cli/v3"

	"coltsfootmux/internal/dev"
	"coltsfootmux/internal/process"
)

const (
	flagInFlight     = "in-flight"
	defaultPointTime = 3 * time.Second
)

func pathCommand() *cli.Command {
	return &cli.Command{
		Name:  "path",
		Usage: "compare requests through the entry and scheduler with starting the same tasks directly, in one process",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: flagFor, Value: defaultPointTime, Usage: "how long each number of open requests is measured, such as 3s"},
			&cli.IntSliceFlag{Name: flagInFlight, Value: []int{10, 25, 50, 100, 200, 400}, Usage: "numbers of requests kept open"},
		},
		Action: measurePath,
	}
}

func measurePath(ctx context.Context, cmd *cli.Command) error {
	logger, err := process.Logger(cmd, cmd.Root().ErrWriter)
	if err != nil {
		return err
	}
	b := &dev.PathBench{PointTime: cmd.Duration(flagFor), InFlight: cmd.IntSlice(flagInFlight), Logger: logger}
	points, err := b.Run(ctx)
	if err != nil {
		return err
	}
	tw := table.NewWriter()
	tw.SetOutputMirror(cmd.Root().Writer)
	tw.AppendHeader(table.Row{"in flight", "way", "requests", "per second", "p50", "p99", "failed"})
	for _, p := range points {
		tw.AppendRow(table.Row{p.InFlight, p.Route, p.Requests, int(p.RequestsPerSecond), p.P50, p.P99, p.Failed})
	}
	tw.Render()
	return nil
}
