package entry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"coltsfootmux/internal/auth"
	"coltsfootmux/internal/config"
	"coltsfootmux/internal/entry/route"
	"coltsfootmux/internal/problem"
)

// Server is the callers' API of one entry host.
type Server struct {
	opts       Options
	admission  *admission
	lastCallID atomic.Uint64
	draining   atomic.Bool
	// hostsRead is set once the host list has been read.
	hostsRead atomic.Bool

	// configureMu is held while a new configuration is applied.
	configureMu sync.Mutex

	mu     sync.Mutex
	router *route.Router
	conf   *activeConfig
}

// New returns a server. The error is ErrOptions.
func New(o Options) (*Server, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	o = o.withDefaults()
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
	return &Server{
		opts: o, admission: newAdmission(o.MaxOpenRequests, o.MaxHeldBytes),
		router: route.New(route.Options{
			Self: o.Self, DataCentre: o.DataCentre, Region: o.Region,
			Backoff: route.DefaultBackoff(), Rand: rand.New(rand.NewPCG(o.Seed, 0)),
		}),
	}, nil
}

// Run keeps the host list and the configuration up to date until ctx ends.
func (s *Server) Run(ctx context.Context) {
	evStarted.Log(ctx, s.opts.Logger, slog.String("host", string(s.opts.Self)))
	t := time.NewTicker(s.opts.HostsInterval)
	defer t.Stop()
	for {
		s.refresh(ctx)
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// refresh reads the host list and the configuration once.
func (s *Server) refresh(ctx context.Context) {
	s.currentConfig()
	ctx, cancel := context.WithTimeout(ctx, s.opts.HostsInterval)
	defer cancel()
	hosts, err := s.opts.Hosts.Hosts(ctx)
	if err != nil {
		evHostsNotRead.Log(ctx, s.opts.Logger, slog.String("error", err.Error()))
		return
	}
	s.step(route.HostsRead{Hosts: hosts})
	s.hostsRead.Store(true)
}

// currentConfig returns the configuration in force, or nil while there is none. It
// applies a newer one first. If another goroutine is already doing so, it returns
// the previous configuration, or waits if there is none.
func (s *Server) currentConfig() *activeConfig {
	v := s.opts.Configs.Current()
	conf := s.appliedConfig()
	if v == nil || conf != nil && conf.version >= v.Version {
		return conf
	}
	if conf != nil && !s.configureMu.TryLock() {
		return conf // another goroutine is applying the new one
	}
	if conf == nil {
		s.configureMu.Lock()
	}
	defer s.configureMu.Unlock()
	return s.configure(v)
}

// appliedConfig returns the configuration that was applied last.
func (s *Server) appliedConfig() *activeConfig {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conf
}

// configure applies a configuration; s.configureMu is held. The derivation, which
// is expensive when the fleet has changed, runs without s.mu.
func (s *Server) configure(v *config.Versioned) *activeConfig {
	old := s.appliedConfig()
	if old != nil && old.version >= v.Version {
		return old
	}
	next := derive(old, v)
	s.mu.Lock()
	s.conf = next
	s.router.Step(time.Now(), route.Configured{Mapping: next.mapping, RetryShare: next.doc.Defaults.RetryShare})
	s.mu.Unlock()
	evConfigured.Log(context.Background(), s.opts.Logger, slog.Uint64("version", uint64(v.Version)))
	return next
}

// Ready reports whether the host can accept requests.
func (s *Server) Ready() bool {
	return !s.draining.Load() && s.hostsRead.Load() && s.currentConfig() != nil
}

// Handler returns the handler of the API under /v1, of /healthz and of /readyz.
func (s *Server) Handler() http.Handler {
	api := http.NewServeMux()
	api.HandleFunc("POST /v1/requests", s.handleRequest)
	api.HandleFunc("POST /v1/jobs", s.handleJob)
	api.HandleFunc("GET /v1/requests", s.handleList)
	api.HandleFunc("GET /v1/requests/{key}", s.handleStatus)
	api.HandleFunc("DELETE /v1/requests/{key}", s.handleCancel)
	mux := http.NewServeMux()
	mux.Handle("/v1/", s.withHostLimits(auth.Middleware(s.opts.Auth, s.opts.Logger, nil, api)))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	mux.HandleFunc("GET /readyz", s.handleReady)
	return mux
}

// withHostLimits rejects a call before its body is read if it would exceed the
// host's limits. While the host drains, it closes connections after the response.
func (s *Server) withHostLimits(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		reserved := s.bytesToReserve(r)
		if !s.admission.acquire(reserved) {
			p := problem.New(http.StatusServiceUnavailable, "overloaded", "This host holds as many requests as it can.")
			p.RetryAfter = defaultRetryAfter
			p.Write(w)
			return
		}
		defer s.admission.release(reserved)
		next.ServeHTTP(&responseWriter{ResponseWriter: w, server: s}, r)
	})
}

// bytesToReserve returns how many bytes of a call's content may have to be held in
// memory.
func (s *Server) bytesToReserve(r *http.Request) int64 {
	limit := int64(envelopeBytes)
	if c := s.currentConfig(); c != nil {
		limit = contentLimit(c.bodyLimit())
	}
	if r.ContentLength >= 0 {
		return min(r.ContentLength, limit)
	}
	return limit
}

func (s *Server) handleReady(w http.ResponseWriter, _ *http.Request) {
	if !s.Ready() {
		problem.New(http.StatusServiceUnavailable, "not_ready", "This host takes no requests now.").Write(w)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
