package core

import "time"

// TokenBucket is a Budget that holds one token per byte. PriorityLow may take tokens
// only while more than half of them are left, so that it waits first;
// PriorityControl never waits. The bucket may go into debt by one chunk, and by more
// for PriorityControl. It is not safe for concurrent use.
type TokenBucket struct {
	rate       float64
	burst      float64
	tokens     float64
	lastRefill time.Time
}

// NewTokenBucket returns a full bucket that refills at bytesPerSecond and holds the
// tokens of one second.
func NewTokenBucket(bytesPerSecond int) *TokenBucket {
	r := float64(bytesPerSecond)
	return &TokenBucket{rate: r, burst: r, tokens: r}
}

// SetRate changes the refill rate.
func (b *TokenBucket) SetRate(bytesPerSecond int) {
	b.rate = float64(bytesPerSecond)
	b.burst = b.rate
	b.tokens = min(b.tokens, b.burst)
}

// Take implements Budget. With a rate of zero it never returns a wait.
func (b *TokenBucket) Take(now time.Time, p Priority, n int) time.Duration {
	if b.rate <= 0 {
		return 0
	}
	if elapsed := now.Sub(b.lastRefill); elapsed > 0 {
		if !b.lastRefill.IsZero() {
			b.tokens = min(b.burst, b.tokens+elapsed.Seconds()*b.rate)
		}
		b.lastRefill = now
	}
	if deficit := b.minTokens(p) - b.tokens; p != PriorityControl && deficit >= 0 {
		return max(time.Duration(deficit/b.rate*float64(time.Second)), time.Millisecond)
	}
	b.tokens -= float64(n)
	return 0
}

// minTokens returns the number of tokens above which a priority may take more.
func (b *TokenBucket) minTokens(p Priority) float64 {
	if p == PriorityLow {
		return b.burst / 2
	}
	return 0
}
