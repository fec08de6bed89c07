package journal

import "time"

const (
	// leastShare is the part of the budget that a writer never goes below.
	leastShare = 0.03
	// regainShare is the part of the budget that each success gives back.
	regainShare = 0.01
)

// budget is a token bucket for appends. Its rate halves when the log turns an
// append away and grows back with each that it takes, so that many writers share
// what the log takes without knowing of each other.
type budget struct {
	most   float64 // a second
	rate   float64 // a second, at most most
	burst  float64
	tokens float64
	at     time.Time
}

func newBudget(rate, burst float64) *budget {
	return &budget{most: rate, rate: rate, burst: max(burst, 1), tokens: max(burst, 1)}
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

// slow takes in that the log turned an append away.
func (b *budget) slow() { b.rate = max(b.rate/2, b.most*leastShare) }

// regain takes in that the log took an append.
func (b *budget) regain() { b.rate = min(b.rate+b.most*regainShare, b.most) }

// ready gives when the next append may be made.
func (b *budget) ready() time.Time {
	if b.tokens >= 1 {
		return b.at
	}
	wait := time.Duration((1 - b.tokens) / b.rate * float64(time.Second))
	// One more nanosecond makes up for what rounding took off.
	return b.at.Add(wait + 1)
}
