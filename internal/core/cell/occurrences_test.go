package cell

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"coltsfootmux/internal/core/budget"
	"coltsfootmux/internal/job"
)

// loadedCell returns a cell without workers that has read jobs from the store.
func loadedCell(settings Settings, jobs ...job.Job) *Core {
	c := New(settings, 1, &job.Policy{}, Instant{Mono: time.Second, UnixMS: 1000})
	c.Step(c.now, Loaded{Jobs: jobs})
	return c
}

// largeJob has 200 steps of 100 tasks.
func largeJob(id string) job.Job {
	j := oneStepJob(id, 100)
	for range 199 {
		j.Steps = append(j.Steps, job.Step{Count: 100, CPU: 100, EstimateMS: 9000})
	}
	return j
}

// Jobs that were accepted and have more tasks than any machine can hold ended each owner of
// the cell in turn.
func TestOwnerOpensNoMoreTasksThanItHasMemoryFor(t *testing.T) {
	settings := testSettings()
	settings.Memory = 24 << 20
	var jobs []job.Job
	for n := range 50 {
		jobs = append(jobs, largeJob(fmt.Sprintf("large-%02d", n)))
	}
	small := oneStepJob("small", 10)
	c := New(settings, 1, &job.Policy{}, Instant{Mono: time.Second, UnixMS: 1000})
	reported, alarms := 0, 0
	for _, a := range c.Step(c.now, Loaded{Jobs: append(jobs, small)}) {
		switch a := a.(type) {
		case JobsDeferred:
			reported = a.Jobs
		case Alarm:
			alarms++
		}
	}
	if alarms != 1 || reported == 0 || reported != c.Load().Deferred {
		t.Errorf("%d alarms, %d jobs are reported as put off", alarms, reported)
	}
	if got, limit := c.openUnits*budget.UnitBytes, 30<<20; got > limit || got < limit/2 {
		t.Errorf("open tasks take %d bytes, want at most %d, and not much less", got, limit)
	}
	if c.jobs["large-00"].openUnits == 0 || c.jobs["small"].openUnits == 0 {
		t.Error("neither the first job nor a small one has to wait for memory")
	}
	if l := c.Load(); l.Deferred == 0 || l.Deferred >= 50 {
		t.Errorf("%d jobs are put off", l.Deferred)
	}
	if s := c.Status("large-49"); s != job.Queued {
		t.Errorf("a job that is put off is shown as %v", s)
	}
	others := 50*budget.CostOf(&jobs[0]).Record + budget.CostOf(&small).Total()
	if got, want := c.Used(), 18<<20+others; got != want || got > 23<<20 {
		t.Errorf("%d bytes are in use, want %d, which leaves room for ordinary jobs", got, want)
	}
	for _, j := range c.Overview().Jobs {
		if j.ID == "large-49" && j.WaitReason != "the open tasks of all jobs take the memory of the cell" {
			t.Errorf("wait reason %q", j.WaitReason)
		}
	}
	c.Step(c.now, CancelRequested{ID: "large-00"})
	c.Step(c.now, CancelRequested{ID: "large-01"})
	if n := c.Load().Deferred; n >= 49 || c.jobs["large-00"].occurrences != nil {
		t.Errorf("%d jobs are put off after two have ended", n)
	}
}

// A job that was due many times at once took all memory.
func TestOccurrencesDueAtOnceAreOpenedFewAtATime(t *testing.T) {
	j := oneStepJob("j", 100)
	j.Occurrences, j.FirstDueMS, j.IntervalMS = 20000, 1, 0
	c := loadedCell(testSettings(), j)
	e := c.jobs["j"]
	if e.openUnits != budget.MaxOpenUnits {
		t.Errorf("%d tasks are open, want %d", e.openUnits, budget.MaxOpenUnits)
	}
	for _, u := range e.occurrences[0].groups[0].units {
		c.finishUnit(u)
	}
	c.Step(c.now, Tick{})
	if e.openUnits != budget.MaxOpenUnits || e.nextOccurrence != budget.MaxOpenUnits/100+1 || e.occurrences[0].index != 1 {
		t.Errorf("%d tasks are open, the next occurrence is %d", e.openUnits, e.nextOccurrence)
	}
}

