package entry

import (
	"sync"
	"time"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/core/limits"
	"coltsfootmux/internal/model"
)

const (
	// rateBurst sets the size of a burst: what an account's rate allows in this time.
	rateBurst = time.Second
	// concurrencyRetryAfter is the Retry-After for an account at its concurrency limit.
	concurrencyRetryAfter = time.Second
)

// admission enforces the limits of each account and of this entry host.
type admission struct {
	mu           sync.Mutex
	openCalls    int
	maxOpenCalls int
	// heldBytes is the memory reserved for the content of the open calls.
	heldBytes, maxHeldBytes int64

	rates       *limits.Rates[model.Account]
	concurrency *limits.Concurrency[model.Account]
}

func newAdmission(maxOpenCalls int, maxHeldBytes int64) *admission {
	return &admission{
		maxOpenCalls: maxOpenCalls, maxHeldBytes: maxHeldBytes,
		rates:       limits.NewRates[model.Account](rateBurst),
		concurrency: limits.NewConcurrency[model.Account](),
	}
}

// acquire opens a call and reserves memory for its content, before that is read. It
// reports false if this would exceed a limit of the host.
func (a *admission) acquire(bytes int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.openCalls >= a.maxOpenCalls || a.heldBytes+bytes > a.maxHeldBytes {
		return false
	}
	a.openCalls++
	a.heldBytes += bytes
	return true
}

// release closes a call that acquire has opened.
func (a *admission) release(bytes int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.openCalls--
	a.heldBytes -= bytes
}

// openCount returns the number of open calls.
func (a *admission) openCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.openCalls
}

// admit starts a request of an account, or returns the reason for rejecting it and
// the time after which to retry.
func (a *admission) admit(now time.Time, name model.Account, l config.Limits) (reason model.Reason, retryAfter time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.concurrency.Acquire(name, l.Concurrency) {
		return model.ReasonQueueFull, concurrencyRetryAfter
	}
	if ok, wait := a.rates.Allow(now, name, l.RatePerSecond); !ok {
		a.concurrency.Release(name)
		return model.ReasonRateLimited, wait
	}
	return "", 0
}

// finish ends a request that admit has started.
func (a *admission) finish(name model.Account) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.concurrency.Release(name)
}
