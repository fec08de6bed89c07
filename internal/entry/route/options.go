package route

import (
	"math/rand/v2"
	"time"

	"coltsfootmux/internal/core/limits"
	"coltsfootmux/internal/model"
)

// Options are the settings of a Router.
type Options struct {
	// Self, DataCentre and Region say where the entry host is.
	Self       model.HostID
	DataCentre model.DataCentre
	Region     model.Region
	// Backoff spaces the rounds of a call.
	Backoff limits.Backoff
	// Rand is the source of jitter.
	Rand *rand.Rand
}

const (
	// asksPerRound bounds how many schedulers one round asks.
	asksPerRound = 9
	// overloadsToGiveUp is how many refusals for load end a call that did nothing.
	overloadsToGiveUp = 3
	// overloadRetryAfter is what a caller is told after that.
	overloadRetryAfter = time.Second
	// retryReserve is how many early rounds may be saved up.
	retryReserve = 100
)

// DefaultBackoff spaces the rounds so that a takeover of a few seconds costs
// each waiting call a handful of asks.
func DefaultBackoff() limits.Backoff {
	return limits.Backoff{Min: 40 * time.Millisecond, Max: 800 * time.Millisecond}
}
