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
	w := newWorld(t, 31, 6)
	o := w.takeOver()
	w.run(200 * time.Millisecond)
	for n := range 4 {
		w.submit(single(fmt.Sprintf("j%d", n), 10))
	}
	w.run(300 * time.Millisecond)
	kept := make(map[job.TaskID]bool)
	for n := range 2 {
		id := external.WorkerID(fmt.Sprintf("w%02d", n))
		w.cut[id] = true
		for _, r := range o.core.workers[id].runs {
			kept[r.task] = true
		}
	}
	if len(kept) == 0 {
		t.Fatal("nothing runs on the workers to be cut off")
	}
	w.onStart = func(o external.StartOrder) {
		if kept[o.Task] {
			t.Errorf("%v was started again on %s", o.Task, o.Worker)
		}
	}
	w.run(3 * time.Second)
	clear(w.cut)
	w.settle(30 * time.Second)
	w.check()
}

// A worker whose answers take up to 1.6 s longer than those of others must keep its
// runs.
func TestSlowlyAnsweringWorkerKeepsItsRuns(t *testing.T) {
	w := newWorld(t, 32, 4)
	o := w.takeOver()
	w.run(200 * time.Millisecond)
	w.submit(single("j", 8))
	w.run(200 * time.Millisecond)
	starts := w.fleet.Starts
	slow := o.core.workers["w00"]
	for end := w.now + 2*time.Second; w.now < end; {
		w.run(100 * time.Millisecond)
		if issue := slow.holdIssue; issue != 0 && w.now%(800*time.Millisecond) == 0 {
			w.step(o, Listed{Worker: "w00", Issue: issue, Failure: FailureUnclear})
		}
	}
	w.settle(30 * time.Second)
	w.check()
	if w.fleet.Starts != starts {
		t.Errorf("%d starts, %d before", w.fleet.Starts, starts)
	}
}

// For some seconds after a takeover, two owners act. The start of a run may be sent
// several times, but only to one worker. The stand-in fleet reports concurrent runs
// of a task and starts after its end.
func TestRunIsOrderedOnOneWorkerAcrossTakeOver(t *testing.T) {
	for seed := range uint64(20) {
		w := newWorld(t, 100+seed, 6)
		w.lost = 0.05
		w.takeOver()
		ordered := make(map[string]external.WorkerID)
		w.onStart = func(o external.StartOrder) {
			name := fmt.Sprintf("%v run %d", o.Task, o.Run)
			if on, ok := ordered[name]; ok && on != o.Worker {
				t.Errorf("seed %d: %s was ordered on %s and on %s", seed, name, on, o.Worker)
			}
			ordered[name] = o.Worker
		}
		w.run(200 * time.Millisecond)
		for n := range 10 {
			w.submit(single(fmt.Sprintf("j%d", n), 4))
			w.run(150 * time.Millisecond)
			if n == 4 {
				w.takeOver()
			}
		}
		w.lost = 0
		w.settle(60 * time.Second)
		w.check()
	}
}

// A process that was paused for 3 s must not start runs until its term is confirmed,
// as another owner may have claimed the next term meanwhile.
func TestPausedOwnerStartsNothingBeforeTermIsConfirmed(t *testing.T) {
	w := newWorld(t, 33, 2)
	o := w.takeOver()
	w.run(200 * time.Millisecond)
	o.dead = true
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
	if started(Submitted{Job: single("j", 1)}) || started(Tick{}) {
		t.Error("a task was started before the term was confirmed again")
	}
	if !started(TermProven{At: now.Mono}) && !started(Tick{}) {
		t.Error("no task was started after the term was confirmed")
	}
}

// One worker is on the roster but no longer in the worker list; another is removed
// from the list after the takeover. Both still answer, but must get no new runs.
func TestRemovedWorkerIsNotUsedAfterTakeOver(t *testing.T) {
	w := newWorld(t, 34, 3)
	first := w.takeOver()
	w.run(500 * time.Millisecond)
	first.dead = true
	w.gone = "w01"
	second := w.takeOver()
	w.run(300 * time.Millisecond)
	w.step(second, WorkerUnlisted{ID: "w02"})
	w.onStart = func(o external.StartOrder) {
		if o.Worker != "w00" {
			t.Errorf("%v was started on a worker that was removed from the list", o.Task)
		}
	}
	for n := range 6 {
		w.submit(single(fmt.Sprintf("j%d", n), 6))
		w.run(300 * time.Millisecond)
	}
	w.settle(90 * time.Second)
	w.check()
}

// With every second answer lost, each task must run to its end once, and no job that
// ran may be shown as not having run.
func TestLostAnswersNeitherRepeatNorLoseRuns(t *testing.T) {
	w := newWorld(t, 35, 6)
	w.takeOver()
	w.run(200 * time.Millisecond)
	w.lost = 0.5
	for n := range 12 {
		j := single(fmt.Sprintf("j%02d", n), 4)
		j.Steps[0].Checkpoints = false
		w.submit(j)
		w.run(200 * time.Millisecond)
	}
	w.run(3 * time.Second)
	w.lost = 0
	w.settle(60 * time.Second)
	w.check()
	for _, j := range w.jobs {
		if s := w.current().core.Status(j.ID); s != job.StatusComplete {
			t.Errorf("%s is %v", j.ID, s)
		}
	}
}
