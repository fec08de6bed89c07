package inbound

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"coltsfootmux/internal/core/admission"
)

// readHeaderTimeout is the maximum time to read the head of a request.
const readHeaderTimeout = 5 * time.Second

// Options are the settings of a Server.
type Options struct {
	// Name names the listener in logs and metrics.
	Name     string
	Listener net.Listener
	Handler  http.Handler
	// MaxConns bounds the connections that are open at the same time; it must be positive.
	MaxConns int
	Logger   *slog.Logger
}

// Server is an HTTP server with a bounded number of connections. Connections that a handler has
// hijacked count as well.
type Server struct {
	opts    Options
	http    *http.Server
	started time.Time
	report  *pressureReport
	heads   *headReport

	mu    sync.Mutex
	core  *admission.Core
	conns map[admission.ConnID]*conn
	last  admission.ConnID
}

// NewServer returns a server for an open listener.
func NewServer(o Options) *Server {
	s := &Server{
		opts: o, started: time.Now(),
		core: admission.New(o.MaxConns), conns: make(map[admission.ConnID]*conn),
	}
	s.report, s.heads = newPressureReport(&s.opts), newHeadReport(&s.opts)
	s.http = &http.Server{
		Handler: http.HandlerFunc(s.serveHTTP), ReadHeaderTimeout: readHeaderTimeout,
		MaxHeaderBytes: admission.MaxHeadBytes, ConnState: stateChanged, ConnContext: withConn,
	}
	return s
}

// Serve accepts connections until the server is shut down or closed. It returns
// http.ErrServerClosed then.
func (s *Server) Serve() error { return s.http.Serve(&listener{Listener: s.opts.Listener, server: s}) }

// Shutdown closes the listener and idle connections, and waits for open requests until ctx ends.
// Hijacked connections stay open.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

// Close closes the listener and all connections that are not hijacked.
func (s *Server) Close() error { return s.http.Close() }

// serveHTTP serves a request. Until its body is read it waits for its caller.
func (s *Server) serveHTTP(w http.ResponseWriter, r *http.Request) {
	if c := connOf(r.Context()); c != nil && r.ContentLength != 0 {
		c.step(admission.Waiting)
		r = r.WithContext(r.Context()) // net/http looks at its own body to close a connection gracefully
		r.Body = &body{ReadCloser: r.Body, conn: c, rest: r.ContentLength}
	}
	s.opts.Handler.ServeHTTP(w, r)
}

// admit adds a connection, or returns nil if there is no room for it.
func (s *Server) admit(nc net.Conn) *conn {
	s.mu.Lock()
	s.last++
	c := &conn{Conn: nc, server: s, id: s.last, inHead: true}
	s.conns[c.id] = c
	actions := s.core.Step(time.Since(s.started), admission.Event{Kind: admission.Opened, Conn: c.id})
	closed := s.take(actions)
	s.mu.Unlock()
	for _, a := range actions {
		s.report.add(a.Kind)
	}
	for _, victim := range closed {
		_ = victim.Conn.Close()
		if victim == c {
			return nil
		}
	}
	return c
}

// take removes and returns the connections to close; s.mu is held.
func (s *Server) take(actions []admission.Action) (out []*conn) {
	for _, a := range actions {
		if c := s.conns[a.Conn]; c != nil {
			delete(s.conns, a.Conn)
			out = append(out, c)
		}
	}
	return out
}

func (s *Server) step(id admission.ConnID, kind admission.EventKind) {
	now := time.Since(s.started)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.Step(now, admission.Event{Kind: kind, Conn: id})
	if kind == admission.Closed {
		delete(s.conns, id)
	}
}
