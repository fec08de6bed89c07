package httpworker

import (
	"time"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform/httpcall"
)

const (
	defaultPoll     = 5 * time.Second
	defaultMaxConns = 60
	// callShare is the part of the connections that waits may not take.
	callShare = 4
)

// Options are the settings of the clients. The zero value has sensible defaults.
type Options struct {
	// Region is the caller's own.
	Region model.Region
	// Timeout is how long nothing may arrive during a call. Default 2 s.
	Timeout time.Duration
	// Poll is how long one request of Wait is held at the worker. Default 5 s.
	Poll time.Duration
	// MaxConns bounds the open connections to each worker, at least 2. Default 60.
	MaxConns int
	// Dial replaces the TCP dialler, for tests.
	Dial httpcall.DialFunc
}

func (o Options) withDefaults() Options {
	if o.Poll <= 0 {
		o.Poll = defaultPoll
	}
	if o.MaxConns <= 0 {
		o.MaxConns = defaultMaxConns
	}
	o.MaxConns = max(o.MaxConns, 2)
	return o
}

func (o Options) call(conns int) httpcall.Options {
	return httpcall.Options{Region: o.Region, Timeout: o.Timeout, MaxConns: conns, Dial: o.Dial}
}
