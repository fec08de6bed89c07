package cell

import "time"

// Instant is when an event is handled.
type Instant struct {
	// Mono is a steady clock that counts the time of a suspended machine too.
	Mono time.Duration
	// UnixMS is the time of day.
	UnixMS int64
}
