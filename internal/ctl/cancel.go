package ctl

import (
	"context"
	"net/url"

	"github.com/urfave/cli/v3"

	"coltsfootmux/internal/admin"
)

func cancelCommand() *cli.Command {
	return &cli.Command{
		Name: "cancel", Usage: "cancel a job or request of the token's own account", ArgsUsage: "KEY",
		Flags: []cli.Flag{accountFlag()}, Action: action(cancelJob),
	}
}

func cancelJob(ctx context.Context, cmd *cli.Command, c *Client, p *printer) error {
	key, err := oneArg(cmd, "the key of the job or request")
	if err != nil {
		return err
	}
	query := url.Values{}
	if a := cmd.String(flagAccount); a != "" {
		query.Set("account", a)
	}
	out, err := post[admin.CancelResponse](ctx, c, "v1/jobs/"+url.PathEscape(key)+"/cancel?"+query.Encode(), nil)
	if err != nil {
		return err
	}
	if !out.Done {
		return &Failure{Status: exitFailed, Text: "not cancelled: " + string(out.Reason)}
	}
	return p.printLine(out, "cancelled %s", key)
}
