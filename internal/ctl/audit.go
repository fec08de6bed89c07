package ctl

import (
	"context"
	"net/url"
	"strconv"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/urfave/cli/v3"

	"coltsfootmux/internal/admin"
)

const (
	flagAuthor = "author"
	flagRuling = "ruling"
	flagPath   = "path"
	flagSince  = "since"
	flagUntil  = "until"
)

func auditCommand() *cli.Command {
	return &cli.Command{
		Name: "audit", Usage: "list attempted changes, newest first",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagAuthor, Usage: "author of the change"},
			&cli.StringFlag{Name: flagRuling, Usage: "outcome of the change: accepted, conflict, refused or pending"},
			&cli.StringFlag{Name: flagPath, Usage: "part of a changed configuration path, such as an account's name"},
			&cli.StringFlag{Name: flagSince, Usage: "changes at or after this time, such as 2026-12-31T00:00:00Z"},
			&cli.StringFlag{Name: flagUntil, Usage: "changes before this time"},
			limitFlag(),
		},
		Action: action(showAudit),
	}
}

func showAudit(ctx context.Context, cmd *cli.Command, c *Client, p *printer) error {
	query := url.Values{"limit": {strconv.Itoa(cmd.Int(flagLimit))}}
	for _, name := range []string{flagAuthor, flagRuling, flagPath, flagSince, flagUntil} {
		if v := cmd.String(name); v != "" {
			query.Set(name, v)
		}
	}
	out, err := get[admin.AuditResponse](ctx, c, "v1/audit", query)
	if err != nil {
		return err
	}
	return p.print(out, table.Row{"at", "author", "ruling", "version", "change", "reason", "why"}, func(t table.Writer) {
		for _, e := range out.Entries {
			path := ""
			if len(e.Changes) > 0 {
				path = e.Changes[0].Path
			}
			if n := len(e.Changes) + e.More; n > 1 {
				path += " and " + strconv.Itoa(n-1) + " more"
			}
			t.AppendRow(table.Row{e.At.UTC().Format(time.RFC3339), e.Author, e.Ruling, e.Version, path, e.Reason, e.Why})
		}
	})
}
