package scheduler

import (
	"context"
	"errors"
	"slices"
	"time"

	"coltsfootmux/internal/core/dispatch"
	"coltsfootmux/internal/core/ledger"
	"coltsfootmux/internal/core/placement"
	"coltsfootmux/internal/link"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/wire"
)

// dispatch takes an attempt on and hands it to an owner of cells. While an earlier
// attempt that was withdrawn is still starting, placement has no place for the
// key, and the new one waits for its end.
func (l *loop) dispatch(a ledger.Dispatch) {
	if old, ok := l.attempts[a.Work.Key]; ok && old.withdrawn {
		old.next = &a
		return
	}
	at := &attempt{work: a.Work, group: a.Group, groupEpoch: a.GroupEpoch, number: a.Attempt, cancel: func() {}}
	l.attempts[a.Work.Key] = at
	l.offer(at, model.ReasonNoOwner, 0)
}

// follow hands out the attempt that waited for the end of this one.
func (l *loop) follow(at *attempt) {
	if at.next != nil {
		l.dispatch(*at.next)
	}
}

// offer hands an attempt to the owner that the dispatch core chooses. When none
// is left, the ledger hears why the last one refused.
func (l *loop) offer(at *attempt, last model.Reason, after time.Duration) {
	near := l.nearCells(at.group)
	o, verdict := dispatch.Choose(l, dispatch.Question{
		Work: &at.work, Near: near, Far: func() []model.CellID { return l.cellsBut(near) },
		Self: l.s.o.Self.ID, Tried: at.tried,
	})
	switch verdict {
	case dispatch.Send:
		l.send(at, o)
		return
	case dispatch.Hold:
		last, after = model.ReasonNoOwner, l.s.o.Timing.SuspectAfter
	case dispatch.Impossible:
		last, after = model.ReasonImpossible, 0
	}
	delete(l.attempts, at.work.Key)
	l.stepLedger(ledger.NotRun{Key: at.work.Key, Attempt: at.number, Reason: last, RetryAfter: after})
}

// send hands an attempt to placement here or to another scheduler.
func (l *loop) send(at *attempt, o dispatch.Offer) {
	at.tried = append(at.tried, o.Owner.Host)
	if o.Owner.Host == l.s.o.Self.ID {
		at.from = model.Member{}
		l.stepPlace(placement.Submitted{
			Work: at.work, Group: at.group, GroupEpoch: at.groupEpoch, Attempt: at.number, Cells: o.Cells,
		})
		return
	}
	at.from = o.Owner
	go l.s.forward(l.ctx, o.Owner, wire.Place{
		Work: at.work, Cells: o.Cells, Group: at.group, GroupEpoch: at.groupEpoch, Attempt: at.number,
		From: l.s.member(),
	})
}

// nearCells gives the cells that serve a key group, the preferred one first.
func (l *loop) nearCells(g model.GroupID) []model.CellID {
	cells := l.maps.Cells(g)
	out := make([]model.CellID, len(cells))
	for i, c := range cells {
		out[i] = c.ID
	}
	return out
}

// cellsBut gives all other cells of the fleet.
func (l *loop) cellsBut(near []model.CellID) []model.CellID {
	var out []model.CellID
	for _, c := range l.conf.Document.Fleet.Cells {
		if !slices.Contains(near, c.ID) {
			out = append(out, c.ID)
		}
	}
	return out
}

// Owner gives who owns a cell; for the dispatch core. A cell that this scheduler
// has claimed and not gained yet has no owner.
func (l *loop) Owner(id model.CellID) (model.Member, bool) {
	m, ok := l.own.Owner(model.CellScope(id))
	if ok && m.Host == l.s.o.Self.ID {
		_, ok = l.cells[id]
	}
	return m, ok
}

// Possible asks placement whether work could ever run in cells; for the dispatch core.
func (l *loop) Possible(w *model.Work, cells []model.CellID) bool { return l.pl.Possible(w, cells) }

func (l *loop) ownedOf(cells []model.CellID) []model.CellID {
	var own []model.CellID
	for _, id := range cells {
		if _, ok := l.cells[id]; ok {
			own = append(own, id)
		}
	}
	return own
}

