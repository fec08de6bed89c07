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

// answer is what a reply says of its sender: whether it did nothing because the
// key's group is another's, and whose.
type answer interface {
	moved() (bool, model.Member)
	// epoch is the group's epoch at the sender; 0 when it doesn't say.
	epoch() model.Epoch
}

// under gives a request as it is asked under an epoch of the key's group.
type under[Req any] func(model.Epoch) Req

// asIs is for requests that are the same under each epoch.
func asIs[Req any](req Req) under[Req] { return func(model.Epoch) Req { return req } }

// ask offers a request about a key to schedulers until one answers for it. A nil
// GiveUp means that rep is that answer. ctx ends when the caller stops waiting.
func ask[Req any, Rep answer](ctx context.Context, s *Server, key model.Key, k wire.Kind, req under[Req]) (rep Rep, none *route.GiveUp) {
	t := route.CallID(s.tickets.Add(1))
	until, _ := ctx.Deadline()
	act := s.step(route.Begin{ID: t, Key: key, Deadline: until})
	for {
		var ev route.Event
		switch a := act.(type) {
		case route.Send:
			rep, ev = askOne[Req, Rep](ctx, s, t, a.Addr, k, req(a.Epoch))
		case route.Sleep:
			ev = s.sleep(ctx, t, a.Duration)
		case route.GiveUp:
			return rep, &a
		default:
			return rep, nil
		}
		act = s.step(ev)
		if _, ended := ev.(route.Answered); !ended && ctx.Err() != nil {
			act = s.expire(t, act)
		}
	}
}

// askOne asks one scheduler and turns how that ended into an event.
func askOne[Req any, Rep answer](ctx context.Context, s *Server, t route.CallID, addr string, k wire.Kind, req Req) (Rep, route.Event) {
	rep, err := link.Call[Req, Rep](ctx, s.opts.Pool, addr, k, req)
	switch {
	case err == nil:
		if moved, owner := rep.moved(); moved {
			asks.With("moved").Inc()
			return rep, route.Moved{ID: t, Owner: owner, Epoch: rep.epoch()}
		}
		asks.With("answered").Inc()
		return rep, route.Answered{ID: t, Epoch: rep.epoch()}
	case errors.Is(err, link.ErrNotExecuted):
		asks.With("not_sent").Inc()
		return rep, route.NotExecuted{ID: t}
	case errors.Is(err, link.ErrOverloaded):
		asks.With("overloaded").Inc()
		return rep, route.NotExecuted{ID: t, Overloaded: true}
	}
	asks.With("lost").Inc()
	if ctx.Err() == nil {
		evDoubt.Log(ctx, s.opts.Logger, slog.String("addr", addr), slog.String("error", err.Error()))
	}
	return rep, route.OutcomeUnknown{ID: t}
}

// sleep waits out a pause unless the caller stops waiting first.
func (s *Server) sleep(ctx context.Context, t route.CallID, d time.Duration) route.Event {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return route.SleepEnded{ID: t}
	case <-ctx.Done():
		return route.Expired{ID: t}
	}
}

// expire ends a call that the router has not ended yet.
func (s *Server) expire(t route.CallID, act route.Action) route.Action {
	if _, ended := act.(route.GiveUp); ended {
		return act
	}
	return s.step(route.Expired{ID: t})
}

func (s *Server) step(ev route.Event) route.Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.router.Step(time.Now(), ev)
}
