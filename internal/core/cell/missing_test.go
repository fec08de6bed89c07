package cell

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"coltsfootmux/internal/job"
)

// withholdJobs takes some jobs and all cancellations of them out of what a new owner
// reads, and delivers them in two parts within some seconds.
func (s *simulation) withholdJobs(o *testOwner, ev *Loaded) {
	ev.Incomplete = true
	parts := []JobsLoaded{{}, {Complete: true}}
	withheld := make(map[job.ID]*JobsLoaded)
	ev.Jobs = slices.DeleteFunc(ev.Jobs, func(j job.Job) bool {
		submittedNow := s.now.Milliseconds()-j.SubmittedMS <= 10 // its Submitted is still to come
		if submittedNow || s.rng.Float64() >= s.unreadRate {
			return false
		}
		part := &parts[s.rng.IntN(len(parts))]
		part.Jobs, withheld[j.ID] = append(part.Jobs, j), part
		return true
	})
	ev.Cancels = slices.DeleteFunc(ev.Cancels, func(id job.ID) bool {
		part := withheld[id]
		if part != nil {
			part.Cancels = append(part.Cancels, id)
		}
		return part != nil
	})
	delay := time.Duration(0)
	for _, p := range parts {
		delay += time.Duration(s.rng.IntN(3000)) * time.Millisecond
		s.schedule(delay, func() { s.step(o, p) })
	}
}

// TestInvariantsHoldWhenSubmissionsAreReadLate guards against stopping, repeating or
// forgetting the tasks of jobs whose submissions a new owner reads some seconds after
// it has taken over.
func TestInvariantsHoldWhenSubmissionsAreReadLate(t *testing.T) {
	for seed := range uint64(randomScenarios) {
		if err := runRandomScenario(t, seed, scenario{unreadRate: 0.4}); err != "" {
			t.Fatal(err)
		}
	}
}

// A new owner took the runs of jobs whose submissions it had not read for runs of
// unknown tasks, and stopped them.
func TestRunsOfJobsReadLateContinue(t *testing.T) {
	sim := newSimulation(t, 21, 4)
	first := sim.takeOver()
	sim.run(100 * time.Millisecond)
	for n := range 4 {
		sim.submit(oneStepJob(fmt.Sprintf("j%d", n), 5))
	}
	sim.run(400 * time.Millisecond)
	starts := sim.fleet.Starts
	first.halted = true
	sim.unreadRate = 1
	sim.takeOver()
	sim.runUntilDone(30 * time.Second)
	sim.check()
	if sim.fleet.Starts != starts || len(sim.stops) > 0 {
		t.Errorf("%d starts, %d of them before the takeover; stops: %v", sim.fleet.Starts, starts, sim.stops)
	}
}

// A caller whose submission was not answered repeats it, and the repeat may be written to
// another topic than the first one, which the new owner can't read.
func TestRepeatedSubmissionOfAnUnreadJobRunsOnce(t *testing.T) {
	sim := newSimulation(t, 22, 4)
	first := sim.takeOver()
	sim.run(100 * time.Millisecond)
	j := oneStepJob("j", 6)
	sim.submit(j)
	sim.run(400 * time.Millisecond)
	starts := sim.fleet.Starts
	first.halted = true
	sim.unreadRate = 1
	o := sim.takeOver()
	sim.step(o, Submitted{Job: j})
	sim.runUntilDone(30 * time.Second)
	sim.check()
	if sim.fleet.Starts != starts {
		t.Errorf("%d starts, %d of them before the takeover", sim.fleet.Starts, starts)
	}
}

// Guards against a second run of a task whose start may have reached the new incarnation of
// a worker that has restarted: the worker then fails to answer, and its lease counted as
// expired at once.
func TestRunOfANewIncarnationKeepsItsLease(t *testing.T) {
	if err := runRandomScenario(t, 1593, scenario{unreadRate: 0.4, drains: true}); err != "" {
		t.Error(err)
	}
}
