package limits

import (
	"math/rand/v2"
	"time"
)

// Backoff gives growing waits with jitter.
type Backoff struct {
	// Min is the top of the first wait and Max that of the longest.
	Min, Max time.Duration
}

// maxDoublings keeps the shift from overflowing.
const maxDoublings = 30

// Wait gives the wait before retry n, counted from 1: a random part between a
// half and the whole of a span that doubles up to Max.
func (b Backoff) Wait(n int, r *rand.Rand) time.Duration {
	span := b.Max
	if n = min(max(n, 1)-1, maxDoublings); b.Min<<n > 0 && b.Min<<n>>n == b.Min {
		span = min(b.Min<<n, b.Max)
	}
	half := span / 2
	if half <= 0 {
		return span
	}
	return half + time.Duration(r.Int64N(int64(half)+1))
}
