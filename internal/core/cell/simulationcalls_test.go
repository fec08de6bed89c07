package cell

import (
	"cmp"
	"context"
	"fmt"
	"time"

	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
	"coltsfootmux/internal/standin/fleet"
)

func (s *simulation) delay() time.Duration { return time.Duration(1+s.rng.IntN(40)) * time.Millisecond }

// call plays a call to a worker: execute carries it out at the worker, and done
// receives the result at the owner, a failure if there is no answer.
func (s *simulation) call(o *testOwner, id external.WorkerID, timeout time.Duration, execute func(), done func(Failure)) {
	if s.unreachable[id] || o.unreachable[id] || s.isSeparated(o, id) {
		s.schedule(timeout, func() { done(FailureOutcomeUnknown) })
		return
	}
	if s.refusing[id] {
		s.schedule(s.delay(), func() { done(FailureConnectionRefused) })
		return
	}
	switch p := s.rng.Float64(); {
	case p < s.lossRate:
		s.schedule(s.delay(), execute)
		s.schedule(timeout, func() { done(FailureOutcomeUnknown) })
	case p < s.lossRate+s.lateRate:
		s.schedule(time.Duration(1+s.rng.IntN(6))*time.Second, func() {
			s.fleet.OrderDelayed = true
			execute()
			s.fleet.OrderDelayed = false
		})
		s.schedule(timeout, func() { done(FailureOutcomeUnknown) })
	default:
		s.schedule(s.delay(), func() {
			execute()
			s.schedule(s.delay(), func() { done(FailureNone) })
		})
	}
}

// callAbout plays an order about a run of a job.
func (s *simulation) callAbout(o *testOwner, id job.ID, worker external.WorkerID, execute func(), done func(Failure)) {
	s.call(o, worker, callTime, execute, func(f Failure) {
		if f != FailureNone {
			s.gangs.noteDelay(id) // lost, or carried out late
		}
		done(f)
	})
}

// ifSameIncarnation returns a function that calls execute, or dropped if the worker
// has restarted meanwhile: a connection does not outlive the process that accepted it.
func (s *simulation) ifSameIncarnation(id external.WorkerID, execute, dropped func()) func() {
	m := s.fleet.Machine(id)
	started := m.StartedMS
	return func() {
		if m.StartedMS != started {
			dropped()
			return
		}
		execute()
	}
}

// restart stops a worker's process. The next one runs some time later, as a process
// takes time to start.
func (s *simulation) restart(m *fleet.Machine) {
	if m.Down {
		return
	}
	m.Restart()
	m.Down = true
	s.schedule(time.Duration(300+s.rng.IntN(1200))*time.Millisecond, func() {
		m.Restart()
		m.Down = false
	})
}

