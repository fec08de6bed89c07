package cell

import (
	"fmt"
	"testing"
	"time"

	"coltsfootmux/internal/job"
)

// TestRoomOfUrgentWorkIsKeptForTheNext: in a full pool less urgent tasks took the
// room of each urgent one that ended, and were preempted by the next.
func TestRoomOfUrgentWorkIsKeptForTheNext(t *testing.T) {
	w := newSimulation(t, 31, 4)
	w.takeOver()
	w.run(100 * time.Millisecond)
	filler := oneStepJob("filler", 60)
	filler.Queue.Priority, filler.Steps[0].GPU = 2, 1
	w.submit(filler)
	w.run(300 * time.Millisecond)
	const urgent = 12
	for n := range urgent {
		j := oneStepJob(fmt.Sprintf("urgent-%d", n), 1)
		j.Queue.Priority, j.Steps[0].GPU = 0, 8
		w.submit(j)
		w.run(1500 * time.Millisecond)
	}
	if most := urgent * 8 / 2; w.stops[ReasonPreempted] > most {
		t.Errorf("%d runs were preempted, want at most %d", w.stops[ReasonPreempted], most)
	}
	w.runUntilDone(120 * time.Second)
	w.check()
}

func TestKeptRoomIsGivenBack(t *testing.T) {
	w := newWorker(testWorker(0))
	w.startCooldown(job.Resources{GPU: 3}, 0)
	w.startCooldown(job.Resources{GPU: 2}, time.Second)
	for _, c := range []struct {
		at   time.Duration
		room int
	}{{0, 3}, {cooldownPeriod, 6}, {cooldownPeriod + time.Second, 8}} {
		w.endCooldowns(c.at)
		if got := w.available(1).GPU; got != c.room {
			t.Errorf("room of %d at %v, want %d", got, c.at, c.room)
		}
		if got := w.available(0).GPU; got != 8 {
			t.Errorf("urgent room of %d at %v, want all", got, c.at)
		}
	}
}
