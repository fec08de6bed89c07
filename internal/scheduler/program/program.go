// Package program runs a scheduler as a program of its own: settings in, a
// listener and a drained shutdown out.
package program

import (
	"context"
	"log/slog"
	"net/http"

	"github.com/urfave/cli/v3"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/node"
	"coltsfootmux/internal/platform/httpworker"
	"coltsfootmux/internal/process"
	"coltsfootmux/internal/scheduler"
)

// Command gives the program's command line.
func Command() *cli.Command {
	return &cli.Command{
		Name:   "coltsfootmux-scheduler",
		Usage:  "own cells and key groups, place work, and drive workers under leases",
		Flags:  Flags(),
		Action: process.Action(FromCommand, New),
	}
}

// Program is one scheduler program.
type Program struct {
	Node      *node.Node
	Scheduler *scheduler.Scheduler
}

// New builds the program and opens its listener. The error is of package node or
// scheduler.
func New(s Settings, logger *slog.Logger) (*Program, error) {
	n, err := node.New(s.Node, model.RoleScheduler, logger)
	if err != nil {
		return nil, err
	}
	sch, err := scheduler.New(scheduler.Options{
		Self: n.Self, Log: n.Log, RawLog: n.RawLog, Hosts: n.Hosts,
		Workers: httpworker.New(httpworker.Options{Region: s.Node.Region}),
		Configs: n.Configs, Pool: n.Pool, Server: n.Server, Logger: logger, Timing: s.Timing,
	})
	if err != nil {
		return nil, err
	}
	return &Program{Node: n, Scheduler: sch}, nil
}

// Run serves until ctx ends, then hands every scope over and returns.
func (p *Program) Run(ctx context.Context) error {
	mux := http.NewServeMux()
	p.Node.RegisterHandlers(mux, func() bool { return true })
	return p.Node.Run(ctx, mux, p.Scheduler.Run, p.Scheduler.Drain)
}