// carryOut carries out an action of an owner.
func (s *simulation) carryOut(o *testOwner, a Action) {
	ctx := context.Background()
	switch a := a.(type) {
	case Start:
		if o.startsEnded {
			s.t.Errorf("%v: the owner of term %d starts %v after its successor has claimed", s.now, o.term, a.Order.Task)
		}
		if s.onStart != nil {
			s.onStart(a.Order)
		}
		var r external.OrderResult
		var err error
		execute := s.ifSameIncarnation(a.Order.Worker, func() { r, err = s.fleet.Start(ctx, a.Order) }, func() { err = external.ErrOutcomeUnknown })
		s.callAbout(o, a.Order.Task.Job, a.Order.Worker, execute, func(f Failure) {
			s.step(o, StartAnswered{Task: a.Order.Task, Run: a.Order.Run, Worker: a.Order.Worker, Refusal: r.Refusal, Clock: r.Clock, Failure: cmp.Or(f, FailureOf(err))})
		})
	case Stop:
		s.stops[a.Reason]++
		var r external.OrderResult
		var err error
		execute := s.ifSameIncarnation(a.Order.Worker, func() { r, err = s.fleet.Stop(ctx, a.Order) }, func() { err = external.ErrOutcomeUnknown })
		s.callAbout(o, a.Order.Task.Job, a.Order.Worker, execute, func(f Failure) {
			s.step(o, StopAnswered{Task: a.Order.Task, Run: a.Order.Run, Worker: a.Order.Worker, Refusal: r.Refusal, Failure: cmp.Or(f, FailureOf(err))})
		})
	case Pace:
		s.call(o, a.Order.Worker, 700*time.Millisecond, func() { _, _ = s.fleet.Pace(ctx, a.Order) }, func(Failure) {})
	case Advise:
		if s.adviceSilent > 0 {
			s.adviceSilent--
			s.schedule(4*time.Second, func() { s.step(o, AdviceAnswered{Step: a.Step, Asked: a.Workers, Failed: true}) })
			return
		}
		s.schedule(100*time.Millisecond, func() { s.step(o, s.advice(a)) })
	case Hold:
		s.sendHold(o, a)
	case Persist:
		s.writeBatch(o, a)
	case HigherTermSeen:
		o.halted = true
	case JobStands:
		s.stands = append(s.stands, a)
		s.reports = append(s.reports, fmt.Sprintf("%v term %d: %+v", s.now, o.term, a))
	default:
		s.reports = append(s.reports, fmt.Sprintf("%v term %d: %+v", s.now, o.term, a))
	}
}

// advice returns an answer that allows every second worker.
func (s *simulation) advice(a Advise) AdviceAnswered {
	if s.adviceLost {
		return AdviceAnswered{Step: a.Step, Asked: a.Workers, Failed: true}
	}
	ev := AdviceAnswered{Step: a.Step, Asked: a.Workers, Advice: external.Advice{Tickets: make(map[external.WorkerID]string), ValidFor: 2 * time.Second}}
	s.adviceAsked += len(a.Workers)
	for _, id := range a.Workers {
		if (id[len(id)-1]-'0')%2 == 0 {
			ev.Advice.Tickets[id] = "ticket-" + string(id)
		}
	}
	return ev
}

// sendHold plays a hold. If its answer may wait, it is carried out after a random part of
// that time, as a run may end at any moment.
func (s *simulation) sendHold(o *testOwner, a Hold) {
	var l external.HoldResult
	var err error
	execute := func() { l, err = s.fleet.Hold(context.Background(), a.Order) }
	wait := time.Duration(0)
	if a.Order.Wait > 0 {
		wait = time.Duration(s.rng.Int64N(int64(a.Order.Wait)))
	}
	execute = s.ifSameIncarnation(a.Order.Worker, execute, func() { err = external.ErrOutcomeUnknown })
	s.schedule(wait, func() {
		s.call(o, a.Order.Worker, 700*time.Millisecond, execute, func(f Failure) {
			s.step(o, HoldAnswered{Worker: a.Order.Worker, Number: a.Number, Lists: l, Failure: cmp.Or(f, FailureOf(err))})
		})
	})
}

// writeBatch stores a batch, unless the owner's term is over. It is repeated while
// the store is down.
func (s *simulation) writeBatch(o *testOwner, a Persist) {
	s.schedule(s.delay(), func() {
		if s.storeDown || o.onIsland && s.now < s.earlierUntil {
			s.writeBatch(o, a)
			return
		}
		if s.storeTerm > o.term {
			o.halted = true
			return
		}
		done := Persisted{Batch: a.Batch}
		for _, p := range a.Progress {
			if p.ID == s.refuses && (s.refusesOutcome || p.Progress.Outcome == job.Open) {
				done.Refused = append(done.Refused, p.ID)
				continue
			}
			s.progress[p.ID] = p.Progress
		}
		if a.Roster != nil {
			s.roster = a.Roster
		}
		s.schedule(s.delay(), func() { s.step(o, done) })
	})
}
