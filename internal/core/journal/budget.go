package journal

import "time"

// budget is a token bucket for appends.
type budget struct {
	rate   float64 // a second
	burst  float64
	tokens float64
	at     time.Time
}

func newBudget(rate, burst float64) *budget {
	return &budget{rate: rate, burst: max(burst, 1), tokens: max(burst, 1)}
}

func (b *budget) refill(now time.Time) {
	if !b.at.IsZero() && now.After(b.at) {
		b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.at).Seconds())
	}
	b.at = now
}

func (b *budget) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// ready gives when the next append may be made.
func (b *budget) ready() time.Time {
	if b.tokens >= 1 {
		return b.at
	}
	wait := time.Duration((1 - b.tokens) / b.rate * float64(time.Second))
	// One more nanosecond makes up for what rounding took off.
	return b.at.Add(wait + 1)
}
