package link

import (
	"sync"
	"time"

	"coltsfootmux/internal/link/core"
)

// Budget limits the rate of bytes that a host sends over links to other regions. Its
// pool and its servers share it. If it runs short, summaries (wire.KindSummary)
// wait first, then other calls; urgent calls (core.PriorityControl), heartbeats and
// cancellations never wait.
type Budget struct {
	mu     sync.Mutex
	bucket *core.TokenBucket
}

// NewBudget returns a budget with a rate; 0 sets no bound.
func NewBudget(bytesPerSecond int) *Budget {
	return &Budget{bucket: core.NewTokenBucket(bytesPerSecond)}
}

// SetRate changes the rate.
func (b *Budget) SetRate(bytesPerSecond int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bucket.SetRate(bytesPerSecond)
}

// Take implements core.Budget.
func (b *Budget) Take(now time.Time, p core.Priority, n int) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bucket.Take(now, p, n)
}

// ifCrossRegion returns the budget if the two peers are in different regions, else nil.
func (b *Budget) ifCrossRegion(self, other Peer) core.Budget {
	if b == nil || self.Region == other.Region {
		return nil
	}
	return b
}
