package cell

import "time"

// Instant is the time at which an event is handled.
type Instant struct {
	// Mono is the reading of a monotonic clock that also counts the time while the
	// machine is suspended.
	Mono time.Duration
	// UnixMS is the wall-clock time in Unix milliseconds.
	UnixMS int64
}
