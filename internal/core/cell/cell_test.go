package cell

import (
	"fmt"
	"testing"
	"time"

	"coltsfootmux/internal/job"
	"coltsfootmux/internal/standin/fleet"
)

func TestJobsOfEveryKindComplete(t *testing.T) {
	w := newSimulation(t, 1, 8)
	w.takeOver()
	w.run(200 * time.Millisecond)
	chain := oneStepJob("chain", 3)
	chain.Steps = append(chain.Steps, job.Step{Count: 2, CPU: 1000, MemMB: 100, EstimateMS: 500, After: []int{0}, MaxPerWorker: 1})
	gang := oneStepJob("gang", 6)
	gang.Steps[0].Gang, gang.Steps[0].SameRack, gang.Steps[0].GPU = true, true, 4
	near := oneStepJob("near", 4)
	near.Steps[0].DataRack, near.Steps[0].Label = "r1", "a"
	timed := oneStepJob("timed", 2)
	timed.Occurrences, timed.FirstDueMS, timed.IntervalMS = 3, 2000, 1500
	for _, j := range []job.Job{chain, gang, near, timed} {
		w.submit(j)
	}
	w.runUntilDone(30 * time.Second)
	w.check()
	for _, j := range w.jobs {
		if s := w.current().core.Status(j.ID); s != job.StatusComplete {
			t.Errorf("%s is %v", j.ID, s)
		}
	}
}

func TestJobFailsAfterMaxTries(t *testing.T) {
	w := newSimulation(t, 2, 4)
	w.fleet = fleet.New(func(job.TaskID, int64) (time.Duration, bool) { return 300 * time.Millisecond, true })
	for n := range 4 {
		w.fleet.Add(testWorker(n))
	}
	w.takeOver()
	w.submit(oneStepJob("poison", 1))
	w.runUntilDone(40 * time.Second)
	w.check()
	if s := w.current().core.Status("poison"); s != job.StatusFailed || w.fleet.Starts != 3 {
		t.Errorf("%v after %d starts, want failed after 3", s, w.fleet.Starts)
	}
}

// The previous owner may have counted a failed run without acknowledging its end, so
// that the worker lists it to the new owner too. It must not count a second time.
func TestFailureIsCountedOnceAcrossOwners(t *testing.T) {
	w := newSimulation(t, 17, 4)
	w.fleet = fleet.New(func(job.TaskID, int64) (time.Duration, bool) { return 300 * time.Millisecond, true })
	for n := range 4 {
		w.fleet.Add(testWorker(n))
	}
	w.takeOver()
	w.run(100 * time.Millisecond)
	w.submit(oneStepJob("poison", 1))
	for range 200 {
		w.run(20 * time.Millisecond)
		if len(w.progress["poison"].Occurrences) > 0 {
			break // the first failure is durable and not yet acknowledged
		}
	}
	w.current().halted = true
	w.run(2 * time.Second)
	w.takeOver()
	w.runUntilDone(40 * time.Second)
	w.check()
	if w.fleet.Starts != 3 {
		t.Errorf("failed after %d runs, want 3", w.fleet.Starts)
	}
}

func TestCancelledJobStops(t *testing.T) {
	w := newSimulation(t, 3, 4)
	w.takeOver()
	w.run(100 * time.Millisecond)
	w.submit(oneStepJob("c", 20))
	w.run(400 * time.Millisecond)
	w.cancel("c")
	w.run(3 * time.Second)
	w.check()
	if w.fleet.RunningCount() != 0 {
		t.Errorf("%d runs are left", w.fleet.RunningCount())
	}
}

func TestGuaranteedWorkPreempts(t *testing.T) {
	w := newSimulation(t, 4, 4)
	w.takeOver()
	w.run(100 * time.Millisecond)
	filler := oneStepJob("filler", 32)
	filler.Account = "b"
	w.submit(filler)
	w.run(300 * time.Millisecond)
	urgent := oneStepJob("urgent", 2)
	urgent.Queue.Priority, urgent.Steps[0].GPU = 0, 8
	w.submit(urgent)
	w.run(1500 * time.Millisecond)
	if s := w.current().core.Status("urgent"); s != job.Running && s != job.StatusComplete {
		t.Errorf("urgent job is %v 1.5 s after its submission", s)
	}
	w.runUntilDone(60 * time.Second)
	w.check()
}

