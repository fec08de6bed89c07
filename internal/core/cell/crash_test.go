package cell

import (
	"fmt"
	"testing"
	"time"

	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
	"coltsfootmux/internal/standin/fleet"
)

// newCrashSimulation returns a simulation in which the first task of jobs whose IDs begin
// with "deadly" crashes its workers. Another process runs at a crashed worker's address
// after three seconds.
func newCrashSimulation(t *testing.T, seed uint64, workers int) *simulation {
	sim := newSimulation(t, seed, workers)
	sim.fleet.Deadly = func(id job.TaskID) bool { return id.Index == 0 && len(id.Job) > 6 && id.Job[:6] == "deadly" }
	crashes := 0
	sim.fleet.OnCrash = func(m *fleet.Machine) {
		crashes++
		id := external.WorkerID(fmt.Sprintf("%s.%d", m.ID[:3], crashes))
		sim.schedule(3*time.Second, func() {
			next := sim.fleet.Replace(m, id)
			sim.schedule(500*time.Millisecond, func() {
				sim.step(sim.current(), WorkerUnlisted{ID: m.ID})
				sim.step(sim.current(), WorkerChanged{Worker: next.Worker})
			})
		})
	}
	return sim
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
