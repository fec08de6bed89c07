package ctl

import (
	"context"
	"fmt"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/urfave/cli/v3"

	"coltsfootmux/internal/overview"
)

func showNodeInterference(ctx context.Context, _ *cli.Command, c *Client, p *printer) error {
	n, err := get[overview.Instance](ctx, c, pathStatus, nil)
	if err != nil {
		return err
	}
	if n.Cell == nil {
		return p.printLine(n, "%s does not own the cell; ask the instance at %s", n.Name, n.OwnerAddr)
	}
	return p.print(n.Cell.Interference, table.Row{"victim", "neighbour", "slowdown", "error", "runs with", "runs without"}, func(t table.Writer) {
		for _, i := range n.Cell.Interference {
			t.AppendRow(table.Row{
				i.Victim, i.Neighbour, fmt.Sprintf("%.2f", i.Slowdown), fmt.Sprintf("%.3f", i.Error),
				fmt.Sprintf("%.0f", i.RunsWith), fmt.Sprintf("%.0f", i.RunsWithout),
			})
		}
	})
}
