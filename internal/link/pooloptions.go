package link

import (
	"log/slog"
	"time"

	"coltsfootmux/internal/link/core"
	"coltsfootmux/internal/model"
)

// PoolOptions are the settings of a Pool. Zero limits take the defaults.
type PoolOptions struct {
	Self   model.HostID
	Region model.Region
	// Logger may be nil.
	Logger *slog.Logger
	Limits core.Limits
	// DialTimeout bounds one dial; 0 for 1 s.
	DialTimeout time.Duration
	// Budget bounds the bytes to other regions; nil for no bound.
	Budget *Budget
	// Secret is shown to the servers dialled.
	Secret string
	// Seed fixes the jitter of the dial backoff; 0 for a random one.
	Seed uint64
}

const (
	defaultDialTimeout = time.Second
	// forgetAfter is how long an address without calls and link is remembered.
	forgetAfter = 5 * time.Minute
	// redialPatience is how long a call waits for a dial after one has failed.
	redialPatience = 100 * time.Millisecond
	// dialBackoffMin and dialBackoffMax bound the wait between failed dials.
	dialBackoffMin = 50 * time.Millisecond
	dialBackoffMax = 2 * time.Second
)
