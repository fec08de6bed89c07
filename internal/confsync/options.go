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
	// Log is read from directly; a reader must know when records expired.
	Log platform.Log
	// Writer appends records and settles lost answers.
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
	// AskEvery is the time between two calls that ask another host for its version.
	AskEvery time.Duration
	// CallTimeout bounds a call to the log or the host list.
	CallTimeout time.Duration
	// PeerTimeout bounds a call to another host.
	PeerTimeout time.Duration
	// Poll is how long one read waits at the log for news.
	Poll time.Duration
	// Clock gives the time; nil for time.Now.
	Clock func() time.Time
	// ReadOnly makes a store beside the one in force: it writes no snapshots,
	// reads the whole stream from the oldest start there is, and neither logs nor
	// counts what the other one does.
	ReadOnly bool
	// OnVerdict is told of each ruling in order, if set.
	OnVerdict func(settings.Verdict)
}

// Writer appends to the log; *logclient.Client does.
type Writer interface {
	Append(ctx context.Context, s platform.Stream, rec platform.Record) (model.Offset, error)
}

// The defaults.
const (
	DefaultFanOut      = 2
	DefaultAskEvery    = 2 * time.Second
	DefaultCallTimeout = 5 * time.Second
	DefaultPeerTimeout = 2 * time.Second
	DefaultPoll        = 5 * time.Second
)

func (o Options) withDefaults() Options {
	if o.FanOut <= 0 {
		o.FanOut = DefaultFanOut
	}
	if o.AskEvery <= 0 {
		o.AskEvery = DefaultAskEvery
	}
	if o.CallTimeout <= 0 {
		o.CallTimeout = DefaultCallTimeout
	}
	if o.PeerTimeout <= 0 {
		o.PeerTimeout = DefaultPeerTimeout
	}
	if o.Poll <= 0 {
		o.Poll = DefaultPoll
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
