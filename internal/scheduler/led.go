package scheduler

import (
	"context"
	"log/slog"

	"coltsfootmux/internal/core/ledger"
	"coltsfootmux/internal/core/placement"
	"coltsfootmux/internal/link"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
	"coltsfootmux/internal/wire"
)

func (l *loop) doLedger(a ledger.Action) {
	switch a := a.(type) {
	case ledger.Dispatch:
		l.dispatch(a)
	case ledger.Reply:
		l.reply(a)
	case ledger.Moved:
		l.moved(a)
	case ledger.AnswerCancel:
		l.answerCancel(a)
	case ledger.Ask:
		go l.s.ask(l.ctx, a)
	case ledger.Record:
		l.record(a)
	case ledger.Withdraw:
		l.withdraw(a)
	}
}

// reply answers a caller that waits here.
func (l *loop) reply(a ledger.Reply) {
	ch, ok := l.waiters[a.Waiter]
	if !ok {
		return
	}
	delete(l.waiters, a.Waiter)
	delete(l.byReply, ch)
	mOutcomes.With(string(a.Result.Outcome)).Inc()
	ch <- wire.SubmitReply{Result: a.Result, Epoch: l.groupEpoch(a.Result.Key)}
}

// groupEpoch gives the epoch under which the ledger answers for a key; 0 for none.
func (l *loop) groupEpoch(k model.Key) model.Epoch {
	if l.maps == nil {
		return 0
	}
	if og, ok := l.groups[l.maps.Group(k)]; ok && og.ready {
		return og.epoch
	}
	return 0
}

// moved sends a caller that waits here on to the key's owner.
func (l *loop) moved(a ledger.Moved) {
	ch, ok := l.waiters[a.Waiter]
	if !ok {
		return
	}
	delete(l.waiters, a.Waiter)
	delete(l.byReply, ch)
	ch <- wire.SubmitReply{Moved: true, Epoch: a.Epoch}
}

// answerCancel answers a caller that waits for its cancel.
func (l *loop) answerCancel(a ledger.AnswerCancel) {
	ch, ok := l.cancels[a.Waiter]
	if !ok {
		return
	}
	delete(l.cancels, a.Waiter)
	ch <- wire.CancelReply{Cancelled: a.Done, Reason: a.Reason, Moved: a.Moved}
}

// record puts an outcome on its way to the log, behind the answer.
func (l *loop) record(a ledger.Record) {
	l.jobs.remove(a.Recorded.Result.Key)
	rec, err := encode("", recordOutcome, a.Recorded)
	if err == nil {
		g := l.maps.Group(a.Recorded.Result.Key)
		err = l.s.o.Log.Enqueue(shard(platform.StreamOutcomes, g), rec)
	}
	if err != nil {
		evRecordFailed.Log(l.ctx, l.s.o.Logger, slog.Any("error", err))
	}
}

// ask settles the fate of a lease at its worker: it is barred when unstarted.
func (s *Scheduler) ask(ctx context.Context, a ledger.Ask) {
	ctx, cancel := context.WithTimeout(ctx, s.o.Timing.CallTimeout)
	defer cancel()
	ev := ledger.Settled{Key: a.Key, Attempt: a.Attempt, Trace: a.Trace}
	c := s.dial.get(a.Trace.Worker)
	if c == nil {
		s.post(ledgerMsg{ev: ev})
		return
	}
	got, err := c.Release(ctx, platform.Release{
		Lease: a.Trace.Lease, Scope: model.GroupScope(a.Group), Epoch: a.Epoch, OnlyUnstarted: true,
	})
	if err == nil {
		ev.Clear = true
		ev.Barred = !got.Started
		ev.Running = got.Running
		ev.Ending = got.Ending
		ev.Since = got.Since
	}
	s.post(ledgerMsg{ev: ev})
	if got.Ending != nil {
		s.post(endedMsg{worker: a.Trace.Worker, ending: *got.Ending})
	}
}

// withdraw gives up an attempt here and, when it was forwarded, there.
func (l *loop) withdraw(a ledger.Withdraw) {
	at, ok := l.attempts[a.Key]
	switch {
	case ok && at.next != nil:
		at.next = nil
		return
	case ok && !at.local():
		go l.s.sendWithdraw(l.ctx, at.from, wire.Withdraw{Key: a.Key, Attempt: at.number})
		return
	case ok:
		at.withdrawn = true
	}
	l.stepPlace(placement.Cancelled{Key: a.Key})
}

func (s *Scheduler) sendWithdraw(ctx context.Context, to model.Member, w wire.Withdraw) {
	ctx, cancel := context.WithTimeout(ctx, s.o.Timing.CallTimeout)
	defer cancel()
	_, _ = link.Call[wire.Withdraw, wire.Ack](ctx, s.o.Pool, to.Addr, wire.KindWithdraw, w)
}
