package cell

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
)

// drainBound is the time in which a drain must be in force: the shortest that the
// deployments ask for.
const drainBound = 5 * time.Second

// toggleDrain drains a data centre, or takes it back if it is drained.
func (s *simulation) toggleDrain(dataCentre string) {
	if n := slices.Index(s.drained, dataCentre); n >= 0 {
		s.drained = slices.Delete(slices.Clone(s.drained), n, n+1)
		s.fleet.TakeBack(dataCentre)
	} else {
		s.drained = append(slices.Clone(s.drained), dataCentre)
		s.fleet.Drain(dataCentre, s.now+drainBound)
	}
	for _, o := range s.owners {
		ev := DrainsChanged{DataCentres: s.drained}
		s.schedule(5*time.Millisecond, func() { s.step(o, ev) })
	}
}

// runsIn returns the number of runs in a data centre.
func (s *simulation) runsIn(dataCentre string) int {
	n := 0
	for _, w := range s.current().core.fleet {
		if w.Zone == dataCentre {
			n += len(w.runs)
		}
	}
	return n
}

// TestNothingStartsInDrainedDataCentres runs random scenarios in which data centres are
// drained and taken back, while owners are frozen, lost and replaced, calls are lost or
// late and the store is away.
func TestNothingStartsInDrainedDataCentres(t *testing.T) {
	for seed := range uint64(randomScenarios) {
		if err := runRandomScenario(t, seed, scenario{drains: true}); err != "" {
			t.Fatal(err)
		}
	}
}

func TestDrain(t *testing.T) {
	// Each case ends with d0 drained.
	for name, change := range map[string]func(s *simulation){
		"in force at once":             func(s *simulation) { s.toggleDrain("d0") },
		"kept by a new owner":          func(s *simulation) { s.toggleDrain("d0"); s.current().halted = true; s.takeOver() },
		"kept while the store is away": func(s *simulation) { s.toggleDrain("d0"); s.storeDown = true; s.run(time.Second) },
		"beside another one":           func(s *simulation) { s.toggleDrain("d0"); s.toggleDrain("d1") },
		"taken back and set again":     func(s *simulation) { s.toggleDrain("d0"); s.toggleDrain("d0"); s.toggleDrain("d0") },
		"kept by an owner that was frozen": func(s *simulation) {
			s.current().halted = true
			s.toggleDrain("d0")
			s.run(time.Second)
			s.current().halted = false
			s.step(s.current(), DrainsChanged{DataCentres: s.drained})
		},
		"of a worker that registers later": func(s *simulation) {
			s.toggleDrain("d0")
			s.run(20 * time.Millisecond)
			w := testWorker(3 * testDataCentres)
			s.fleet.Add(w)
			s.step(s.current(), WorkerChanged{Worker: w})
		},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 31, 6)
			sim.takeOver()
			sim.run(200 * time.Millisecond)
			change(sim)
			sim.run(300 * time.Millisecond)
			sim.fleet.Drain("d0", sim.now)
			sim.submit(oneStepJob("j", 40))
			sim.run(time.Second)
			sim.storeDown = false
			sim.runUntilDone(60 * time.Second)
			sim.check()
		})
	}
}

// Runs in a drained data centre go on: they would only be thrown away.
func TestRunsInADrainedDataCentreGoOn(t *testing.T) {
	sim := newSimulation(t, 32, 6)
	sim.takeOver()
	sim.run(100 * time.Millisecond)
	sim.submit(oneStepJob("j", 30))
	sim.run(300 * time.Millisecond)
	before := sim.runsIn("d0")
	sim.toggleDrain("d0")
	sim.run(100 * time.Millisecond)
	if n := sim.runsIn("d0"); n < before-2 || len(sim.stops) > 0 {
		t.Errorf("%d runs in the data centre, %d before; stops: %v", n, before, sim.stops)
	}
	sim.runUntilDone(30 * time.Second)
	sim.check()
}

// A drained data centre is used again as soon as it has been taken back.
func TestDataCentreIsUsedAgain(t *testing.T) {
	sim := newSimulation(t, 33, 3)
	sim.takeOver()
	sim.run(100 * time.Millisecond)
	for n := range testDataCentres {
		sim.toggleDrain(fmt.Sprintf("d%d", n))
	}
	sim.run(50 * time.Millisecond)
	sim.submit(oneStepJob("j", 3))
	sim.run(time.Second)
	if sim.fleet.Starts > 0 {
		t.Fatal("tasks are started while every data centre is drained")
	}
	sim.toggleDrain("d1")
	sim.run(200 * time.Millisecond)
	if sim.fleet.Starts != 3 {
		t.Errorf("%d of 3 tasks were started", sim.fleet.Starts)
	}
}

// Urgent work had its room on workers of a data centre that was then drained. It waited
// there until the plan expired, and missed the bound in which it must start.
func TestPlansMoveOutOfADrainedDataCentre(t *testing.T) {
	sim := newSimulation(t, 34, 6)
	sim.takeOver()
	sim.run(100 * time.Millisecond)
	filler := oneStepJob("filler", 60)
	filler.Account = "b"
	sim.submit(filler)
	sim.run(300 * time.Millisecond)
	for n := range 6 {
		sim.unreachable[external.WorkerID(fmt.Sprintf("w%02d", n))] = n%testDataCentres == 0
	}
	urgent := oneStepJob("urgent", 1)
	urgent.Queue.Priority, urgent.Steps[0].GPU = 0, 8
	sim.submit(urgent)
	sim.run(60 * time.Millisecond) // room is planned; it may be on a worker that does not answer
	sim.toggleDrain("d0")
	sim.run(1500 * time.Millisecond)
	if s := sim.current().core.Status("urgent"); s != job.Running && s != job.StatusComplete {
		t.Errorf("urgent job is %v 1.5 s after its submission", s)
	}
	for _, w := range sim.current().core.fleet {
		if w.placeDrained && len(w.plannedTasks) > 0 {
			t.Errorf("room is kept on %s", w.ID)
		}
	}
	clear(sim.unreachable)
	sim.runUntilDone(60 * time.Second)
	sim.check()
}
