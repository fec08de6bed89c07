package membudget

import "time"

// Limits are the bounds of a Budget.
type Limits struct {
	// Bytes bounds what all holders hold together.
	Bytes int
	// ReserveBytes is the part of Bytes that only small holders use.
	ReserveBytes int
	// SmallBytes is the most that a small holder holds.
	SmallBytes int
	// LoneBytes is what the only holder that is not small may hold, whatever the other bounds are.
	LoneBytes int
	// StallTime is how long a holder must have made no progress before it is evicted.
	StallTime time.Duration
}
