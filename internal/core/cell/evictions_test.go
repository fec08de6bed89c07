package cell

import (
	"fmt"
	"testing"
	"time"

	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
	"coltsfootmux/internal/standin/fleet"
)

// urgentOnFullWorker fills a worker with tasks of which the first ends after 3 s and the
// others after 20 s, and submits an urgent task 0.4 s before that end. It returns how long
// the urgent task waited.
func urgentOnFullWorker(t *testing.T, wait time.Duration, before func(*simulation)) (waited time.Duration, sim *simulation) {
	sim = newSimulation(t, 7, 0)
	sim.fleet = fleet.New(func(t job.TaskID, _ int64) (time.Duration, bool) {
		if t.Job == "filler" && t.Index > 0 {
			return 20 * time.Second, false
		}
		return 3 * time.Second, false
	})
	sim.fleet.Add(testWorker(0))
	sim.preemptionWait = wait
	sim.takeOver()
	sim.run(100 * time.Millisecond)
	filler := oneStepJob("filler", 8)
	filler.Queue.Priority, filler.Steps[0].Checkpoints = 2, false
	sim.submit(filler)
	sim.run(2600 * time.Millisecond)
	before(sim)
	urgent := oneStepJob("urgent", 1)
	urgent.Queue.Priority = 0
	submitted := sim.now
	sim.onStart = func(o external.StartOrder) {
		if o.Task.Job == urgent.ID && waited == 0 {
			waited = sim.now - submitted
		}
	}
	sim.submit(urgent)
	sim.run(4 * time.Second)
	sim.check()
	return waited, sim
}

func undisturbed(*simulation) {}

// TestUrgentWorkTakesRoomOfRunThatEnds guards against a run that is stopped just before
// its end, or one beside it, while its room would come free about as soon.
func TestUrgentWorkTakesRoomOfRunThatEnds(t *testing.T) {
	// An end is learned with the answer to a hold, which the simulation delays at random.
	waited, sim := urgentOnFullWorker(t, 900*time.Millisecond, undisturbed)
	if n := sim.stops[ReasonPreempted]; n > 0 || waited == 0 || waited > time.Second {
		t.Errorf("%d runs were preempted, and the urgent task waited %v", n, waited)
	}
	waited, sim = urgentOnFullWorker(t, 0, undisturbed)
	if n := sim.stops[ReasonPreempted]; n != 1 || waited == 0 {
		t.Errorf("without PreemptionWait %d runs were preempted, and the urgent task waited %v", n, waited)
	}
}

// TestAwaitedRunThatDoesNotEndIsStopped guards against urgent work that misses its bound
// because it waits for a run that makes no progress any more.
func TestAwaitedRunThatDoesNotEndIsStopped(t *testing.T) {
	waited, sim := urgentOnFullWorker(t, 900*time.Millisecond, func(s *simulation) { s.machine(0).Mode = fleet.Hanging })
	if n := sim.stops[ReasonPreempted]; n != 1 || waited == 0 || waited > testSettings().ReclaimWithin {
		t.Errorf("%d runs were preempted, and the urgent task waited %v", n, waited)
	}
	for _, w := range sim.current().core.evictionWaits {
		t.Errorf("the wait for %s goes on", w.unit.entry().job.ID)
	}
}

// TestCancelledUrgentWorkReleasesAwaitedRuns guards against runs that no other urgent work
// may preempt, because work that is gone waits for them.
func TestCancelledUrgentWorkReleasesAwaitedRuns(t *testing.T) {
	_, sim := urgentOnFullWorker(t, 900*time.Millisecond, func(s *simulation) {
		s.machine(0).Mode = fleet.Hanging
		s.schedule(100*time.Millisecond, func() { s.cancel("urgent") })
	})
	if n := sim.stops[ReasonPreempted]; n > 0 || len(sim.current().core.evictionWaits) > 0 {
		t.Errorf("%d runs were preempted for a cancelled job, %d waits go on", n, len(sim.current().core.evictionWaits))
	}
	for _, r := range sim.current().core.fleet[0].runs {
		if r.unit.awaited {
			t.Errorf("%s is still awaited", r.task)
		}
	}
}

// TestInvariantsHoldWithPreemptionWait runs random scenarios in which urgent work waits
// for runs that end.
func TestInvariantsHoldWithPreemptionWait(t *testing.T) {
	for seed := range uint64(randomScenarios) {
		if err := runRandomScenario(t, seed, scenario{preemptionWait: 900 * time.Millisecond}); err != "" {
			t.Fatal(err)
		}
	}
}

// TestNoUnitStaysAwaited checks on random scenarios with PreemptionWait that no unit stays awaited
// once no urgent work waits for it.
func TestNoUnitStaysAwaited(t *testing.T) {
	for seed := range uint64(20) {
		sim := newSimulation(t, seed, 6)
		sim.preemptionWait = 900 * time.Millisecond
		sim.takeOver()
		for n := range 20 {
			j := sim.randomJob()
			j.ID = job.ID(fmt.Sprintf("r%02d", n))
			sim.submit(j)
			sim.run(time.Duration(sim.rng.IntN(300)) * time.Millisecond)
		}
		sim.runUntilDone(120 * time.Second)
		sim.check()
		if n := len(sim.current().core.evictionWaits); n > 0 {
			t.Errorf("seed %d: %d waits go on after all jobs have ended", seed, n)
		}
	}
}

// TestFreedRoomIsKeptWhileUrgentWorkPreempts guards against low work that starts in freed
// room and is stopped for the next urgent arrival.
func TestFreedRoomIsKeptWhileUrgentWorkPreempts(t *testing.T) {
	for _, wait := range []time.Duration{0, 900 * time.Millisecond} {
		_, sim := urgentOnFullWorker(t, wait, undisturbed)
		c := sim.current().core
		c.urgentReserve.Preempted(c.now.Mono)
		r := c.fleet[0].runs[0]
		if r.unit.group.priority() == 0 {
			t.Fatal("the first run is urgent")
		}
		if got := c.keepsRoomOf(r); got != (wait > 0) {
			t.Errorf("PreemptionWait %v: freed room is kept: %v", wait, got)
		}
	}
}
