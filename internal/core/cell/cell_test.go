package cell

import (
	"fmt"
	"testing"
	"time"

	"coltsfootmux/internal/job"
	"coltsfootmux/internal/standin/fleet"
)

func TestJobsOfEveryKindComplete(t *testing.T) {
	sim := newSimulation(t, 1, 8)
	sim.takeOver()
	sim.run(200 * time.Millisecond)
	chain := oneStepJob("chain", 3)
	chain.Steps = append(chain.Steps, job.Step{Count: 2, CPU: 1000, MemMB: 100, EstimateMS: 500, After: []int{0}, MaxPerWorker: 1})
	gang := oneStepJob("gang", 6)
	gang.Steps[0].Gang, gang.Steps[0].SameRack, gang.Steps[0].GPU = true, true, 4
	near := oneStepJob("near", 4)
	near.Steps[0].DataRack, near.Steps[0].Label = "r1", "a"
	timed := oneStepJob("timed", 2)
	timed.Occurrences, timed.FirstDueMS, timed.IntervalMS = 3, 2000, 1500
	for _, j := range []job.Job{chain, gang, near, timed} {
		sim.submit(j)
	}
	sim.runUntilDone(30 * time.Second)
	sim.check()
	for _, j := range sim.jobs {
		if s := sim.current().core.Status(j.ID); s != job.StatusComplete {
			t.Errorf("%s is %v", j.ID, s)
		}
	}
}

func TestJobFailsAfterMaxTries(t *testing.T) {
	sim := newSimulation(t, 2, 4)
	sim.fleet = fleet.New(func(job.TaskID, int64) (time.Duration, bool) { return 300 * time.Millisecond, true })
	for n := range 4 {
		sim.fleet.Add(testWorker(n))
	}
	sim.takeOver()
	sim.submit(oneStepJob("poison", 1))
	sim.runUntilDone(40 * time.Second)
	sim.check()
	if s := sim.current().core.Status("poison"); s != job.StatusFailed || sim.fleet.Starts != 3 {
		t.Errorf("%v after %d starts, want failed after 3", s, sim.fleet.Starts)
	}
}

// The previous owner may have counted a failed run without acknowledging its end, so
// that the worker lists it to the new owner too. It must not count a second time.
func TestFailureIsCountedOnceAcrossOwners(t *testing.T) {
	sim := newSimulation(t, 17, 4)
	sim.fleet = fleet.New(func(job.TaskID, int64) (time.Duration, bool) { return 300 * time.Millisecond, true })
	for n := range 4 {
		sim.fleet.Add(testWorker(n))
	}
	sim.takeOver()
	sim.run(100 * time.Millisecond)
	sim.submit(oneStepJob("poison", 1))
	for range 200 {
		sim.run(20 * time.Millisecond)
		if len(sim.progress["poison"].Occurrences) > 0 {
			break // the first failure is durable and not yet acknowledged
		}
	}
	sim.current().halted = true
	sim.run(2 * time.Second)
	sim.takeOver()
	sim.runUntilDone(40 * time.Second)
	sim.check()
	if sim.fleet.Starts != 3 {
		t.Errorf("failed after %d runs, want 3", sim.fleet.Starts)
	}
}

func TestCancelledJobStops(t *testing.T) {
	sim := newSimulation(t, 3, 4)
	sim.takeOver()
	sim.run(100 * time.Millisecond)
	sim.submit(oneStepJob("c", 20))
	sim.run(400 * time.Millisecond)
	sim.cancel("c")
	sim.run(3 * time.Second)
	sim.check()
	if sim.fleet.RunningCount() != 0 {
		t.Errorf("%d runs are left", sim.fleet.RunningCount())
	}
}

func TestGuaranteedWorkPreempts(t *testing.T) {
	sim := newSimulation(t, 4, 4)
	sim.takeOver()
	sim.run(100 * time.Millisecond)
	filler := oneStepJob("filler", 32)
	filler.Account = "b"
	sim.submit(filler)
	sim.run(300 * time.Millisecond)
	urgent := oneStepJob("urgent", 2)
	urgent.Queue.Priority, urgent.Steps[0].GPU = 0, 8
	sim.submit(urgent)
	sim.run(1500 * time.Millisecond)
	if s := sim.current().core.Status("urgent"); s != job.Running && s != job.StatusComplete {
		t.Errorf("urgent job is %v 1.5 s after its submission", s)
	}
	sim.runUntilDone(60 * time.Second)
	sim.check()
}