// Tasks of a step for which room is kept by plans count against the step's
// MaxPerWorker like running ones, or too many of them are started on one worker.
func TestPlannedTasksCountAgainstMaxPerWorker(t *testing.T) {
	w := newSimulation(t, 5, 4)
	w.takeOver()
	w.run(100 * time.Millisecond)
	filler := oneStepJob("filler", 32)
	filler.Account = "b"
	w.submit(filler)
	w.run(300 * time.Millisecond)
	urgent := oneStepJob("urgent", 8)
	urgent.Queue.Priority, urgent.Steps[0].MaxPerWorker = 0, 2
	w.submit(urgent)
	w.runUntilDone(60 * time.Second)
	w.check()
}

func TestJobsCompleteDespiteHangingAndFailingWorkers(t *testing.T) {
	w := newSimulation(t, 10, 8)
	w.machine(0).Mode = fleet.Hanging
	w.machine(1).Mode = fleet.Failing
	w.takeOver()
	w.run(100 * time.Millisecond)
	for n := range 10 {
		w.submit(oneStepJob(fmt.Sprintf("j%d", n), 4))
	}
	w.runUntilDone(90 * time.Second)
	w.check()
	for _, j := range w.jobs {
		if s := w.current().core.Status(j.ID); s != job.StatusComplete {
			t.Errorf("%s is %v", j.ID, s)
		}
	}
}

func TestStalledGangIsMovedWithinObjective(t *testing.T) {
	w := newSimulation(t, 16, 6)
	w.fleet = fleet.New(func(job.TaskID, int64) (time.Duration, bool) { return 2 * time.Second, false })
	for n := range 6 {
		w.fleet.Add(testWorker(n))
	}
	w.machine(0).Mode = fleet.Hanging
	w.takeOver()
	w.run(100 * time.Millisecond)
	j := oneStepJob("j", 3)
	j.Queue.Stretch, j.Queue.ObjectiveMS = 1.5, 1500
	j.Queue.Priority, j.Steps[0].GPU, j.Steps[0].Gang, j.Steps[0].EstimateMS, j.Steps[0].Checkpoints = 0, 8, true, 2000, false
	w.submit(j)
	began := w.now
	w.runUntilDone(60 * time.Second)
	w.check()
	if took := w.now - began; took > j.Objective() {
		t.Errorf("took %v, over its objective of %v", took, j.Objective())
	}
}

func TestRunsOnASlowWorkerAreMoved(t *testing.T) {
	for _, gang := range []bool{false, true} {
		w := newSimulation(t, 15, 6)
		w.fleet = fleet.New(func(job.TaskID, int64) (time.Duration, bool) { return 2 * time.Second, false })
		for n := range 6 {
			w.fleet.Add(testWorker(n))
		}
		for n := range 2 {
			w.machine(n).Pace = 0.1
		}
		w.takeOver()
		w.run(100 * time.Millisecond)
		j := oneStepJob("j", 4)
		j.Steps[0].GPU, j.Steps[0].Gang, j.Steps[0].Checkpoints = 8, gang, false
		w.submit(j)
		began := w.now
		w.runUntilDone(60 * time.Second)
		w.check()
		if took := w.now - began; took > 10*time.Second {
			t.Errorf("gang %v: took %v with two workers at a tenth of the speed", gang, took)
		}
	}
}

func TestTasksOfRestartedWorkerStartAgain(t *testing.T) {
	w := newSimulation(t, 11, 4)
	w.takeOver()
	w.run(100 * time.Millisecond)
	w.submit(oneStepJob("j", 12))
	w.run(500 * time.Millisecond)
	w.restart(w.machine(0))
	w.runUntilDone(30 * time.Second)
	w.check()
}

func TestOutcomeIsNotShownBeforeItIsDurable(t *testing.T) {
	w := newSimulation(t, 12, 4)
	w.takeOver()
	w.run(100 * time.Millisecond)
	w.submit(oneStepJob("j", 2))
	w.run(50 * time.Millisecond)
	w.storeDown = true
	w.run(8 * time.Second)
	if s := w.current().core.Status("j"); s != job.Running {
		t.Errorf("job is %v while its progress can't be written, want running", s)
	}
	w.storeDown = false
	w.runUntilDone(10 * time.Second)
	w.check()
	if s := w.current().core.Status("j"); s != job.StatusComplete {
		t.Errorf("job is %v", s)
	}
}
