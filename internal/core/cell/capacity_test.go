package cell

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// unguarded makes all workers start whatever they are told to.
func (s *simulation) unguarded() {
	for _, m := range s.fleet.Machines() {
		m.Unguarded = true
	}
}

// resize changes the capacity of a worker, which the list shows a while later.
func (s *simulation) resize(n int, share float64, listedAfter time.Duration) {
	m := s.machine(n)
	c := testWorker(n).Capacity
	c.CPU, c.MemMB, c.GPU = int(float64(c.CPU)*share), int(float64(c.MemMB)*share), int(float64(c.GPU)*share)
	m.SetCapacity(c)
	s.schedule(listedAfter, func() { s.step(s.current(), WorkerChanged{Worker: m.Worker}) })
}

// The run of a job that had ended before the takeover counted as nothing, so that its
// worker was given more than it holds while the run was being stopped.
func TestRunOfAnEndedJobCountsUntilItHasStopped(t *testing.T) {
	sim := newSimulation(t, 5, 1)
	sim.unguarded()
	first := sim.takeOver()
	sim.run(100 * time.Millisecond)
	old := oneStepJob("old", 8)
	sim.submit(old)
	sim.run(300 * time.Millisecond)
	sim.unreachable["w00"] = true // the orders to stop are lost
	sim.cancel(old.ID)
	sim.run(200 * time.Millisecond)
	first.halted = true
	sim.unreachable["w00"] = false
	sim.submit(oneStepJob("new", 8))
	sim.takeOver()
	sim.runUntilDone(30 * time.Second)
	sim.check()
}

func TestWorkersAreNotOverloadedWhileTheirCapacityChanges(t *testing.T) {
	for seed := range uint64(60) {
		sim := newSimulation(t, seed, 6)
		sim.unguarded()
		rng := rand.New(rand.NewPCG(seed, 4))
		sim.lossRate, sim.lateRate = 0.1*rng.Float64(), 0.05*rng.Float64()
		sim.takeOver()
		for n := range 20 {
			sim.run(time.Duration(100+rng.IntN(700)) * time.Millisecond)
			switch rng.IntN(4) {
			case 0:
				sim.resize(rng.IntN(6), []float64{0, 0.25, 0.5, 1}[rng.IntN(4)], time.Duration(rng.IntN(1500))*time.Millisecond)
			case 1:
				if len(sim.jobs) > 0 {
					sim.cancel(sim.jobs[rng.IntN(len(sim.jobs))].ID)
				}
			case 2:
				if n%3 == 0 {
					sim.takeOver()
				}
			}
			sim.submit(oneStepJob(fmt.Sprintf("j%03d", n), 1+rng.IntN(10)))
		}
		sim.lossRate, sim.lateRate = 0, 0
		for n := range 6 {
			sim.resize(n, 1, 100*time.Millisecond)
		}
		sim.runUntilDone(60 * time.Second)
		sim.check()
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}
