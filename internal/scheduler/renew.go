package scheduler

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"coltsfootmux/internal/core/membership"
	"coltsfootmux/internal/core/ownership"
	"coltsfootmux/internal/core/placement"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
)

// renewalsPerTTL is how often leases are renewed within their time to live.
const renewalsPerTTL = 4

// renewer renews a cell's leases at one worker and passes on what it reports.
type renewer struct {
	s      *Scheduler
	cell   model.CellID
	epoch  model.Epoch
	worker model.WorkerID
	ack    uint64
	ttl    time.Duration
	// incarnation tells when the worker has restarted and numbers endings anew.
	incarnation string
}

// renewing renews until ctx ends or the epoch is refused.
func (s *Scheduler) renewing(ctx context.Context, cell model.CellID, e model.Epoch, w model.Worker) {
	r := &renewer{s: s, cell: cell, epoch: e, worker: w.ID}
	for ctx.Err() == nil {
		r.ttl = s.o.Configs.Current().Document.Defaults.LeaseTTL.D()
		if !r.once(ctx) {
			return
		}
		pause(ctx, r.ttl/renewalsPerTTL)
	}
}

// once renews once; it reports false when the epoch was refused.
func (r *renewer) once(ctx context.Context) bool {
	c := r.s.dial.get(r.worker)
	if c == nil {
		return true
	}
	cctx, cancel := context.WithTimeout(ctx, r.s.o.Timing.CallTimeout)
	defer cancel()
	rep, err := c.Renew(cctx, platform.Renew{Cell: r.cell, Epoch: r.epoch, TTL: r.ttl, Ack: r.ack})
	switch {
	case ctx.Err() != nil:
		return false
	case errors.Is(err, platform.ErrStaleEpoch):
		r.s.post(ownMsg{ev: ownership.Refused{Scope: model.CellScope(r.cell), Epoch: r.epoch}})
		return false
	case err != nil:
		evRenewFailed.Log(ctx, r.s.o.Logger, slog.String("worker", string(r.worker)), slog.Any("error", err))
		r.s.post(memberMsg{ev: membership.Silent{Worker: r.worker}})
		return true
	}
	r.report(rep)
	return true
}

func (r *renewer) report(rep platform.Report) {
	if r.incarnation != "" && rep.Incarnation != r.incarnation {
		r.ack = 0
	}
	r.incarnation = rep.Incarnation
	r.s.post(memberMsg{ev: membership.Answered{Worker: r.worker, Leaving: rep.Leaving}})
	for _, e := range rep.Ended {
		r.s.post(endedMsg{worker: r.worker, ending: e})
	}
	r.ack = rep.Last
	at := now().Add(-rep.Lag)
	for _, u := range rep.Usage {
		r.s.post(placeMsg{ev: placement.Used{Lease: u.Lease, Used: u.Used, At: at}})
	}
}
