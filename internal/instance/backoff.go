package instance

import (
	"errors"
	"math/rand/v2"
	"time"

	"coltsfootmux/internal/external"
)

// backoff gives the delays between repeated calls: each is twice the last one, up to max,
// and random between half and one and a half of that, so that instances that began together
// spread out.
type backoff struct {
	min, max time.Duration
	// next is the middle of the next delay, or 0 before the first.
	next time.Duration
}

// delay returns the time to wait before the next call.
func (b *backoff) delay() time.Duration {
	d := max(b.next, b.min)
	b.next = min(2*d, b.max)
	return d/2 + rand.N(d)
}

// delayAfter returns the time to wait after a failed call: min, and more only while the
// store refuses calls for its rate limit. Any other failure ends with its cause.
func (b *backoff) delayAfter(err error) time.Duration {
	if !errors.Is(err, external.ErrRateLimited) {
		return b.min
	}
	return b.delay()
}

// reset starts again with min.
func (b *backoff) reset() { b.next = 0 }
