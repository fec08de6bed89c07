package cell

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
	"coltsfootmux/internal/standin/fleet"
)

func TestJobsOfEveryShapeEndOnACalmDay(t *testing.T) {
	w := newWorld(t, 1, 8)
	w.takeOver()
	w.run(200 * time.Millisecond)
	chain := single("chain", 3)
	chain.Steps = append(chain.Steps, job.Step{Count: 2, CPU: 1000, MemMB: 100, EstimateMS: 500, After: []int{0}, MaxPerWorker: 1})
	gang := single("gang", 6)
	gang.Steps[0].Gang, gang.Steps[0].SameRack, gang.Steps[0].GPU = true, true, 4
	near := single("near", 4)
	near.Steps[0].DataRack, near.Steps[0].Label = "r1", "a"
	timed := single("timed", 2)
	timed.Occurrences, timed.FirstDueMS, timed.IntervalMS = 3, 2000, 1500
	for _, j := range []job.Job{chain, gang, near, timed} {
		w.submit(j)
	}
	w.settle(30 * time.Second)
	w.check()
	for _, j := range w.jobs {
		if s := w.current().core.Status(j.ID); s != job.StatusComplete {
			t.Errorf("%s is %v", j.ID, s)
		}
	}
}

func TestJobThatAlwaysFailsIsGivenUpAfterItsTries(t *testing.T) {
	w := newWorld(t, 2, 4)
	w.fleet = fleet.New(func(job.TaskID, int64) (time.Duration, bool) { return 300 * time.Millisecond, true })
	for n := range 4 {
		w.fleet.Add(machine(n))
	}
	w.takeOver()
	w.submit(single("poison", 1))
	w.settle(40 * time.Second)
	w.check()
	if s := w.current().core.Status("poison"); s != job.StatusFailed || w.fleet.Starts != 3 {
		t.Errorf("%v after %d starts, want failed after 3", s, w.fleet.Starts)
	}
}

// TestFailureIsCountedOnceAcrossOwners: a new owner counted the end of a failed
// run again that the owner before had counted and not acknowledged yet.
func TestFailureIsCountedOnceAcrossOwners(t *testing.T) {
	w := newWorld(t, 17, 4)
	w.fleet = fleet.New(func(job.TaskID, int64) (time.Duration, bool) { return 300 * time.Millisecond, true })
	for n := range 4 {
		w.fleet.Add(machine(n))
	}
	w.takeOver()
	w.run(100 * time.Millisecond)
	w.submit(single("poison", 1))
	for range 200 {
		w.run(20 * time.Millisecond)
		if len(w.progress["poison"].Occurrences) > 0 {
			break // the first failure is durable and its worker has not been told
		}
	}
	w.current().dead = true
	w.run(2 * time.Second)
	w.takeOver()
	w.settle(40 * time.Second)
	w.check()
	if w.fleet.Starts != 3 {
		t.Errorf("failed after %d runs, want 3", w.fleet.Starts)
	}
}

func TestCancelledJobStops(t *testing.T) {
	w := newWorld(t, 3, 4)
	w.takeOver()
	w.run(100 * time.Millisecond)
	w.submit(single("c", 20))
	w.run(400 * time.Millisecond)
	w.cancel("c")
	w.run(3 * time.Second)
	w.check()
	if w.fleet.Running() != 0 {
		t.Errorf("%d runs are left", w.fleet.Running())
	}
}

func TestGuaranteedWorkHasRoomMadeForIt(t *testing.T) {
	w := newWorld(t, 4, 4)
	w.takeOver()
	w.run(100 * time.Millisecond)
	filler := single("filler", 32)
	filler.Account = "b"
	w.submit(filler)
	w.run(300 * time.Millisecond)
	urgent := single("urgent", 2)
	urgent.Queue.Priority, urgent.Steps[0].GPU = 0, 8
	w.submit(urgent)
	w.run(1500 * time.Millisecond)
	if s := w.current().core.Status("urgent"); s != job.Running && s != job.StatusComplete {
		t.Errorf("urgent work is %v 1.5 s after it came", s)
	}
	w.settle(60 * time.Second)
	w.check()
}

// TestPlannedTasksCountAgainstTheBoundOnOneWorker: several tasks of a step,
// each with a plan, were placed beside each other beyond the step's bound.
func TestPlannedTasksCountAgainstTheBoundOnOneWorker(t *testing.T) {
	w := newWorld(t, 5, 4)
	w.takeOver()
	w.run(100 * time.Millisecond)
	filler := single("filler", 32)
	filler.Account = "b"
	w.submit(filler)
	w.run(300 * time.Millisecond)
	urgent := single("urgent", 8)
	urgent.Queue.Priority, urgent.Steps[0].MaxPerWorker = 0, 2
	w.submit(urgent)
	w.settle(60 * time.Second)
	w.check()
}

