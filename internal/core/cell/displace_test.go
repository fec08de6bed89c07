package cell

import (
	"testing"
	"time"

	"coltsfootmux/internal/external"
)

// gangInFullPool fills a pool with tasks of lower priority and the given objective,
// submits a gang that needs whole workers and returns how long it waited.
func gangInFullPool(t *testing.T, tasks int, objective time.Duration) (waited time.Duration, sim *simulation) {
	sim = newSimulation(t, 32, 4)
	sim.takeOver()
	sim.run(100 * time.Millisecond)
	filler := oneStepJob("filler", tasks)
	filler.Queue.Priority, filler.Queue.ObjectiveMS = 2, objective.Milliseconds()
	sim.submit(filler)
	sim.run(300 * time.Millisecond)
	gang := oneStepJob("gang", 4)
	gang.Steps[0].GPU, gang.Steps[0].Gang = 8, true
	submitted := sim.now
	sim.onStart = func(o external.StartOrder) {
		if o.Task.Job == gang.ID && waited == 0 {
			waited = sim.now - submitted
		}
	}
	sim.submit(gang)
	sim.runUntilDone(120 * time.Second)
	sim.check()
	return waited, sim
}

// Without displacement, gangs waited 15 s to 38 s in a full pool, while no job of the
// lowest priority was late.
func TestGangWithoutSlackDisplacesWorkWithSlack(t *testing.T) {
	waited, sim := gangInFullPool(t, 250, time.Minute)
	if waited == 0 || waited > 4*time.Second {
		t.Errorf("the gang waited %v", waited)
	}
	if sim.stops[ReasonPreempted] == 0 {
		t.Error("no run was displaced")
	}
}

func TestGangDoesNotDisplaceWorkThatWouldBeLate(t *testing.T) {
	waited, sim := gangInFullPool(t, 100, 0)
	if n := sim.stops[ReasonPreempted]; n > 0 {
		t.Errorf("%d runs of a job as late as the gang were displaced (gang waited %v)", n, waited)
	}
}
