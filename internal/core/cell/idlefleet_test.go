package cell

import (
	"testing"
	"time"
)

// TestOneDeadWorkerOfAnIdleFleetIsNotSuspicious guards against an owner that takes itself for cut off, has its
// peers probe workers for good and raises an alarm, because workers without runs are not asked anything.
func TestOneDeadWorkerOfAnIdleFleetIsNotSuspicious(t *testing.T) {
	sim := newSimulation(t, 3, 40)
	o := sim.takeOver()
	sim.run(time.Second)
	sim.submit(oneStepJob("j", 80))
	sim.run(200 * time.Millisecond)
	sim.unreachable["w00"] = true
	sim.runUntilDone(60 * time.Second)
	poor := 0
	for range 60 {
		sim.run(time.Second)
		if o.core.Reach(sim.now).Poor() {
			poor++
		}
	}
	if poor > 0 {
		t.Errorf("poor for %d of 60 s: %+v", poor, o.core.Reach(sim.now))
	}
}
