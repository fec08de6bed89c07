package confsync

import (
	"context"
	"log/slog"
	"time"

	"coltsfootmux/internal/core/settings"
	"coltsfootmux/internal/link"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
)

// Options are a store's settings. Zero durations and counts take the defaults.
type Options struct {
	// Log is read directly, as the store must know when records have expired.
	Log platform.Log
	// Writer appends records and finds out what became of an append whose answer was lost.
	Writer Writer
	// Pool carries calls to other hosts, unless Peers is set.
	Pool  *link.Pool
	Peers Peers
	Hosts platform.HostList
	Self  model.Host
	// Logger may be nil.
	Logger *slog.Logger
	Core   settings.Options
	// FanOut is how many hosts a new version is pushed to.
	FanOut int
	// AskInterval is the time between rounds of asking other hosts for their version.
	AskInterval time.Duration
	// CallTimeout bounds a call to the log or the host list.
	CallTimeout time.Duration
	// PeerTimeout bounds a call to another host.
	PeerTimeout time.Duration
	// ReadWait is how long one read waits at the log for new records.
	ReadWait time.Duration
	// Clock returns the current time; nil for time.Now.
	Clock func() time.Time
	// ReadOnly makes a second store beside the one that the process uses: it writes
	// no snapshots, reads the whole stream from the oldest record, and neither logs
	// nor counts installed versions and rulings, as the other store does.
	ReadOnly bool
	// OnVerdict, if set, is called with each ruling, in order.
	OnVerdict func(settings.Verdict)
}

// Writer appends to the log. *logclient.Client implements it.
type Writer interface {
	Append(ctx context.Context, s platform.Stream, rec platform.Record) (model.Offset, error)
}

// The defaults.
const (
	DefaultFanOut      = 2
	DefaultAskInterval = 2 * time.Second
	DefaultCallTimeout = 5 * time.Second
	DefaultPeerTimeout = 2 * time.Second
	DefaultReadWait    = 5 * time.Second
)

func (o Options) withDefaults() Options {
	if o.FanOut <= 0 {
		o.FanOut = DefaultFanOut
	}
	if o.AskInterval <= 0 {
		o.AskInterval = DefaultAskInterval
	}
	if o.CallTimeout <= 0 {
		o.CallTimeout = DefaultCallTimeout
	}
	if o.PeerTimeout <= 0 {
		o.PeerTimeout = DefaultPeerTimeout
	}
	if o.ReadWait <= 0 {
		o.ReadWait = DefaultReadWait
	}
	if o.Clock == nil {
		o.Clock = time.Now
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	if o.Peers == nil && o.Pool != nil {
		o.Peers = linkPeers{pool: o.Pool}
	}
	return o
}
