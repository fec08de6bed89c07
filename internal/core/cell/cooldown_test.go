package cell

import (
	"fmt"
	"testing"
	"time"

	"coltsfootmux/internal/job"
)

// TestCooldownLimitsPreemptions guards against preempting the same tasks again and
// again: in a full pool, less urgent tasks took the room of each urgent task that
// ended, and were preempted by the next one.
func TestCooldownLimitsPreemptions(t *testing.T) {
	sim := newSimulation(t, 31, 4)
	sim.takeOver()
	sim.run(100 * time.Millisecond)
	filler := oneStepJob("filler", 60)
	filler.Queue.Priority, filler.Steps[0].GPU = 2, 1
	sim.submit(filler)
	sim.run(300 * time.Millisecond)
	const urgent = 12
	for n := range urgent {
		j := oneStepJob(fmt.Sprintf("urgent-%d", n), 1)
		j.Queue.Priority, j.Steps[0].GPU = 0, 8
		sim.submit(j)
		sim.run(1500 * time.Millisecond)
	}
	if limit := urgent * 8 / 2; sim.stops[ReasonPreempted] > limit {
		t.Errorf("%d runs were preempted, want at most %d", sim.stops[ReasonPreempted], limit)
	}
	sim.runUntilDone(120 * time.Second)
	sim.check()
}

func TestCooldownEnds(t *testing.T) {
	w := newWorker(testWorker(0))
	w.startCooldown(job.Resources{GPU: 3}, 0)
	w.startCooldown(job.Resources{GPU: 2}, time.Second)
	for _, c := range []struct {
		at   time.Duration
		free int
	}{{0, 3}, {cooldownPeriod, 6}, {cooldownPeriod + time.Second, 8}} {
		w.endCooldowns(c.at)
		if got := w.available(1).GPU; got != c.free {
			t.Errorf("%d GPUs available at %v, want %d", got, c.at, c.free)
		}
		if got := w.available(0).GPU; got != 8 {
			t.Errorf("%d GPUs available to urgent work at %v, want 8", got, c.at)
		}
	}
}
