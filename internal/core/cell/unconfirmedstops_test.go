package cell

import (
	"testing"
	"time"

	"coltsfootmux/internal/job"
	"coltsfootmux/internal/standin/fleet"
)

// TestOwnerWithoutConfirmationMovesNoRuns guards against an owner that stops runs on slow or stalled
// workers while it may not start them elsewhere.
func TestOwnerWithoutConfirmationMovesNoRuns(t *testing.T) {
	for name, spoil := range map[string]func(*fleet.Machine){
		"stalled": func(m *fleet.Machine) { m.Mode = fleet.Hanging },
		"slow":    func(m *fleet.Machine) { m.Pace = 0.1 },
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 15, 6)
			sim.fleet = fleet.New(func(job.TaskID, int64) (time.Duration, bool) { return 2 * time.Second, false })
			for n := range 6 {
				sim.fleet.Add(testWorker(n))
			}
			spoil(sim.machine(0))
			sim.settings.StartGrace = 900 * time.Millisecond
			sim.takeOver()
			sim.run(100 * time.Millisecond)
			j := oneStepJob("j", 4)
			j.Steps[0].GPU = 8
			sim.submit(j)
			sim.run(200 * time.Millisecond)
			sim.termUnconfirmed = true
			sim.run(8 * time.Second)
			moves := func() int { return sim.stops[ReasonStalled] + sim.stops[ReasonSlow] }
			if n := moves(); n > 0 {
				t.Errorf("%d runs stopped that can't be started elsewhere", n)
			}
			sim.termUnconfirmed = false
			sim.runUntilDone(60 * time.Second)
			sim.check()
			if moves() == 0 {
				t.Error("no run is moved once starts may be ordered again")
			}
		})
	}
}
