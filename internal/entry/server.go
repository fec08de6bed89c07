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
	opts      Options
	admission *admission
	tickets   atomic.Uint64
	draining  atomic.Bool
	// hostsRead is set once the host list was read.
	hostsRead atomic.Bool

	// configuring is held while a new configuration is taken in.
	configuring sync.Mutex

	mu     sync.Mutex
	router *route.Router
	conf   *inForce
}

// New makes a server. The error is ErrOptions.
func New(o Options) (*Server, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	o = o.withDefaults()
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
	return &Server{
		opts: o, admission: newAdmission(o.OpenRequests, o.HeldBytes),
		router: route.New(route.Options{
			Self: o.Self, DataCentre: o.DataCentre, Region: o.Region,
			Backoff: route.DefaultBackoff(), Rand: rand.New(rand.NewPCG(o.Seed, 0)),
		}),
	}, nil
}

// Run follows the host list and the configuration until ctx ends.
func (s *Server) Run(ctx context.Context) {
	evServing.Log(ctx, s.opts.Logger, slog.String("host", string(s.opts.Self)))
	t := time.NewTicker(s.opts.HostsEvery)
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
	s.current()
	ctx, cancel := context.WithTimeout(ctx, s.opts.HostsEvery)
	defer cancel()
	hosts, err := s.opts.Hosts.Hosts(ctx)
	if err != nil {
		evHosts.Log(ctx, s.opts.Logger, slog.String("error", err.Error()))
		return
	}
	s.step(route.HostsRead{Hosts: hosts})
	s.hostsRead.Store(true)
}

// current gives the configuration in force, or nil while there is none.
func (s *Server) current() *inForce {
	v := s.opts.Configs.Current()
	conf := s.taken()
	if v == nil || conf != nil && conf.version >= v.Version {
		return conf
	}
	if conf != nil && !s.configuring.TryLock() {
		return conf // another request is taking the new one in
	}
	if conf == nil {
		s.configuring.Lock()
	}
	defer s.configuring.Unlock()
	return s.configure(v)
}

// taken gives the configuration that was last taken in.
func (s *Server) taken() *inForce {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conf
}

// configure takes a configuration in; s.configuring is held. What is costly to
// derive is derived without s.mu, and only when the fleet has changed.
func (s *Server) configure(v *config.Versioned) *inForce {
	old := s.taken()
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

// Ready reports whether the host can take requests.
func (s *Server) Ready() bool {
	return !s.draining.Load() && s.hostsRead.Load() && s.current() != nil
}

// Handler gives the API under /v1 and /healthz and /readyz.
func (s *Server) Handler() http.Handler {
	api := http.NewServeMux()
	api.HandleFunc("POST /v1/requests", s.handleRequest)
	api.HandleFunc("POST /v1/jobs", s.handleJob)
	api.HandleFunc("GET /v1/requests", s.handleList)
	api.HandleFunc("GET /v1/requests/{key}", s.handleStatus)
	api.HandleFunc("DELETE /v1/requests/{key}", s.handleCancel)
	mux := http.NewServeMux()
	mux.Handle("/v1/", s.guard(auth.Middleware(s.opts.Auth, s.opts.Logger, nil, api)))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	mux.HandleFunc("GET /readyz", s.handleReady)
	return mux
}

// guard gives each call a place at the host, or refuses it before it is read.
// While the host drains, connections are closed after their answer.
func (s *Server) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		held := s.bodyBytes(r)
		if !s.admission.enter(held) {
			p := problem.New(http.StatusServiceUnavailable, "overloaded", "This host holds as many requests as it can.")
			p.RetryAfter = usualRetryAfter
			p.Write(w)
			return
		}
		defer s.admission.leave(held)
		next.ServeHTTP(&closing{ResponseWriter: w, server: s}, r)
	})
}

// bodyBytes is how much of a call's body may have to be held.
func (s *Server) bodyBytes(r *http.Request) int64 {
	most := int64(envelopeBytes)
	if c := s.current(); c != nil {
		most = contentLimit(c.bodyLimit())
	}
	if r.ContentLength >= 0 {
		return min(r.ContentLength, most)
	}
	return most
}

func (s *Server) handleReady(w http.ResponseWriter, _ *http.Request) {
	if !s.Ready() {
		problem.New(http.StatusServiceUnavailable, "not_ready", "This host takes no requests now.").Write(w)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