func TestNewOwnerAdoptsWhatRuns(t *testing.T) {
	w := newWorld(t, 6, 8)
	first := w.takeOver()
	w.run(100 * time.Millisecond)
	for n := range 6 {
		w.submit(single(fmt.Sprintf("j%d", n), 5))
	}
	w.run(500 * time.Millisecond)
	first.dead = true
	w.run(2 * time.Second)
	starts := w.fleet.Starts
	w.takeOver()
	w.settle(30 * time.Second)
	w.check()
	if w.fleet.Starts > starts+1 {
		t.Errorf("%d starts, %d of them before the take-over: running tasks were started again", w.fleet.Starts, starts)
	}
}

func TestSilentWorkersTasksStartElsewhereOnlyAfterItsLease(t *testing.T) {
	w := newWorld(t, 7, 4)
	w.takeOver()
	w.run(100 * time.Millisecond)
	w.submit(single("j", 12))
	w.run(300 * time.Millisecond)
	for n := range 2 {
		w.cut[external.WorkerID(fmt.Sprintf("w%02d", n))] = true
	}
	w.settle(60 * time.Second)
	w.check()
}

func TestTakeOverBesideASilentWorkerWaits(t *testing.T) {
	w := newWorld(t, 8, 4)
	first := w.takeOver()
	w.run(100 * time.Millisecond)
	w.submit(single("j", 12))
	w.run(300 * time.Millisecond)
	first.dead = true
	w.cut["w00"] = true
	w.takeOver()
	w.settle(60 * time.Second)
	w.check()
}

func TestFrozenOwnerThatWakesDoesNoHarm(t *testing.T) {
	w := newWorld(t, 9, 6)
	first := w.takeOver()
	w.run(100 * time.Millisecond)
	for n := range 8 {
		w.submit(single(fmt.Sprintf("j%d", n), 6))
	}
	w.run(700 * time.Millisecond)
	first.dead = true // frozen
	w.run(2 * time.Second)
	w.takeOver()
	w.run(time.Second)
	first.dead = false // awake, with calls of before still to be answered
	w.settle(60 * time.Second)
	w.check()
}

// TestWorkerMissingFromTheListAtATakeOverIsAsked: its tasks were started again
// beside those that it ran.
func TestWorkerMissingFromTheListAtATakeOverIsAsked(t *testing.T) {
	w := newWorld(t, 13, 6)
	first := w.takeOver()
	w.run(100 * time.Millisecond)
	for n := range 6 {
		w.submit(single(fmt.Sprintf("j%d", n), 6))
	}
	w.run(700 * time.Millisecond)
	first.dead = true
	w.run(2 * time.Second)
	w.unlisted = 0.5
	w.takeOver()
	w.settle(60 * time.Second)
	w.check()
}

// TestWorkersThatLeftDoNotHoldUpATakeOver: a new owner waited for workers that
// had left the list before, as they were still on the roster.
func TestWorkersThatLeftDoNotHoldUpATakeOver(t *testing.T) {
	w := newWorld(t, 14, 6)
	first := w.takeOver()
	w.run(200 * time.Millisecond)
	w.submit(single("before", 44))
	w.settle(20 * time.Second)
	w.machine(5).Down = true
	w.step(first, WorkerUnlisted{ID: "w05"})
	w.run(300 * time.Millisecond)
	first.dead = true
	w.submit(single("j", 4))
	w.gone = "w05"
	o := w.takeOver()
	w.run(500 * time.Millisecond)
	if !o.core.Ready() {
		t.Error("the new owner waits for a worker that has left")
	}
	w.settle(20 * time.Second)
	w.check()
}

// drain makes a worker say that it leaves.
func (w *world) drain(o *testOwner, n int) {
	m := w.machine(n).Worker
	m.Draining, m.LeavesIn = true, 2500*time.Millisecond
	w.machine(n).Worker = m
	w.step(o, WorkerChanged{Worker: m})
}

// TestWorkersThatDrainedAndLeftUnseenDoNotHoldUpATakeOver: an owner was lost as
// workers left. The next two waited 7.5 s each for them with every job of before.
func TestWorkersThatDrainedAndLeftUnseenDoNotHoldUpATakeOver(t *testing.T) {
	w := newWorld(t, 14, 6)
	first := w.takeOver()
	w.run(200 * time.Millisecond)
	w.submit(single("before", 44))
	w.settle(20 * time.Second)
	w.drain(first, 5)
	w.run(300 * time.Millisecond)
	first.dead = true
	w.machine(5).Down = true
	w.submit(single("j", 4))
	w.gone = "w05"
	o := w.takeOver()
	w.run(backWithin + 300*time.Millisecond)
	if !o.core.Ready() {
		t.Error("the new owner waits for a worker that said that it would leave, and left")
	}
	w.settle(20 * time.Second)
	w.check()
}

