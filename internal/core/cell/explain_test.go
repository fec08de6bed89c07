package cell

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"coltsfootmux/internal/job"
	"coltsfootmux/internal/overview"
	"coltsfootmux/internal/testcopy"
)

// explain returns the explanation of a job as the owner would give it now.
func explain(t *testing.T, c *Core, now Instant, j job.Job) overview.Explanation {
	t.Helper()
	x, err := c.Explainer()
	if err != nil {
		t.Fatal(err)
	}
	j.ID = "explained"
	return x.Explain(now, &j)
}

// An explanation that changed the owner's state would change decisions. The scenarios
// are run with and without explanations; all actions must be the same.
func TestExplanationsChangeNothing(t *testing.T) {
	for seed := range uint64(copyScenarios) {
		var logs [2][]string
		for asked := range logs {
			sc, n := copyScenario(seed), 0
			sc.stepCore = func(o *testOwner, now Instant, ev Event) []Action {
				if n++; asked == 1 && n%50 == 0 && o.core.missing == nil {
					j := oneStepJob("", 1+n%7)
					j.Queue.Priority, j.Steps[0].Gang, j.Steps[0].GPU = n%3, n%4 == 0, 1+n%8
					j.SubmittedMS = now.UnixMS
					explain(t, o.core, now, j)
				}
				out := o.core.Step(now, ev)
				for _, a := range out {
					logs[asked] = append(logs[asked], fmt.Sprintf("%v %+v", now.Mono, a))
				}
				return out
			}
			if err := runRandomScenario(t, seed, sc); err != "" {
				t.Fatal(err)
			}
		}
		if !slices.Equal(logs[0], logs[1]) {
			t.Fatalf("seed %d: actions differ after explanations", seed)
		}
	}
}

// ordered is what the owner orders for a job.
type ordered struct {
	starts map[job.TaskID]string
	stops  map[job.TaskID]string
	plans  map[job.TaskID]string
}

// orderedFor returns what a step has ordered for a job.
func orderedFor(c *Core, id job.ID, actions []Action) ordered {
	out := ordered{starts: make(map[job.TaskID]string), stops: make(map[job.TaskID]string), plans: make(map[job.TaskID]string)}
	for _, a := range actions {
		switch a := a.(type) {
		case Start:
			if a.Order.Task.Job == id {
				out.starts[a.Order.Task] = string(a.Order.Worker)
			}
		case Stop:
			if a.Reason == ReasonPreempted {
				out.stops[a.Order.Task] = string(a.Order.Worker)
			}
		}
	}
	for _, u := range c.jobs[id].allUnits() {
		if u.plan != nil {
			for member, w := range u.plan.on {
				out.plans[u.taskID(member)] = string(w.ID)
			}
		}
	}
	return out
}

// explainedFor returns what an explanation says that will be ordered for a job.
func explainedFor(id job.ID, ex overview.Explanation) ordered {
	out := ordered{starts: make(map[job.TaskID]string), stops: make(map[job.TaskID]string), plans: make(map[job.TaskID]string)}
	for _, s := range ex.Steps {
		for _, p := range s.Placements {
			task := job.TaskID{Job: id, Step: s.Step, Index: p.Task}
			if p.State == overview.PlacementStarting {
				out.starts[task] = p.Worker
			} else {
				out.plans[task] = p.Worker
			}
		}
		for _, p := range s.Stops {
			out.stops[job.TaskID{Job: job.ID(p.Job), Step: p.Step, Index: p.Task}] = p.Worker
		}
	}
	return out
}

