package scheduler

import (
	"context"
	"log/slog"
	"time"

	"coltsfootmux/internal/core/ledger"
	"coltsfootmux/internal/core/placement"
	"coltsfootmux/internal/link"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
	"coltsfootmux/internal/wire"
)

// beginOutcome says how a two-phase start went.
type beginOutcome uint8

const (
	// beginNothing: no member started, and none will.
	beginNothing beginOutcome = iota
	// beginAll: every member runs or has run.
	beginAll
	// beginSome: a member of a gang could not be started after others were.
	beginSome
	// beginUnclear: a member may run.
	beginUnclear
	// beginRefused: the key group's owner does not let it start.
	beginRefused
)

// starter carries one two-phase start out, in a goroutine of its own.
type starter struct {
	s      *Scheduler
	b      placement.Begin
	epochs map[model.CellID]model.Epoch
	// incs are the workers' incarnations that the cells' fences are for.
	incs     map[model.WorkerID]string
	ttl      time.Duration
	announce *wire.AttemptStart
	to       model.Member
}

// begin starts a Begin of placement: the ledger hears of the leases first.
func (l *loop) begin(b placement.Begin) {
	at, ok := l.attempts[b.Work.Key]
	if !ok {
		at = &attempt{work: b.Work, group: b.Group, groupEpoch: b.GroupEpoch, number: b.Attempt}
		l.attempts[b.Work.Key] = at
	}
	ctx, cancel := context.WithCancel(l.ctx)
	at.cancel = cancel
	at.parts = b.Parts
	at.ended = make(map[model.LeaseID]platform.Ending, len(b.Parts))
	st := &starter{s: l.s, b: b, epochs: l.epochsOf(b.Parts), ttl: l.leaseTTL()}
	st.b.Attempt = at.number
	st.incs = l.incarnations(b.Parts)
	if at.remote != nil {
		st.to = at.from
		st.announce = &wire.AttemptStart{Key: b.Work.Key, Group: b.Group, Attempt: at.number, Placements: at.traces(), Boot: at.from.Boot}
		go st.run(ctx)
		return
	}
	l.beginHeld(st, at, func() { go st.run(ctx) })
}

// beginHeld goes on with a start once keyed work has its holds.
func (l *loop) beginHeld(st *starter, at *attempt, run func()) {
	if at.work.Idempotent {
		if l.beginHere(st, at) {
			run()
		}
		return
	}
	workers := tracedWorkers(at.traces())
	l.withHolds(at.group, workers, func(held bool) {
		if !held {
			go l.s.post(beginDoneMsg{key: at.work.Key, attempt: at.number, outcome: beginNothing, worker: workers[0]})
			return
		}
		if l.beginHere(st, at) {
			run()
		}
	})
}

// beginHere tells the ledger of the leases and gives the start its group's epoch.
// It starts nothing without holds, and gives an attempt up that the ledger no
// longer lets start.
func (l *loop) beginHere(st *starter, at *attempt) bool {
	key := at.work.Key
	e, held := l.own.MayStart(now(), at.group)
	if held && l.led.MayBegin(now(), key, at.number) {
		st.b.GroupEpoch = e
		l.stepLedger(ledger.Begun{Key: key, Attempt: at.number, Parts: ledgerTraces(at.traces())})
		return true
	}
	m := beginDoneMsg{key: key, attempt: at.number, outcome: beginNothing}
	if held {
		m.outcome, m.refused = beginRefused, model.ReasonOwnerLost
	}
	go l.s.post(m)
	return false
}

// incarnations gives those that the cells' fences hold for.
func (l *loop) incarnations(parts []placement.Part) map[model.WorkerID]string {
	out := make(map[model.WorkerID]string, len(parts))
	for _, p := range parts {
		if inc, ok := l.own.Incarnation(model.CellScope(p.Cell), p.Worker); ok {
			out[p.Worker] = inc
		}
	}
	return out
}

func (l *loop) epochsOf(parts []placement.Part) map[model.CellID]model.Epoch {
	out := make(map[model.CellID]model.Epoch)
	for _, p := range parts {
		if c, ok := l.cells[p.Cell]; ok {
			out[p.Cell] = c.epoch
		}
	}
	return out
}

// beginDone tells placement how a start went.
func (l *loop) beginDone(m beginDoneMsg) {
	at, ok := l.attempts[m.key]
	if !ok || at.number != m.attempt {
		return
	}
	switch m.outcome {
	case beginNothing:
		evBeginFailed.Log(l.ctx, l.s.o.Logger, slog.String("key", string(m.key)), slog.String("worker", string(m.worker)))
		l.stepPlace(placement.BeginFailed{Key: m.key, Worker: m.worker, Fault: m.fault})
	case beginRefused:
		at.refused = m.refused
		l.stepPlace(placement.Cancelled{Key: m.key})
		l.stepPlace(placement.BeginFailed{Key: m.key})
	case beginAll, beginSome:
		l.stepPlace(placement.Started{Key: m.key})
	case beginUnclear:
		evBeginUnclear.Log(l.ctx, l.s.o.Logger, slog.String("key", string(m.key)), slog.String("worker", string(m.worker)))
		l.stepPlace(placement.Started{Key: m.key})
		if at.remote == nil {
			l.stepLedger(ledger.Unclear{Key: m.key, Attempt: m.attempt, Reason: model.ReasonWorkerLost})
		}
	}
}

// abort stops a start that is under way; the starter releases what it has.
func (l *loop) abort(a placement.Abort) {
	if at, ok := l.attempts[a.Key]; ok {
		at.cancel()
	}
}

// announced reports whether the key group's owner knows of the leases and lets
// the start go on.
func (st *starter) announced(ctx context.Context) (refused model.Reason, ok bool) {
	if st.announce == nil {
		return "", true
	}
	ctx, cancel := context.WithTimeout(ctx, st.s.o.Timing.CallTimeout)
	defer cancel()
	ack, err := link.Call[wire.AttemptStart, wire.Ack](ctx, st.s.o.Pool, st.to.Addr, wire.KindAttemptStart, *st.announce)
	return ack.Refused, err == nil && ack.Refused == ""
}

func (st *starter) done(o beginOutcome, w model.WorkerID, fault bool) {
	st.s.post(beginDoneMsg{key: st.b.Work.Key, attempt: st.b.Attempt, outcome: o, worker: w, fault: fault})
}
