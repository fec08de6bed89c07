package ctl

import (
	"context"

	"github.com/urfave/cli/v3"

	"coltsfootmux/internal/admin"
	"coltsfootmux/internal/model"
)

const (
	flagWorker     = "worker"
	flagCell       = "cell"
	flagDataCentre = "data-centre"
)

// placeFlags returns the flags of drain and undrain: those of every change, and
// those that name the worker, cell or data centre.
func placeFlags() []cli.Flag {
	return append(changeFlags(),
		&cli.StringFlag{Name: flagWorker, Usage: "worker id"},
		&cli.StringFlag{Name: flagCell, Usage: "cell id"},
		&cli.StringFlag{Name: flagDataCentre, Usage: "data centre name"},
	)
}

func drainCommand() *cli.Command {
	return &cli.Command{
		Name: "drain", Usage: "stop assigning new work to a worker, cell or data centre",
		Flags: append(placeFlags(), &cli.StringFlag{Name: flagExpires, Usage: "when the drain ends: a time such as 2026-12-31T00:00:00Z, or a duration from now such as 36h"}),
		Action: action(func(ctx context.Context, cmd *cli.Command, c *Client, p *printer) error {
			return changeDrain(ctx, cmd, c, p, "v1/drain")
		}),
	}
}

func undrainCommand() *cli.Command {
	return &cli.Command{
		Name: "undrain", Usage: "end the drain of a worker, cell or data centre",
		Flags: placeFlags(),
		Action: action(func(ctx context.Context, cmd *cli.Command, c *Client, p *printer) error {
			return changeDrain(ctx, cmd, c, p, "v1/undrain")
		}),
	}
}

// changeDrain posts the worker, cell or data centre that the flags name to path,
// which starts or ends its drain.
func changeDrain(ctx context.Context, cmd *cli.Command, c *Client, p *printer, path string) error {
	body := admin.DrainRequest{
		Worker: model.WorkerID(cmd.String(flagWorker)), Cell: model.CellID(cmd.String(flagCell)),
		DataCentre: model.DataCentre(cmd.String(flagDataCentre)), Reason: cmd.String(flagReason), WaitSeconds: requestedWaitSeconds(cmd),
	}
	var err error
	if body.Expires, err = expiry(cmd); err != nil {
		return err
	}
	out, err := post[admin.ChangeResponse](ctx, c, path, body)
	if err != nil {
		return err
	}
	return printOutcome(p, out)
}
