package instance

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"coltsfootmux/internal/job"
	"coltsfootmux/internal/link"
	"coltsfootmux/internal/wire"
)

const (
	// askTimeout bounds one question to a peer; a call has time for several.
	askTimeout = 500 * time.Millisecond
	// forwardTimeout bounds a question that is passed on to the owner, so that whoever asked learns
	// within askTimeout that the owner does not answer.
	forwardTimeout = 350 * time.Millisecond
)

func (i *Instance) askJob(ctx context.Context, q *inquiry, id job.ID) (wire.JobReply, error) {
	if o := i.owner.Load(); o != nil {
		r := o.job(id)
		q.ownAnswer(i, r.Known)
		return r, nil
	}
	c := &cellQuestion[wire.JobQuery, wire.JobReply]{
		inst: i, kind: wire.KindJob, direct: wire.JobQuery{ID: id}, forward: wire.JobQuery{ID: id, Forward: true},
		known: func(r wire.JobReply) bool { return r.Known }, asked: q,
	}
	return c.put(ctx)
}

func (i *Instance) askPending(ctx context.Context, q *inquiry, queue string) (wire.PendingReply, error) {
	if o := i.owner.Load(); o != nil {
		r := o.pending(queue)
		q.ownAnswer(i, r.Known)
		return r, nil
	}
	c := &cellQuestion[wire.PendingQuery, wire.PendingReply]{
		inst: i, kind: wire.KindPending, direct: wire.PendingQuery{Queue: queue}, forward: wire.PendingQuery{Queue: queue, Forward: true},
		known: func(r wire.PendingReply) bool { return r.Known }, asked: q,
	}
	return c.put(ctx)
}

// askOwner asks the owner that this instance knows of.
func askOwner[Req, Rep any](ctx context.Context, i *Instance, k wire.Kind, q Req) (Rep, error) {
	rec, ok := i.ownerRecord()
	if !ok || rec.Addr == i.Settings.LinkAddr {
		var none Rep
		return none, eris.Wrap(ErrUnavailable, "no owner known")
	}
	return askPeer[Req, Rep](ctx, i, rec.Addr, k, q)
}

func askPeer[Req, Rep any](ctx context.Context, i *Instance, addr string, k wire.Kind, q Req) (Rep, error) {
	inner, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	rep, err := link.Call[Req, Rep](inner, i.pool, addr, k, q)
	i.recordPeerAnswer(ctx, addr, err)
	return rep, err
}

func (i *Instance) onJobQuery(ctx context.Context, _ link.Peer, q wire.JobQuery) (wire.JobReply, error) {
	if o := i.owner.Load(); o != nil {
		return o.job(q.ID), nil
	}
	if !q.Forward {
		return wire.JobReply{}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	return askOwner[wire.JobQuery, wire.JobReply](ctx, i, wire.KindJob, wire.JobQuery{ID: q.ID})
}

func (i *Instance) onPendingQuery(ctx context.Context, _ link.Peer, q wire.PendingQuery) (wire.PendingReply, error) {
	if o := i.owner.Load(); o != nil {
		return o.pending(q.Queue), nil
	}
	if !q.Forward {
		return wire.PendingReply{}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	return askOwner[wire.PendingQuery, wire.PendingReply](ctx, i, wire.KindPending, wire.PendingQuery{Queue: q.Queue})
}
