package instance

import (
	"cmp"
	"context"
	"time"

	"github.com/rotisserie/eris"

	"coltsfootmux/internal/job"
	"coltsfootmux/internal/link"
	"coltsfootmux/internal/wire"
)

// askTimeout bounds one question to a peer; a call has time for several.
const askTimeout = 500 * time.Millisecond

func (i *Instance) askJob(ctx context.Context, q *inquiry, id job.ID) (wire.JobReply, error) {
	if o := i.owner.Load(); o != nil {
		r := o.job(id)
		q.ownAnswer(i, r.Known)
		return r, nil
	}
	known := func(r wire.JobReply) bool { return r.Known }
	return askCell(ctx, i, q, wire.KindJob, wire.JobQuery{ID: id}, wire.JobQuery{ID: id, Forward: true}, known)
}

func (i *Instance) askPending(ctx context.Context, q *inquiry, queue string) (wire.PendingReply, error) {
	if o := i.owner.Load(); o != nil {
		r := o.pending(queue)
		q.ownAnswer(i, r.Known)
		return r, nil
	}
	known := func(r wire.PendingReply) bool { return r.Known }
	return askCell(ctx, i, q, wire.KindPending, wire.PendingQuery{Queue: queue}, wire.PendingQuery{Queue: queue, Forward: true}, known)
}

// askCell asks the cell's owner. If the owner does not know or can't be reached, it asks
// other instances to ask the owner that they know of: this one may have missed a change
// of the term.
func askCell[Req, Rep any](ctx context.Context, i *Instance, q *inquiry, k wire.Kind, direct, forward Req, known func(Rep) bool) (Rep, error) {
	q.owner = i.ownerAddr()
	rep, err := askOwner[Req, Rep](ctx, i, k, direct)
	q.add(cmp.Or(q.owner, "owner"), err == nil && known(rep), err)
	if err == nil && known(rep) {
		return rep, nil
	}
	for _, addr := range i.peers() {
		if ctx.Err() != nil {
			break
		}
		r, e := askPeer[Req, Rep](ctx, i, addr, k, forward)
		q.add(addr, e == nil && known(r), e)
		if e == nil && known(r) {
			return r, nil
		}
	}
	return rep, err
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
	return askOwner[wire.JobQuery, wire.JobReply](ctx, i, wire.KindJob, wire.JobQuery{ID: q.ID})
}

func (i *Instance) onPendingQuery(ctx context.Context, _ link.Peer, q wire.PendingQuery) (wire.PendingReply, error) {
	if o := i.owner.Load(); o != nil {
		return o.pending(q.Queue), nil
	}
	if !q.Forward {
		return wire.PendingReply{}, nil
	}
	return askOwner[wire.PendingQuery, wire.PendingReply](ctx, i, wire.KindPending, wire.PendingQuery{Queue: q.Queue})
}
