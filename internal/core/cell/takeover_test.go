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

func TestNewOwnerAdoptsWhatRuns(t *testing.T) {
	w := newSimulation(t, 6, 8)
	first := w.takeOver()
	w.run(100 * time.Millisecond)
	for n := range 6 {
		w.submit(oneStepJob(fmt.Sprintf("j%d", n), 5))
	}
	w.run(500 * time.Millisecond)
	first.halted = true
	w.run(2 * time.Second)
	starts := w.fleet.Starts
	w.takeOver()
	w.runUntilDone(30 * time.Second)
	w.check()
	if w.fleet.Starts > starts+1 {
		t.Errorf("%d starts, %d of them before the take-over: running tasks were started again", w.fleet.Starts, starts)
	}
}

func TestSilentWorkersTasksStartElsewhereOnlyAfterItsLease(t *testing.T) {
	w := newSimulation(t, 7, 4)
	w.takeOver()
	w.run(100 * time.Millisecond)
	w.submit(oneStepJob("j", 12))
	w.run(300 * time.Millisecond)
	for n := range 2 {
		w.unreachable[external.WorkerID(fmt.Sprintf("w%02d", n))] = true
	}
	w.runUntilDone(60 * time.Second)
	w.check()
}

func TestTakeOverBesideASilentWorkerWaits(t *testing.T) {
	w := newSimulation(t, 8, 4)
	first := w.takeOver()
	w.run(100 * time.Millisecond)
	w.submit(oneStepJob("j", 12))
	w.run(300 * time.Millisecond)
	first.halted = true
	w.unreachable["w00"] = true
	w.takeOver()
	w.runUntilDone(60 * time.Second)
	w.check()
}

func TestFrozenOwnerThatWakesDoesNoHarm(t *testing.T) {
	w := newSimulation(t, 9, 6)
	first := w.takeOver()
	w.run(100 * time.Millisecond)
	for n := range 8 {
		w.submit(oneStepJob(fmt.Sprintf("j%d", n), 6))
	}
	w.run(700 * time.Millisecond)
	first.halted = true // frozen
	w.run(2 * time.Second)
	w.takeOver()
	w.run(time.Second)
	first.halted = false // awake, with calls of before still to be answered
	w.runUntilDone(60 * time.Second)
	w.check()
}

// TestWorkerMissingFromTheListAtATakeOverIsAsked: its tasks were started again
// beside those that it ran.
func TestWorkerMissingFromTheListAtATakeOverIsAsked(t *testing.T) {
	w := newSimulation(t, 13, 6)
	first := w.takeOver()
	w.run(100 * time.Millisecond)
	for n := range 6 {
		w.submit(oneStepJob(fmt.Sprintf("j%d", n), 6))
	}
	w.run(700 * time.Millisecond)
	first.halted = true
	w.run(2 * time.Second)
	w.unlistedRate = 0.5
	w.takeOver()
	w.runUntilDone(60 * time.Second)
	w.check()
}

// TestWorkersThatLeftDoNotHoldUpATakeOver: a new owner waited for workers that
// had left the list before, as they were still on the roster.
func TestWorkersThatLeftDoNotHoldUpATakeOver(t *testing.T) {
	w := newSimulation(t, 14, 6)
	first := w.takeOver()
	w.run(200 * time.Millisecond)
	w.submit(oneStepJob("before", 44))
	w.runUntilDone(20 * time.Second)
	w.machine(5).Down = true
	w.step(first, WorkerUnlisted{ID: "w05"})
	w.run(300 * time.Millisecond)
	first.halted = true
	w.submit(oneStepJob("j", 4))
	w.neverListed = "w05"
	o := w.takeOver()
	w.run(500 * time.Millisecond)
	if !o.core.Ready() {
		t.Error("the new owner waits for a worker that has left")
	}
	w.runUntilDone(20 * time.Second)
	w.check()
}

// drain makes a worker say that it leaves.
func (w *simulation) drain(o *testOwner, n int) {
	m := w.machine(n).Worker
	m.Draining, m.DrainTimeLeft = true, 2500*time.Millisecond
	w.machine(n).Worker = m
	w.step(o, WorkerChanged{Worker: m})
}

// TestWorkersThatDrainedAndLeftUnseenDoNotHoldUpATakeOver: an owner was lost as
// workers left. The next two waited 7.5 s each for them with every job of before.
func TestWorkersThatDrainedAndLeftUnseenDoNotHoldUpATakeOver(t *testing.T) {
	w := newSimulation(t, 14, 6)
	first := w.takeOver()
	w.run(200 * time.Millisecond)
	w.submit(oneStepJob("before", 44))
	w.runUntilDone(20 * time.Second)
	w.drain(first, 5)
	w.run(300 * time.Millisecond)
	first.halted = true
	w.machine(5).Down = true
	w.submit(oneStepJob("j", 4))
	w.neverListed = "w05"
	o := w.takeOver()
	w.run(relistTimeout + 300*time.Millisecond)
	if !o.core.Ready() {
		t.Error("the new owner waits for a worker that said that it would leave, and left")
	}
	w.runUntilDone(20 * time.Second)
	w.check()
}

