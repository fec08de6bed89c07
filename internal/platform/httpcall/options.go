package httpcall

import (
	"context"
	"net"
	"time"

	"coltsfootmux/internal/model"
)

const (
	defaultTimeout  = 2 * time.Second
	dialTimeout     = time.Second
	idleTimeout     = 30 * time.Second
	defaultMaxConns = 60
	maxIdleConns    = 16
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Options are the settings of a Caller. The zero value has sensible defaults.
type Options struct {
	// Region is the caller's own, told to the far side.
	Region model.Region
	// Timeout is how long nothing may arrive during a call, beyond the time that
	// the far side is asked to wait. A whole call may take 15 times as long.
	// Default 2 s.
	Timeout time.Duration
	// MaxConns bounds the open connections to the service. Default 60.
	MaxConns int
	// Dial replaces the TCP dialler, for tests.
	Dial DialFunc
}

func (o Options) withDefaults() Options {
	if o.Timeout <= 0 {
		o.Timeout = defaultTimeout
	}
	if o.MaxConns <= 0 {
		o.MaxConns = defaultMaxConns
	}
	if o.Dial == nil {
		o.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return o
}
