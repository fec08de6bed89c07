package entry

import (
	"sync"
	"time"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/core/limits"
	"coltsfootmux/internal/model"
)

const (
	// rateBurst is how many seconds' worth of an account's rate may come at once.
	rateBurst = time.Second
	// concurrencyRetryAfter is what a caller over its concurrency is told.
	concurrencyRetryAfter = time.Second
)

// admission keeps each account and the host within their limits.
type admission struct {
	mu    sync.Mutex
	open  int
	bound int
	// held and heldBound are bytes of bodies.
	held, heldBound int64

	rates *limits.Rates[model.Account]
	conc  *limits.Concurrency[model.Account]
}

func newAdmission(bound int, heldBound int64) *admission {
	return &admission{
		bound: bound, heldBound: heldBound,
		rates: limits.NewRates[model.Account](rateBurst),
		conc:  limits.NewConcurrency[model.Account](),
	}
}

// enter takes a place at the host and room for a body, before anything is read.
func (a *admission) enter(bytes int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.open >= a.bound || a.held+bytes > a.heldBound {
		return false
	}
	a.open++
	a.held += bytes
	return true
}

func (a *admission) leave(bytes int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.open--
	a.held -= bytes
}

// count is how many places are taken.
func (a *admission) count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.open
}

// admit opens a request of an account, or says why not and when to come back.
func (a *admission) admit(now time.Time, name model.Account, l config.Limits) (reason model.Reason, after time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.conc.Acquire(name, l.Concurrency) {
		return model.ReasonQueueFull, concurrencyRetryAfter
	}
	if ok, wait := a.rates.Allow(now, name, l.RatePerSecond); !ok {
		a.conc.Release(name)
		return model.ReasonRateLimited, wait
	}
	return "", 0
}

// done closes a request that admit opened.
func (a *admission) done(name model.Account) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conc.Release(name)
}
