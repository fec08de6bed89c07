// Package program is the program that runs an entry host: it reads the settings,
// opens the listeners and drains the host before it exits.
package program

import (
	"context"
	"log/slog"
	"net/http"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"coltsfootmux/internal/entry"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/node"
	"coltsfootmux/internal/process"
)

// Command returns the program's command line.
func Command() *cli.Command {
	return &cli.Command{
		Name:   "coltsfootmux-entry",
		Usage:  "serve the callers' API: pass each request and job to the scheduler that owns its key, and return the answer",
		Flags:  Flags(),
		Action: process.Action(FromCommand, New),
	}
}

// Program is an entry host with its listeners.
type Program struct {
	Node  *node.Node
	Entry *entry.Server
	// api is the separate listener for callers; nil if they use the node's listener.
	api *node.Listener
}

// New creates the program and opens its listeners. The error is a
// *process.SettingError for a file that can't be used; others come from package
// node or entry.
func New(s Settings, logger *slog.Logger) (*Program, error) {
	authenticator, err := s.API.Authenticator(logger)
	if err != nil {
		return nil, err
	}
	apiListener, err := s.API.OpenListener(logger)
	if err != nil {
		return nil, err
	}
	n, err := node.New(s.Node, model.RoleEntry, logger)
	if err != nil {
		return nil, err
	}
	e, err := entry.New(entry.Options{
		Pool: n.Pool, Configs: n.Configs, Hosts: n.Hosts, Logger: logger, Auth: authenticator,
		Self: n.Self.ID, DataCentre: s.Node.DataCentre, Region: s.Node.Region,
		MaxOpenRequests: s.MaxOpenRequests, MaxHeldBytes: int64(s.MaxHeldMB) * bytesPerMB,
	})
	if err != nil {
		return nil, err
	}
	return &Program{Node: n, Entry: e, api: apiListener}, nil
}

// APIAddr returns the address that callers connect to.
func (p *Program) APIAddr() string {
	if p.api == nil {
		return p.Node.Addr()
	}
	return p.api.Addr()
}

// Run serves until ctx ends, then drains the host and returns.
func (p *Program) Run(ctx context.Context) error {
	mux := http.NewServeMux()
	p.Node.RegisterHandlers(mux, p.Entry.Ready)
	if p.api == nil {
		mux.Handle("/v1/", p.Entry.Handler())
	}
	return p.Node.Run(ctx, mux, p.serve, p.drain)
}

// serve keeps hosts and configuration up to date and serves callers until ctx ends.
func (p *Program) serve(ctx context.Context) error {
	if p.api == nil {
		p.Entry.Run(ctx)
		return nil
	}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return p.api.Serve(p.Entry.Handler()) })
	g.Go(func() error {
		p.Entry.Run(ctx)
		return p.api.Close()
	})
	return g.Wait()
}

// drain rejects new work, waits for the open requests, and then closes the callers'
// listener.
func (p *Program) drain(ctx context.Context) error {
	err := p.Entry.Drain(ctx)
	if p.api != nil {
		_ = p.api.Shutdown(ctx)
	}
	return err
}