// TestADrainingWorkerThatIsCutOffHasNotLeft: its entry lapses after three
// heartbeats, while its lease goes on.
func TestADrainingWorkerThatIsCutOffHasNotLeft(t *testing.T) {
	w := newWorld(t, 14, 6)
	w.fleet = fleet.New(func(job.TaskID, int64) (time.Duration, bool) { return 30 * time.Second, false })
	for n := range 6 {
		w.fleet.Add(machine(n))
	}
	o := w.takeOver()
	w.run(200 * time.Millisecond)
	j := single("j", 20)
	j.Steps[0].EstimateMS = 20_000
	w.submit(j)
	w.run(2 * time.Second)
	m := w.machine(0).Worker
	if w.fleet.Running() != 20 {
		t.Fatalf("%d tasks run", w.fleet.Running())
	}
	m.Draining, m.LeavesIn = true, time.Minute
	w.machine(0).Worker = m
	w.step(o, WorkerChanged{Worker: m})
	w.run(time.Second)
	w.cut[m.ID] = true
	w.run(4500 * time.Millisecond)
	w.step(o, WorkerUnlisted{ID: m.ID})
	w.run(8 * time.Second)
	w.check()
}

// TestNewJobsWaitUntilTheWorkersWereAsked: an owner that held its term by its peers'
// word read a job as the store came back, when another had claimed the term; both
// started it, as the new one had not heard the worker yet.
func TestNewJobsWaitUntilTheWorkersWereAsked(t *testing.T) {
	c := New(testSettings(), 2, &job.Policy{}, Instant{Mono: time.Second})
	ev := Loaded{}
	for n := range 3 {
		w := machine(n)
		ev.Workers = append(ev.Workers, w)
		ev.Roster = append(ev.Roster, RosterEntry{ID: w.ID, Addr: w.Addr})
	}
	var asked []Hold
	started := 0
	var step func(ev Event)
	step = func(ev Event) {
		c.now.Mono += 20 * time.Millisecond
		c.proven = c.now.Mono
		for _, a := range c.Step(c.now, ev) {
			switch a := a.(type) {
			case Start:
				started++
			case Hold:
				asked = append(asked, a)
			case Persist:
				step(Committed{Batch: a.Batch})
			}
		}
	}
	step(ev)
	step(Submitted{Job: single("new", 1)})
	for n, h := range slices.Clone(asked) {
		step(Tick{})
		if started > 0 {
			t.Fatalf("started when %d of 3 workers had answered", n)
		}
		answer := Listed{Worker: h.Order.Worker, Issue: h.Issue, Lists: external.Lists{Clock: c.now.Mono, BornMS: 1}}
		if n == 2 {
			answer.Failure = FailureUnclear // a silent worker holds nothing up
		}
		step(answer)
	}
	for range 20 {
		step(Tick{})
	}
	if started != 1 {
		t.Errorf("%d starts once every worker had been asked", started)
	}
}

// TestStartsWaitForAnswers: a new owner ordered everything that it had inherited
// at once, heard no answer in time and lost its term; gangs were started in part.
func TestStartsWaitForAnswers(t *testing.T) {
	c, asked := takenOver(100)
	for _, h := range asked {
		c.Step(c.now, Listed{Worker: h.Order.Worker, Issue: h.Issue, Lists: external.Lists{Clock: c.now.Mono}})
	}
	for _, w := range c.fleet {
		w.fenced, w.rostered, w.Capacity = true, true, job.Resources{CPU: 32_000, MemMB: 64_000, GPU: 8}
	}
	open, most, started := 0, 0, 0
	var answers []Start
	take := func(as []Action) {
		for _, a := range as {
			if s, ok := a.(Start); ok {
				answers, open = append(answers, s), open+1
			}
		}
		most = max(most, open)
	}
	for n := range 50 {
		take(c.Step(c.now, Submitted{Job: single(fmt.Sprintf("j%02d", n), 10)}))
	}
	for started < 500 && c.now.Mono < 20*time.Second {
		c.now.Mono += 10 * time.Millisecond
		c.proven = c.now.Mono
		for range min(len(answers), 10) { // an owner that hears 1,000 answers a second
			s := answers[0]
			answers, open, started = answers[1:], open-1, started+1
			take(c.Step(c.now, Started{Task: s.Order.Task, Run: s.Order.Run, Worker: s.Order.Worker}))
		}
		take(c.Step(c.now, Tick{}))
	}
	if most > 80 {
		t.Errorf("%d starts had no answer at once", most)
	}
	if started < 500 || c.now.Mono > 5*time.Second {
		t.Errorf("%d of 500 were started after %v", started, c.now.Mono)
	}
}

