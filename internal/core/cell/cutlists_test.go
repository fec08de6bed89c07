package cell

import (
	"fmt"
	"testing"
	"time"

	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
)

// TestInvariantsHoldWithCutLists guards against conclusions from lists of ended runs that
// workers have cut: random scenarios in which a worker lists only a few of them in one answer.
func TestInvariantsHoldWithCutLists(t *testing.T) {
	for seed := range uint64(randomScenarios) {
		o := scenario{cuts: seed%2 == 0, recurring: seed%3 == 0, crashes: seed%5 == 0, prepare: func(s *simulation) {
			s.fleet.MaxListedEnds = 1 + int(seed%3)
			s.confirmedOwners = seed%4 == 0
		}}
		if err := runRandomScenario(t, seed, o); err != "" {
			t.Error(err)
		}
	}
}

// manySmallTasks returns a job of so many tasks that workers can't list the ends of all at once.
func manySmallTasks(id string, count int) job.Job {
	j := oneStepJob(id, count)
	j.Steps[0].CPU, j.Steps[0].MemMB, j.Steps[0].GPU, j.Steps[0].Checkpoints = 10, 10, 0, false
	return j
}

// startedTwice returns the number of tasks of the job that were started more than once, as counted
// from the call on.
func (s *simulation) startedTwice(id job.ID) func() int {
	starts := make(map[job.TaskID]map[int64]bool)
	s.onStart = func(o external.StartOrder) {
		if o.Task.Job != id {
			return
		}
		if starts[o.Task] == nil {
			starts[o.Task] = make(map[int64]bool)
		}
		starts[o.Task][o.Run] = true
	}
	return func() int {
		n := 0
		for _, runs := range starts {
			if len(runs) > 1 {
				n++
			}
		}
		return n
	}
}

// TestDoneTasksBeyondTheListedEndsAreNotRepeated guards against tasks that are started again as
// their ends as done are not among those that their workers list while the store is down. It also
// bounds how long their job stands once the store is back.
func TestDoneTasksBeyondTheListedEndsAreNotRepeated(t *testing.T) {
	sim := newSimulation(t, 101, 2)
	sim.fleet.MaxListedEnds = 100
	sim.longTasks(15 * time.Second)
	sim.takeOver()
	sim.run(100 * time.Millisecond)
	repeated := sim.startedTwice("small")
	small := manySmallTasks("small", 1200)
	small.Steps[0].MaxPerWorker = 600
	sim.submit(small)
	for sim.fleet.Starts < 1200 && sim.now < 14*time.Second {
		sim.run(100 * time.Millisecond)
	}
	sim.storeDown = true
	sim.run(16 * time.Second)
	if n := sim.fleet.RunningCount(); n > 0 {
		t.Fatalf("%d tasks have not ended", n)
	}
	sim.storeDown = false
	back := sim.now
	sim.runUntilDone(30 * time.Second)
	sim.check()
	if n := repeated(); n > 0 {
		t.Errorf("%d tasks were started more than once", n)
	}
	if took := sim.now - back; took > standBound {
		t.Errorf("the job ended %v after the store was back", took)
	}
}

// TestTasksThatEndedUnderAnEarlierOwnerAreNotRepeated guards against a new owner that takes the first
// list of a worker for all of the runs that its predecessor had there, while the store is down.
// Jobs that can't have run on that worker must not wait for it.
func TestTasksThatEndedUnderAnEarlierOwnerAreNotRepeated(t *testing.T) {
	sim := newSimulation(t, 102, 3)
	sim.machine(2).Pool = "other"
	sim.fleet.MaxListedEnds = 100
	sim.longTasks(3 * time.Second)
	sim.takeOver()
	sim.run(100 * time.Millisecond)
	repeated := sim.startedTwice("small")
	sim.submit(manySmallTasks("small", 600))
	for sim.fleet.Starts < 600 && sim.now < standBound {
		sim.run(100 * time.Millisecond)
	}
	elsewhere := oneStepJob("elsewhere", 1)
	elsewhere.Queue.Pool = "other"
	sim.current().halted = true
	sim.submit(elsewhere)
	sim.run(4 * time.Second)
	sim.takeOver()
	began := sim.now
	for !sim.current().core.fleet[0].onRoster && sim.now-began < time.Second {
		sim.run(tickTime)
	}
	sim.storeDown = true
	sim.confirm(standBound)
	if s := sim.current().core.Status("elsewhere"); s == job.Queued {
		t.Errorf("a job of another pool has not begun after %v", standBound)
	}
	sim.submit(oneStepJob("new", 1))
	sim.confirm(standBound)
	if s := sim.current().core.Status("new"); s == job.Queued {
		t.Errorf("a job that was submitted after the takeover has not begun after %v", standBound)
	}
	sim.confirm(12*time.Second - (sim.now - began)) // beyond all leases of the predecessor
	sim.storeDown = false
	back := sim.now
	sim.runUntilDone(30 * time.Second)
	sim.check()
	if n := repeated(); n > 0 {
		t.Errorf("%d tasks were started more than once", n)
	}
	if took := sim.now - back; took > standBound {
		t.Errorf("the jobs ended %v after the store was back", took)
	}
}

// confirm lets time pass in which peers confirm the owner's term, whatever the store does.
func (s *simulation) confirm(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.run(100 * time.Millisecond)
		s.step(s.current(), TermConfirmed{At: s.now})
	}
}

// TestCutListsDoNotHideLostStarts guards against a task that stands for good, as its start did not
// arrive and its worker always has more ended runs than it lists.
func TestCutListsDoNotHideLostStarts(t *testing.T) {
	sim := newSimulation(t, 103, 1)
	sim.fleet.MaxListedEnds = 8
	sim.longTasks(400 * time.Millisecond)
	sim.takeOver()
	sim.run(100 * time.Millisecond)
	for n := range 60 {
		sim.submit(manySmallTasks(fmt.Sprintf("load%02d", n), 6))
		sim.run(100 * time.Millisecond)
		if n != 20 {
			continue
		}
		sim.lossStarts("lost")
		sim.submit(manySmallTasks("lost", 1))
	}
	if !sim.ended("lost") {
		t.Errorf("a task whose start was lost has not ended: %+v", sim.current().core.Load())
	}
	sim.runUntilDone(60 * time.Second)
	sim.check()
}

// lossStarts loses the orders of the first run of a job, which its worker never gets.
func (s *simulation) lossStarts(id job.ID) {
	lost := int64(0)
	s.stepCore = func(o *testOwner, now Instant, ev Event) []Action {
		actions := o.core.Step(now, ev)
		for n, a := range actions {
			start, ok := a.(Start)
			if !ok || start.Order.Task.Job != id || lost != 0 && start.Order.Run != lost {
				continue
			}
			lost = start.Order.Run
			actions[n] = JobsHeld{} // reported only
			s.schedule(700*time.Millisecond, func() {
				s.step(o, StartAnswered{Task: start.Order.Task, Run: start.Order.Run, Worker: start.Order.Worker, Failure: FailureOutcomeUnknown})
			})
		}
		return actions
	}
}
