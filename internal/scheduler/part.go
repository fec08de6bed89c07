package scheduler

import (
	"context"
	"errors"
	"time"

	"coltsfootmux/internal/core/placement"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
)

// partState says what became of one member's start.
type partState uint8

const (
	// partNot: the worker refused it, or the start never left.
	partNot partState = iota
	// partNotFault: it did not start, and the worker is at fault.
	partNotFault
	// partStarted: it runs or has run.
	partStarted
	// partUnclear: it may run.
	partUnclear
)

const (
	// settleTries is how often a worker is asked what became of a start.
	settleTries = 3
	settlePause = 200 * time.Millisecond
	// waitPause is the pause between two tries to wait for an ending.
	waitPause = 500 * time.Millisecond
)

// startOne sends one start. After any doubt the worker is asked; nothing is sent
// a second time.
func (st *starter) startOne(ctx context.Context, p placement.Part, start platform.Start) partState {
	c := st.s.dial.get(p.Worker)
	if c == nil {
		return partNot
	}
	cctx, cancel := context.WithTimeout(ctx, st.s.o.Timing.CallTimeout)
	defer cancel()
	mStarts.Inc()
	sent := now()
	err := c.Start(cctx, start)
	switch {
	case err == nil:
		return partStarted
	case errors.Is(err, platform.ErrStaleEpoch):
		return partNot
	case errors.Is(err, platform.ErrRefused):
		// A second copy may come when the reason is gone: the lease is barred.
		if became := st.settle(c, p, sent); became != partNotFault {
			return became
		}
		return partNot
	case errors.Is(err, platform.ErrNotSent), errors.Is(err, platform.ErrUnavailable):
		return partNotFault
	}
	return st.settle(c, p, sent)
}

// settle asks a worker about a start whose answer is missing: the lease is
// barred when it is unstarted. A worker that has restarted since the sending
// can't tell.
func (st *starter) settle(c platform.Worker, p placement.Part, sent time.Time) partState {
	for range settleTries {
		got, err := st.askOne(c, p)
		if err == nil {
			return settled(got, now().Sub(sent))
		}
		time.Sleep(settlePause)
	}
	return partUnclear
}

func (st *starter) askOne(c platform.Worker, p placement.Part) (platform.Released, error) {
	ctx, cancel := context.WithTimeout(context.Background(), st.s.o.Timing.CallTimeout)
	defer cancel()
	return c.Release(ctx, platform.Release{
		Lease: p.Lease, Scope: model.CellScope(p.Cell), Epoch: st.epochs[p.Cell], OnlyUnstarted: true,
	})
}

// settled says what an answer means for a start sent so long ago.
func settled(r platform.Released, ago time.Duration) partState {
	switch {
	case r.Started:
		return partStarted
	case r.Since <= ago:
		return partUnclear
	}
	return partNotFault
}

// gangOutcome sums the members' starts up.
func gangOutcome(parts []placement.Part, states []partState) (beginOutcome, model.WorkerID) {
	started, unclear, missing := 0, 0, 0
	var bad model.WorkerID
	for i, s := range states {
		switch s {
		case partStarted:
			started++
			continue
		case partUnclear:
			unclear++
		default:
			missing++
		}
		bad = parts[i].Worker
	}
	switch {
	case started+unclear == 0:
		return beginNothing, bad
	case missing > 0:
		return beginSome, bad
	case unclear > 0:
		return beginUnclear, bad
	}
	return beginAll, ""
}

// wait waits for a member's ending and tells the loop. Jobs are not waited for:
// the renewals of their leases report their endings.
func (st *starter) wait(ctx context.Context, p placement.Part) {
	if st.b.Work.Detached {
		return
	}
	c := st.s.dial.get(p.Worker)
	for ctx.Err() == nil {
		e, err := c.Wait(ctx, p.Lease)
		if err == nil {
			st.s.post(endedMsg{worker: p.Worker, ending: e})
			return
		}
		if errors.Is(err, platform.ErrNotFound) {
			return
		}
		pause(ctx, waitPause)
	}
}

func (st *starter) waitAll(ctx context.Context) {
	for _, p := range st.b.Parts {
		go st.wait(ctx, p)
	}
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
