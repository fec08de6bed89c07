package cell

import (
	"testing"
	"time"

	"coltsfootmux/internal/external"
)

// gangBehindFiller submits a gang of whole workers to a pool that tasks of lower
// priority fill, and gives how long it waited for its start.
func gangBehindFiller(t *testing.T, tasks int, fillersObjective time.Duration) (waited time.Duration, w *simulation) {
	w = newSimulation(t, 32, 4)
	w.takeOver()
	w.run(100 * time.Millisecond)
	filler := oneStepJob("filler", tasks)
	filler.Queue.Priority, filler.Queue.ObjectiveMS = 2, fillersObjective.Milliseconds()
	w.submit(filler)
	w.run(300 * time.Millisecond)
	gang := oneStepJob("gang", 4)
	gang.Steps[0].GPU, gang.Steps[0].Gang = 8, true
	came := w.now
	w.onStart = func(o external.StartOrder) {
		if o.Task.Job == gang.ID && waited == 0 {
			waited = w.now - came
		}
	}
	w.submit(gang)
	w.runUntilDone(120 * time.Second)
	w.check()
	return waited, w
}

// TestGangWithoutSlackDisplacesWorkWithSlack: gangs waited 15 s to 38 s in a pool in
// which no job of the lowest priority was late.
func TestGangWithoutSlackDisplacesWorkWithSlack(t *testing.T) {
	waited, w := gangBehindFiller(t, 250, time.Minute)
	if waited == 0 || waited > 4*time.Second {
		t.Errorf("the gang waited %v", waited)
	}
	if w.stops[ReasonPreempted] == 0 {
		t.Error("nothing was displaced")
	}
}

func TestGangDoesNotDisplaceWorkThatWouldBeLate(t *testing.T) {
	waited, w := gangBehindFiller(t, 100, 0)
	if n := w.stops[ReasonPreempted]; n > 0 {
		t.Errorf("%d runs were displaced, whose job is as late as the gang (waited %v)", n, waited)
	}
}
