package link

import (
	"sync"
	"time"

	"coltsfootmux/internal/link/core"
)

// Budget is the byte budget of a host on its links to other regions, shared by
// its pool and its servers. When it runs short, summaries wait first, then
// other calls; heartbeats and cancellations never wait.
type Budget struct {
	mu     sync.Mutex
	bucket *core.TokenBucket
}

// NewBudget makes a budget; a rate of 0 sets no bound.
func NewBudget(bytesPerSecond int) *Budget {
	return &Budget{bucket: core.NewTokenBucket(bytesPerSecond)}
}

// SetRate changes the budget.
func (b *Budget) SetRate(bytesPerSecond int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bucket.SetRate(bytesPerSecond)
}

// Take implements core.Budget.
func (b *Budget) Take(now time.Time, l core.Priority, n int) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bucket.Take(now, l, n)
}

// across gives the budget when the two regions differ, or nil.
func (b *Budget) across(self, other Peer) core.Budget {
	if b == nil || self.Region == other.Region {
		return nil
	}
	return b
}
