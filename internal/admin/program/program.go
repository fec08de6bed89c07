// Package program is the administration program: it reads the settings, serves the
// administration API, keeps the audit trail, and shuts down gracefully.
package program

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"coltsfootmux/internal/admin"
	"coltsfootmux/internal/audit"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/node"
	"coltsfootmux/internal/process"
)

// maxRecordDelay bounds how long a program waits for another one to add the audit
// entry of a ruling before it does so itself.
const maxRecordDelay = 4 * time.Second

// Command returns the program's command line.
func Command() *cli.Command {
	return &cli.Command{
		Name:   "coltsfootmux-admin",
		Usage:  "serve the administration API and keep the audit trail",
		Flags:  Flags(),
		Action: process.Action(FromCommand, New),
	}
}

// Program is one administration program.
type Program struct {
	Node  *node.Node
	Admin *admin.Server

	trail    *audit.Trail
	recorder *audit.Recorder
	// api is the separate listener for operators; nil if they use the node's.
	api *node.Listener
}

// New builds the program and opens its listeners. The error is a
// *process.SettingError if a file can't be used, or else comes from package node.
func New(s Settings, logger *slog.Logger) (*Program, error) {
	who, err := s.API.Authenticator(logger)
	if err != nil {
		return nil, err
	}
	own, err := s.API.OpenListener(logger)
	if err != nil {
		return nil, err
	}
	n, err := node.New(s.Node, model.RoleAdmin, logger)
	if err != nil {
		return nil, err
	}
	trail := audit.New(audit.Options{Log: n.Log, Retention: s.Retention, MaxEntries: s.MaxAuditEntries, Logger: logger})
	return &Program{
		Node: n, trail: trail, api: own,
		recorder: audit.NewRecorder(n.RawLog, trail, recordDelay(n.Self.ID), logger),
		Admin: admin.New(admin.Options{
			Configs: n.Configs, Trail: trail, Hosts: n.Hosts, Schedulers: admin.NewLinkSchedulers(n.Pool),
			Auth: who, Logger: logger,
		}),
	}, nil
}

// recordDelay derives a program's delay from its host id, so that the delays differ
// and usually only one program writes an entry.
func recordDelay(id model.HostID) time.Duration {
	return time.Duration(xxhash.Sum64String(string(id)) % uint64(maxRecordDelay))
}

// APIAddr returns the address that operators connect to.
func (p *Program) APIAddr() string {
	if p.api == nil {
		return p.Node.Addr()
	}
	return p.api.Addr()
}

// Run serves until ctx is done, then waits for open requests and returns.
func (p *Program) Run(ctx context.Context) error {
	mux := http.NewServeMux()
	p.Node.RegisterHandlers(mux, p.trail.CaughtUp)
	if p.api == nil {
		mux.Handle("/v1/", p.Admin)
	}
	return p.Node.Run(ctx, mux, p.work, p.drain)
}

// work maintains the audit trail and serves operators until ctx is done.
func (p *Program) work(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return p.trail.Run(ctx) })
	g.Go(func() error { return p.recorder.Run(ctx) })
	if p.api != nil {
		g.Go(func() error { return p.api.Serve(p.Admin) })
		g.Go(func() error {
			<-ctx.Done()
			return p.api.Close()
		})
	}
	return g.Wait()
}

// drain shuts the operators' listener down once its open requests have finished.
func (p *Program) drain(ctx context.Context) error {
	if p.api == nil {
		return nil
	}
	return p.api.Shutdown(ctx)
}
