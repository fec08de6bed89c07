package admin

import (
	"context"
	"log/slog"
	"time"

	"coltsfootmux/internal/audit"
	"coltsfootmux/internal/auth"
	"coltsfootmux/internal/config"
	"coltsfootmux/internal/confsync"
	"coltsfootmux/internal/core/settings"
	"coltsfootmux/internal/platform"
)

// Options are the parts that a Server is made of.
type Options struct {
	Configs    Configs
	Trail      Trail
	Hosts      platform.HostList
	Schedulers Schedulers
	Auth       auth.Authenticator
	// Logger may be nil.
	Logger *slog.Logger
	// PublishTimeout bounds how long a change waits for its ruling.
	PublishTimeout time.Duration
	// DocumentTimeout bounds the time that a document's body takes to arrive.
	DocumentTimeout time.Duration
	// Clock gives the time; nil for time.Now.
	Clock func() time.Time
}

// Configs is the configuration in force; *confsync.Store is one.
type Configs interface {
	Current() *config.Versioned
	Publish(ctx context.Context, rec *settings.Record) (settings.Verdict, error)
	Versions(ctx context.Context) []confsync.HostVersion
}

// Trail is the audit trail; *audit.Trail is one.
type Trail interface {
	Add(ctx context.Context, e audit.Entry) error
	Room() bool
	Find(f audit.Filter) []audit.Entry
}

// The defaults.
const (
	DefaultPublishTimeout  = 10 * time.Second
	DefaultDocumentTimeout = 10 * time.Second
)

func (o Options) withDefaults() Options {
	if o.PublishTimeout <= 0 {
		o.PublishTimeout = DefaultPublishTimeout
	}
	if o.DocumentTimeout <= 0 {
		o.DocumentTimeout = DefaultDocumentTimeout
	}
	if o.Clock == nil {
		o.Clock = time.Now
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	return o
}
