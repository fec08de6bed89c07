package cell

import (
	"testing"
	"time"

	"coltsfootmux/internal/external"
)

// gangInFullPool fills a pool with tasks of lower priority and the given objective,
// submits a gang that needs whole workers and returns how long it waited.
func gangInFullPool(t *testing.T, tasks int, objective time.Duration) (waited time.Duration, w *simulation) {
	w = newSimulation(t, 32, 4)
	w.takeOver()
	w.run(100 * time.Millisecond)
	filler := oneStepJob("filler", tasks)
	filler.Queue.Priority, filler.Queue.ObjectiveMS = 2, objective.Milliseconds()
	w.submit(filler)
	w.run(300 * time.Millisecond)
	gang := oneStepJob("gang", 4)
	gang.Steps[0].GPU, gang.Steps[0].Gang = 8, true
	submitted := w.now
	w.onStart = func(o external.StartOrder) {
		if o.Task.Job == gang.ID && waited == 0 {
			waited = w.now - submitted
		}
	}
	w.submit(gang)
	w.runUntilDone(120 * time.Second)
	w.check()
	return waited, w
}

// Without displacement, gangs waited 15 s to 38 s in a full pool, while no job of the
// lowest priority was late.
func TestGangWithoutSlackDisplacesWorkWithSlack(t *testing.T) {
	waited, w := gangInFullPool(t, 250, time.Minute)
	if waited == 0 || waited > 4*time.Second {
		t.Errorf("the gang waited %v", waited)
	}
	if w.stops[ReasonPreempted] == 0 {
		t.Error("no run was displaced")
	}
}

func TestGangDoesNotDisplaceWorkThatWouldBeLate(t *testing.T) {
	waited, w := gangInFullPool(t, 100, 0)
	if n := w.stops[ReasonPreempted]; n > 0 {
		t.Errorf("%d runs of a job as late as the gang were displaced (gang waited %v)", n, waited)
	}
}
