package entry

import (
	"log/slog"
	"time"

	"coltsfootmux/internal/auth"
	"coltsfootmux/internal/config"
	"coltsfootmux/internal/link"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
)

// Configs gives the configuration in force.
type Configs interface {
	// Current gives the configuration, or nil while there is none.
	Current() *config.Versioned
}

// Options are what a Server is made of. Pool, Configs and Hosts are required.
type Options struct {
	Pool    *link.Pool
	Configs Configs
	Hosts   platform.HostList
	// Logger may be nil.
	Logger *slog.Logger
	// Auth says who calls; nil trusts everyone.
	Auth auth.Authenticator
	// Self, DataCentre and Region say where this entry host is.
	Self       model.HostID
	DataCentre model.DataCentre
	Region     model.Region
	// OpenRequests is the most requests held at once; 0 for 4096.
	OpenRequests int
	// HeldBytes bounds the bodies of the requests held at once; 0 for 256 MiB.
	HeldBytes int64
	// HostsEvery is the time between looks at the host list; 0 for 1 s.
	HostsEvery time.Duration
	// BodyTimeout bounds the reading of a request's body; 0 for 10 s.
	BodyTimeout time.Duration
	// WriteTimeout bounds the writing of an answer; 0 for 30 s.
	WriteTimeout time.Duration
	// Seed fixes the jitter of retries; 0 for a random one.
	Seed uint64
}

const (
	defaultOpenRequests = 4096
	defaultHeldBytes    = 256 << 20
	defaultHostsEvery   = time.Second
	defaultBodyTimeout  = 10 * time.Second
	defaultWriteTimeout = 30 * time.Second
)

// check refuses options that a server can't work with.
func (o *Options) check() error {
	if o.Pool == nil || o.Configs == nil || o.Hosts == nil {
		return ErrOptions
	}
	return nil
}

func (o Options) withDefaults() Options {
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	if o.Auth == nil {
		o.Auth = auth.TrustAll{}
	}
	if o.OpenRequests == 0 {
		o.OpenRequests = defaultOpenRequests
	}
	if o.HeldBytes == 0 {
		o.HeldBytes = defaultHeldBytes
	}
	if o.HostsEvery == 0 {
		o.HostsEvery = defaultHostsEvery
	}
	if o.BodyTimeout == 0 {
		o.BodyTimeout = defaultBodyTimeout
	}
	if o.WriteTimeout == 0 {
		o.WriteTimeout = defaultWriteTimeout
	}
	return o
}
