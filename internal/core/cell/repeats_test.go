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
	w := newWorld(t, 23, 32)
	w.takeOver()
	w.run(300 * time.Millisecond)
	w.late = 0.05
	for n := range 30 {
		j := single(fmt.Sprintf("j%02d", n), 8)
		j.Queue.Priority, j.Steps[0].Gang = 0, true
		w.submit(j)
		w.run(300 * time.Millisecond)
	}
	w.late = 0
	w.settle(30 * time.Second)
	w.check()
	if w.stops[ReasonDoubt]+w.stops[ReasonGang] > 0 {
		t.Errorf("%d starts were given up and %d members stopped for them", w.stops[ReasonDoubt], w.stops[ReasonGang])
	}
}

// TestNoOrderIsMadeAgainOnAPermissionThatRanOut: a start without an answer is due to
// be made again when its owner, paused meanwhile, has not proven its term for too long.
func TestNoOrderIsMadeAgainOnAPermissionThatRanOut(t *testing.T) {
	w := newWorld(t, 4, 1)
	o := w.takeOver()
	w.run(200 * time.Millisecond)
	w.late = 1
	w.submit(single("j", 1))
	w.run(50 * time.Millisecond)
	if len(o.core.workers["w00"].runs) != 1 {
		t.Fatal("nothing was ordered")
	}
	r := o.core.workers["w00"].runs[0]
	o.dead = true
	now := o.core.now
	now.Mono = o.core.proven + testSettings().StartGrace + time.Millisecond
	actions := o.core.Step(now, Tick{})
	actions = append(actions, o.core.Step(now, Started{Task: r.task, Run: r.number, Worker: "w00", Failure: FailureUnclear})...)
	for _, a := range actions {
		if s, ok := a.(Start); ok {
			t.Errorf("%v was ordered again", s.Order.Task)
		}
	}
	if r.state != runDoubt {
		t.Errorf("the run is in state %v", r.state)
	}
}

// answering gives workers' answers to a core after a delay, or none within the time
// that a call has.
type answering struct {
	c *Core
	// lost says which calls have no answer.
	lost func(n int) bool
	// way is a call's time there and back, timeout what a call without an answer takes.
	way, timeout time.Duration
	calls        int
	open         []answerDue
}

type answerDue struct {
	at time.Duration
	ev Event
}

// take carries actions out.
func (a *answering) take(actions []Action) {
	for _, act := range actions {
		switch act := act.(type) {
		case Hold:
			ev := Listed{Worker: act.Order.Worker, Issue: act.Issue}
			at := a.c.now.Mono + a.way
			if a.calls++; a.lost(a.calls) {
				ev.Failure, at = FailureUnclear, a.c.now.Mono+act.Order.Wait+a.timeout
			}
			a.open = append(a.open, answerDue{at: at, ev: ev})
		case Persist:
			a.open = append(a.open, answerDue{at: a.c.now.Mono, ev: Committed{Batch: act.Batch}})
		}
	}
}

// run moves time on.
func (a *answering) run(d time.Duration) {
	for end := a.c.now.Mono + d; a.c.now.Mono < end; {
		a.c.now.Mono += 5 * time.Millisecond
		due := a.open
		a.open = nil
		for _, o := range due {
			if o.at > a.c.now.Mono {
				a.open = append(a.open, o)
				continue
			}
			if l, ok := o.ev.(Listed); ok && l.Failure == FailureNone {
				l.Lists = external.HoldResult{Clock: a.c.now.Mono, StartedMS: 1}
				o.ev = l
			}
			a.take(a.c.Step(a.c.now, o.ev))
		}
		if a.c.now.Mono%(50*time.Millisecond) == 0 {
			a.take(a.c.Step(a.c.now, Tick{}))
		}
	}
}

// TestNewOwnerHearsAllWorkersSoon: 1,100 workers whose answers take 85 ms over a new
// connection, three in a hundred without one. Jobs waited for the last of them for 2 s. All should
// be asked within 0.5 s, and those without an answer once more.
func TestNewOwnerHearsAllWorkersSoon(t *testing.T) {
	c, asked := takenOver(1100)
	a := &answering{c: c, way: 85 * time.Millisecond, timeout: 700 * time.Millisecond, lost: func(n int) bool { return n%33 == 0 }}
	for _, h := range asked {
		a.take([]Action{h})
	}
	began := c.now.Mono
	for !c.swept() && c.now.Mono-began < 3*time.Second {
		a.run(5 * time.Millisecond)
	}
	again := repeatAfter + 50*time.Millisecond + a.way // the next tick, and the call
	if took := c.now.Mono - began; took > 500*time.Millisecond+again {
		t.Errorf("all workers were heard after %v", took)
	}
}

// TestAnAnswerThatIsLostDoesNotHideAnEnd: the answer to a hold that waits for an
// end was lost; the worker counted as silent and the end was heard 1.2 s later.
func TestAnAnswerThatIsLostDoesNotHideAnEnd(t *testing.T) {
	w := newWorld(t, 3, 1)
	o := w.takeOver()
	w.run(200 * time.Millisecond)
	j := single("j", 1)
	j.Queue.Priority = 0
	w.submit(j)
	w.run(100 * time.Millisecond)
	worker := o.core.workers["w00"]
	lost := worker.holdIssue
	if lost == 0 || len(worker.runs) != 1 {
		t.Fatalf("hold %d, %d runs", lost, len(worker.runs))
	}
	r := worker.runs[0]
	o.dead = true // nothing of the world's answers arrives any more
	c := o.core
	var again []Hold
	for end := c.now.Mono + holdWaitUrgent + 400*time.Millisecond; c.now.Mono < end && len(again) == 0; {
		c.now.Mono += 50 * time.Millisecond
		again = holdsIn(c.Step(c.now, Tick{}))
	}
	if len(again) != 1 {
		t.Fatalf("%d holds beside the one without an answer", len(again))
	}
	ended := external.EndedRun{Number: 1, Task: r.task, Run: r.number, Reason: external.EndedDone}
	c.Step(c.now, Listed{Worker: "w00", Issue: again[0].Issue, Lists: external.HoldResult{Clock: c.now.Mono, StartedMS: 1, Ended: []external.EndedRun{ended}}})
	if c.jobs["j"].outcome != job.Complete {
		t.Error("the end was not taken in")
	}
	c.Step(c.now, Listed{Worker: "w00", Issue: lost, Failure: FailureUnclear})
	if worker.holdFails != 0 {
		t.Error("a worker that answered later calls counts as silent")
	}
}

// TestALateRefusalDoesNotEndARunThatIsBeingStopped: of two calls for a start the first was
// carried out and its answer lost. The run was then stopped, and the second call found it
// barred, or no connection; the task was started again while the first run still stopped.
func TestALateRefusalDoesNotEndARunThatIsBeingStopped(t *testing.T) {
	for name, ev := range map[string]Started{
		"barred":      {Refusal: external.RefusedStaleRun},
		"not reached": {Failure: FailureNotReached},
		"gone":        {Failure: FailureGone},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 5, 2)
			o := w.takeOver()
			w.run(200 * time.Millisecond)
			w.late = 1
			w.submit(single("j", 1))
			w.run(300 * time.Millisecond)
			o.dead = true
			c := o.core
			var r *run
			for _, m := range c.fleet {
				if len(m.runs) > 0 {
					r = m.runs[0]
				}
			}
			if r == nil || r.repeats == 0 {
				t.Fatal("no start was made again")
			}
			c.stop(r, ReasonDrain)
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
