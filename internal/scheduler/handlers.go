package scheduler

import (
	"context"

	"coltsfootmux/internal/core/ownership"
	"coltsfootmux/internal/link"
	"coltsfootmux/internal/wire"
)

// register takes on the calls that other processes make.
func (s *Scheduler) register(srv *link.Server) {
	link.Handle(srv, wire.KindSubmit, s.onSubmit)
	link.Handle(srv, wire.KindCancel, s.onCancel)
	link.Handle(srv, wire.KindStatus, s.onStatus)
	link.Handle(srv, wire.KindHeartbeat, s.onHeartbeat)
	link.Handle(srv, wire.KindHandOver, s.onHandOver)
	link.Handle(srv, wire.KindPlace, s.onPlace)
	link.Handle(srv, wire.KindWithdraw, s.onWithdraw)
	link.Handle(srv, wire.KindAttemptStart, s.onBegun)
	link.Handle(srv, wire.KindOverview, s.onOverview)
}

// await posts a message and waits for the loop's answer.
func await[T any](ctx context.Context, s *Scheduler, m message, reply chan T) (T, error) {
	var zero T
	if !s.post(m) {
		return zero, ErrStopped
	}
	select {
	case r := <-reply:
		return r, nil
	case <-ctx.Done():
		return zero, ctx.Err()
	case <-s.done:
		return zero, ErrStopped
	}
}

func (s *Scheduler) onSubmit(ctx context.Context, _ link.Peer, sub wire.Submit) (wire.SubmitReply, error) {
	reply := make(chan wire.SubmitReply, 1)
	r, err := await(ctx, s, submitMsg{submit: sub, reply: reply}, reply)
	if err != nil {
		s.post(goneMsg{reply: reply})
	}
	return r, err
}

func (s *Scheduler) onCancel(ctx context.Context, _ link.Peer, c wire.Cancel) (wire.CancelReply, error) {
	reply := make(chan wire.CancelReply, 1)
	return await(ctx, s, cancelMsg{cancel: c, reply: reply}, reply)
}

func (s *Scheduler) onStatus(ctx context.Context, _ link.Peer, q wire.StatusQuery) (wire.StatusReply, error) {
	reply := make(chan wire.StatusReply, 1)
	return await(ctx, s, statusMsg{query: q, reply: reply}, reply)
}

func (s *Scheduler) onHeartbeat(_ context.Context, _ link.Peer, b wire.Heartbeat) (wire.Ack, error) {
	s.post(ownMsg{ev: ownership.BeatReceived{From: b.From, Claims: b.Claims}})
	return wire.Ack{}, nil
}

func (s *Scheduler) onHandOver(_ context.Context, _ link.Peer, h wire.HandOver) (wire.Ack, error) {
	s.post(ownMsg{ev: ownership.HandedOver{From: h.From, Claim: h.Claim}})
	return wire.Ack{}, nil
}

func (s *Scheduler) onPlace(ctx context.Context, _ link.Peer, p wire.Place) (wire.PlaceReply, error) {
	reply := make(chan wire.PlaceReply, 1)
	return await(ctx, s, placeReqMsg{place: p, reply: reply}, reply)
}

func (s *Scheduler) onWithdraw(_ context.Context, _ link.Peer, w wire.Withdraw) (wire.Ack, error) {
	s.post(withdrawMsg{withdraw: w})
	return wire.Ack{}, nil
}

func (s *Scheduler) onBegun(ctx context.Context, _ link.Peer, b wire.AttemptStart) (wire.Ack, error) {
	reply := make(chan wire.Ack, 1)
	return await(ctx, s, begunMsg{begun: b, reply: reply}, reply)
}

func (s *Scheduler) onOverview(ctx context.Context, _ link.Peer, _ wire.OverviewQuery) (wire.Overview, error) {
	return s.Overview(ctx)
}
