package cell

import (
	"testing"
	"time"
)

// TestOwnerSeesThatItReachesFewWorkers guards against an owner whose state does not show that its
// workers are silent and that work stands.
func TestOwnerSeesThatItReachesFewWorkers(t *testing.T) {
	sim := newSimulation(t, 1, 4)
	sim.takeOver()
	sim.submit(oneStepJob("before", 4))
	sim.run(time.Second)
	owner := sim.current()
	if r := owner.core.Reach(sim.now); r.Poor() || r.Tried != 4 {
		t.Errorf("before the cut: %+v", r)
	}
	for n := range 4 {
		owner.unreachable[sim.machine(n).ID] = true
	}
	sim.submit(oneStepJob("after", 28))
	sim.run(3 * time.Second)
	if r := owner.core.Reach(sim.now); !r.Poor() || r.Silent == 0 {
		t.Errorf("after the cut: %+v", r)
	}
	sim.submit(oneStepJob("stands", 1))
	sim.run(minShortageTime)
	if n := sim.alarmCount(AlarmWorkersUnreached); n != 1 {
		t.Errorf("%d alarms", n)
	}
	if w := owner.core.DueWait(sim.now); w < time.Second {
		t.Errorf("due work has stood for %v", w)
	}
	clear(owner.unreachable)
	sim.run(3 * time.Second)
	if r := owner.core.Reach(sim.now); r.Poor() {
		t.Errorf("after the cut has ended: %+v", r)
	}
}
