package cell

import (
	"fmt"
	"testing"
	"time"

	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
	"coltsfootmux/internal/standin/fleet"
)

// withLongTasks returns a simulation of six workers on which 20 tasks of 30 s run, and its
// owner.
func withLongTasks(t *testing.T, seed uint64) (*simulation, *testOwner) {
	t.Helper()
	sim := newSimulation(t, seed, 0)
	sim.fleet = fleet.New(func(job.TaskID, int64) (time.Duration, bool) { return 30 * time.Second, false })
	for n := range 6 {
		sim.fleet.Add(testWorker(n))
	}
	o := sim.takeOver()
	sim.run(200 * time.Millisecond)
	j := oneStepJob("j", 20)
	j.Steps[0].EstimateMS, j.Steps[0].Checkpoints = 20_000, false
	sim.submit(j)
	sim.run(2 * time.Second)
	if n := sim.fleet.RunningCount(); n != 20 {
		t.Fatalf("%d tasks run, want 20", n)
	}
	return sim, o
}

// checkNoPrematureLoss lets time pass and checks that no task was started a second time
// while its first run was alive, and that the lost ones were started again.
func (s *simulation) checkNoPrematureLoss() {
	s.t.Helper()
	s.run(12 * time.Second)
	s.check()
	if n := s.fleet.RunningCount(); n != 20 {
		s.t.Errorf("%d tasks run 12 s later, want 20", n)
	}
}

// TestRefusedConnectionIsNoProofAfterTakeover guards against taking a worker for gone because
// it is not listed and a new owner's connection to it is refused, as behind a cut: its tasks
// were started elsewhere while they ran on under the previous owner's lease.
func TestRefusedConnectionIsNoProofAfterTakeover(t *testing.T) {
	for n := range 6 {
		sim, first := withLongTasks(t, uint64(n))
		id := external.WorkerID(fmt.Sprintf("w%02d", n))
		first.halted = true
		sim.refusing[id], sim.departedWorker = true, id
		sim.takeOver()
		sim.checkNoPrematureLoss()
	}
}

// TestSilentDrainingWorkerIsNotGoneAfterTakeover guards against taking a draining worker for
// gone because its entry has been missing for a while and it does not answer a new owner.
func TestSilentDrainingWorkerIsNotGoneAfterTakeover(t *testing.T) {
	for n := range 6 {
		sim, first := withLongTasks(t, uint64(n))
		id := external.WorkerID(fmt.Sprintf("w%02d", n))
		sim.drain(first, n, time.Minute)
		sim.run(500 * time.Millisecond)
		first.halted = true
		sim.unreachable[id], sim.departedWorker = true, id
		sim.takeOver()
		sim.checkNoPrematureLoss()
	}
}

// TestFencedOwnerStartsNothing guards against further starts by an owner that a worker has
// refused for a higher term: the refusal of a repeated start was taken for the proof that the
// first one had not been carried out, and the task was started on another worker.
func TestFencedOwnerStartsNothing(t *testing.T) {
	sim := newSimulation(t, 6, 4)
	o := sim.takeOver()
	sim.run(200 * time.Millisecond)
	var starts []Start
	sim.stepCore = func(o *testOwner, now Instant, ev Event) (out []Action) {
		for _, a := range o.core.Step(now, ev) {
			if s, ok := a.(Start); ok {
				starts = append(starts, s)
				continue // its answer is lost
			}
			out = append(out, a)
		}
		return out
	}
	sim.submit(oneStepJob("j", 1))
	sim.run(400 * time.Millisecond)
	if len(starts) < 2 {
		t.Fatalf("%d starts, want one that was repeated", len(starts))
	}
	s := starts[0].Order
	sent := len(starts)
	sim.step(o, StartAnswered{Task: s.Task, Run: s.Run, Worker: s.Worker, Failure: FailureFenced})
	for range 20 {
		sim.step(o, Tick{})
		sim.step(o, TermConfirmed{At: sim.now})
	}
	if len(starts) > sent {
		t.Errorf("%v was started on %s after a worker had named a higher term", starts[sent].Order.Task, starts[sent].Order.Worker)
	}
}

// TestAnswerAtAnotherAddressIsNoProof guards against losing the runs of a worker because an entry
// of another writer names the address of another process.
func TestAnswerAtAnotherAddressIsNoProof(t *testing.T) {
	sim, o := withLongTasks(t, 3)
	runs := len(o.core.workers["w00"].runs)
	odd := sim.machine(0).Worker
	odd.Addr = "10.0.0.1:1"
	sim.step(o, WorkerChanged{Worker: odd})
	sim.step(o, StopAnswered{Worker: "w00", Refusal: external.RefusedOtherIncarnation})
	if got := len(o.core.workers["w00"].runs); got != runs {
		t.Errorf("%d of %d runs are left", got, runs)
	}
	sim.step(o, WorkerChanged{Worker: sim.machine(0).Worker})
	sim.checkNoPrematureLoss()
}

// TestOddStartTimeDoesNotHideAWorker guards against ignoring all answers of a worker because
// an entry of another writer names a start in the far future.
func TestOddStartTimeDoesNotHideAWorker(t *testing.T) {
	sim := newSimulation(t, 3, 1)
	o := sim.takeOver()
	odd := sim.machine(0).Worker
	odd.ID, odd.StartedMS = "w00", 1<<50
	o.core.removeWorker(o.core.workers["w00"])
	sim.step(o, WorkerChanged{Worker: odd})
	sim.step(o, WorkerChanged{Worker: sim.machine(0).Worker})
	sim.submit(oneStepJob("j", 1))
	sim.runUntilDone(20 * time.Second)
	sim.check()
}

// TestVacancyIsWithdrawnBeforeUse guards against starting tasks on a worker of which the
// stored roster says that it has none: a new owner would not wait for its answer.
func TestVacancyIsWithdrawnBeforeUse(t *testing.T) {
	sim := newSimulation(t, 5, 1)
	o := sim.takeOver()
	sim.run(200 * time.Millisecond)
	sim.drain(o, 0, time.Minute)
	sim.run(500 * time.Millisecond)
	if !sim.roster[0].Vacant {
		t.Fatal("a draining worker without runs is not stored as vacant")
	}
	sim.storeDown = true
	m := sim.machine(0)
	m.Draining = false
	sim.step(o, WorkerChanged{Worker: m.Worker})
	sim.submit(oneStepJob("j", 1))
	sim.run(time.Second)
	if sim.fleet.Starts > 0 {
		t.Error("a task was started while the stored roster says that the worker is vacant")
	}
	sim.storeDown = false
	sim.runUntilDone(20 * time.Second)
	sim.check()
}

// TestUnlistedDrainingWorkerThatFailsOneHoldIsNotGone guards against taking a draining worker
// for gone at its first failed hold because its entry has expired: its tasks were started
// elsewhere while they ran on under their lease.
func TestUnlistedDrainingWorkerThatFailsOneHoldIsNotGone(t *testing.T) {
	for n := range 6 {
		sim, o := withLongTasks(t, uint64(n))
		id := external.WorkerID(fmt.Sprintf("w%02d", n))
		sim.drain(o, n, time.Minute)
		sim.run(entryLifetime)
		sim.step(o, WorkerUnlisted{ID: id})
		sim.run(500 * time.Millisecond)
		sim.unreachable[id] = true
		sim.run(time.Second)
		sim.unreachable[id] = false
		sim.checkNoPrematureLoss()
	}
}
