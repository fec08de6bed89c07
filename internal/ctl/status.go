package ctl

import (
	"context"
	"fmt"
	"net/url"
	"strconv"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/urfave/cli/v3"

	"coltsfootmux/internal/admin"
)

const flagLimit = "limit"

const defaultLimit = 100

func limitFlag() cli.Flag {
	return &cli.IntFlag{Name: flagLimit, Value: defaultLimit, Usage: "maximum number of entries to list, up to 1000"}
}

func accountFlag() cli.Flag {
	return &cli.StringFlag{Name: flagAccount, Usage: "client account; the token's own if omitted"}
}

func statusCommand() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "show accounts, cells, workers and jobs",
		Commands: []*cli.Command{
			{Name: "accounts", Usage: "guaranteed, used and lent capacity and waiting work of each account", Action: action(showAccounts)},
			{Name: "cells", Usage: "owner, epoch, free and total capacity and fragmentation of each cell", Action: action(showCells)},
			{Name: "workers", Usage: "state and free capacity of each worker", Action: action(showWorkers)},
			{Name: "jobs", Usage: "an account's work and why it waits", Flags: []cli.Flag{accountFlag(), limitFlag()}, Action: action(showJobs)},
		},
	}
}

func showAccounts(ctx context.Context, _ *cli.Command, c *Client, p *printer) error {
	out, err := get[admin.AccountsResponse](ctx, c, "v1/status/accounts", nil)
	if err != nil {
		return err
	}
	err = p.print(out, table.Row{"account", "guaranteed", "used", "lent", "waiting"}, func(t table.Writer) {
		for _, a := range out.Accounts {
			t.AppendRow(table.Row{a.ID, shapeText(a.Guaranteed), shapeText(a.Used), shapeText(a.Lent), a.Waiting})
		}
	})
	if err != nil {
		return err
	}
	return p.printUnanswered(out.Unanswered)
}

func showCells(ctx context.Context, _ *cli.Command, c *Client, p *printer) error {
	out, err := get[admin.CellsResponse](ctx, c, "v1/status/cells", nil)
	if err != nil {
		return err
	}
	err = p.print(out, table.Row{"cell", "owner", "epoch", "free", "total", "fragmentation"}, func(t table.Writer) {
		for _, x := range out.Cells {
			t.AppendRow(table.Row{x.ID, x.Owner, x.Epoch, shapeText(x.Free), shapeText(x.Total), fmt.Sprintf("%.2f", x.Fragmentation)})
		}
	})
	if err != nil {
		return err
	}
	return p.printUnanswered(out.Unanswered)
}

func showWorkers(ctx context.Context, _ *cli.Command, c *Client, p *printer) error {
	out, err := get[admin.WorkersResponse](ctx, c, "v1/status/workers", nil)
	if err != nil {
		return err
	}
	err = p.print(out, table.Row{"worker", "cell", "state", "free", "tasks", "drained"}, func(t table.Writer) {
		for _, x := range out.Workers {
			t.AppendRow(table.Row{x.ID, x.Cell, x.State, shapeText(x.Free), x.Tasks, x.Drained})
		}
	})
	if err != nil {
		return err
	}
	return p.printUnanswered(out.Unanswered)
}

func showJobs(ctx context.Context, cmd *cli.Command, c *Client, p *printer) error {
	query := url.Values{"limit": {strconv.Itoa(cmd.Int(flagLimit))}}
	if a := cmd.String(flagAccount); a != "" {
		query.Set("account", a)
	}
	out, err := get[admin.JobsResponse](ctx, c, "v1/status/jobs", query)
	if err != nil {
		return err
	}
	err = p.print(out, table.Row{"key", "account", "kind", "state", "members", "why"}, func(t table.Writer) {
		for _, j := range out.Jobs {
			t.AppendRow(table.Row{j.Key, j.Account, j.Kind, j.State, j.Members, j.StateReason})
		}
	})
	if err != nil {
		return err
	}
	return p.printUnanswered(out.Unanswered)
}
