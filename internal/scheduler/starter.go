package scheduler

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"

	"coltsfootmux/internal/core/placement"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
)

// gangParallel bounds the calls that one gang's start has open at a time.
const gangParallel = 64

func (l *loop) leaseTTL() time.Duration { return l.conf.Document.Defaults.LeaseTTL.D() }

// run carries the start out and tells the loop. ctx ends when the start is
// aborted; what was granted is then released.
func (st *starter) run(ctx context.Context) {
	if ctx.Err() != nil {
		st.done(beginNothing, "", false)
		return
	}
	refused, ok := st.announced(ctx)
	if refused != "" {
		st.s.post(beginDoneMsg{key: st.b.Work.Key, attempt: st.b.Attempt, outcome: beginRefused, refused: refused})
		return
	}
	if !ok {
		st.done(beginNothing, "", false)
		return
	}
	if len(st.b.Parts) == 1 {
		st.single(ctx)
		return
	}
	st.gang(ctx)
}

// single takes the lease and starts the task in one call.
func (st *starter) single(ctx context.Context) {
	p := st.b.Parts[0]
	start := st.start(p)
	grant := st.grant(p)
	start.Grant = &grant
	switch st.startOne(ctx, p, start) {
	case partStarted:
		st.done(beginAll, p.Worker, false)
		st.wait(ctx, p)
	case partNot:
		st.done(beginNothing, p.Worker, false)
	case partNotFault:
		st.done(beginNothing, p.Worker, true)
	case partUnclear:
		st.done(beginUnclear, p.Worker, true)
		st.wait(ctx, p)
	}
}

// gang takes all leases, then starts all tasks.
func (st *starter) gang(ctx context.Context) {
	if bad, fault, ok := st.grantAll(ctx); !ok {
		st.releaseAll()
		st.done(beginNothing, bad, fault)
		return
	}
	states := st.startAll(ctx)
	outcome, bad := gangOutcome(st.b.Parts, states)
	if outcome == beginNothing {
		st.releaseAll()
		st.done(beginNothing, bad, true)
		return
	}
	st.done(outcome, bad, outcome != beginAll)
	if outcome == beginSome {
		st.reportMissing(states)
	}
	st.waitAll(ctx)
}

func (st *starter) grantAll(ctx context.Context) (bad model.WorkerID, fault, ok bool) {
	errs := make([]error, len(st.b.Parts))
	st.each(func(i int, p placement.Part) {
		cctx, cancel := context.WithTimeout(ctx, st.s.o.Timing.CallTimeout)
		defer cancel()
		errs[i] = platform.ErrNotFound
		if c := st.s.dial.get(p.Worker); c != nil {
			errs[i] = c.Grant(cctx, st.grant(p))
		}
	})
	for i, err := range errs {
		if err != nil {
			return st.b.Parts[i].Worker, !errors.Is(err, platform.ErrRefused), false
		}
	}
	return "", false, true
}

func (st *starter) startAll(ctx context.Context) []partState {
	states := make([]partState, len(st.b.Parts))
	st.each(func(i int, p placement.Part) {
		states[i] = st.startOne(ctx, p, st.start(p))
	})
	return states
}

// releaseAll releases or bars every lease, whatever became of the attempt's own
// context. A lease that can't be released lapses, and nothing was started on it.
func (st *starter) releaseAll() {
	st.each(func(_ int, p placement.Part) {
		ctx, cancel := context.WithTimeout(context.Background(), st.s.o.Timing.CallTimeout)
		defer cancel()
		if c := st.s.dial.get(p.Worker); c != nil {
			_, _ = c.Release(ctx, platform.Release{Lease: p.Lease, Scope: model.CellScope(p.Cell), Epoch: st.epochs[p.Cell]})
		}
	})
}

// reportMissing reports the members that did not start as failed, so that
// placement stops the others.
func (st *starter) reportMissing(states []partState) {
	for i, p := range st.b.Parts {
		if states[i] != partNot && states[i] != partNotFault {
			continue
		}
		st.s.post(endedMsg{worker: p.Worker, ending: platform.Ending{
			Lease: p.Lease, Label: st.grant(p).Label, State: platform.EndFailed,
		}})
	}
}

func (st *starter) each(f func(i int, p placement.Part)) {
	var g errgroup.Group
	g.SetLimit(gangParallel)
	for i, p := range st.b.Parts {
		g.Go(func() error {
			f(i, p)
			return nil
		})
	}
	_ = g.Wait()
}

func (st *starter) grant(p placement.Part) platform.Grant {
	w := &st.b.Work
	return platform.Grant{
		Lease: p.Lease, Cell: p.Cell, Epoch: st.epochs[p.Cell], TTL: st.ttl, Shape: p.Shape,
		Label: platform.Label{
			Key: w.Key, Group: st.b.Group, Account: w.Account, Kind: w.Kind,
			Member: p.Member, Members: w.Members, Preemptible: w.Preemptible,
			Idempotent: w.Idempotent, Class: w.Class, Attempt: st.b.Attempt, Detached: w.Detached,
		},
	}
}

func (st *starter) start(p placement.Part) platform.Start {
	return platform.Start{
		Lease: p.Lease, Cell: p.Cell, Epoch: st.epochs[p.Cell],
		Keyed: !st.b.Work.Idempotent, Group: st.b.Group, GroupEpoch: st.b.GroupEpoch,
		Within: st.s.o.Timing.CallTimeout, Body: st.b.Work.Body, Incarnation: st.incs[p.Worker],
	}
}