// An explanation is of use only if the job goes where it says. In the scenarios each job
// is explained at the moment at which it is then submitted.
func TestSubmittedJobGoesWhereTheExplanationSaid(t *testing.T) {
	starts, plans, stops := 0, 0, 0
	for seed := range uint64(4 * copyScenarios) {
		sc := copyScenario(seed)
		sc.stepCore = func(o *testOwner, now Instant, ev Event) []Action {
			c := o.core
			sub, ok := ev.(Submitted)
			if !ok || c.missing != nil || c.jobs[sub.Job.ID] != nil || c.cancels[sub.Job.ID] || now.Mono < c.nextPlacement {
				return c.Step(now, ev)
			}
			want := explainedFor(sub.Job.ID, explain(t, c, now, sub.Job))
			out := c.Step(now, ev)
			got := orderedFor(c, sub.Job.ID, out)
			// The step may also preempt for other units.
			for task := range got.stops {
				if want.stops[task] == "" {
					delete(got.stops, task)
				}
			}
			if !reflect.DeepEqual(got, want) {
				t.Errorf("seed %d, %v: job %s gives %v, explained as %v", seed, now.Mono, sub.Job.ID, got, want)
			}
			starts, plans, stops = starts+len(want.starts), plans+len(want.plans), stops+len(want.stops)
			return out
		}
		if err := runRandomScenario(t, seed, sc); err != "" {
			t.Fatal(err)
		}
		if t.Failed() {
			return
		}
	}
	t.Logf("explained: %d starts, %d plans, %d stops", starts, plans, stops)
	if starts < 500 || plans < 10 || stops < 10 {
		t.Errorf("the scenarios explain only %d starts, %d plans and %d stops", starts, plans, stops)
	}
}

// settledSimulation returns a simulation of eight workers on two racks, ready for work.
func settledSimulation(t *testing.T) *simulation {
	s := newSimulation(t, 1, 8)
	s.takeOver()
	s.run(2 * time.Second)
	return s
}

// explainNow explains a job that is submitted now.
func (s *simulation) explainNow(j job.Job) overview.Explanation {
	s.t.Helper()
	j.SubmittedMS = s.now.Milliseconds()
	return explain(s.t, s.current().core, s.instant(), j)
}

func TestExplanationNamesTheDecidingCriterion(t *testing.T) {
	s := settledSimulation(t)
	j := oneStepJob("", 1)
	p := s.explainNow(j).Steps[0].Placements[0]
	if p.Worker != "w00" || p.DecidedBy != criterionOrder || p.Choice != 8 || p.FreeGPU != 8 || p.FreeCPU != 32000 {
		t.Errorf("equal workers: %+v", p)
	}
	j.Steps[0].DataRack = "r1"
	if p = s.explainNow(j).Steps[0].Placements[0]; p.Worker != "w04" || p.Remote || p.Choice != 4 {
		t.Errorf("with data on r1: %+v", p)
	}
	s.submit(oneStepJob("busy", 1))
	s.run(100 * time.Millisecond)
	j.Steps[0].DataRack = ""
	if p = s.explainNow(j).Steps[0].Placements[0]; p.Worker != "w00" || p.DecidedBy != criterionFreeGPU || p.FreeGPU != 7 {
		t.Errorf("with one worker in use: %+v", p)
	}
}

// A criterion that is added to score and not named would be shown as the order of workers.
func TestEveryCriterionIsNamed(t *testing.T) {
	for i := range reflect.TypeFor[score]().NumField() {
		var a, b score
		f := testcopy.Writable(reflect.ValueOf(&b).Elem().Field(i))
		(&testcopy.Filler{}).Fill(f)
		if got := a.criterionAgainst(b); got == criterionOrder {
			t.Errorf("score.%s is not named by criterionAgainst", reflect.TypeFor[score]().Field(i).Name)
		}
	}
}

