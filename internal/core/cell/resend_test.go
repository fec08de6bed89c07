package cell

import (
	"fmt"
	"testing"
	"time"

	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
)

// TestGangsStartDespiteUnansweredOrders checks that a gang survives unanswered start
// orders. One order in twenty is not answered and is carried out seconds later.
// Without resends, a third of the starts of a gang of eight lost 0.7 s and all that
// its members had done.
func TestGangsStartDespiteUnansweredOrders(t *testing.T) {
	sim := newSimulation(t, 23, 32)
	sim.takeOver()
	sim.run(300 * time.Millisecond)
	sim.lateRate = 0.05
	for n := range 30 {
		j := oneStepJob(fmt.Sprintf("j%02d", n), 8)
		j.Queue.Priority, j.Steps[0].Gang = 0, true
		sim.submit(j)
		sim.run(300 * time.Millisecond)
	}
	sim.lateRate = 0
	sim.runUntilDone(30 * time.Second)
	sim.check()
	if sim.stops[ReasonUnconfirmed]+sim.stops[ReasonGangBroken] > 0 {
		t.Errorf("%d unconfirmed starts were stopped, and %d other members of their gangs", sim.stops[ReasonUnconfirmed], sim.stops[ReasonGangBroken])
	}
}

// TestNoResendWithoutRecentTermConfirmation checks that an unanswered start is not
// resent by an owner that was paused and whose term was last confirmed too long ago.
func TestNoResendWithoutRecentTermConfirmation(t *testing.T) {
	sim := newSimulation(t, 4, 1)
	o := sim.takeOver()
	sim.run(200 * time.Millisecond)
	sim.lateRate = 1
	sim.submit(oneStepJob("j", 1))
	sim.run(50 * time.Millisecond)
	if len(o.core.workers["w00"].runs) != 1 {
		t.Fatal("no start was ordered")
	}
	r := o.core.workers["w00"].runs[0]
	o.halted = true
	now := o.core.now
	now.Mono = o.core.termConfirmedAt + testSettings().StartGrace + time.Millisecond
	actions := o.core.Step(now, Tick{})
	actions = append(actions, o.core.Step(now, StartAnswered{Task: r.task, Run: r.number, Worker: "w00", Failure: FailureOutcomeUnknown})...)
	for _, a := range actions {
		if s, ok := a.(Start); ok {
			t.Errorf("the start of %v was resent", s.Order.Task)
		}
	}
	if r.state != runUnconfirmed {
		t.Errorf("the run is in state %v, want runUnconfirmed", r.state)
	}
}

// workerAnswers plays the workers of a core: it answers holds after a round trip, or
// lets them time out.
type workerAnswers struct {
	c *Core
	// lost reports whether the n-th call is not answered.
	lost func(n int) bool
	// roundTrip is the time until an answer arrives, timeout the time until a call
	// without an answer fails.
	roundTrip, timeout time.Duration
	calls              int
	pending            []pendingAnswer
}

// pendingAnswer is an event that the core receives at a given time.
type pendingAnswer struct {
	at time.Duration
	ev Event
}

// carryOut schedules the answers to the actions.
func (a *workerAnswers) carryOut(actions []Action) {
	for _, act := range actions {
		switch act := act.(type) {
		case Hold:
			ev := HoldAnswered{Worker: act.Order.Worker, Number: act.Number}
			at := a.c.now.Mono + a.roundTrip
			if a.calls++; a.lost(a.calls) {
				ev.Failure, at = FailureOutcomeUnknown, a.c.now.Mono+act.Order.Wait+a.timeout
			}
			a.pending = append(a.pending, pendingAnswer{at: at, ev: ev})
		case Persist:
			a.pending = append(a.pending, pendingAnswer{at: a.c.now.Mono, ev: Persisted{Batch: act.Batch}})
		}
	}
}

// advance lets time pass and delivers the answers that are due.
func (a *workerAnswers) advance(d time.Duration) {
	for end := a.c.now.Mono + d; a.c.now.Mono < end; {
		a.c.now.Mono += 5 * time.Millisecond
		due := a.pending
		a.pending = nil
		for _, o := range due {
			if o.at > a.c.now.Mono {
				a.pending = append(a.pending, o)
				continue
			}
			if l, ok := o.ev.(HoldAnswered); ok && l.Failure == FailureNone {
				l.Lists = external.HoldResult{Clock: a.c.now.Mono, StartedMS: 1}
				o.ev = l
			}
			a.carryOut(a.c.Step(a.c.now, o.ev))
		}
		if a.c.now.Mono%(50*time.Millisecond) == 0 {
			a.carryOut(a.c.Step(a.c.now, Tick{}))
		}
	}
}