// The tasks of an occurrence that is put off may have run under an earlier owner.
func TestOccurrenceWhoseTasksHaveRunIsOpened(t *testing.T) {
	j := oneStepJob("j", 15000)
	j.Occurrences, j.FirstDueMS, j.IntervalMS = 5, 1, 0
	c := loadedCell(testSettings(), j)
	u := c.unitOf(job.TaskID{Job: "j", Occurrence: 3, Index: 7})
	if u == nil || u.group.occ.index != 3 || c.unitOf(job.TaskID{Job: "j", Occurrence: 3, Index: 7}) != u {
		t.Fatal("the occurrence has not been opened once")
	}
	if c.unitOf(job.TaskID{Job: "j", Occurrence: 5}) != nil {
		t.Error("the job has no such occurrence")
	}
	for n := range 5 {
		for _, o := range c.jobs["j"].occurrences {
			for _, u := range o.groups[0].units {
				c.finishUnit(u)
			}
		}
		if c.Step(c.now, Tick{}); n < 3 && c.jobs["j"].outcome != job.Open {
			t.Fatal("the job has ended before all occurrences")
		}
	}
	if e := c.jobs["j"]; e.outcome != job.Complete || e.doneOccurrences.Count() != 5 || c.openUnits != 0 {
		t.Errorf("outcome %v after %d occurrences, %d tasks are open", e.outcome, e.doneOccurrences.Count(), c.openUnits)
	}
}

// TestInvariantsHoldWithLittleMemory runs random scenarios in which most tasks are put off.
func TestInvariantsHoldWithLittleMemory(t *testing.T) {
	for seed := range uint64(randomScenarios) {
		o := scenario{
			recurring: seed%4 != 0, crashes: seed%2 == 0, cuts: seed%3 == 0,
			prepare: func(s *simulation) { s.settings.Memory = 12 * budget.UnitBytes },
		}
		if seed%5 == 0 {
			o.unreadRate = 0.4
		}
		if err := runRandomScenario(t, 9000+seed, o); err != "" {
			t.Fatal(err)
		}
	}
}

// The cost of jobs must not be less than what they take.
func TestCostCoversMemory(t *testing.T) {
	recurring := oneStepJob("r", 300)
	recurring.Occurrences, recurring.FirstDueMS, recurring.IntervalMS = 8, 1, 1
	for name, c := range map[string]struct {
		job job.Job
		n   int
	}{
		"jobs of one task":         {oneStepJob("o", 1), 5000},
		"jobs of 230 tasks":        {oneStepJob("w", 230), 300},
		"jobs of 200 steps":        {largeJob("l"), 10},
		"jobs of eight times":      {recurring, 50},
		"gangs":                    {gangJob(), 5000},
		"jobs of one task, 20,000": {oneStepJob("m", 20000), 10},
	} {
		before := heapBytes()
		var jobs []job.Job
		for n := range c.n {
			j := c.job
			j.ID = job.ID(fmt.Sprintf("%s-%05d", j.ID, n))
			jobs = append(jobs, j)
		}
		cell := loadedCell(testSettings(), jobs...)
		took := heapBytes() - before
		t.Logf("%s: %d bytes each, cost %d", name, took/int64(c.n), cell.Used()/int64(c.n))
		if cell.Used() < took {
			t.Errorf("%s take %d bytes, their cost is %d", name, took, cell.Used())
		}
		runtime.KeepAlive(cell)
	}
}

func gangJob() job.Job {
	j := oneStepJob("g", 40)
	j.Steps[0].Gang = true
	return j
}

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
