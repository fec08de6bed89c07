package journal

import "time"

// Backoff is a capped exponential backoff.
type Backoff struct {
	First time.Duration
	Most  time.Duration
}

// DefaultBackoff gives the backoff for calls to the log.
func DefaultBackoff() Backoff {
	return Backoff{First: 100 * time.Millisecond, Most: 5 * time.Second}
}

// maxDoublings keeps the shift below from overflowing.
const maxDoublings = 20

// After gives the pause after the nth failure in a row, from 1. Jitter, from
// [0,1), chooses between half of the pause and all of it.
func (b Backoff) After(n int, jitter float64) time.Duration {
	d := min(b.First<<min(max(n-1, 0), maxDoublings), b.Most)
	return d/2 + time.Duration(jitter*float64(d/2))
}
