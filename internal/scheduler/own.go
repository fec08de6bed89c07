package scheduler

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"strconv"

	"coltsfootmux/internal/core/ledger"
	"coltsfootmux/internal/core/ownership"
	"coltsfootmux/internal/core/placement"
	"coltsfootmux/internal/link"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
	"coltsfootmux/internal/wire"
)

// doOwn carries out the actions of one step. Holds for the same worker go out in
// one message.
func (l *loop) doOwn(actions []ownership.Action) {
	var holds []ownership.Hold
	for _, a := range actions {
		switch a := a.(type) {
		case ownership.AppendClaim:
			go l.s.appendClaim(l.ctx, a)
		case ownership.Beat:
			go l.s.beat(l.ctx, a, l.version())
		case ownership.TellHandOver:
			l.s.telling.Go(func() { l.s.tellHandOver(l.ctx, a) })
		case ownership.Fence:
			go l.s.fence(l.ctx, a)
		case ownership.List:
			go l.s.list(l.ctx, a)
		case ownership.Hold:
			holds = append(holds, a)
		case ownership.Gain:
			l.gain(a)
		case ownership.Raise:
			l.raise(a)
		case ownership.Joined:
			l.joined(a)
		case ownership.Suspend:
			l.suspend(a)
		case ownership.Lose:
			l.lose(a)
		}
	}
	l.sendHolds(holds)
}

func (l *loop) version() uint64 {
	if l.conf == nil {
		return 0
	}
	return uint64(l.conf.Version)
}

func (l *loop) sendHolds(holds []ownership.Hold) {
	slices.SortStableFunc(holds, func(a, b ownership.Hold) int {
		return cmp.Compare(a.Worker.ID, b.Worker.ID)
	})
	for len(holds) > 0 {
		n := 1
		for n < len(holds) && holds[n].Worker.ID == holds[0].Worker.ID {
			n++
		}
		go l.s.hold(l.ctx, holds[:n:n])
		holds = holds[n:]
	}
}

// hold asks one worker for several holds.
func (s *Scheduler) hold(ctx context.Context, hs []ownership.Hold) {
	ctx, cancel := context.WithTimeout(ctx, s.o.Timing.CallTimeout)
	defer cancel()
	ask := make([]platform.Hold, len(hs))
	for i, h := range hs {
		ask[i] = platform.Hold{Group: groupOf(h.Scope), Epoch: h.Epoch, TTL: h.TTL, Echo: h.Echo, Incarnation: h.Incarnation}
	}
	sent := now()
	held := make([]platform.Held, len(hs))
	err := platform.ErrNotFound
	if c := s.dial.get(hs[0].Worker.ID); c != nil {
		var got []platform.Held
		got, err = c.Hold(ctx, ask)
		copy(held, got)
	}
	for i, h := range hs {
		s.post(ownMsg{ev: ownership.HoldAnswered{
			Scope: h.Scope, Epoch: h.Epoch, Worker: h.Worker.ID, Sent: sent, Held: held[i], Err: err,
		}})
	}
}

func (s *Scheduler) fence(ctx context.Context, a ownership.Fence) {
	ctx, cancel := context.WithTimeout(ctx, s.o.Timing.CallTimeout)
	defer cancel()
	ev := ownership.FenceAnswered{Scope: a.Scope, Epoch: a.Epoch, Worker: a.Worker.ID, Err: platform.ErrNotFound}
	if c := s.dial.get(a.Worker.ID); c != nil {
		ev.Fenced, ev.Err = c.Fence(ctx, platform.Fence{Scope: a.Scope, Epoch: a.Epoch})
	}
	s.post(ownMsg{ev: ev})
}

func (s *Scheduler) list(ctx context.Context, a ownership.List) {
	ctx, cancel := context.WithTimeout(ctx, s.o.Timing.CallTimeout)
	defer cancel()
	ev := ownership.ListAnswered{Scope: a.Scope, Epoch: a.Epoch, Worker: a.Worker.ID, Err: platform.ErrNotFound}
	if c := s.dial.get(a.Worker.ID); c != nil {
		ev.Listing, ev.Err = c.List(ctx, a.Scope)
	}
	s.post(ownMsg{ev: ev})
}

func (s *Scheduler) beat(ctx context.Context, a ownership.Beat, version uint64) {
	ctx, cancel := context.WithTimeout(ctx, s.o.Timing.CallTimeout)
	defer cancel()
	beat := wire.Heartbeat{From: s.o.Self.ID, Claims: a.Claims, Config: version}
	_, _ = link.Call[wire.Heartbeat, wire.Ack](ctx, s.o.Pool, a.To.Addr, wire.KindHeartbeat, beat)
}

func (s *Scheduler) tellHandOver(ctx context.Context, a ownership.TellHandOver) {
	ctx, cancel := context.WithTimeout(ctx, s.o.Timing.CallTimeout)
	defer cancel()
	tell := wire.HandOver{From: s.o.Self.ID, Claim: a.Claim}
	_, _ = link.Call[wire.HandOver, wire.Ack](ctx, s.o.Pool, a.To.Addr, wire.KindHandOver, tell)
}

func (l *loop) lose(a ownership.Lose) {
	evLost.Log(l.ctx, l.s.o.Logger, slog.String("scope", a.Scope.String()))
	if a.Scope.Kind == model.ScopeGroup {
		g := groupOf(a.Scope)
		delete(l.groups, g)
		l.stepLedger(ledger.GroupLost{Group: g})
		return
	}
	id := model.CellID(a.Scope.Name)
	if c, ok := l.cells[id]; ok {
		c.stop()
		delete(l.cells, id)
	}
	l.stepPlace(placement.CellLost{Cell: id})
	l.dropCell(id)
}

func (l *loop) suspend(a ownership.Suspend) {
	evSuspended.Log(l.ctx, l.s.o.Logger, slog.String("scope", a.Scope.String()))
	g := groupOf(a.Scope)
	if og, ok := l.groups[g]; ok {
		og.suspended = true
	}
	l.stepLedger(ledger.HoldsLapsed{Group: g})
}

// groupOf gives the number of a key group's scope.
func groupOf(s model.Scope) model.GroupID {
	n, _ := strconv.ParseUint(s.Name, 10, 32)
	return model.GroupID(n)
}