// TestAGangStartedInPartIsStoppedAtOnce: its owner was lost between the starts. The
// members that had come waited for the others until they ended alone, or were taken
// for stalled, and their workers left out for 8 s.
func TestAGangStartedInPartIsStoppedAtOnce(t *testing.T) {
	w := newWorld(t, 17, 4)
	first := w.takeOver()
	w.run(100 * time.Millisecond)
	w.cut["w02"], w.cut["w03"] = true, true
	j := single("j", 4)
	j.Steps[0].Gang, j.Steps[0].GPU = true, 8
	w.submit(j)
	w.run(200 * time.Millisecond)
	if n := w.fleet.Running(); n != 2 {
		t.Fatalf("%d members run", n)
	}
	first.dead = true
	clear(w.cut)
	w.takeOver()
	w.settle(20 * time.Second)
	w.check()
	for _, l := range w.log {
		if strings.Contains(l, "How:alone") || strings.Contains(l, "suspect") {
			t.Error(l)
		}
	}
}

func TestHangingAndFailingWorkersAreLeft(t *testing.T) {
	w := newWorld(t, 10, 8)
	w.machine(0).Mode = fleet.Hanging
	w.machine(1).Mode = fleet.Failing
	w.takeOver()
	w.run(100 * time.Millisecond)
	for n := range 10 {
		w.submit(single(fmt.Sprintf("j%d", n), 4))
	}
	w.settle(90 * time.Second)
	w.check()
	for _, j := range w.jobs {
		if s := w.current().core.Status(j.ID); s != job.StatusComplete {
			t.Errorf("%s is %v", j.ID, s)
		}
	}
}

func TestStalledGangIsMovedSoon(t *testing.T) {
	w := newWorld(t, 16, 6)
	w.fleet = fleet.New(func(job.TaskID, int64) (time.Duration, bool) { return 2 * time.Second, false })
	for n := range 6 {
		w.fleet.Add(machine(n))
	}
	w.machine(0).Mode = fleet.Hanging
	w.takeOver()
	w.run(100 * time.Millisecond)
	j := single("j", 3)
	j.Queue.Stretch, j.Queue.ObjectiveMS = 1.5, 1500
	j.Queue.Priority, j.Steps[0].GPU, j.Steps[0].Gang, j.Steps[0].EstimateMS, j.Steps[0].Checkpoints = 0, 8, true, 2000, false
	w.submit(j)
	began := w.now
	w.settle(60 * time.Second)
	w.check()
	if took := w.now - began; took > j.Objective() {
		t.Errorf("took %v, over its objective of %v", took, j.Objective())
	}
}

func TestRunsOnASlowWorkerAreMoved(t *testing.T) {
	for _, gang := range []bool{false, true} {
		w := newWorld(t, 15, 6)
		w.fleet = fleet.New(func(job.TaskID, int64) (time.Duration, bool) { return 2 * time.Second, false })
		for n := range 6 {
			w.fleet.Add(machine(n))
		}
		for n := range 2 {
			w.machine(n).Pace = 0.1
		}
		w.takeOver()
		w.run(100 * time.Millisecond)
		j := single("j", 4)
		j.Steps[0].GPU, j.Steps[0].Gang, j.Steps[0].Checkpoints = 8, gang, false
		w.submit(j)
		began := w.now
		w.settle(60 * time.Second)
		w.check()
		if took := w.now - began; took > 10*time.Second {
			t.Errorf("gang %v: took %v beside two workers of a tenth of the speed", gang, took)
		}
	}
}

func TestRebornWorkersTasksStartAgain(t *testing.T) {
	w := newWorld(t, 11, 4)
	w.takeOver()
	w.run(100 * time.Millisecond)
	w.submit(single("j", 12))
	w.run(500 * time.Millisecond)
	w.restart(w.machine(0))
	w.settle(30 * time.Second)
	w.check()
}

func TestNothingIsShownBeforeItIsDurable(t *testing.T) {
	w := newWorld(t, 12, 4)
	w.takeOver()
	w.run(100 * time.Millisecond)
	w.submit(single("j", 2))
	w.run(50 * time.Millisecond)
	w.storeDown = true
	w.run(8 * time.Second)
	if s := w.current().core.Status("j"); s != job.Running {
		t.Errorf("job is shown as %v while its progress can't be written", s)
	}
	w.storeDown = false
	w.settle(10 * time.Second)
	w.check()
	if s := w.current().core.Status("j"); s != job.StatusComplete {
		t.Errorf("job is %v", s)
	}
}
