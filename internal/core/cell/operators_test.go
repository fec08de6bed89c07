package cell

import (
	"fmt"
	"testing"
	"time"

	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
)

// The tests in this file guard against faults that operators of similar systems
// reported, as far as the cell's decisions matter. Others are in package instance.

// A worker that doesn't answer for 3 s, less than its lease, must keep its runs: they
// must neither be started again elsewhere nor be given up.
func TestSilentWorkerKeepsItsRuns(t *testing.T) {
	sim := newSimulation(t, 31, 6)
	o := sim.takeOver()
	sim.run(200 * time.Millisecond)
	for n := range 4 {
		sim.submit(oneStepJob(fmt.Sprintf("j%d", n), 10))
	}
	sim.run(300 * time.Millisecond)
	kept := make(map[job.TaskID]bool)
	for n := range 2 {
		id := external.WorkerID(fmt.Sprintf("w%02d", n))
		sim.unreachable[id] = true
		for _, r := range o.core.workers[id].runs {
			kept[r.task] = true
		}
	}
	if len(kept) == 0 {
		t.Fatal("nothing runs on the workers to be cut off")
	}
	sim.onStart = func(o external.StartOrder) {
		if kept[o.Task] {
			t.Errorf("%v was started again on %s", o.Task, o.Worker)
		}
	}
	sim.run(3 * time.Second)
	clear(sim.unreachable)
	sim.runUntilDone(30 * time.Second)
	sim.check()
}

// A worker whose answers take up to 1.6 s longer than those of others must keep its
// runs.
func TestSlowlyAnsweringWorkerKeepsItsRuns(t *testing.T) {
	sim := newSimulation(t, 32, 4)
	o := sim.takeOver()
	sim.run(200 * time.Millisecond)
	sim.submit(oneStepJob("j", 8))
	sim.run(200 * time.Millisecond)
	starts := sim.fleet.Starts
	slow := o.core.workers["w00"]
	for end := sim.now + 2*time.Second; sim.now < end; {
		sim.run(100 * time.Millisecond)
		if number := slow.waitingHold; number != 0 && sim.now%(800*time.Millisecond) == 0 {
			sim.step(o, HoldAnswered{Worker: "w00", Number: number, Failure: FailureOutcomeUnknown})
		}
	}
	sim.runUntilDone(30 * time.Second)
	sim.check()
	if sim.fleet.Starts != starts {
		t.Errorf("%d starts, %d before", sim.fleet.Starts, starts)
	}
}

// For some seconds after a takeover, two owners act. The start of a run may be sent
// several times, but only to one worker. The stand-in fleet reports concurrent runs
// of a task and starts after its end.
func TestRunIsOrderedOnOneWorkerAcrossTakeOver(t *testing.T) {
	for seed := range uint64(20) {
		sim := newSimulation(t, 100+seed, 6)
		sim.lossRate = 0.05
		sim.takeOver()
		ordered := make(map[string]external.WorkerID)
		sim.onStart = func(o external.StartOrder) {
			name := fmt.Sprintf("%v run %d", o.Task, o.Run)
			if on, ok := ordered[name]; ok && on != o.Worker {
				t.Errorf("seed %d: %s was ordered on %s and on %s", seed, name, on, o.Worker)
			}
			ordered[name] = o.Worker
		}
		sim.run(200 * time.Millisecond)
		for n := range 10 {
			sim.submit(oneStepJob(fmt.Sprintf("j%d", n), 4))
			sim.run(150 * time.Millisecond)
			if n == 4 {
				sim.takeOver()
			}
		}
		sim.lossRate = 0
		sim.runUntilDone(60 * time.Second)
		sim.check()
	}
}

// A process that was paused for 3 s must not start runs until its term is confirmed,
// as another owner may have claimed the next term meanwhile.
func TestPausedOwnerStartsNothingBeforeTermIsConfirmed(t *testing.T) {
	sim := newSimulation(t, 33, 2)
	o := sim.takeOver()
	sim.run(200 * time.Millisecond)
	o.halted = true
	now := o.core.now
	now.Mono += 3 * time.Second
	started := func(ev Event) bool {
		for _, a := range o.core.Step(now, ev) {
			if _, ok := a.(Start); ok {
				return true
			}
		}
		return false
	}
	if started(Submitted{Job: oneStepJob("j", 1)}) || started(Tick{}) {
		t.Error("a task was started before the term was confirmed again")
	}
	if !started(TermConfirmed{At: now.Mono}) && !started(Tick{}) {
		t.Error("no task was started after the term was confirmed")
	}
}

// One worker is on the roster but no longer in the worker list; another is removed
// from the list after the takeover. Both still answer, but must get no new runs.
func TestRemovedWorkerIsNotUsedAfterTakeOver(t *testing.T) {
	sim := newSimulation(t, 34, 3)
	first := sim.takeOver()
	sim.run(500 * time.Millisecond)
	first.halted = true
	sim.departedWorker = "w01"
	second := sim.takeOver()
	sim.run(300 * time.Millisecond)
	sim.step(second, WorkerUnlisted{ID: "w02"})
	sim.onStart = func(o external.StartOrder) {
		if o.Worker != "w00" {
			t.Errorf("%v was started on a worker that was removed from the list", o.Task)
		}
	}
	for n := range 6 {
		sim.submit(oneStepJob(fmt.Sprintf("j%d", n), 6))
		sim.run(300 * time.Millisecond)
	}
	sim.runUntilDone(90 * time.Second)
	sim.check()
}

// With every second answer lost, each task must run to its end once, and no job that
// ran may be shown as not having run.
func TestLostAnswersNeitherRepeatNorLoseRuns(t *testing.T) {
	sim := newSimulation(t, 35, 6)
	sim.takeOver()
	sim.run(200 * time.Millisecond)
	sim.lossRate = 0.5
	for n := range 12 {
		j := oneStepJob(fmt.Sprintf("j%02d", n), 4)
		j.Steps[0].Checkpoints = false
		sim.submit(j)
		sim.run(200 * time.Millisecond)
	}
	sim.run(3 * time.Second)
	sim.lossRate = 0
	sim.runUntilDone(60 * time.Second)
	sim.check()
	for _, j := range sim.jobs {
		if s := sim.current().core.Status(j.ID); s != job.StatusComplete {
			t.Errorf("%s is %v", j.ID, s)
		}
	}
}