// Tasks of a step for which room is kept by plans count against the step's
// MaxPerWorker like running ones, or too many of them are started on one worker.
func TestPlannedTasksCountAgainstMaxPerWorker(t *testing.T) {
	sim := newSimulation(t, 5, 4)
	sim.takeOver()
	sim.run(100 * time.Millisecond)
	filler := oneStepJob("filler", 32)
	filler.Account = "b"
	sim.submit(filler)
	sim.run(300 * time.Millisecond)
	urgent := oneStepJob("urgent", 8)
	urgent.Queue.Priority, urgent.Steps[0].MaxPerWorker = 0, 2
	sim.submit(urgent)
	sim.runUntilDone(60 * time.Second)
	sim.check()
}

func TestJobsCompleteDespiteHangingAndFailingWorkers(t *testing.T) {
	sim := newSimulation(t, 10, 8)
	sim.machine(0).Mode = fleet.Hanging
	sim.machine(1).Mode = fleet.Failing
	sim.takeOver()
	sim.run(100 * time.Millisecond)
	for n := range 10 {
		sim.submit(oneStepJob(fmt.Sprintf("j%d", n), 4))
	}
	sim.runUntilDone(90 * time.Second)
	sim.check()
	for _, j := range sim.jobs {
		if s := sim.current().core.Status(j.ID); s != job.StatusComplete {
			t.Errorf("%s is %v", j.ID, s)
		}
	}
}

func TestStalledGangIsMovedWithinObjective(t *testing.T) {
	sim := newSimulation(t, 16, 6)
	sim.fleet = fleet.New(func(job.TaskID, int64) (time.Duration, bool) { return 2 * time.Second, false })
	for n := range 6 {
		sim.fleet.Add(testWorker(n))
	}
	sim.machine(0).Mode = fleet.Hanging
	sim.takeOver()
	sim.run(100 * time.Millisecond)
	j := oneStepJob("j", 3)
	j.Queue.Stretch, j.Queue.ObjectiveMS = 1.5, 1500
	j.Queue.Priority, j.Steps[0].GPU, j.Steps[0].Gang, j.Steps[0].EstimateMS, j.Steps[0].Checkpoints = 0, 8, true, 2000, false
	sim.submit(j)
	began := sim.now
	sim.runUntilDone(60 * time.Second)
	sim.check()
	if took := sim.now - began; took > j.Objective() {
		t.Errorf("took %v, over its objective of %v", took, j.Objective())
	}
}

func TestRunsOnASlowWorkerAreMoved(t *testing.T) {
	for _, gang := range []bool{false, true} {
		sim := newSimulation(t, 15, 6)
		sim.fleet = fleet.New(func(job.TaskID, int64) (time.Duration, bool) { return 2 * time.Second, false })
		for n := range 6 {
			sim.fleet.Add(testWorker(n))
		}
		for n := range 2 {
			sim.machine(n).Pace = 0.1
		}
		sim.takeOver()
		sim.run(100 * time.Millisecond)
		j := oneStepJob("j", 4)
		j.Steps[0].GPU, j.Steps[0].Gang, j.Steps[0].Checkpoints = 8, gang, false
		sim.submit(j)
		began := sim.now
		sim.runUntilDone(60 * time.Second)
		sim.check()
		if took := sim.now - began; took > 10*time.Second {
			t.Errorf("gang %v: took %v with two workers at a tenth of the speed", gang, took)
		}
	}
}

func TestTasksOfRestartedWorkerStartAgain(t *testing.T) {
	sim := newSimulation(t, 11, 4)
	sim.takeOver()
	sim.run(100 * time.Millisecond)
	sim.submit(oneStepJob("j", 12))
	sim.run(500 * time.Millisecond)
	sim.restart(sim.machine(0))
	sim.runUntilDone(30 * time.Second)
	sim.check()
}

func TestOutcomeIsNotShownBeforeItIsDurable(t *testing.T) {
	sim := newSimulation(t, 12, 4)
	sim.takeOver()
	sim.run(100 * time.Millisecond)
	sim.submit(oneStepJob("j", 2))
	sim.run(50 * time.Millisecond)
	sim.storeDown = true
	sim.run(8 * time.Second)
	if s := sim.current().core.Status("j"); s != job.Running {
		t.Errorf("job is %v while its progress can't be written, want running", s)
	}
	sim.storeDown = false
	sim.runUntilDone(10 * time.Second)
	sim.check()
	if s := sim.current().core.Status("j"); s != job.StatusComplete {
		t.Errorf("job is %v", s)
	}
}
