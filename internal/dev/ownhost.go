package dev

import (
	"context"
	"fmt"
	"log/slog"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	adminprogram "coltsfootmux/internal/admin/program"
	"coltsfootmux/internal/audit"
	entryprogram "coltsfootmux/internal/entry/program"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/node"
	"coltsfootmux/internal/scheduler"
	schedulerprogram "coltsfootmux/internal/scheduler/program"
)

// OwnHost is one of the system's own hosts. It runs a scheduler, an entry and an
// admin program.
type OwnHost struct {
	Name      string
	Place     Place
	Scheduler *schedulerprogram.Program
	Entry     *entryprogram.Program
	Admin     *adminprogram.Program

	stop context.CancelFunc
	done chan struct{}
	err  error
}

// settings returns the common settings of a program on the named host.
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

// startHost starts the programs of an own host and adds them to the host list.
func (c *Cluster) startHost(name string, place Place) (*OwnHost, error) {
	h := &OwnHost{Name: name, Place: place, done: make(chan struct{})}
	logger := c.logger.With(slog.String("on", name))
	var err error
	sched := schedulerprogram.Settings{Node: c.settings(name, model.RoleScheduler, place), Timing: scheduler.DefaultTiming()}
	if h.Scheduler, err = schedulerprogram.New(sched, logger); err != nil {
		return nil, eris.Wrap(ErrStart, err.Error())
	}
	entry := entryprogram.Settings{Node: c.settings(name, model.RoleEntry, place)}
	if h.Entry, err = entryprogram.New(entry, logger); err != nil {
		return nil, eris.Wrap(ErrStart, err.Error())
	}
	admin := adminprogram.Settings{
		Node: c.settings(name, model.RoleAdmin, place), Retention: audit.DefaultRetention, MaxAuditEntries: audit.DefaultMaxEntries,
	}
	if h.Admin, err = adminprogram.New(admin, logger); err != nil {
		return nil, eris.Wrap(ErrStart, err.Error())
	}
	for _, n := range h.nodes() {
		c.Platform.Hosts.Register(n.Self)
	}
	h.run()
	return h, nil
}

func (h *OwnHost) run() {
	ctx, stop := context.WithCancel(context.Background())
	h.stop = stop
	var g errgroup.Group
	g.Go(func() error { return h.Scheduler.Run(ctx) })
	g.Go(func() error { return h.Entry.Run(ctx) })
	g.Go(func() error { return h.Admin.Run(ctx) })
	go func() {
		defer close(h.done)
		h.err = g.Wait()
	}()
}

// nodes returns the nodes of the host's programs.
func (h *OwnHost) nodes() []*node.Node {
	return []*node.Node{h.Scheduler.Node, h.Entry.Node, h.Admin.Node}
}

// URL returns the base URL of the callers' API on the host.
func (h *OwnHost) URL() string { return "http://" + h.Entry.APIAddr() }

// Stop drains the host's programs and waits until they have ended.
func (h *OwnHost) Stop() {
	h.stop()
	<-h.done
}

// Kill ends the host's programs without draining them, as if the machine had
// failed, and waits until they have ended.
func (h *OwnHost) Kill() {
	for _, n := range h.nodes() {
		n.Kill()
	}
	<-h.done
}
