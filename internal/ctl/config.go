package ctl

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/urfave/cli/v3"

	"coltsfootmux/internal/admin"
	"coltsfootmux/internal/config"
)

const (
	flagReason = "reason"
	flagBase   = "base"
	flagForce  = "force"
	flagWait   = "wait"
)

// waitSeconds is how long --wait waits for all hosts.
const waitSeconds = 20

func configCommand() *cli.Command {
	return &cli.Command{
		Name: "config", Usage: "show, check and publish the configuration",
		Commands: []*cli.Command{
			{Name: "show", Usage: "write the document in force", Action: action(showConfig)},
			{Name: "diff", Usage: "compare a file with the document in force", ArgsUsage: "FILE", Action: action(diffConfig)},
			{Name: "validate", Usage: "check a file", ArgsUsage: "FILE", Action: action(validateConfig)},
			{
				Name: "publish", Usage: "put a file into force", ArgsUsage: "FILE", Action: action(publishConfig),
				Flags: append(
					changeFlags(),
					&cli.Uint64Flag{Name: flagBase, Required: true, Usage: "version that the file is based on; 0 for the first"},
					&cli.BoolFlag{Name: flagForce, Usage: "put it into force over every version; only after the log has lost the configuration"},
				),
			},
		},
	}
}

// changeFlags gives the flags of commands that change the configuration.
func changeFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: flagReason, Required: true, Usage: "why; it is kept in the audit trail"},
		&cli.BoolFlag{Name: flagWait, Usage: "wait until every host has it in force, and list the hosts"},
	}
}

func showConfig(ctx context.Context, _ *cli.Command, c *Client, p *printer) error {
	out, err := get[admin.ConfigResponse](ctx, c, "v1/config", nil)
	if err != nil {
		return err
	}
	return p.line(out, "# version %d\n%s", out.Version, out.Document)
}

// readFile reads the file of the only argument; "-" is the standard input.
func readFile(cmd *cli.Command) (string, error) {
	name, err := oneArg(cmd, "the file of the document")
	if err != nil {
		return "", err
	}
	var b []byte
	if name == "-" {
		b, err = io.ReadAll(io.LimitReader(cmd.Root().Reader, config.MaxTextBytes+1))
	} else {
		b, err = os.ReadFile(name)
	}
	if err != nil {
		return "", usage(err.Error())
	}
	return string(b), nil
}

func diffConfig(ctx context.Context, cmd *cli.Command, c *Client, p *printer) error {
	text, err := readFile(cmd)
	if err != nil {
		return err
	}
	out, err := post[admin.DiffResponse](ctx, c, "v1/config/diff", admin.DocumentRequest{Document: text})
	if err != nil {
		return err
	}
	return printChanges(p, out, out.Changes)
}

func printChanges(p *printer, v any, changes []config.Change) error {
	return p.print(v, table.Row{"path", "before", "after"}, func(t table.Writer) {
		for _, c := range changes {
			t.AppendRow(table.Row{c.Path, c.Before, c.After})
		}
	})
}

func validateConfig(ctx context.Context, cmd *cli.Command, c *Client, p *printer) error {
	text, err := readFile(cmd)
	if err != nil {
		return err
	}
	if _, err := post[struct{}](ctx, c, "v1/config/validate", admin.DocumentRequest{Document: text}); err != nil {
		return err
	}
	return p.line(struct {
		Valid bool `json:"valid"`
	}{true}, "valid")
}

func publishConfig(ctx context.Context, cmd *cli.Command, c *Client, p *printer) error {
	text, err := readFile(cmd)
	if err != nil {
		return err
	}
	out, err := post[admin.ChangeResponse](ctx, c, "v1/config", admin.PublishRequest{
		Base: config.Version(cmd.Uint64(flagBase)), Reason: cmd.String(flagReason), Document: text, WaitSeconds: wait(cmd),
		Force: cmd.Bool(flagForce),
	})
	if err != nil {
		return err
	}
	return printChanged(p, out)
}

func wait(cmd *cli.Command) int {
	if cmd.Bool(flagWait) {
		return waitSeconds
	}
	return 0
}

// printChanged reports a change. One whose fate is open, or that is not yet in
// force everywhere though asked for, ends with its own exit status.
func printChanged(p *printer, out *admin.ChangeResponse) error {
	if err := p.line(out, "%s: version %d, %d changes, record %s", out.State, out.Version, len(out.Changes), out.ID); err != nil {
		return err
	}
	behind := 0
	for _, h := range out.Hosts {
		if h.Version < out.Version {
			behind++
		}
	}
	if len(out.Hosts) > 0 && !p.json {
		if err := printHosts(p, out); err != nil {
			return err
		}
	}
	switch {
	case out.State != "accepted":
		return &Failure{Status: exitPending, Text: "the change may still come into force; look for its record in the audit trail"}
	case behind > 0:
		return &Failure{Status: exitPending, Text: fmt.Sprintf("%d hosts do not have it in force yet", behind)}
	}
	return nil
}

func printHosts(p *printer, out *admin.ChangeResponse) error {
	return p.print(out.Hosts, table.Row{"host", "version", "in force"}, func(t table.Writer) {
		for _, h := range out.Hosts {
			t.AppendRow(table.Row{h.Host, h.Version, h.Version >= out.Version})
		}
	})
}
