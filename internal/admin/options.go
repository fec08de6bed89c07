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

// Options holds the dependencies and settings of a Server.
type Options struct {
	Configs    Configs
	Trail      Trail
	Hosts      platform.HostList
	Schedulers Schedulers
	Auth       auth.Authenticator
	// Logger may be nil to discard all log lines.
	Logger *slog.Logger
	// PublishTimeout is the longest that a change waits for its ruling; by default
	// DefaultPublishTimeout.
	PublishTimeout time.Duration
	// DocumentTimeout is the longest that reading a document's request body may take;
	// by default DefaultDocumentTimeout.
	DocumentTimeout time.Duration
	// Clock returns the current time; nil means time.Now.
	Clock func() time.Time
}

// Configs reads and changes the configuration. *confsync.Store implements it.
type Configs interface {
	Current() *config.Versioned
	Publish(ctx context.Context, rec *settings.Record) (settings.Verdict, error)
	Versions(ctx context.Context) []confsync.HostVersion
}

// Trail is the audit trail. *audit.Trail implements it.
type Trail interface {
	Add(ctx context.Context, e audit.Entry) error
	Room() bool
	Find(f audit.Filter) []audit.Entry
}

// Defaults of Options.
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
