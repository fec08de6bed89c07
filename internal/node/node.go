package node

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/confsync"
	"coltsfootmux/internal/link"
	"coltsfootmux/internal/logclient"
	"coltsfootmux/internal/metric"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
	"coltsfootmux/internal/platform/httphost"
	"coltsfootmux/internal/platform/httplog"
)

// Node is the common part of every program that runs on a host of its own.
type Node struct {
	Self     model.Host
	Settings Settings
	Logger   *slog.Logger
	// RawLog accesses the log service directly; Log batches and retries appends.
	RawLog  platform.Log
	Log     *logclient.Client
	Hosts   platform.HostList
	Pool    *link.Pool
	Server  *link.Server
	Configs *confsync.Store

	listener *Listener
	draining atomic.Bool
	killed   chan struct{}
	killOnce sync.Once
}

// New opens the listener and builds the node's components. The error wraps ErrListen.
func New(s Settings, role model.HostRole, logger *slog.Logger) (*Node, error) {
	ln, err := Listen(s.Listen)
	if err != nil {
		return nil, err
	}
	addr := s.Advertise
	if addr == "" {
		addr = ln.Addr()
	}
	n := &Node{
		Self: model.Host{
			ID: s.HostID, Role: role, Addr: addr,
			DataCentre: s.DataCentre, Region: s.Region, State: model.HostLive,
		},
		Settings: s,
		Logger:   logger,
		listener: ln,
		killed:   make(chan struct{}),
	}
	n.RawLog = httplog.New(s.LogURL, httplog.Options{Region: s.Region})
	n.Log = logclient.New(n.RawLog, logclient.Options{Seed: xxhash.Sum64String(string(s.HostID)), Logger: logger})
	n.Hosts = httphost.New(s.HostsURL, httphost.Options{Region: s.Region})
	budget := link.NewBudget(0)
	n.Pool = link.NewPool(link.PoolOptions{Self: s.HostID, Region: s.Region, Logger: logger, Budget: budget})
	n.Server = link.NewServer(link.ServerOptions{Self: s.HostID, Region: s.Region, Logger: logger, Budget: budget})
	n.Configs = confsync.New(confsync.Options{
		Log: n.RawLog, Writer: n.Log, Pool: n.Pool, Hosts: n.Hosts, Self: n.Self, Logger: logger,
	})
	n.Configs.RegisterHandlers(n.Server)
	n.Configs.OnChange(func(v *config.Versioned) {
		budget.SetRate(v.Document.Defaults.CrossRegionBytesPerSecond)
	})
	return n, nil
}

// Addr returns the address at which other programs reach this one.
func (n *Node) Addr() string { return n.Self.Addr }

// RegisterHandlers registers on mux the paths that all programs serve: links, metrics,
// health and readiness. The node is ready only while ready returns true.
func (n *Node) RegisterHandlers(mux *http.ServeMux, ready func() bool) {
	mux.Handle(link.Path, n.Server)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metric.Write(w) })
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if n.draining.Load() || !n.Configs.Ready() || !ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

// Run serves mux and runs the node's components and work until ctx ends. Then it
// reports itself as not ready, calls drain, and stops work and the components only
// after that. It returns the first error of any of them.
func (n *Node) Run(ctx context.Context, mux http.Handler, work func(context.Context) error, drain func(context.Context) error) error {
	workCtx, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	g, workCtx := errgroup.WithContext(workCtx)
	g.Go(func() error { return n.listener.Serve(mux) })
	g.Go(func() error { return n.Configs.Run(workCtx) })
	g.Go(func() error { return work(workCtx) })
	g.Go(func() error {
		select {
		case <-ctx.Done():
			n.shutdown(drain)
		case <-n.killed:
		case <-workCtx.Done():
		}
		stopWork()
		n.closeNow()
		return nil
	})
	err := g.Wait()
	_ = n.Pool.Close()
	n.Log.Close()
	if errors.Is(err, context.Canceled) {
		return nil // the components were stopped on purpose
	}
	return err
}

// Kill stops the program immediately, without draining or handing over, as if the
// host had failed.
func (n *Node) Kill() { n.killOnce.Do(func() { close(n.killed) }) }

// closeNow closes all links and connections that are still open.
func (n *Node) closeNow() {
	expired, cancel := context.WithCancel(context.Background())
	cancel()
	_ = n.Server.Shutdown(expired)
	_ = n.listener.Close()
}

// shutdown drains the program and closes its listener, within Settings.DrainTimeout.
func (n *Node) shutdown(drain func(context.Context) error) {
	n.draining.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), n.Settings.DrainTimeout)
	defer cancel()
	if err := drain(ctx); err != nil {
		evDrainIncomplete.Log(ctx, n.Logger, slog.String("host", string(n.Self.ID)), slog.Any("error", err))
	}
	_ = n.Server.Shutdown(ctx)
	_ = n.listener.Shutdown(ctx)
	_ = n.Log.Flush(ctx)
}
