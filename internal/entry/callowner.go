package entry

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"coltsfootmux/internal/entry/route"
	"coltsfootmux/internal/link"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/wire"
)

// ownerReply is a scheduler's reply to a call about a key.
type ownerReply interface {
	// moved reports whether the scheduler did nothing because it does not decide for
	// the key's group, and the group's owner as far as it knows.
	moved() (bool, model.Member)
	// epoch is the group's epoch at the scheduler; 0 if the reply doesn't tell it.
	epoch() model.Epoch
}

// requestForEpoch returns the request to send with an epoch of the key's group.
type requestForEpoch[Req any] func(model.Epoch) Req

// anyEpoch is for requests that carry no epoch.
func anyEpoch[Req any](req Req) requestForEpoch[Req] { return func(model.Epoch) Req { return req } }

// callOwner sends a request about a key to schedulers until one answers for the
// key. If giveUp is nil, rep is the answer. ctx ends when the caller stops waiting.
func callOwner[Req any, Rep ownerReply](ctx context.Context, s *Server, key model.Key, k wire.Kind, req requestForEpoch[Req]) (rep Rep, giveUp *route.GiveUp) {
	id := route.CallID(s.lastCallID.Add(1))
	deadline, _ := ctx.Deadline()
	act := s.step(route.Begin{ID: id, Key: key, Deadline: deadline})
	for {
		var ev route.Event
		switch a := act.(type) {
		case route.Send:
			rep, ev = callScheduler[Req, Rep](ctx, s, id, a.Addr, k, req(a.Epoch))
		case route.Sleep:
			ev = s.sleep(ctx, id, a.Duration)
		case route.GiveUp:
			return rep, &a
		default:
			return rep, nil
		}
		act = s.step(ev)
		if _, ended := ev.(route.Answered); !ended && ctx.Err() != nil {
			act = s.expire(id, act)
		}
	}
}

// callScheduler sends the request to one scheduler and returns the resulting event.
func callScheduler[Req any, Rep ownerReply](ctx context.Context, s *Server, id route.CallID, addr string, k wire.Kind, req Req) (Rep, route.Event) {
	rep, err := link.Call[Req, Rep](ctx, s.opts.Pool, addr, k, req)
	switch {
	case err == nil:
		if moved, owner := rep.moved(); moved {
			schedulerCalls.With("moved").Inc()
			return rep, route.Moved{ID: id, Owner: owner, Epoch: rep.epoch()}
		}
		schedulerCalls.With("answered").Inc()
		return rep, route.Answered{ID: id, Epoch: rep.epoch()}
	case errors.Is(err, link.ErrNotExecuted):
		schedulerCalls.With("not_sent").Inc()
		return rep, route.NotExecuted{ID: id}
	case errors.Is(err, link.ErrOverloaded):
		schedulerCalls.With("overloaded").Inc()
		return rep, route.NotExecuted{ID: id, Overloaded: true}
	}
	schedulerCalls.With("lost").Inc()
	if ctx.Err() == nil {
		evResending.Log(ctx, s.opts.Logger, slog.String("addr", addr), slog.String("error", err.Error()))
	}
	return rep, route.OutcomeUnknown{ID: id}
}

// sleep waits for d, or less if the caller stops waiting.
func (s *Server) sleep(ctx context.Context, id route.CallID, d time.Duration) route.Event {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return route.SleepEnded{ID: id}
	case <-ctx.Done():
		return route.Expired{ID: id}
	}
}

// expire ends the call in the router, unless act has already ended it.
func (s *Server) expire(id route.CallID, act route.Action) route.Action {
	if _, ended := act.(route.GiveUp); ended {
		return act
	}
	return s.step(route.Expired{ID: id})
}

func (s *Server) step(ev route.Event) route.Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.router.Step(time.Now(), ev)
}
