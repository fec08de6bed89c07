package logstore

import "time"

// burstShare is the share of a second's appends that may come in one burst.
const burstShare = 0.2

// bucket is a token bucket that limits the rate of appends.
type bucket struct {
	rate    float64 // tokens per second
	tokens  float64
	updated time.Time
}

func newBucket(perSecond int, now time.Time) *bucket {
	b := &bucket{rate: float64(perSecond), updated: now}
	b.tokens = b.burst()
	return b
}

func (b *bucket) burst() float64 { return max(1, b.rate*burstShare) }

func (b *bucket) take(now time.Time) bool {
	b.tokens = min(b.burst(), b.tokens+b.rate*now.Sub(b.updated).Seconds())
	b.updated = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
