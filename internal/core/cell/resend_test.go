package cell

import (
	"fmt"
	"testing"
	"time"

	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
)

// TestUrgentGangsStartWhileOrdersStayUnanswered: one order in twenty has no answer
// and is carried out seconds later. A gang of eight lost 0.7 s and all that its
// members had done in a third of its starts.
func TestUrgentGangsStartWhileOrdersStayUnanswered(t *testing.T) {
	w := newSimulation(t, 23, 32)
	w.takeOver()
	w.run(300 * time.Millisecond)
	w.lateRate = 0.05
	for n := range 30 {
		j := oneStepJob(fmt.Sprintf("j%02d", n), 8)
		j.Queue.Priority, j.Steps[0].Gang = 0, true
		w.submit(j)
		w.run(300 * time.Millisecond)
	}
	w.lateRate = 0
	w.runUntilDone(30 * time.Second)
	w.check()
	if w.stops[ReasonUnconfirmed]+w.stops[ReasonGangBroken] > 0 {
		t.Errorf("%d starts were given up and %d members stopped for them", w.stops[ReasonUnconfirmed], w.stops[ReasonGangBroken])
	}
}

// TestNoOrderIsMadeAgainOnAPermissionThatRanOut: a start without an answer is due to
// be made again when its owner, paused meanwhile, has not proven its term for too long.
func TestNoOrderIsMadeAgainOnAPermissionThatRanOut(t *testing.T) {
	w := newSimulation(t, 4, 1)
	o := w.takeOver()
	w.run(200 * time.Millisecond)
	w.lateRate = 1
	w.submit(oneStepJob("j", 1))
	w.run(50 * time.Millisecond)
	if len(o.core.workers["w00"].runs) != 1 {
		t.Fatal("nothing was ordered")
	}
	r := o.core.workers["w00"].runs[0]
	o.halted = true
	now := o.core.now
	now.Mono = o.core.termConfirmedAt + testSettings().StartGrace + time.Millisecond
	actions := o.core.Step(now, Tick{})
	actions = append(actions, o.core.Step(now, StartAnswered{Task: r.task, Run: r.number, Worker: "w00", Failure: FailureOutcomeUnknown})...)
	for _, a := range actions {
		if s, ok := a.(Start); ok {
			t.Errorf("%v was ordered again", s.Order.Task)
		}
	}
	if r.state != runUnconfirmed {
		t.Errorf("the run is in state %v", r.state)
	}
}

// workerAnswers gives workers' answers to a core after a delay, or none within the time
// that a call has.
type workerAnswers struct {
	c *Core
	// lost says which calls have no answer.
	lost func(n int) bool
	// roundTrip is a call's time there and back, timeout what a call without an answer takes.
	roundTrip, timeout time.Duration
	calls              int
	pending            []pendingAnswer
}

type pendingAnswer struct {
	at time.Duration
	ev Event
}

// carryOut carries actions out.
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

// advance moves time on.
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

// TestNewOwnerHearsAllWorkersSoon: 1,100 workers whose answers take 85 ms over a new
// connection, three in a hundred without one. Jobs waited for the last of them for 2 s. All should
// be asked within 0.5 s, and those without an answer once more.
func TestNewOwnerHearsAllWorkersSoon(t *testing.T) {
	c, asked := afterTakeover(1100)
	a := &workerAnswers{c: c, roundTrip: 85 * time.Millisecond, timeout: 700 * time.Millisecond, lost: func(n int) bool { return n%33 == 0 }}
	for _, h := range asked {
		a.carryOut([]Action{h})
	}
	began := c.now.Mono
	for !c.previousRunsKnown() && c.now.Mono-began < 3*time.Second {
		a.advance(5 * time.Millisecond)
	}
	again := resendAfter + 50*time.Millisecond + a.roundTrip // the next tick, and the call
	if took := c.now.Mono - began; took > 500*time.Millisecond+again {
		t.Errorf("all workers were heard after %v", took)
	}
}

// TestAnAnswerThatIsLostDoesNotHideAnEnd: the answer to a hold that waits for an
// end was lost; the worker counted as silent and the end was heard 1.2 s later.
func TestAnAnswerThatIsLostDoesNotHideAnEnd(t *testing.T) {
	w := newSimulation(t, 3, 1)
	o := w.takeOver()
	w.run(200 * time.Millisecond)
	j := oneStepJob("j", 1)
	j.Queue.Priority = 0
	w.submit(j)
	w.run(100 * time.Millisecond)
	worker := o.core.workers["w00"]
	lost := worker.waitingHold
	if lost == 0 || len(worker.runs) != 1 {
		t.Fatalf("hold %d, %d runs", lost, len(worker.runs))
	}
	r := worker.runs[0]
	o.halted = true // nothing of the world's answers arrives any more
	c := o.core
	var again []Hold
	for end := c.now.Mono + maxUrgentHoldWait + 400*time.Millisecond; c.now.Mono < end && len(again) == 0; {
		c.now.Mono += 50 * time.Millisecond
		again = holdsIn(c.Step(c.now, Tick{}))
	}
	if len(again) != 1 {
		t.Fatalf("%d holds beside the one without an answer", len(again))
	}
	ended := external.EndedRun{Number: 1, Task: r.task, Run: r.number, Reason: external.EndedDone}
	c.Step(c.now, HoldAnswered{Worker: "w00", Number: again[0].Number, Lists: external.HoldResult{Clock: c.now.Mono, StartedMS: 1, Ended: []external.EndedRun{ended}}})
	if c.jobs["j"].outcome != job.Complete {
		t.Error("the end was not taken in")
	}
	c.Step(c.now, HoldAnswered{Worker: "w00", Number: lost, Failure: FailureOutcomeUnknown})
	if worker.holdFailures != 0 {
		t.Error("a worker that answered later calls counts as silent")
	}
}

// TestALateRefusalDoesNotEndARunThatIsBeingStopped: of two calls for a start the first was
// carried out and its answer lost. The run was then stopped, and the second call found it
// barred, or no connection; the task was started again while the first run still stopped.
func TestALateRefusalDoesNotEndARunThatIsBeingStopped(t *testing.T) {
	for name, ev := range map[string]StartAnswered{
		"barred":      {Refusal: external.RefusedStaleRun},
		"not reached": {Failure: FailureNotExecuted},
		"gone":        {Failure: FailureConnectionRefused},
	} {
		t.Run(name, func(t *testing.T) {
			w := newSimulation(t, 5, 2)
			o := w.takeOver()
			w.run(200 * time.Millisecond)
			w.lateRate = 1
			w.submit(oneStepJob("j", 1))
			w.run(300 * time.Millisecond)
			o.halted = true
			c := o.core
			var r *run
			for _, m := range c.fleet {
				if len(m.runs) > 0 {
					r = m.runs[0]
				}
			}
			if r == nil || r.startResends == 0 {
				t.Fatal("no start was made again")
			}
			c.stopRun(r, ReasonDraining)
			ev.Task, ev.Run, ev.Worker = r.task, r.number, r.worker.ID
			for _, a := range c.Step(c.now, ev) {
				if s, ok := a.(Start); ok {
					t.Errorf("%v was ordered on %s", s.Order.Task, s.Order.Worker)
				}
			}
			if len(r.worker.runs) != 1 || r.state != runStopping {
				t.Errorf("%d runs, state %d", len(r.worker.runs), r.state)
			}
		})
	}
}
