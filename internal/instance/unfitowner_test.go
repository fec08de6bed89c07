package instance

import (
	"testing"
	"time"

	"coltsfootmux/internal/external"
)

var everyWorker = []external.WorkerID{"w0", "w1", "w2", "w3"}

// checkWorkGoesOn submits a job after cut has taken paths from the owner, and fails if it is
// not complete 12 s later.
func checkWorkGoesOn(t *testing.T, cut func(owner *node)) {
	t.Helper()
	r := newRig(t, 5)
	r.waitFor("an owner", func() bool { return r.owner() != nil })
	time.Sleep(2 * time.Second) // the instances learn of each other
	owner, other := r.owner(), r.nonOwner()
	r.waitFor("a job is accepted", func() bool { return r.submit(other, "before", 2) == nil })
	r.waitFor("a job is complete", r.isComplete(other, "before"))
	cut(owner)
	began, accepted := time.Now(), false
	for time.Since(began) < 12*time.Second {
		accepted = accepted || r.submit(other, "after", 2) == nil
		if accepted && r.isComplete(other, "after")() {
			t.Logf("complete %v after the cut; owner changed: %v", time.Since(began), r.owner() != owner)
			r.checkFleet()
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Errorf("accepted: %v; not complete after %v; the same owner: %v", accepted, time.Since(began), r.owner() == owner)
}

// TestOwnerThatReachesNoWorkers guards against an owner that keeps its term without reaching any
// worker, while its peers reach them: no job began.
func TestOwnerThatReachesNoWorkers(t *testing.T) {
	checkWorkGoesOn(t, func(o *node) { o.workers.cutOff(everyWorker...) })
}

// TestOwnerThatNoPeerReaches guards against an owner that keeps its term although no peer reaches
// it: no caller of another instance was told the state of a job.
func TestOwnerThatNoPeerReaches(t *testing.T) {
	checkWorkGoesOn(t, (*node).disconnect)
}
