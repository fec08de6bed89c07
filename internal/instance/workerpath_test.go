package instance

import (
	"context"
	"sync/atomic"
	"time"

	"coltsfootmux/internal/external"
	"coltsfootmux/internal/standin/fleet"
)

// cutOrderTime is how long an order stays unanswered whose path is cut.
const cutOrderTime = 300 * time.Millisecond

// workerPath is an instance's path to the workers. Orders to those that are cut off from it
// are neither carried out nor answered.
type workerPath struct {
	*fleet.Live
	cut atomic.Pointer[map[external.WorkerID]bool]
	// probes counts the probes of workers by this instance.
	probes atomic.Int64
}

func (p *workerPath) cutOff(ids ...external.WorkerID) {
	m := make(map[external.WorkerID]bool)
	for _, id := range ids {
		m[id] = true
	}
	p.cut.Store(&m)
}

// blocked reports whether a worker is cut off. It then waits as long as an unanswered call.
func (p *workerPath) blocked(ctx context.Context, id external.WorkerID) bool {
	m := p.cut.Load()
	if m == nil || !(*m)[id] {
		return false
	}
	select {
	case <-ctx.Done():
	case <-time.After(cutOrderTime):
	}
	return true
}

func (p *workerPath) Start(ctx context.Context, o external.StartOrder) (external.OrderResult, error) {
	if p.blocked(ctx, o.Worker) {
		return external.OrderResult{}, external.ErrOutcomeUnknown
	}
	return p.Live.Start(ctx, o)
}

func (p *workerPath) Stop(ctx context.Context, o external.StopOrder) (external.OrderResult, error) {
	if p.blocked(ctx, o.Worker) {
		return external.OrderResult{}, external.ErrOutcomeUnknown
	}
	return p.Live.Stop(ctx, o)
}

func (p *workerPath) Probe(ctx context.Context, id external.WorkerID, addr string) error {
	p.probes.Add(1)
	if p.blocked(ctx, id) {
		return external.ErrOutcomeUnknown
	}
	return p.Live.Probe(ctx, id, addr)
}

func (p *workerPath) Hold(ctx context.Context, o external.HoldOrder) (external.HoldResult, error) {
	if p.blocked(ctx, o.Worker) {
		return external.HoldResult{}, external.ErrOutcomeUnknown
	}
	return p.Live.Hold(ctx, o)
}
