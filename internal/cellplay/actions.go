package cellplay

import (
	"context"
	"time"

	"coltsfootmux/internal/core/cell"
	"coltsfootmux/internal/core/lag"
	"coltsfootmux/internal/external"
)

// perform executes an action of the core.
func (s *simulator) perform(a cell.Action) {
	switch a := a.(type) {
	case cell.Start:
		s.tally.addStart(a)
		s.start(a)
	case cell.Stop:
		s.tally.addStop(a)
		s.stop(a.Order)
	case cell.Hold:
		s.hold(a)
	case cell.Persist:
		s.after(s.appendTime(), func() { s.due(cell.Persisted{Batch: a.Batch}, answerCost) })
	case cell.JobStands:
		s.standing.addReason(a)
	case cell.JobEnded:
		s.standing.ended(a.ID)
		s.unfinished--
		s.tally.addEnd(a)
	}
}

// result returns the event of a call that was answered, or that failed.
type result func(cell.Failure) cell.Event

// call sends a call to a worker, with a limit that the owner's own lag extends. The core gets the event
// once there is processor time to read the answer; a call that took longer than its limit was given up.
func (s *simulator) call(limit time.Duration, send func(answer func(result))) {
	began := s.now
	s.cpu.add(s.now, func() time.Duration {
		send(func(event result) {
			s.after(oneWayLatency, func() {
				s.cpu.add(s.now, func() time.Duration {
					if s.now-began > limit+lag.Allowance(s.cpu.lag.Since(s.now, began)) {
						return answerCost + dialCost + s.step(event(cell.FailureOutcomeUnknown))
					}
					return answerCost + s.step(event(cell.FailureNone))
				})
			})
		})
		return callCost
	})
}

// failureOf returns why a call failed: it was given up, or has an error.
func failureOf(given cell.Failure, err error) cell.Failure {
	if given != cell.FailureNone {
		return given
	}
	return cell.FailureOf(err)
}

func (s *simulator) start(a cell.Start) {
	o := a.Order
	s.call(callLimit, func(answer func(result)) {
		if a.SendBy > 0 && s.now > a.SendBy {
			answer(func(cell.Failure) cell.Event {
				return cell.StartAnswered{Task: o.Task, Run: o.Run, Worker: o.Worker, Failure: cell.FailureNotSent}
			})
			return
		}
		s.after(oneWayLatency, func() {
			r, err := s.fleet.Start(context.Background(), o)
			if err == nil && r.Refusal == external.RefusedNone {
				s.standing.started(o.Task.Job)
			}
			s.after(s.trace.Params.StartAnswerTime, func() {
				answer(func(f cell.Failure) cell.Event {
					return cell.StartAnswered{Task: o.Task, Run: o.Run, Worker: o.Worker, Refusal: r.Refusal, Clock: r.Clock, Failure: failureOf(f, err)}
				})
			})
		})
	})
}

func (s *simulator) stop(o external.StopOrder) {
	s.call(callLimit, func(answer func(result)) {
		s.after(oneWayLatency, func() {
			r, err := s.fleet.Stop(context.Background(), o)
			answer(func(f cell.Failure) cell.Event {
				return cell.StopAnswered{Task: o.Task, Run: o.Run, Worker: o.Worker, Refusal: r.Refusal, Failure: failureOf(f, err)}
			})
		})
	})
}

func (s *simulator) hold(a cell.Hold) {
	s.call(callLimit+a.Order.Wait, func(answer func(result)) { s.await(a, s.now+a.Order.Wait, answer) })
}

// await polls the worker every time step until it lists an ended run or the wait is over.
func (s *simulator) await(a cell.Hold, until time.Duration, answer func(result)) {
	s.after(oneWayLatency, func() {
		l, err := s.fleet.Hold(context.Background(), a.Order)
		if err == nil && len(l.Ended) == 0 && s.now < until {
			s.await(a, until, answer)
			return
		}
		answer(func(f cell.Failure) cell.Event {
			return cell.HoldAnswered{Worker: a.Order.Worker, Number: a.Number, Lists: l, Failure: failureOf(f, err)}
		})
	})
}
