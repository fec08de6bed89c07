package node

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
)

// Listener serves an HTTP handler on one address.
type Listener struct {
	ln  net.Listener
	srv *http.Server
}

// Listen opens a TCP listener on addr. The error wraps ErrListen.
func Listen(addr string) (*Listener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, eris.Wrap(ErrListen, err.Error())
	}
	return &Listener{ln: ln, srv: &http.Server{
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}}, nil
}

// EnableTLS makes the listener use TLS. It must be called before Serve.
func (l *Listener) EnableTLS(c *tls.Config) { l.ln = tls.NewListener(l.ln, c) }

// Addr returns the address listened on.
func (l *Listener) Addr() string { return l.ln.Addr().String() }

// Serve serves h until Shutdown or Close is called. The error wraps ErrListen.
func (l *Listener) Serve(h http.Handler) error {
	l.srv.Handler = h
	if err := l.srv.Serve(l.ln); !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrap(ErrListen, err.Error())
	}
	return nil
}

// Shutdown stops accepting connections and waits until open requests are answered
// or ctx ends.
func (l *Listener) Shutdown(ctx context.Context) error { return l.srv.Shutdown(ctx) }

// Close closes the listener and all connections immediately.
func (l *Listener) Close() error { return l.srv.Close() }
