package dev

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"

	"github.com/rotisserie/eris"

	"coltsfootmux/internal/entry"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/node"
	"coltsfootmux/internal/scheduler"
	"coltsfootmux/internal/scheduler/program"
)

// OwnHost is one of the system's own hosts with its programs.
type OwnHost struct {
	Name      string
	Place     Place
	Scheduler *program.Program
	EntryNode *node.Node
	Entry     *entry.Server

	stop context.CancelFunc
	done chan struct{}
}

// settings gives the settings of one program of a host.
func (c *Cluster) settings(name string, role model.HostRole, place Place) node.Settings {
	return node.Settings{
		HostID:       model.HostID(fmt.Sprintf("%s-%s", name, role)),
		DataCentre:   place.DataCentre,
		Region:       place.Region,
		Listen:       "127.0.0.1:0",
		LogURL:       c.Platform.LogURL,
		HostsURL:     c.Platform.HostsURL,
		DrainTimeout: drainTimeout,
	}
}

// startHost starts the programs of one own host and puts them on the host list.
func (c *Cluster) startHost(name string, place Place) (*OwnHost, error) {
	h := &OwnHost{Name: name, Place: place, done: make(chan struct{})}
	logger := c.logger.With(slog.String("on", name))
	var err error
	h.Scheduler, err = program.New(c.settings(name, model.RoleScheduler, place), scheduler.DefaultTiming(), logger)
	if err != nil {
		return nil, eris.Wrap(ErrStart, err.Error())
	}
	h.EntryNode, err = node.New(c.settings(name, model.RoleEntry, place), model.RoleEntry, logger)
	if err != nil {
		return nil, eris.Wrap(ErrStart, err.Error())
	}
	h.Entry, err = entry.New(entry.Options{
		Pool: h.EntryNode.Pool, Configs: h.EntryNode.Configs, Hosts: h.EntryNode.Hosts, Logger: logger,
		Self: h.EntryNode.Self.ID, DataCentre: place.DataCentre, Region: place.Region,
	})
	if err != nil {
		return nil, eris.Wrap(ErrStart, err.Error())
	}
	c.Platform.Hosts.Register(h.Scheduler.Node.Self)
	c.Platform.Hosts.Register(h.EntryNode.Self)
	h.run()
	return h, nil
}

func (h *OwnHost) run() {
	ctx, stop := context.WithCancel(context.Background())
	h.stop = stop
	go func() {
		defer close(h.done)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_ = h.Scheduler.Run(ctx)
		}()
		_ = h.runEntry(ctx)
		<-ended
	}()
}

func (h *OwnHost) runEntry(ctx context.Context) error {
	mux := http.NewServeMux()
	h.EntryNode.Handle(mux, h.Entry.Ready)
	mux.Handle("/v1/", h.Entry.Handler())
	work := func(ctx context.Context) error {
		h.Entry.Run(ctx)
		return nil
	}
	return h.EntryNode.Run(ctx, mux, work, h.Entry.Drain)
}

// URL gives the base URL of the host's callers' API.
func (h *OwnHost) URL() string { return "http://" + h.EntryNode.Addr() }

// Stop drains the host's programs and waits for their end.
func (h *OwnHost) Stop() {
	h.stop()
	<-h.done
}

// Kill ends the host's programs at once, as when the machine is lost.
func (h *OwnHost) Kill() {
	h.Scheduler.Node.Kill()
	h.EntryNode.Kill()
	<-h.done
}
