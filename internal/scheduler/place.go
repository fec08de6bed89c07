package scheduler

import (
	"context"
	"log/slog"

	"coltsfootmux/internal/core/ledger"
	"coltsfootmux/internal/core/placement"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
	"coltsfootmux/internal/wire"
)

func (l *loop) doPlace(a placement.Action) {
	switch a := a.(type) {
	case placement.Begin:
		l.begin(a)
	case placement.Abort:
		l.abort(a)
	case placement.Control:
		l.control(a)
	case placement.Refuse:
		l.refuse(a)
	case placement.Complete:
		l.complete(a)
	case placement.Alarm:
		mAlarms.With(string(a.Code)).Inc()
		evAlarm.Log(l.ctx, l.s.o.Logger, slog.String("code", string(a.Code)),
			slog.String("account", string(a.Account)), slog.String("worker", string(a.Worker)),
			slog.String("cell", string(a.Cell)), slog.String("text", a.Text))
	}
}

// placeFor places work for another scheduler's key group.
func (l *loop) placeFor(m placeReqMsg) {
	p := m.place
	own := l.ownedOf(p.Cells)
	if _, busy := l.attempts[p.Work.Key]; busy || len(own) == 0 {
		m.reply <- wire.PlaceReply{NotRun: true, Result: model.Result{Key: p.Work.Key, Reason: model.ReasonNoOwner}}
		return
	}
	l.attempts[p.Work.Key] = &attempt{
		work: p.Work, group: p.Group, groupEpoch: p.GroupEpoch, number: p.Attempt,
		remote: m.reply, from: p.From, cancel: func() {},
	}
	l.stepPlace(placement.Submitted{
		Work: p.Work, Group: p.Group, GroupEpoch: p.GroupEpoch, Attempt: p.Attempt, Cells: own,
	})
}

// withdrawFor gives up work that another scheduler had forwarded.
func (l *loop) withdrawFor(m withdrawMsg) {
	at, ok := l.attempts[m.withdraw.Key]
	if ok && at.remote != nil && at.number == m.withdraw.Attempt {
		l.stepPlace(placement.Cancelled{Key: m.withdraw.Key})
	}
}

// refuse passes on that placement gave work up before any part of it started.
func (l *loop) refuse(a placement.Refuse) {
	at, ok := l.attempts[a.Key]
	if !ok {
		return
	}
	at.cancel()
	if at.refused != "" {
		a.Reason = at.refused
	}
	if at.next == nil && at.remote == nil && elsewhere(a.Reason) {
		l.offer(at, a.Reason, a.RetryAfter)
		return
	}
	delete(l.attempts, a.Key)
	l.notRun(at, a)
	l.follow(at)
}

// notRun tells the attempt's ledger that no part of it started.
func (l *loop) notRun(at *attempt, a placement.Refuse) {
	if at.remote != nil {
		at.remote <- wire.PlaceReply{
			NotRun: true,
			Result: model.Result{Key: a.Key, Outcome: model.OutcomeNotRun, Reason: a.Reason, RetryAfter: a.RetryAfter},
		}
		return
	}
	l.stepLedger(ledger.NotRun{Key: a.Key, Attempt: at.number, Reason: a.Reason, RetryAfter: a.RetryAfter})
}

// complete passes on that all members of started work have ended.
func (l *loop) complete(a placement.Complete) {
	at, ok := l.attempts[a.Key]
	if !ok {
		return
	}
	at.cancel()
	delete(l.attempts, a.Key)
	if at.whole() {
		l.answered(at, at.result(a.Failed, a.Reason))
	} else {
		l.unclear(at, a.Reason)
	}
	l.follow(at)
}

// answered tells the attempt's ledger its result.
func (l *loop) answered(at *attempt, res model.Result) {
	if at.remote != nil {
		at.remote <- wire.PlaceReply{Result: res}
		return
	}
	l.stepLedger(ledger.Answered{Key: at.work.Key, Attempt: at.number, Result: res})
}

// unclear passes on that an attempt's fate must be asked for at its workers.
func (l *loop) unclear(at *attempt, why model.Reason) {
	if why == "" {
		why = model.ReasonWorkerLost
	}
	if at.remote != nil {
		at.remote <- wire.PlaceReply{OutcomeUnknown: true, Result: model.Result{Key: at.work.Key, Reason: why}}
		return
	}
	l.stepLedger(ledger.Unclear{Key: at.work.Key, Attempt: at.number, Reason: why})
}

// dropCell gives up the attempts that run in a cell that is no longer owned.
// Their fate is asked for at the workers.
func (l *loop) dropCell(id model.CellID) {
	for _, at := range l.attemptsIn(id) {
		at.cancel()
		delete(l.attempts, at.work.Key)
		l.unclear(at, model.ReasonOwnerLost)
		l.follow(at)
	}
}

func (l *loop) attemptsIn(id model.CellID) []*attempt {
	var out []*attempt
	for _, at := range l.attempts {
		for _, p := range at.parts {
			if p.Cell == id {
				out = append(out, at)
				break
			}
		}
	}
	return out
}

// ended takes in a task's ending; the first report of a lease counts.
func (l *loop) ended(m endedMsg) {
	at, ok := l.attempts[m.ending.Label.Key]
	if ok && at.owns(m.ending.Lease) {
		if _, again := at.ended[m.ending.Lease]; !again {
			at.ended[m.ending.Lease] = m.ending
		}
	}
	l.stepPlace(placement.Ended{Worker: m.worker, Ending: m.ending})
}

func (l *loop) control(a placement.Control) {
	c, ok := l.cells[a.Cell]
	if !ok {
		return
	}
	go l.s.sendControl(l.ctx, a, c.epoch)
}

func (s *Scheduler) sendControl(ctx context.Context, a placement.Control, e model.Epoch) {
	ctx, cancel := context.WithTimeout(ctx, s.o.Timing.CallTimeout)
	defer cancel()
	c := s.dial.get(a.Worker)
	if c == nil {
		return
	}
	attrs := []slog.Attr{
		slog.String("verb", string(a.Verb)), slog.String("lease", string(a.Lease)), slog.String("worker", string(a.Worker)),
	}
	err := c.Control(ctx, platform.Control{Lease: a.Lease, Cell: a.Cell, Epoch: e, Verb: a.Verb})
	if err != nil {
		evControlFail.Log(ctx, s.o.Logger, append(attrs, slog.Any("error", err))...)
		return
	}
	evControl.Log(ctx, s.o.Logger, attrs...)
}