func TestExplanationOfWaitingWork(t *testing.T) {
	s := settledSimulation(t)
	full := oneStepJob("full", 8)
	full.Steps[0].GPU, full.Steps[0].EstimateMS = 8, 60000
	s.submit(full)
	s.run(100 * time.Millisecond)

	j := oneStepJob("", 2)
	j.Queue.Priority = 2
	j.Steps = append(j.Steps, job.Step{Count: 3, CPU: 1000, MemMB: 10, EstimateMS: 100, After: []int{0}})
	ex := s.explainNow(j)
	if w := ex.Steps[0]; w.WaitReason != "no room" || w.Unplaced != 2 || w.Rank != 1 || *w.Candidates != (overview.Candidates{Listed: 8, Usable: 8, Allowed: 8, LargeEnough: 8}) {
		t.Errorf("in a full pool: %+v", w)
	}
	if w := ex.Steps[1]; w.WaitReason != "earlier steps have not ended" || w.Unplaced != 3 || w.Rank != 0 {
		t.Errorf("second step: %+v", w)
	}
	j.Steps[0].GPU = 9
	if w := s.explainNow(j).Steps[0]; w.WaitReason != "no allowed worker is large enough" || w.Candidates.Allowed != 8 {
		t.Errorf("too large: %+v", w)
	}
	j.Steps[0].Label = "other"
	if w := s.explainNow(j).Steps[0]; w.WaitReason != "no usable worker may run the task" {
		t.Errorf("other label: %+v", w)
	}
	j.Queue.Pool = "none"
	if w := s.explainNow(j).Steps[0]; w.WaitReason != "the pool has no workers" {
		t.Errorf("other pool: %+v", w)
	}
	j.Occurrences, j.FirstDueMS = 2, s.now.Milliseconds()+60000
	if w := s.explainNow(j).Steps[0]; w.WaitReason != "not due yet" || w.Unplaced != 2 {
		t.Errorf("not due: %+v", w)
	}
}

func TestExplanationOfUrgentWork(t *testing.T) {
	s := settledSimulation(t)
	full := oneStepJob("full", 8)
	full.Steps[0].GPU, full.Steps[0].EstimateMS = 8, 60000
	s.submit(full)
	s.run(500 * time.Millisecond)

	j := oneStepJob("", 2)
	j.Queue.Priority, j.Steps[0].Gang, j.Steps[0].GPU = 0, true, 8
	ex := s.explainNow(j)
	w := ex.Steps[0]
	if !ex.Entitled || w.Planned != 2 || len(w.Stops) != 2 || w.Stops[0].Job != "full" || len(w.Placements) != 2 || w.Placements[0].State != overview.PlacementPlanned {
		t.Errorf("within the guarantee: %+v", ex)
	}
	if want := int64(2500); ex.ObjectiveMS == 0 || w.PredictedMS <= 0 || w.PredictedMS > 10*want {
		t.Errorf("objective %d ms, predicted run time %d ms", ex.ObjectiveMS, w.PredictedMS)
	}
	j.Account = "other"
	if ex = s.explainNow(j); ex.Entitled {
		t.Errorf("without a guarantee: %+v", ex)
	}
}

// Long lists would make the response as large as the job.
func TestExplanationIsBounded(t *testing.T) {
	s := settledSimulation(t)
	j := oneStepJob("", 400)
	j.Steps[0].GPU, j.Steps[0].CPU, j.Steps[0].MemMB, j.Steps[0].Gang = 0, 10, 10, true
	if w := s.explainNow(j).Steps[0]; len(w.Placements) != maxExplained || w.MorePlacements != 200 || w.Starting != 400 {
		t.Errorf("%d placements, %d more, %d starting", len(w.Placements), w.MorePlacements, w.Starting)
	}
}

// A job with many overdue occurrences must not cost the memory of all of them.
func TestOnlyTheFirstOccurrenceIsExplained(t *testing.T) {
	s := settledSimulation(t)
	j := oneStepJob("", 2)
	j.Occurrences, j.FirstDueMS, j.IntervalMS = 100000, 1, 0
	x, err := s.current().core.Explainer()
	if err != nil {
		t.Fatal(err)
	}
	if w := x.Explain(s.instant(), &j).Steps[0]; w.Starting != 2 || len(x.core.jobs[j.ID].occurrences) != 1 || j.Occurrences != 100000 {
		t.Errorf("%+v, %d occurrences", w, len(x.core.jobs[j.ID].occurrences))
	}
}

func TestNoExplanationWhileJobsAreUnread(t *testing.T) {
	c := New(testSettings(), 2, &job.Policy{}, Instant{Mono: time.Second})
	c.Step(c.now, Loaded{Incomplete: true})
	if _, err := c.Explainer(); !errors.Is(err, ErrUnreadJobs) {
		t.Errorf("error %v", err)
	}
	c.Step(c.now, JobsLoaded{Complete: true})
	if _, err := c.Explainer(); err != nil {
		t.Error(err)
	}
}
