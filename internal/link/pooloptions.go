package link

import (
	"log/slog"
	"time"

	"coltsfootmux/internal/link/core"
	"coltsfootmux/internal/model"
)

// PoolOptions are the settings of a Pool. Zero limits are replaced by the defaults.
type PoolOptions struct {
	// Self and Region identify this process to its peers.
	Self   model.HostID
	Region model.Region
	// Logger may be nil.
	Logger *slog.Logger
	Limits core.Limits
	// DialTimeout bounds one dial, by checks of which each counts half of it at most; 0
	// means 1 s.
	DialTimeout time.Duration
	// Budget limits the rate of bytes sent to other regions; nil means no limit.
	Budget *Budget
	// Secret is the bearer token sent to servers; empty sends none.
	Secret string
	// Seed is the random seed of the dial backoff's jitter; 0 means a random one.
	Seed uint64
}

const (
	defaultDialTimeout = time.Second
	// endpointTTL is how long an endpoint without calls and link is kept.
	endpointTTL = 5 * time.Minute
	// redialWait is how long a call waits for a dial that follows a failed one.
	redialWait = 100 * time.Millisecond
)
