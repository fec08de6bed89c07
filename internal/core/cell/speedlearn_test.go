package cell

import (
	"testing"
	"time"

	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
)

// learningCell returns a cell in which five tasks of a step have run on five workers for 3 s.
func learningCell(change func(*job.Step)) *Core {
	s := testSettings()
	s.WorkerSpeedRatio = 1.8
	c := New(s, 1, &job.Policy{}, Instant{Mono: time.Second})
	ev := Loaded{}
	for n := range 5 {
		ev.Workers = append(ev.Workers, testWorker(n))
	}
	c.Step(c.now, ev)
	for _, w := range c.fleet {
		w.knowsTerm, w.onRoster = true, true
	}
	j := oneStepJob("j", 5)
	j.Steps[0].CPU, j.Steps[0].MaxPerWorker, j.Steps[0].EstimateMS = 32000, 1, 6500
	if change != nil {
		change(&j.Steps[0])
	}
	c.termConfirmedAt = c.now.Mono
	c.Step(c.now, Submitted{Job: j})
	c.now.Mono += 2 * minPassInterval
	c.Step(c.now, Tick{})
	for _, w := range c.fleet {
		for _, r := range w.runs {
			c.Step(c.now, StartAnswered{Task: r.task, Run: r.number, Worker: w.ID})
		}
	}
	c.now.Mono += 3 * time.Second
	return c
}

// list delivers a list of a worker's run with the given progress.
func (c *Core) list(n, percent int) {
	w := c.fleet[n]
	var rows []external.ActiveRun
	for _, r := range w.runs {
		rows = append(rows, external.ActiveRun{Task: r.task, Run: r.number, Percent: percent})
	}
	c.Step(c.now, HoldAnswered{Worker: w.ID, Number: 1000 + int64(n), Lists: external.HoldResult{Clock: c.now.Mono, Running: rows}})
}

// Evidence from ended runs alone comes after a fifth of a day's traffic.
func TestSpeedsAreLearnedFromProgress(t *testing.T) {
	c := learningCell(nil)
	for n := range 4 {
		c.list(n, 25)
	}
	c.list(4, 50)
	e := c.speedOf(c.fleet[4]).Estimate(c.now.Mono)
	if !e.Known() || e.Factor() > 0.75 {
		t.Errorf("a run with twice the others' progress shows %+v, factor %.2f", e, e.Factor())
	}
	before := e
	c.list(4, 52)
	if e := c.speedOf(c.fleet[4]).Estimate(c.now.Mono); e != before {
		t.Errorf("the same run's progress counted twice: %+v after %+v", e, before)
	}
}

// Durations that depend on more than the worker and the task must not count.
func TestRunsThatDoNotShowTheirWorkersSpeed(t *testing.T) {
	for name, o := range map[string]struct {
		step func(*job.Step)
		run  func(*run)
	}{
		"a gang":             {step: func(s *job.Step) { s.Gang = true }},
		"a long-running":     {step: func(s *job.Step) { s.LongRunning = true }},
		"far from its data":  {run: func(r *run) { r.unit.group.step.DataRack = "elsewhere" }},
		"resumed":            {run: func(r *run) { r.resumed = true }},
		"paced":              {run: func(r *run) { r.paceSetAt = time.Second }},
		"below a fifth done": {},
	} {
		c := learningCell(o.step)
		for n := range 4 {
			c.list(n, 25)
		}
		r := c.fleet[4].runs[0]
		if o.run != nil {
			o.run(r)
		}
		percent := 50
		if name == "below a fifth done" {
			percent = minSpeedProgress - 1
		}
		c.list(4, percent)
		if e := c.speedOf(c.fleet[4]).Estimate(c.now.Mono); e.Runs != 0 || e.Known() {
			t.Errorf("a run %s gave evidence: %+v", name, e)
		}
	}
}

// A run's predicted time on a slow worker was that on a usual one, and what it took there
// raised the prediction for all.
func TestRunTimesAreScaledByTheWorkersFactor(t *testing.T) {
	c := learningCell(nil)
	r := c.fleet[4].runs[0]
	usual := r.remainingTime()
	r.worker.slowness = 2
	if got := r.remainingTime(); got != 2*usual {
		t.Errorf("%v remain on a worker with the factor 2, want %v", got, 2*usual)
	}
	before := r.unit.group.runTime()
	r.startedAt = c.now.Mono - 2*before
	c.recordRunTime(r)
	if got := r.unit.group.runTime(); (got - before).Abs() > 50*time.Millisecond {
		t.Errorf("a run of twice the time on a worker with the factor 2 changes the prediction from %v to %v", before, got)
	}
}

// Urgent work outside its guarantee gave up an eviction on slow workers for one on fast
// workers that it may not make.
func TestEvictionThatLosesTooMuchIsNotPreferred(t *testing.T) {
	sim := unevenSimulation(t, 1.8, quarterFast)
	sim.policy = &job.Policy{}
	c := openGate(sim)
	for n := range 12 {
		j := lowJob(n)
		j.Steps[0].Count, j.Steps[0].Checkpoints = 32, false
		sim.submit(j)
	}
	sim.run(600 * time.Millisecond)
	for _, w := range c.fleet {
		if w.speedClass() == 0 {
			for _, r := range w.runs {
				r.createdAt -= 2500 * time.Millisecond
			}
		}
	}
	sim.startsOf(urgentGang(0))
	if got := sim.stops[ReasonPreempted]; got == 0 {
		t.Error("nothing was preempted for the gang")
	}
}
