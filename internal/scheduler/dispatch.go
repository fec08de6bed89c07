package scheduler

import (
	"context"
	"errors"

	"coltsfootmux/internal/core/ledger"
	"coltsfootmux/internal/core/placement"
	"coltsfootmux/internal/link"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/wire"
)

// dispatch hands an attempt to placement: here when a cell of the group is owned
// here, else to the owner of the group's first cell that has one.
func (l *loop) dispatch(a ledger.Dispatch) {
	cells := l.maps.Cells(a.Group)
	at := &attempt{work: a.Work, group: a.Group, groupEpoch: a.GroupEpoch, number: a.Attempt, cancel: func() {}}
	l.attempts[a.Work.Key] = at
	if own := l.ownedOf(cells); len(own) > 0 {
		l.stepPlace(placement.Submitted{
			Work: a.Work, Group: a.Group, GroupEpoch: a.GroupEpoch, Attempt: a.Attempt, Cells: own,
		})
		return
	}
	to, there := l.ownerOfAny(cells)
	if to.Addr == "" {
		delete(l.attempts, a.Work.Key)
		l.stepLedger(ledger.NotRun{
			Key: a.Work.Key, Attempt: a.Attempt, Reason: model.ReasonNoOwner, RetryAfter: l.s.o.Timing.SuspectAfter,
		})
		return
	}
	at.from = to
	go l.s.forward(l.ctx, to, wire.Place{
		Work: a.Work, Cells: there, Group: a.Group, GroupEpoch: a.GroupEpoch, Attempt: a.Attempt,
		From: l.s.member(),
	})
}

func (l *loop) ownedOf(cells []model.Cell) []model.CellID {
	var own []model.CellID
	for _, c := range cells {
		if _, ok := l.cells[c.ID]; ok {
			own = append(own, c.ID)
		}
	}
	return own
}

// ownerOfAny gives the owner of the first cell that has one, and which of the
// cells it owns.
func (l *loop) ownerOfAny(cells []model.Cell) (model.Member, []model.CellID) {
	var to model.Member
	var there []model.CellID
	for _, c := range cells {
		m, ok := l.own.Owner(model.CellScope(c.ID))
		if !ok || m.Host == l.s.o.Self.ID {
			continue
		}
		if to.Addr == "" {
			to = m
		}
		if m == to {
			there = append(there, c.ID)
		}
	}
	return to, there
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
	delete(l.attempts, m.key)
	l.stepLedger(placedEvent(m))
}

// placedEvent says what an answer, or its absence, means to the ledger. Where no
// Begun has come, the ledger knows that nothing can have started.
func placedEvent(m placedMsg) ledger.Event {
	switch {
	case errors.Is(m.err, link.ErrNotSent), errors.Is(m.err, link.ErrOverloaded):
		return ledger.NotRun{Key: m.key, Attempt: m.attempt, Reason: model.ReasonNoOwner}
	case m.err != nil, m.reply.Unclear:
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
	if !ok || at.number != m.begun.Attempt || at.remote != nil {
		m.reply <- wire.Ack{Refused: model.ReasonCancelled}
		return
	}
	if _, ok := l.own.MayStart(now(), at.group); !ok && !at.work.Idempotent {
		m.reply <- wire.Ack{Refused: model.ReasonOwnerLost}
		return
	}
	l.stepLedger(ledger.Begun{Key: m.begun.Key, Attempt: m.begun.Attempt, Parts: ledgerTraces(m.begun.Traces)})
	m.reply <- wire.Ack{}
}

func ledgerTraces(ts []wire.Trace) []ledger.Trace {
	out := make([]ledger.Trace, len(ts))
	for i, t := range ts {
		out[i] = ledger.Trace{Worker: t.Worker, Cell: t.Cell, Lease: t.Lease}
	}
	return out
}
