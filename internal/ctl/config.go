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

// waitSeconds is how long --wait waits until all hosts use the new version.
const waitSeconds = 20

func configCommand() *cli.Command {
	return &cli.Command{
		Name: "config", Usage: "show, check and publish the configuration",
		Commands: []*cli.Command{
			{Name: "show", Usage: "print the configuration document in force", Action: action(showConfig)},
			{Name: "diff", Usage: "compare a file with the configuration document in force", ArgsUsage: "FILE", Action: action(diffConfig)},
			{Name: "validate", Usage: "check a configuration document", ArgsUsage: "FILE", Action: action(validateConfig)},
			{
				Name: "publish", Usage: "publish a file as the new configuration document", ArgsUsage: "FILE", Action: action(publishConfig),
				Flags: append(
					changeFlags(),
					&cli.Uint64Flag{Name: flagBase, Required: true, Usage: "version that the file is based on; 0 for the first document"},
					&cli.BoolFlag{Name: flagForce, Usage: "supersede every version that any host has; use only after the log has lost the configuration"},
				),
			},
		},
	}
}

// changeFlags returns the flags of the commands that change the configuration,
// --reason first.
func changeFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: flagReason, Required: true, Usage: "reason for the change, kept in the audit trail"},
		&cli.BoolFlag{Name: flagWait, Usage: "wait until the change is in force on every host, and list the hosts"},
	}
}

func showConfig(ctx context.Context, _ *cli.Command, c *Client, p *printer) error {
	out, err := get[admin.ConfigResponse](ctx, c, "v1/config", nil)
	if err != nil {
		return err
	}
	return p.printLine(out, "# version %d\n%s", out.Version, out.Document)
}

// readFile returns the content of the file named by the single argument; "-"
// stands for standard input.
func readFile(cmd *cli.Command) (string, error) {
	name, err := oneArg(cmd, "the file with the configuration document")
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
		return "", usageError(err.Error())
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
	return p.printLine(struct {
		Valid bool `json:"valid"`
	}{true}, "valid")
}

func publishConfig(ctx context.Context, cmd *cli.Command, c *Client, p *printer) error {
	text, err := readFile(cmd)
	if err != nil {
		return err
	}
	out, err := post[admin.ChangeResponse](ctx, c, "v1/config", admin.PublishRequest{
		Base: config.Version(cmd.Uint64(flagBase)), Reason: cmd.String(flagReason), Document: text, WaitSeconds: requestedWaitSeconds(cmd),
		Force: cmd.Bool(flagForce),
	})
	if err != nil {
		return err
	}
	return printOutcome(p, out)
}

// requestedWaitSeconds returns how long the server is asked to wait until every
// host has the change in force; 0 without --wait.
func requestedWaitSeconds(cmd *cli.Command) int {
	if cmd.Bool(flagWait) {
		return waitSeconds
	}
	return 0
}

// printOutcome prints the outcome of a change. It returns a failure with status
// exitPending if the change is not known to be accepted yet, or if --wait was
// given and some hosts do not have it in force yet.
func printOutcome(p *printer, out *admin.ChangeResponse) error {
	if err := p.printLine(out, "%s: version %d, %d changes, record %s", out.State, out.Version, len(out.Changes), out.ID); err != nil {
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
		return &Failure{Status: exitPending, Text: "the change may still come into force; look up its record in the audit trail"}
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
