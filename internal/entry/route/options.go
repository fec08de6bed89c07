package route

import (
	"math/rand/v2"
	"time"

	"coltsfootmux/internal/core/limits"
	"coltsfootmux/internal/model"
)

// Options are the settings of a Router.
type Options struct {
	// Self, DataCentre and Region are the ID and the location of this entry host.
	Self       model.HostID
	DataCentre model.DataCentre
	Region     model.Region
	// Backoff sets the delays between the rounds of a call.
	Backoff limits.Backoff
	// Rand is the source of jitter.
	Rand *rand.Rand
}

const (
	// maxSendsPerRound bounds how many schedulers a call is sent to in one round.
	maxSendsPerRound = 9
	// maxOverloads is the number of rejections by overloaded schedulers that ends a
	// call, unless it may have had an effect.
	maxOverloads = 3
	// overloadRetryAfter is the RetryAfter of a call that ends for this reason or
	// because there is no configuration yet.
	overloadRetryAfter = time.Second
	// retryReserve is the largest number of unused retries that the retry budget
	// accumulates.
	retryReserve = 100
)

// DefaultBackoff returns delays with which a call that waits for a takeover of a
// few seconds tries only a few times.
func DefaultBackoff() limits.Backoff {
	return limits.Backoff{Min: 40 * time.Millisecond, Max: 800 * time.Millisecond}
}