// TestNewOwnerContactsAllWorkersQuickly checks the time until 1,100 workers have
// answered after a takeover. An answer takes 85 ms over a new connection, and 3% are
// lost; jobs once waited 2 s for the last worker. All workers should be asked within
// 0.5 s, and those whose answer was lost once more.
func TestNewOwnerContactsAllWorkersQuickly(t *testing.T) {
	c, asked := afterTakeover(1100)
	a := &workerAnswers{c: c, roundTrip: 85 * time.Millisecond, timeout: 700 * time.Millisecond, lost: func(n int) bool { return n%33 == 0 }}
	for _, h := range asked {
		a.carryOut([]Action{h})
	}
	start := c.now.Mono
	for !c.previousRunsKnown() && c.now.Mono-start < 3*time.Second {
		a.advance(5 * time.Millisecond)
	}
	resendTime := resendAfter + 50*time.Millisecond + a.roundTrip // the timeout, the next tick and the second call
	if took := c.now.Mono - start; took > 500*time.Millisecond+resendTime {
		t.Errorf("all workers have answered after %v", took)
	}
}

// TestLostHoldAnswerDoesNotDelayEnd guards against learning of the end of a run late
// because the answer to a waiting hold is lost: the worker counted as not answering
// and the end was learned 1.2 s later.
func TestLostHoldAnswerDoesNotDelayEnd(t *testing.T) {
	sim := newSimulation(t, 3, 1)
	o := sim.takeOver()
	sim.run(200 * time.Millisecond)
	j := oneStepJob("j", 1)
	j.Queue.Priority = 0
	sim.submit(j)
	sim.run(100 * time.Millisecond)
	worker := o.core.workers["w00"]
	lost := worker.waitingHold
	if lost == 0 || len(worker.runs) != 1 {
		t.Fatalf("hold %d, %d runs", lost, len(worker.runs))
	}
	r := worker.runs[0]
	o.halted = true // none of the simulation's answers arrives any more
	c := o.core
	var resent []Hold
	for end := c.now.Mono + maxUrgentHoldWait + 400*time.Millisecond; c.now.Mono < end && len(resent) == 0; {
		c.now.Mono += 50 * time.Millisecond
		resent = holdsIn(c.Step(c.now, Tick{}))
	}
	if len(resent) != 1 {
		t.Fatalf("%d holds sent besides the one without an answer, want 1", len(resent))
	}
	ended := external.EndedRun{Number: 1, Task: r.task, Run: r.number, Reason: external.EndedDone}
	c.Step(c.now, HoldAnswered{Worker: "w00", Number: resent[0].Number, Lists: external.HoldResult{Clock: c.now.Mono, StartedMS: 1, Ended: []external.EndedRun{ended}}})
	if c.jobs["j"].outcome != job.Complete {
		t.Error("the end of the run was not processed")
	}
	c.Step(c.now, HoldAnswered{Worker: "w00", Number: lost, Failure: FailureOutcomeUnknown})
	if worker.holdFailures != 0 {
		t.Error("a worker that has answered a later hold counts as not answering")
	}
}

// TestLateRefusalDoesNotEndStoppingRun guards against starting a task again while its
// run is still stopping. Of two calls for a start, the first was carried out and its
// answer was lost. The run was then stopped, so that the second call was refused, or
// found no connection; that refusal was taken for the end of the run.
func TestLateRefusalDoesNotEndStoppingRun(t *testing.T) {
	for name, ev := range map[string]StartAnswered{
		"stale run":          {Refusal: external.RefusedStaleRun},
		"not executed":       {Failure: FailureNotExecuted},
		"connection refused": {Failure: FailureConnectionRefused},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 5, 2)
			o := sim.takeOver()
			sim.run(200 * time.Millisecond)
			sim.lateRate = 1
			sim.submit(oneStepJob("j", 1))
			sim.run(300 * time.Millisecond)
			o.halted = true
			c := o.core
			var r *run
			for _, m := range c.fleet {
				if len(m.runs) > 0 {
					r = m.runs[0]
				}
			}
			if r == nil || r.startResends == 0 {
				t.Fatal("no start was resent")
			}
			c.stopRun(r, ReasonDraining)
			ev.Task, ev.Run, ev.Worker = r.task, r.number, r.worker.ID
			for _, a := range c.Step(c.now, ev) {
				if s, ok := a.(Start); ok {
					t.Errorf("%v was started again, on %s", s.Order.Task, s.Order.Worker)
				}
			}
			if len(r.worker.runs) != 1 || r.state != runStopping {
				t.Errorf("%d runs, the first one in state %d; want one in state runStopping", len(r.worker.runs), r.state)
			}
		})
	}
}
