package fleet

import (
	"context"
	"sync"
	"time"

	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
)

// liveTick is the interval at which a Live fleet's clock moves.
const liveTick = 10 * time.Millisecond

// Live is a Fleet that runs in real time, or in the virtual time of a test. It is
// safe for concurrent use.
type Live struct {
	mu        sync.Mutex
	fleet     *Fleet
	startTime time.Time
}

// NewLive returns a live fleet without machines.
func NewLive(w WorkFunc) *Live {
	l := &Live{fleet: New(w), startTime: time.Now()}
	l.fleet.EpochMS = l.startTime.UnixMilli()
	return l
}

// With advances the fleet to the present time and calls f with it under the lock.
func (l *Live) With(f func(*Fleet)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fleet.Advance(time.Since(l.startTime))
	f(l.fleet)
}

// Run advances the fleet's clock until ctx ends.
func (l *Live) Run(ctx context.Context) {
	t := time.NewTicker(liveTick)
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

// Submit adds a job to those that callers submitted.
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

// Probe implements external.Workers.
func (l *Live) Probe(ctx context.Context, id external.WorkerID, addr string) (err error) {
	l.With(func(f *Fleet) { err = f.Probe(ctx, id, addr) })
	return err
}

// Hold implements external.Workers. Like a real worker it waits up to o.Wait for
// a run to end, and does not outlive its process: a later incarnation neither answers it nor
// takes its acknowledgement.
func (l *Live) Hold(ctx context.Context, o external.HoldOrder) (result external.HoldResult, err error) {
	until, incarnation := time.Now().Add(o.Wait), int64(0)
	for {
		l.With(func(f *Fleet) {
			m := f.Machine(o.Worker)
			if incarnation != 0 && (m == nil || m.StartedMS != incarnation) {
				err = external.ErrOutcomeUnknown
				return
			}
			result, err = f.Hold(ctx, o)
			incarnation = result.StartedMS
		})
		if err != nil || len(result.Ended) > 0 || !time.Now().Before(until) {
			return result, err
		}
		select {
		case <-ctx.Done():
			return external.HoldResult{}, external.ErrOutcomeUnknown
		case <-time.After(liveTick):
		}
	}
}

var _ external.Workers = (*Live)(nil)
