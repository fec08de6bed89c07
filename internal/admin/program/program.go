// Package program runs the administration API as a program of its own: settings
// in, listeners and a drained shutdown out.
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

// maxRecordDelay is the longest that a program waits for another to enter a ruling.
const maxRecordDelay = 4 * time.Second

// Command gives the program's command line.
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
	// api is the operators' own listener; nil when they use the node's.
	api *node.Listener
}

// New builds the program and opens its listeners. A file that can't be used is a
// *process.SettingError; other errors are of package node.
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
	trail := audit.New(audit.Options{Log: n.Log, Retention: s.Retention, MaxEntries: s.Keep, Logger: logger})
	return &Program{
		Node: n, trail: trail, api: own,
		recorder: audit.NewRecorder(n.RawLog, trail, recordDelay(n.Self.ID), logger),
		Admin: admin.New(admin.Options{
			Configs: n.Configs, Trail: trail, Hosts: n.Hosts, Schedulers: admin.OverLinks(n.Pool),
			Auth: who, Logger: logger,
		}),
	}, nil
}

// recordDelay spreads the programs' delays, so that one of them writes first.
func recordDelay(id model.HostID) time.Duration {
	return time.Duration(xxhash.Sum64String(string(id)) % uint64(maxRecordDelay))
}

// APIAddr gives the address that operators connect to.
func (p *Program) APIAddr() string {
	if p.api == nil {
		return p.Node.Addr()
	}
	return p.api.Addr()
}

// Run serves until ctx ends, then drains and returns.
func (p *Program) Run(ctx context.Context) error {
	mux := http.NewServeMux()
	p.Node.RegisterHandlers(mux, p.trail.CaughtUp)
	if p.api == nil {
		mux.Handle("/v1/", p.Admin)
	}
	return p.Node.Run(ctx, mux, p.work, p.drain)
}

// work keeps the trail and serves operators until ctx ends.
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

// drain waits for the open calls of the operators' listener.
func (p *Program) drain(ctx context.Context) error {
	if p.api == nil {
		return nil
	}
	return p.api.Shutdown(ctx)
}
