package ctl

import (
	"context"
	"net/url"

	"github.com/urfave/cli/v3"

	"coltsfootmux/internal/admin"
	"coltsfootmux/internal/model"
)

const (
	flagAddr         = "addr"
	flagSlots        = "slots"
	flagAccelerators = "accelerators"
	flagCPUMilli     = "cpu-milli"
	flagMemoryMB     = "memory-mb"
)

func workerCommand() *cli.Command {
	cell := &cli.StringFlag{Name: flagCell, Required: true, Usage: "cell that the worker is in"}
	number := func(name, usage string) cli.Flag { return &cli.IntFlag{Name: name, Usage: usage} }
	return &cli.Command{
		Name: "worker", Usage: "add, replace and remove individual workers of the fleet",
		Commands: []*cli.Command{
			{
				Name: "put", Usage: "add a worker, or replace the one with the same id", ArgsUsage: "ID", Action: action(putWorker),
				Flags: append(
					changeFlags(), cell,
					&cli.StringFlag{Name: flagAddr, Required: true, Usage: "IP address and port of its task interface"},
					number(flagSlots, "task slots"), number(flagAccelerators, "accelerators"),
					number(flagCPUMilli, "processor time in thousandths of a core"), number(flagMemoryMB, "memory in MiB"),
				),
			},
			{Name: "remove", Usage: "remove a worker from the fleet", ArgsUsage: "ID", Action: action(removeWorker), Flags: append(changeFlags()[:1], cell)},
		},
	}
}

// workerPath returns the API path of the worker that the argument and --cell
// name.
func workerPath(cmd *cli.Command) (string, error) {
	id, err := oneArg(cmd, "the worker's id")
	if err != nil {
		return "", err
	}
	return "v1/cells/" + url.PathEscape(cmd.String(flagCell)) + "/workers/" + url.PathEscape(id), nil
}

func putWorker(ctx context.Context, cmd *cli.Command, c *Client, p *printer) error {
	path, err := workerPath(cmd)
	if err != nil {
		return err
	}
	body := admin.PutWorkerRequest{
		Addr: cmd.String(flagAddr), Reason: cmd.String(flagReason), WaitSeconds: requestedWaitSeconds(cmd),
		Capacity: model.Shape{
			Slots: cmd.Int(flagSlots), Accelerators: cmd.Int(flagAccelerators),
			CPUMilli: cmd.Int(flagCPUMilli), MemoryMB: cmd.Int(flagMemoryMB),
		},
	}
	out, err := call[admin.ChangeResponse](ctx, c.base.New().Put(path).BodyJSON(body))
	if err != nil {
		return err
	}
	return printOutcome(p, out)
}

func removeWorker(ctx context.Context, cmd *cli.Command, c *Client, p *printer) error {
	path, err := workerPath(cmd)
	if err != nil {
		return err
	}
	query := url.Values{"reason": {cmd.String(flagReason)}}
	out, err := call[admin.ChangeResponse](ctx, c.base.New().Delete(path+"?"+query.Encode()))
	if err != nil {
		return err
	}
	return printOutcome(p, out)
}
