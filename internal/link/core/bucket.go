package core

import "time"

// TokenBucket is a token bucket over bytes, used as a Budget. Each lane may draw it
// down to its own level, so the low lane waits first. It may go into debt by
// one chunk. It is not safe for concurrent use.
type TokenBucket struct {
	perSecond float64
	burst     float64
	tokens    float64
	last      time.Time
}

// NewTokenBucket makes a full bucket that refills at bytesPerSecond and holds what
// accrues in one second.
func NewTokenBucket(bytesPerSecond int) *TokenBucket {
	r := float64(bytesPerSecond)
	return &TokenBucket{perSecond: r, burst: r, tokens: r}
}

// SetRate changes the refill rate.
func (b *TokenBucket) SetRate(bytesPerSecond int) {
	b.perSecond = float64(bytesPerSecond)
	b.burst = b.perSecond
	b.tokens = min(b.tokens, b.burst)
}

// Take implements Budget. A rate of zero sets no bound.
func (b *TokenBucket) Take(now time.Time, l Priority, n int) time.Duration {
	if b.perSecond <= 0 {
		return 0
	}
	if el := now.Sub(b.last); el > 0 {
		if !b.last.IsZero() {
			b.tokens = min(b.burst, b.tokens+el.Seconds()*b.perSecond)
		}
		b.last = now
	}
	if lack := b.floor(l) - b.tokens; l != PriorityControl && lack >= 0 {
		return max(time.Duration(lack/b.perSecond*float64(time.Second)), time.Millisecond)
	}
	b.tokens -= float64(n)
	return 0
}

// floor is the level above which a lane may take.
func (b *TokenBucket) floor(l Priority) float64 {
	if l == PriorityLow {
		return b.burst / 2
	}
	return 0
}
