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

// Configs provides the configuration in force.
type Configs interface {
	// Current returns the configuration, or nil while there is none.
	Current() *config.Versioned
}

// Options are the settings of a Server. Pool, Configs and Hosts are required.
type Options struct {
	Pool    *link.Pool
	Configs Configs
	Hosts   platform.HostList
	// Logger may be nil.
	Logger *slog.Logger
	// Auth authenticates callers; nil trusts every caller.
	Auth auth.Authenticator
	// Self, DataCentre and Region are the ID and the location of this entry host.
	Self       model.HostID
	DataCentre model.DataCentre
	Region     model.Region
	// MaxOpenRequests is the maximum number of HTTP requests that are open at the same
	// time; 0 means 4096.
	MaxOpenRequests int
	// MaxHeldBytes bounds the memory reserved for the content of the open requests;
	// 0 means 256 MiB.
	MaxHeldBytes int64
	// HostsInterval is the time between two reads of the host list; 0 means 1 s.
	HostsInterval time.Duration
	// BodyTimeout bounds the time to read a request's body; 0 means 10 s.
	BodyTimeout time.Duration
	// WriteTimeout bounds the time to write a response; 0 means 30 s.
	WriteTimeout time.Duration
	// Seed is the random seed for the jitter of retries; 0 means a random one.
	Seed uint64
}

const (
	defaultMaxOpenRequests = 4096
	defaultMaxHeldBytes    = 256 << 20
	defaultHostsInterval   = time.Second
	defaultBodyTimeout     = 10 * time.Second
	defaultWriteTimeout    = 30 * time.Second
)

// check returns ErrOptions if a required option is missing.
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
	if o.MaxOpenRequests == 0 {
		o.MaxOpenRequests = defaultMaxOpenRequests
	}
	if o.MaxHeldBytes == 0 {
		o.MaxHeldBytes = defaultMaxHeldBytes
	}
	if o.HostsInterval == 0 {
		o.HostsInterval = defaultHostsInterval
	}
	if o.BodyTimeout == 0 {
		o.BodyTimeout = defaultBodyTimeout
	}
	if o.WriteTimeout == 0 {
		o.WriteTimeout = defaultWriteTimeout
	}
	return o
}
