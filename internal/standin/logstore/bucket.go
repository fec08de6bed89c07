package logstore

import "time"

// burstShare is the part of a second's appends that may come at once.
const burstShare = 0.2

// bucket is a token bucket that caps appends.
type bucket struct {
	rate   float64 // a second
	tokens float64
	at     time.Time
}

func newBucket(perSecond int, now time.Time) *bucket {
	b := &bucket{rate: float64(perSecond), at: now}
	b.tokens = b.burst()
	return b
}

func (b *bucket) burst() float64 { return max(1, b.rate*burstShare) }

func (b *bucket) take(now time.Time) bool {
	b.tokens = min(b.burst(), b.tokens+b.rate*now.Sub(b.at).Seconds())
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
