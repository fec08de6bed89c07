package cell

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
	"coltsfootmux/internal/standin/fleet"
)

// newCrashSimulation returns a simulation in which the first task of jobs whose IDs begin
// with "deadly" crashes its workers.
func newCrashSimulation(t *testing.T, seed uint64, workers int) *simulation {
	sim := newSimulation(t, seed, workers)
	sim.fleet.Deadly = func(id job.TaskID) bool { return id.Index == 0 && len(id.Job) > 6 && id.Job[:6] == "deadly" }
	sim.replaceCrashed()
	return sim
}

// replaceCrashed has another process, with another ID, run at a crashed worker's address
// after three seconds.
func (s *simulation) replaceCrashed() {
	crashes := 0
	s.fleet.OnCrash = func(m *fleet.Machine) {
		crashes++
		id := external.WorkerID(fmt.Sprintf("%s.%d", m.ID[:3], crashes))
		s.schedule(3*time.Second, func() {
			next := s.fleet.Replace(m, id)
			s.schedule(500*time.Millisecond, func() {
				s.step(s.current(), WorkerUnlisted{ID: m.ID})
				s.step(s.current(), WorkerChanged{Worker: next.Worker})
			})
		})
	}
}

// A run that ended with its worker counted as no attempt, so that a task that crashes its
// workers was started again without end.
func TestTaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	for seed := range uint64(8) {
		sim := newCrashSimulation(t, seed, 12)
		sim.takeOver()
		sim.run(100 * time.Millisecond)
		for n := range 6 {
			sim.submit(oneStepJob(fmt.Sprintf("j%d", n), 6))
		}
		sim.submit(oneStepJob("deadly-1", 3))
		sim.submit(oneStepJob("deadly-2", 1))
		sim.runUntilDone(60 * time.Second)
		sim.check()
		for _, j := range sim.jobs {
			want := job.Complete
			if j.ID[0] == 'd' {
				want = job.Failed
			}
			if got := sim.progress[j.ID].Outcome; got != want {
				t.Errorf("seed %d: job %s ended as %v, want %v", seed, j.ID, got, want)
			}
		}
		if sim.fleet.Crashes > 6 {
			t.Errorf("seed %d: %d workers crashed under two tasks", seed, sim.fleet.Crashes)
		}
	}
}

// The count of crashes was lost with the owner.
func TestCrashesAreCountedOverChangesOfTheOwner(t *testing.T) {
	for seed := range uint64(8) {
		sim := newCrashSimulation(t, seed, 12)
		sim.takeOver()
		sim.run(100 * time.Millisecond)
		sim.submit(oneStepJob("deadly-1", 2))
		for range 8 {
			sim.run(5 * time.Second)
			sim.current().halted = true
			sim.run(time.Second)
			sim.takeOver()
		}
		sim.runUntilDone(30 * time.Second)
		sim.check()
		if sim.fleet.Crashes > 5 {
			t.Errorf("seed %d: %d workers crashed under one task", seed, sim.fleet.Crashes)
		}
	}
}

// The runs of a crashed worker waited for the lease of a process that did not exist any
// more, although another process answered at its address.
func TestRunsOfACrashedWorkerDoNotWaitForTheirLease(t *testing.T) {
	sim := newCrashSimulation(t, 3, 2)
	sim.takeOver()
	sim.run(100 * time.Millisecond)
	starts := make(map[job.TaskID][]time.Duration)
	sim.onStart = func(o external.StartOrder) { starts[o.Task] = append(starts[o.Task], sim.now) }
	beside := oneStepJob("j", 6)
	sim.submit(beside)
	sim.run(200 * time.Millisecond)
	sim.submit(oneStepJob("deadly-1", 1))
	sim.run(6 * time.Second)
	const downFor = 3 * time.Second
	again := 0
	for task, at := range starts {
		if task.Job != "j" || len(at) < 2 {
			continue
		}
		again++
		if wait := at[1] - at[0]; wait > downFor+1500*time.Millisecond {
			t.Errorf("%v was started again after %v", task, wait)
		}
	}
	if again == 0 {
		t.Error("no run was lost")
	}
}

// A worker that had been vacated for a suspect stayed reserved for it after the suspect had
// been given up.
func TestWorkerVacatedForASuspectIsUsedAgain(t *testing.T) {
	for seed := range uint64(8) {
		sim := newCrashSimulation(t, seed, 6)
		sim.takeOver()
		sim.run(100 * time.Millisecond)
		for n := range 12 {
			sim.submit(oneStepJob(fmt.Sprintf("j%d", n), 24)) // no worker is empty for long
		}
		urgent := oneStepJob("deadly-1", 1)
		urgent.Queue.Priority = 0
		sim.submit(urgent)
		sim.runUntilDone(90 * time.Second)
		if !strings.Contains(strings.Join(sim.reports, "\n"), "vacated for a task") {
			t.Errorf("seed %d: no worker was vacated", seed)
		}
		sim.run(20 * time.Second)
		wide := oneStepJob("wide", 48)
		sim.submit(wide)
		sim.run(150 * time.Millisecond) // no task is done before 200 ms
		if n := sim.fleet.RunningCount(); n < 48 {
			t.Errorf("seed %d: %d of 48 tasks run on workers with room for all", seed, n)
		}
		sim.runUntilDone(30 * time.Second)
		sim.check()
	}
}
