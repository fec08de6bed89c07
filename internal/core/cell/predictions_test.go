package cell

import (
	"fmt"
	"testing"
	"time"

	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
	"coltsfootmux/internal/standin/fleet"
)

// estimatesOffSimulation returns a simulation in which the tasks of all jobs take 2 s but
// for those of job "blocker", which take 6 s.
func estimatesOffSimulation(t *testing.T) *simulation {
	sim := newSimulation(t, 41, 4)
	sim.fleet = fleet.New(func(task job.TaskID, _ int64) (time.Duration, bool) {
		if task.Job == "blocker" {
			return 6 * time.Second, false
		}
		return 2 * time.Second, false
	})
	for n := range 4 {
		sim.fleet.Add(testWorker(n))
	}
	sim.takeOver()
	sim.run(100 * time.Millisecond)
	return sim
}

func jobWithEstimate(id string, tasks int, estimate time.Duration) job.Job {
	j := oneStepJob(id, tasks)
	j.Steps[0].EstimateMS = int(estimate.Milliseconds())
	return j
}

// firstStarts records when each job is first started.
func (s *simulation) firstStarts() map[job.ID]time.Duration {
	out := make(map[job.ID]time.Duration)
	s.onStart = func(o external.StartOrder) {
		if _, ok := out[o.Task.Job]; !ok {
			out[o.Task.Job] = s.now
		}
	}
	return out
}

// A job whose caller estimated a twentieth of its run time counted as too late to be of
// use after three times an objective that it could never meet, and waited behind all
// work that came later.
func TestUnderestimatedJobIsNotGivenUp(t *testing.T) {
	sim := estimatesOffSimulation(t)
	for n, estimate := range []time.Duration{200 * time.Millisecond, 20 * time.Second, 4 * time.Second, 500 * time.Millisecond} {
		sim.submit(jobWithEstimate(fmt.Sprintf("earlier-%d", n), 8, estimate))
	}
	sim.runUntilDone(20 * time.Second)
	blocker := jobWithEstimate("blocker", 32, 2*time.Second)
	blocker.Queue.Priority, blocker.Queue.Name = 0, "urgent"
	sim.submit(blocker)
	sim.run(200 * time.Millisecond)
	started := sim.firstStarts()
	sim.submit(jobWithEstimate("short", 32, 100*time.Millisecond))
	sim.run(500 * time.Millisecond)
	for n := range 3 {
		sim.submit(jobWithEstimate(fmt.Sprintf("later-%d", n), 32, 2*time.Second))
	}
	sim.runUntilDone(60 * time.Second)
	sim.check()
	for id, at := range started {
		if id != "short" && id != "blocker" && at < started["short"] {
			t.Errorf("%s was started at %v, the job that came before it at %v", id, at, started["short"])
		}
	}
}

// With estimates that fit, work of which no completion is of use any more still comes
// last.
func TestStaleWorkWithGoodEstimatesComesLast(t *testing.T) {
	sim := estimatesOffSimulation(t)
	for n := range 4 {
		sim.submit(jobWithEstimate(fmt.Sprintf("earlier-%d", n), 16, 2*time.Second))
	}
	sim.runUntilDone(20 * time.Second)
	late := jobWithEstimate("late", 32, 2*time.Second)
	late.Queue.Stretch, late.Queue.ObjectiveMS = 0.1, 0
	blocker := jobWithEstimate("blocker", 32, 6*time.Second)
	blocker.Queue.Priority, blocker.Queue.Name = 0, "urgent"
	sim.submit(blocker)
	sim.run(200 * time.Millisecond)
	started := sim.firstStarts()
	sim.submit(late)
	sim.run(500 * time.Millisecond)
	sim.submit(jobWithEstimate("fresh", 32, 2*time.Second))
	sim.runUntilDone(60 * time.Second)
	sim.check()
	if started["late"] < started["fresh"] {
		t.Error("work that is too late was started before work that is not")
	}
}
