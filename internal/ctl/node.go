package ctl

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/urfave/cli/v3"

	"coltsfootmux/internal/overview"
)

// pathStatus is the path of the status page that an instance on the platform
// serves on its metrics address.
const pathStatus = "status"

func nodeCommand() *cli.Command {
	return &cli.Command{
		Name: "node", Usage: "show an instance on the platform; --server is the URL of its metrics address",
		Commands: []*cli.Command{
			{Name: "show", Usage: "show the instance, the term and the term's owner", Action: action(showNode)},
			{Name: "workers", Usage: "list the owned cell's workers, their state and free capacity", Action: action(showNodeWorkers)},
			{Name: "jobs", Usage: "list the owned cell's open jobs and why they wait", Action: action(showNodeJobs)},
			{Name: "accounts", Usage: "list the client accounts and their shares of the owned cell's workers", Action: action(showNodeAccounts)},
			explainCommand(),
			{Name: "interference", Usage: "list the tasks of the owned cell that slow each other down on one worker", Action: action(showNodeInterference)},
		},
	}
}

func showNode(ctx context.Context, _ *cli.Command, c *Client, p *printer) error {
	n, err := get[overview.Instance](ctx, c, pathStatus, nil)
	if err != nil {
		return err
	}
	return p.print(n, table.Row{"instance", "ready", "store", "policy", "policy age", "drained", "term", "owner", "owner's address"}, func(t table.Writer) {
		age := time.Duration(n.PolicyAgeMS) * time.Millisecond
		t.AppendRow(table.Row{n.Incarnation, n.Ready, n.StoreReachable, n.PolicyVersion, age, strings.Join(n.DrainedDataCentres, ", "), n.Term, n.Owner, n.OwnerAddr})
	})
}

func showNodeWorkers(ctx context.Context, _ *cli.Command, c *Client, p *printer) error {
	n, err := get[overview.Instance](ctx, c, pathStatus, nil)
	if err != nil {
		return err
	}
	if n.Cell == nil {
		return p.printLine(n, "%s does not own the cell; ask the instance at %s", n.Name, n.OwnerAddr)
	}
	return p.print(n.Cell.Workers, table.Row{"worker", "pool", "rack", "state", "runs", "free cores", "free MB", "free acc", "speed"}, func(t table.Writer) {
		for _, w := range n.Cell.Workers {
			t.AppendRow(table.Row{w.ID, w.Pool, w.Rack, w.State, w.Runs, float64(w.FreeCPU) / 1000, w.FreeMemMB, w.FreeGPU, speedText(w.SpeedPercent)})
		}
	})
}

func showNodeJobs(ctx context.Context, _ *cli.Command, c *Client, p *printer) error {
	n, err := get[overview.Instance](ctx, c, pathStatus, nil)
	if err != nil {
		return err
	}
	if n.Cell == nil {
		return p.printLine(n, "%s does not own the cell; ask the instance at %s", n.Name, n.OwnerAddr)
	}
	return p.print(n.Cell.Jobs, table.Row{"job", "queue", "account", "priority", "age", "running", "waiting", "why"}, func(t table.Writer) {
		for _, j := range n.Cell.Jobs {
			age := time.Duration(j.AgeMS) * time.Millisecond
			t.AppendRow(table.Row{j.ID, j.Queue, j.Account, j.Priority, age, j.Running, j.Waiting, j.WaitReason})
		}
	})
}

func showNodeAccounts(ctx context.Context, _ *cli.Command, c *Client, p *printer) error {
	n, err := get[overview.Instance](ctx, c, pathStatus, nil)
	if err != nil {
		return err
	}
	if n.Cell == nil {
		return p.printLine(n, "%s does not own the cell; ask the instance at %s", n.Name, n.OwnerAddr)
	}
	if len(n.Cell.Accounts) == 0 {
		return p.printLine(n.Cell.Accounts, "%s does not read the shares of accounts; account-overuse is 0", n.Name)
	}
	return p.print(n.Cell.Accounts, table.Row{"account", "guarantee", "usage of share", "waiting jobs", "over"}, func(t table.Writer) {
		for _, a := range n.Cell.Accounts {
			t.AppendRow(table.Row{a.Name, a.GuaranteedGPU, strconv.FormatFloat(a.UsageOfShare, 'f', 2, 64), a.WaitingJobs, a.OverShare})
		}
	})
}

// speedText returns a worker's speed in percent as it is shown.
func speedText(percent int) string {
	if percent == 0 {
		return "-"
	}
	return strconv.Itoa(percent)
}
