package scheduler

import (
	"log/slog"
	"time"

	"github.com/rotisserie/eris"

	"coltsfootmux/internal/link"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
)

// Options are what a scheduler is built from.
type Options struct {
	// Self is this process as it stands in the host list.
	Self model.Host
	// Log is the log client, RawLog the log service itself for bounded reads.
	Log    Log
	RawLog platform.Log
	Hosts  platform.HostList
	// Workers dials the workers that the configuration names.
	Workers platform.Workers
	Configs Configs
	Pool    *link.Pool
	Server  *link.Server
	Logger  *slog.Logger
	Timing  Timing
}

// Timing holds the scheduler's own intervals.
type Timing struct {
	// Tick is how often the cores see the time.
	Tick time.Duration
	// BeatEvery is how often an owner tells its successors that it lives.
	BeatEvery time.Duration
	// SuspectAfter is the silence after which a successor takes over.
	SuspectAfter time.Duration
	// HostsEvery is how often the host list is read.
	HostsEvery time.Duration
	// CallTimeout bounds one call to a worker or to another process.
	CallTimeout time.Duration
	// LogRetention is how long the log service keeps records. Claims are appended
	// anew well before it ends, and so are accepted jobs that are still open.
	LogRetention time.Duration
	// RecordTimeout bounds the wait for a job's record on the log.
	RecordTimeout time.Duration
}

// DefaultTiming gives the intervals that the programs start with.
func DefaultTiming() Timing {
	return Timing{
		Tick:          50 * time.Millisecond,
		BeatEvery:     500 * time.Millisecond,
		SuspectAfter:  1500 * time.Millisecond,
		HostsEvery:    time.Second,
		CallTimeout:   2 * time.Second,
		RecordTimeout: 3 * time.Second,
		LogRetention:  time.Hour,
	}
}

func (o *Options) check() error {
	switch {
	case o.Self.ID == "":
		return eris.Wrap(ErrOptions, "no host id")
	case o.Log == nil || o.RawLog == nil || o.Hosts == nil || o.Workers == nil:
		return eris.Wrap(ErrOptions, "a part of the platform is missing")
	case o.Configs == nil || o.Pool == nil || o.Server == nil:
		return eris.Wrap(ErrOptions, "configuration or links are missing")
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	if o.Timing == (Timing{}) {
		o.Timing = DefaultTiming()
	}
	return nil
}