// TestADrainingWorkerThatIsCutOffHasNotLeft: its entry lapses after three
// heartbeats, while its lease goes on.
func TestADrainingWorkerThatIsCutOffHasNotLeft(t *testing.T) {
	w := newSimulation(t, 14, 6)
	w.fleet = fleet.New(func(job.TaskID, int64) (time.Duration, bool) { return 30 * time.Second, false })
	for n := range 6 {
		w.fleet.Add(testWorker(n))
	}
	o := w.takeOver()
	w.run(200 * time.Millisecond)
	j := oneStepJob("j", 20)
	j.Steps[0].EstimateMS = 20_000
	w.submit(j)
	w.run(2 * time.Second)
	m := w.machine(0).Worker
	if w.fleet.Running() != 20 {
		t.Fatalf("%d tasks run", w.fleet.Running())
	}
	m.Draining, m.DrainTimeLeft = true, time.Minute
	w.machine(0).Worker = m
	w.step(o, WorkerChanged{Worker: m})
	w.run(time.Second)
	w.unreachable[m.ID] = true
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
		w := testWorker(n)
		ev.Workers = append(ev.Workers, w)
		ev.Roster = append(ev.Roster, RosterEntry{ID: w.ID, Addr: w.Addr})
	}
	var asked []Hold
	started := 0
	var step func(ev Event)
	step = func(ev Event) {
		c.now.Mono += 20 * time.Millisecond
		c.termConfirmedAt = c.now.Mono
		for _, a := range c.Step(c.now, ev) {
			switch a := a.(type) {
			case Start:
				if a.Resends == 0 {
					started++
				}
			case Hold:
				asked = append(asked, a)
			case Persist:
				step(Persisted{Batch: a.Batch})
			}
		}
	}
	step(ev)
	step(Submitted{Job: oneStepJob("new", 1)})
	early := c.now.Mono - c.startedAt
	for n, h := range slices.Clone(asked) {
		step(Tick{})
		if started > 0 {
			t.Fatalf("started when %d of 3 workers had answered", n)
		}
		answer := HoldAnswered{Worker: h.Order.Worker, Number: h.Number, Lists: external.HoldResult{Clock: c.now.Mono, StartedMS: 1}}
		if n == 2 {
			answer.Failure = FailureOutcomeUnknown // a silent worker holds nothing up
		}
		step(answer)
	}
	for range 20 {
		step(Tick{})
	}
	if started != 1 || early >= newTermNoticeTime {
		t.Errorf("%d starts once every worker had been asked, of a job read after %v", started, early)
	}
}

// TestLaterJobsDoNotWaitForAllWorkers: with 3,000 workers the first round of questions
// took so long that 300 machines served 0.70 of what 30 do, 0.93 before.
func TestLaterJobsDoNotWaitForAllWorkers(t *testing.T) {
	c := New(testSettings(), 2, &job.Policy{}, Instant{Mono: time.Second})
	ev := Loaded{}
	for n := range 2 {
		w := testWorker(n)
		ev.Workers = append(ev.Workers, w)
		ev.Roster = append(ev.Roster, RosterEntry{ID: w.ID, Addr: w.Addr})
	}
	c.Step(c.now, ev)
	c.fleet[0].knowsTerm, c.fleet[0].onRoster = true, true
	c.now.Mono += newTermNoticeTime
	c.termConfirmedAt, c.placementDue = c.now.Mono, true
	started := false
	for _, a := range c.Step(c.now, Submitted{Job: oneStepJob("later", 1)}) {
		_, ok := a.(Start)
		started = started || ok
	}
	if !started {
		t.Error("a job waits for a worker that was not asked yet, long after the take-over")
	}
}

// TestStartsWaitForAnswers: a new owner ordered everything that it had inherited
// at once, heard no answer in time and lost its term; gangs were started in part.
func TestStartsWaitForAnswers(t *testing.T) {
	c, asked := afterTakeover(100)
	for _, h := range asked {
		c.Step(c.now, HoldAnswered{Worker: h.Order.Worker, Number: h.Number, Lists: external.HoldResult{Clock: c.now.Mono}})
	}
	for _, w := range c.fleet {
		w.knowsTerm, w.onRoster, w.Capacity = true, true, job.Resources{CPU: 32_000, MemMB: 64_000, GPU: 8}
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
		take(c.Step(c.now, Submitted{Job: oneStepJob(fmt.Sprintf("j%02d", n), 10)}))
	}
	for started < 500 && c.now.Mono < 20*time.Second {
		c.now.Mono += 10 * time.Millisecond
		c.termConfirmedAt = c.now.Mono
		for range min(len(answers), 10) { // an owner that hears 1,000 answers a second
			s := answers[0]
			answers, open, started = answers[1:], open-1, started+1
			take(c.Step(c.now, StartAnswered{Task: s.Order.Task, Run: s.Order.Run, Worker: s.Order.Worker}))
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
	w := newSimulation(t, 17, 4)
	first := w.takeOver()
	w.run(100 * time.Millisecond)
	w.unreachable["w02"], w.unreachable["w03"] = true, true
	j := oneStepJob("j", 4)
	j.Steps[0].Gang, j.Steps[0].GPU = true, 8
	w.submit(j)
	w.run(200 * time.Millisecond)
	if n := w.fleet.Running(); n != 2 {
		t.Fatalf("%d members run", n)
	}
	first.halted = true
	clear(w.unreachable)
	w.takeOver()
	w.runUntilDone(20 * time.Second)
	w.check()
	for _, l := range w.reports {
		if strings.Contains(l, "EndReason:alone") || strings.Contains(l, "suspect") {
			t.Error(l)
		}
	}
}
