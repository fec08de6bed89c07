package worker_test

import (
	"context"
	"testing"
	"time"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
	"coltsfootmux/internal/standin/worker"
	_ "coltsfootmux/internal/testseed"
)

const (
	cell  = model.CellID("c1")
	group = model.GroupID(7)
	epoch = model.Epoch(16)
	ttl   = 10 * time.Second
)

var (
	capacity  = model.Shape{Slots: 8, Accelerators: 8, CPUMilli: 32_000, MemoryMB: 128_000}
	cellScope = model.CellScope(cell)
)

// fixture is a worker whose clock only the test advances.
type fixture struct {
	t *testing.T
	*worker.Worker
	now time.Time
	ctx context.Context
}

func newFixture(t *testing.T, opts worker.Options) *fixture {
	r := &fixture{t: t, now: time.Unix(1_000_000, 0), ctx: context.Background()}
	opts.ID, opts.Capacity = "w1", capacity
	opts.Clock = func() time.Time { return r.now }
	r.Worker = worker.New(opts)
	return r
}

func (r *fixture) advance(d time.Duration) { r.now = r.now.Add(d) }

func (r *fixture) must(err error) {
	r.t.Helper()
	if err != nil {
		r.t.Fatal(err)
	}
}

func grantOf(lease model.LeaseID) platform.Grant {
	return platform.Grant{
		Lease: lease,
		Cell:  cell,
		Epoch: epoch,
		TTL:   ttl,
		Shape: model.Shape{Slots: 1, Accelerators: 1},
		Label: platform.Label{Key: model.Key("key-" + lease), Group: group, Members: 1},
	}
}

func startOf(lease model.LeaseID, spec worker.Spec) platform.Start {
	g := grantOf(lease)
	return platform.Start{Lease: lease, Cell: cell, Epoch: epoch, Grant: &g, Body: spec.Encode()}
}

func keyedStartOf(lease model.LeaseID, e model.Epoch) platform.Start {
	s := startOf(lease, worker.Spec{RunMS: 60_000})
	s.Keyed, s.Group, s.GroupEpoch = true, group, e
	return s
}

func (r *fixture) hold(e model.Epoch, echo uint64) platform.Held {
	r.t.Helper()
	held, err := r.Hold(r.ctx, []platform.Hold{{Group: group, Epoch: e, TTL: ttl, Echo: echo}})
	r.must(err)
	return held[0]
}

func (r *fixture) renew() platform.Report {
	r.t.Helper()
	rep, err := r.Renew(r.ctx, platform.Renew{Cell: cell, Epoch: epoch, TTL: ttl})
	r.must(err)
	return rep
}

func (r *fixture) release(lease model.LeaseID, onlyUnstarted bool) platform.Released {
	r.t.Helper()
	out, err := r.Release(r.ctx, platform.Release{Lease: lease, Scope: cellScope, Epoch: epoch, OnlyUnstarted: onlyUnstarted})
	r.must(err)
	return out
}
