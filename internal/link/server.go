package link

import (
	"context"
	"crypto/subtle"
	"log/slog"
	"net/http"
	"sync"

	"github.com/coder/websocket"
	"github.com/rotisserie/eris"

	"coltsfootmux/internal/link/core"
	"coltsfootmux/internal/wire"
)

// Server answers calls of other processes. Its handlers must be registered with
// Handle before it serves.
type Server struct {
	opts     ServerOptions
	self     Peer
	handlers map[wire.Kind]handler
	counts   counters
	memory   *memory
	// encoding has an entry for each answer that is being encoded.
	encoding chan struct{}

	mu       sync.Mutex
	links    map[*serverLink]struct{}
	draining bool
	wg       sync.WaitGroup
}

// handler answers one encoded request. The answer is encoded when encode is called.
type handler func(ctx context.Context, from Peer, body []byte) (encode func() ([]byte, error), err error)

// maxEncoding bounds the answers that are encoded at the same time: until they are queued, they
// are not counted as memory of their links.
const maxEncoding = 8

// NewServer returns a server without handlers.
func NewServer(o ServerOptions) *Server {
	o.Limits = o.Limits.WithDefaults()
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	if o.MaxLinks == 0 {
		o.MaxLinks = defaultMaxLinks
	}
	if o.MemoryBytes == 0 {
		o.MemoryBytes = defaultMemoryBytes
	}
	return &Server{
		opts: o, self: Peer{Host: o.Self, Region: o.Region}, encoding: make(chan struct{}, maxEncoding), memory: newMemory(o.MemoryBytes, o.Limits, o.Logger),
		handlers: make(map[wire.Kind]handler), links: make(map[*serverLink]struct{}),
	}
}

// Handle registers the handler of a kind. It panics if the kind already has one. The
// handler's context ends when the caller's ends or the link goes down.
func Handle[Req, Rep any](s *Server, k wire.Kind, f func(ctx context.Context, from Peer, req Req) (Rep, error)) {
	if _, ok := s.handlers[k]; ok {
		panic("link: two handlers for " + k.String())
	}
	s.handlers[k] = func(ctx context.Context, from Peer, body []byte) (func() ([]byte, error), error) {
		var req Req
		if err := decodeBody(body, &req); err != nil {
			return nil, err
		}
		rep, err := f(ctx, from, req)
		if err != nil {
			return nil, err
		}
		return func() ([]byte, error) { return encodeBody(rep) }, nil
	}
}

// ByteCounts returns the bytes sent and received so far.
func (s *Server) ByteCounts() []ByteCount { return s.counts.list() }

// ServeHTTP accepts a link and serves it until it ends.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if status := s.admissionStatus(r); status != http.StatusOK {
		evRefused.Log(r.Context(), s.opts.Logger, slog.Int("status", status), slog.String("from", r.RemoteAddr))
		http.Error(w, http.StatusText(status), status)
		return
	}
	s.self.setHeaders(w.Header())
	ws, err := websocket.Accept(limitedResponse{w}, r, nil)
	if err != nil {
		evRefused.Log(r.Context(), s.opts.Logger, slog.String("error", err.Error()), slog.String("from", r.RemoteAddr))
		return
	}
	l := newServerLink(s, ws, peerFromHeaders(r.Header))
	if !s.add(l) {
		l.memory.remove()
		_ = ws.Close(websocket.StatusTryAgainLater, "draining")
		return
	}
	defer s.remove(l)
	l.run()
}

func (s *Server) admissionStatus(r *http.Request) int {
	want := "Bearer " + s.opts.Secret
	got := r.Header.Get("Authorization")
	if s.opts.Secret != "" && subtle.ConstantTimeCompare([]byte(got), []byte(want)) != 1 {
		return http.StatusUnauthorized
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining || len(s.links) >= s.opts.MaxLinks {
		return http.StatusServiceUnavailable
	}
	return http.StatusOK
}

func (s *Server) add(l *serverLink) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return false
	}
	s.links[l] = struct{}{}
	s.wg.Add(1)
	return true
}

func (s *Server) remove(l *serverLink) {
	s.mu.Lock()
	delete(s.links, l)
	s.mu.Unlock()
	s.wg.Done()
}

// Shutdown refuses new calls, waits until the open ones are answered and closes the
// links. If ctx ends first, it closes the links without waiting for the open calls
// and returns the context's error.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.draining = true
	links := make([]*serverLink, 0, len(s.links))
	for l := range s.links {
		links = append(links, l)
	}
	s.mu.Unlock()
	for _, l := range links {
		l.step(core.Drain{})
	}
	done := make(chan struct{})
	go func() {
		s.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
	}
	for _, l := range links {
		l.cancel()
	}
	<-done
	return eris.Wrap(ctx.Err(), "links closed with calls open")
}
