package ctl

import (
	"context"
	"net/url"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/urfave/cli/v3"

	"coltsfootmux/internal/admin"
	"coltsfootmux/internal/config"
	"coltsfootmux/internal/model"
)

const (
	flagAccount     = "account"
	flagKind        = "kind"
	flagExpires     = "expires"
	flagLongestWait = "longest-wait"
	flagRate        = "rate-per-second"
	flagConcurrency = "concurrency"
	flagQueueBound  = "queue-bound"
	flagClass       = "class"
)

func exceptionCommand() *cli.Command {
	add := []cli.Flag{
		&cli.StringFlag{Name: flagAccount, Usage: "client account that the exception applies to; all if omitted"},
		&cli.StringFlag{Name: flagKind, Usage: "kind of work that the exception applies to; all if omitted"},
		&cli.StringFlag{Name: flagExpires, Usage: "when the exception ends: a time such as 2026-12-31T00:00:00Z, or a duration from now such as 36h"},
		&cli.DurationFlag{Name: flagLongestWait, Usage: "maximum time that work may wait to be started"},
		&cli.FloatFlag{Name: flagRate, Usage: "maximum requests per second that one entry host accepts"},
		&cli.IntFlag{Name: flagConcurrency, Usage: "maximum number of concurrent requests that one entry host holds"},
		&cli.IntFlag{Name: flagQueueBound, Usage: "maximum number of queued items of work at one scheduler"},
		&cli.StringFlag{Name: flagClass, Usage: "class of the work: batch, normal or urgent"},
	}
	return &cli.Command{
		Name: "exception", Usage: "add, list and remove exceptions",
		Commands: []*cli.Command{
			{Name: "add", Usage: "add an exception, or replace the one with the same id", ArgsUsage: "ID", Flags: append(changeFlags(), add...), Action: action(addException)},
			{Name: "list", Usage: "list the exceptions", Action: action(listExceptions)},
			{Name: "remove", Usage: "remove an exception", ArgsUsage: "ID", Flags: changeFlags()[:1], Action: action(removeException)},
		},
	}
}

func addException(ctx context.Context, cmd *cli.Command, c *Client, p *printer) error {
	id, err := oneArg(cmd, "the exception's id")
	if err != nil {
		return err
	}
	e := config.Exception{
		ID: id, Reason: cmd.String(flagReason),
		Account: model.Account(cmd.String(flagAccount)), Kind: model.Kind(cmd.String(flagKind)),
	}
	if e.Expires, err = expiry(cmd); err != nil {
		return err
	}
	setOverrides(cmd, &e)
	out, err := post[admin.ChangeResponse](ctx, c, "v1/exceptions", admin.ExceptionRequest{Exception: e, WaitSeconds: requestedWaitSeconds(cmd)})
	if err != nil {
		return err
	}
	return printOutcome(p, out)
}

// setOverrides sets the fields of e whose flags were given; the others stay nil
// and override nothing.
func setOverrides(cmd *cli.Command, e *config.Exception) {
	if cmd.IsSet(flagLongestWait) {
		d := config.Duration(cmd.Duration(flagLongestWait))
		e.LongestWait = &d
	}
	if cmd.IsSet(flagRate) {
		r := cmd.Float(flagRate)
		e.RatePerSecond = &r
	}
	if cmd.IsSet(flagConcurrency) {
		n := cmd.Int(flagConcurrency)
		e.Concurrency = &n
	}
	if cmd.IsSet(flagQueueBound) {
		n := cmd.Int(flagQueueBound)
		e.QueueBound = &n
	}
	if cmd.IsSet(flagClass) {
		s := cmd.String(flagClass)
		e.Class = &s
	}
}

// expiry returns the time given by --expires, either directly or as a duration
// from now. It returns the zero time if the flag is not set.
func expiry(cmd *cli.Command) (time.Time, error) {
	text := cmd.String(flagExpires)
	if text == "" {
		return time.Time{}, nil
	}
	if d, err := time.ParseDuration(text); err == nil {
		return time.Now().Add(d).UTC().Truncate(time.Second), nil
	}
	at, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return at, usageError("--expires: expected a time such as 2026-12-31T00:00:00Z or a duration such as 36h")
	}
	return at, nil
}

func listExceptions(ctx context.Context, _ *cli.Command, c *Client, p *printer) error {
	out, err := get[admin.ExceptionsResponse](ctx, c, "v1/exceptions", nil)
	if err != nil {
		return err
	}
	return p.print(out, table.Row{"id", "account", "kind", "place", "drain", "expires", "reason"}, func(t table.Writer) {
		for _, e := range out.Exceptions {
			t.AppendRow(table.Row{e.ID, e.Account, e.Kind, placeText(&e), e.Drain != nil && *e.Drain, expiresText(e.Expires), e.Reason})
		}
	})
}

// placeText returns the worker, cell or data centre that the exception applies
// to, or an empty string.
func placeText(e *config.Exception) string {
	switch {
	case e.Worker != "":
		return "worker " + string(e.Worker)
	case e.Cell != "":
		return "cell " + string(e.Cell)
	case e.DataCentre != "":
		return "data centre " + string(e.DataCentre)
	}
	return ""
}

func expiresText(at time.Time) string {
	if at.IsZero() {
		return "never"
	}
	return at.UTC().Format(time.RFC3339)
}

func removeException(ctx context.Context, cmd *cli.Command, c *Client, p *printer) error {
	id, err := oneArg(cmd, "the exception's id")
	if err != nil {
		return err
	}
	query := url.Values{"reason": {cmd.String(flagReason)}}
	s := c.base.New().Delete("v1/exceptions/" + url.PathEscape(id) + "?" + query.Encode())
	out, err := call[admin.ChangeResponse](ctx, s)
	if err != nil {
		return err
	}
	return printOutcome(p, out)
}
