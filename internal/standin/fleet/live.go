package fleet

import (
	"context"
	"sync"
	"time"

	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
)

// liveStep is how often a Live fleet looks at its work.
const liveStep = 10 * time.Millisecond

// Live runs a Fleet in real time, or in the virtual time of a test, for callers
// on several goroutines.
type Live struct {
	mu    sync.Mutex
	fleet *Fleet
	began time.Time
}

// NewLive makes a live fleet without machines.
func NewLive(w WorkFunc) *Live { return &Live{fleet: New(w), began: time.Now()} }

// With gives the fleet, at its present time, to f alone.
func (l *Live) With(f func(*Fleet)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fleet.Advance(time.Since(l.began))
	f(l.fleet)
}

// Run moves the fleet's time until ctx ends.
func (l *Live) Run(ctx context.Context) {
	t := time.NewTicker(liveStep)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			l.With(func(*Fleet) {})
		}
	}
}

// Submit makes a job known.
func (l *Live) Submit(j *job.Job) { l.With(func(f *Fleet) { f.Submit(j) }) }

// Start implements external.Workers.
func (l *Live) Start(ctx context.Context, o external.StartOrder) (r external.OrderResult, err error) {
	l.With(func(f *Fleet) { r, err = f.Start(ctx, o) })
	return r, err
}

// Stop implements external.Workers.
func (l *Live) Stop(ctx context.Context, o external.StopOrder) (r external.OrderResult, err error) {
	l.With(func(f *Fleet) { r, err = f.Stop(ctx, o) })
	return r, err
}

// Pace implements external.Workers.
func (l *Live) Pace(ctx context.Context, o external.PaceOrder) (r external.OrderResult, err error) {
	l.With(func(f *Fleet) { r, err = f.Pace(ctx, o) })
	return r, err
}

// Hold implements external.Workers; it waits for an end as a worker does.
func (l *Live) Hold(ctx context.Context, o external.HoldOrder) (lists external.HoldResult, err error) {
	until := time.Now().Add(o.Wait)
	for {
		l.With(func(f *Fleet) { lists, err = f.Hold(ctx, o) })
		if err != nil || len(lists.Ended) > 0 || !time.Now().Before(until) {
			return lists, err
		}
		select {
		case <-ctx.Done():
			return external.HoldResult{}, external.ErrOutcomeUnknown
		case <-time.After(liveStep):
		}
	}
}

var _ external.Workers = (*Live)(nil)
