package logclient

import (
	"log/slog"
	"time"

	"coltsfootmux/internal/core/journal"
)

const (
	defaultCallTimeout = 5 * time.Second
	defaultPoll        = 10 * time.Second
	defaultPage        = 1024
)

// Options are the settings of a Client. The zero value has sensible defaults.
type Options struct {
	// Writer bounds what is sent and kept; the zero value stands for journal.DefaultConfig.
	Writer journal.Config
	// Reader bounds what followers keep; the zero value stands for journal.DefaultReaderConfig.
	Reader journal.ReaderConfig
	// CallTimeout bounds one append or read, beyond the time it is asked to wait. Default 5 s.
	CallTimeout time.Duration
	// Poll is how long a read waits at the log for news. Default 10 s.
	Poll time.Duration
	// Page is how many entries one read asks for. Default 1024.
	Page int
	// Seed makes the jitter of backoffs; hosts should differ in it.
	Seed uint64
	// Clock gives the time; default time.Now.
	Clock func() time.Time
	// Logger gets the events; default none.
	Logger *slog.Logger
}

func (o Options) withDefaults() Options {
	if o.Writer == (journal.Config{}) {
		o.Writer = journal.DefaultConfig()
	}
	if o.Reader == (journal.ReaderConfig{}) {
		o.Reader = journal.DefaultReaderConfig()
	}
	if o.CallTimeout <= 0 {
		o.CallTimeout = defaultCallTimeout
	}
	if o.Poll <= 0 {
		o.Poll = defaultPoll
	}
	if o.Page <= 0 {
		o.Page = defaultPage
	}
	if o.Clock == nil {
		o.Clock = time.Now
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	return o
}