// elsewhere says whether a refusal speaks only of the owner that gave it.
func elsewhere(r model.Reason) bool {
	switch r {
	case model.ReasonNoOwner, model.ReasonQueueFull, model.ReasonImpossible:
		return true
	}
	return false
}

// forward asks another scheduler to place an attempt and tells the loop.
func (s *Scheduler) forward(ctx context.Context, to model.Member, p wire.Place) {
	reply, err := link.Call[wire.Place, wire.PlaceReply](ctx, s.o.Pool, to.Addr, wire.KindPlace, p)
	s.post(placedMsg{key: p.Work.Key, attempt: p.Attempt, reply: reply, err: err})
}

// placedElsewhere takes in the answer to a forwarded attempt.
func (l *loop) placedElsewhere(m placedMsg) {
	at, ok := l.attempts[m.key]
	if !ok || at.number != m.attempt || at.remote != nil {
		return
	}
	ev := placedEvent(m)
	if n, ok := ev.(ledger.NotRun); ok && elsewhere(n.Reason) {
		l.offer(at, n.Reason, n.RetryAfter)
		return
	}
	delete(l.attempts, m.key)
	l.stepLedger(ev)
}

// placedEvent says what an answer, or its absence, means to the ledger. Where no
// Begun has come, the ledger knows that nothing can have started.
func placedEvent(m placedMsg) ledger.Event {
	switch {
	case errors.Is(m.err, link.ErrNotExecuted), errors.Is(m.err, link.ErrOverloaded):
		return ledger.NotRun{Key: m.key, Attempt: m.attempt, Reason: model.ReasonNoOwner}
	case m.err != nil, m.reply.OutcomeUnknown:
		return ledger.Unclear{Key: m.key, Attempt: m.attempt, Reason: model.ReasonLinkLost}
	case m.reply.NotRun:
		return ledger.NotRun{
			Key: m.key, Attempt: m.attempt, Reason: m.reply.Result.Reason, RetryAfter: m.reply.Result.RetryAfter,
		}
	}
	return ledger.Answered{Key: m.key, Attempt: m.attempt, Result: m.reply.Result}
}

// begunElsewhere takes in where a forwarded attempt is about to start. It is
// refused when the attempt is no longer open here.
func (l *loop) begunElsewhere(m begunMsg) {
	at, ok := l.attempts[m.begun.Key]
	if !ok || at.number != m.begun.Attempt || at.remote != nil || m.begun.Boot != l.s.member().Boot {
		m.reply <- wire.Ack{Refused: model.ReasonCancelled}
		return
	}
	if at.work.Idempotent {
		l.ackBegun(m, at)
		return
	}
	workers := tracedWorkers(m.begun.Placements)
	l.withHolds(at.group, workers, func(held bool) {
		if !held {
			m.reply <- wire.Ack{Refused: model.ReasonOwnerLost}
			return
		}
		l.ackBegun(m, at)
	})
}

// ackBegun notes where a forwarded attempt starts, and lets it start.
func (l *loop) ackBegun(m begunMsg, at *attempt) {
	e, held := l.own.MayStart(now(), at.group)
	if !held || l.attempts[m.begun.Key] != at || e != at.groupEpoch || !l.led.MayBegin(now(), m.begun.Key, m.begun.Attempt) {
		m.reply <- wire.Ack{Refused: model.ReasonOwnerLost}
		return
	}
	l.stepLedger(ledger.Begun{Key: m.begun.Key, Attempt: m.begun.Attempt, Parts: ledgerTraces(m.begun.Placements)})
	m.reply <- wire.Ack{}
}

// tracedWorkers gives the workers of traces, each once.
func tracedWorkers(ts []wire.MemberPlacement) []model.WorkerID {
	out := make([]model.WorkerID, len(ts))
	for i, t := range ts {
		out[i] = t.Worker
	}
	slices.Sort(out)
	return slices.Compact(out)
}

func ledgerTraces(ts []wire.MemberPlacement) []ledger.Trace {
	out := make([]ledger.Trace, len(ts))
	for i, t := range ts {
		out[i] = ledger.Trace{Worker: t.Worker, Cell: t.Cell, Lease: t.Lease}
	}
	return out
}
