// Package program runs an entry host as a program of its own: settings in,
// listeners and a drained shutdown out.
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

// Command gives the program's command line.
func Command() *cli.Command {
	return &cli.Command{
		Name:   "coltsfootmux-entry",
		Usage:  "take callers' requests and jobs, find the owner of their keys, and hold each caller until its answer is whole",
		Flags:  Flags(),
		Action: process.Action(FromCommand, New),
	}
}

// Program is one entry program.
type Program struct {
	Node  *node.Node
	Entry *entry.Server
	// api is the callers' own listener; nil when they use the node's.
	api *node.Listener
}

// New builds the program and opens its listeners. A file that can't be used is a
// *process.SettingError; other errors are of package node or entry.
func New(s Settings, logger *slog.Logger) (*Program, error) {
	who, err := s.API.Authenticator(logger)
	if err != nil {
		return nil, err
	}
	own, err := s.API.OpenListener(logger)
	if err != nil {
		return nil, err
	}
	n, err := node.New(s.Node, model.RoleEntry, logger)
	if err != nil {
		return nil, err
	}
	e, err := entry.New(entry.Options{
		Pool: n.Pool, Configs: n.Configs, Hosts: n.Hosts, Logger: logger, Auth: who,
		Self: n.Self.ID, DataCentre: s.Node.DataCentre, Region: s.Node.Region,
		OpenRequests: s.Open, HeldBytes: int64(s.HeldMB) * bytesPerMB,
	})
	if err != nil {
		return nil, err
	}
	return &Program{Node: n, Entry: e, api: own}, nil
}

// APIAddr gives the address that callers connect to.
func (p *Program) APIAddr() string {
	if p.api == nil {
		return p.Node.Addr()
	}
	return p.api.Addr()
}

// Run serves until ctx ends, then drains and returns.
func (p *Program) Run(ctx context.Context) error {
	mux := http.NewServeMux()
	p.Node.RegisterHandlers(mux, p.Entry.Ready)
	if p.api == nil {
		mux.Handle("/v1/", p.Entry.Handler())
	}
	return p.Node.Run(ctx, mux, p.work, p.drain)
}

// work follows hosts and configuration and serves callers until ctx ends.
func (p *Program) work(ctx context.Context) error {
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

// drain refuses new work, waits for the open requests, and then closes the
// callers' listener behind the last answers.
func (p *Program) drain(ctx context.Context) error {
	err := p.Entry.Drain(ctx)
	if p.api != nil {
		_ = p.api.Shutdown(ctx)
	}
	return err
}
