package instance

import (
	"context"
	"testing"
	"time"

	"coltsfootmux/internal/external"
	"coltsfootmux/internal/link"
	"coltsfootmux/internal/wire"
)

// TestOwnerThatReachesOneWorkerOfFour guards against an owner that keeps its term with a path to one
// worker, while its peers reach all.
func TestOwnerThatReachesOneWorkerOfFour(t *testing.T) {
	r := newRig(t, 5)
	r.waitFor("an owner", func() bool { return r.owner() != nil })
	time.Sleep(2 * time.Second) // the instances learn of each other
	owner := r.owner()
	owner.workers.cutOff("w0", "w1", "w2")
	began := time.Now()
	r.waitFor("a job is accepted", func() bool { return r.submit(r.nonOwner(), "j", 24) == nil })
	r.waitFor("another owner", func() bool { o := r.owner(); return o != nil && o != owner })
	r.waitFor("complete", r.isComplete(r.nonOwner(), "j"))
	t.Logf("complete after %v", time.Since(began))
	r.checkFleet()
}

// newTrio returns three instances with the times of the platform: the short ones of tests also end
// a term when the process gets no processor time for a second.
func newTrio(t *testing.T) *rig {
	r := newRig(t, 0)
	r.platformTerm = true
	for n := range 3 {
		r.addInstance(n)
	}
	r.waitFor("an owner", func() bool { return r.owner() != nil })
	time.Sleep(2 * time.Second)
	return r
}

// checkTermStays submits a job, and fails if the term changes within the given time.
func checkTermStays(t *testing.T, r *rig, d time.Duration) {
	t.Helper()
	owner := r.owner()
	began := owner.inst.latestTermRecord().Term
	_ = r.submit(r.nonOwner(), "j", 24)
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if got := owner.inst.latestTermRecord().Term; got != began || r.owner() != owner {
			t.Fatalf("term %d after %d", got, began)
		}
	}
	if r.nonOwner().workers.probes.Load() == 0 {
		t.Error("the owner has not compared itself with its peers")
	}
	r.checkFleet()
}

// TestTermStaysWhenEachInstanceReachesHalf guards against two half-fit instances that trade the term.
func TestTermStaysWhenEachInstanceReachesHalf(t *testing.T) {
	r := newTrio(t)
	for _, n := range r.nodes {
		n.workers.cutOff("w0", "w1")
	}
	r.owner().workers.cutOff("w2", "w3")
	checkTermStays(t, r, 8*time.Second)
}

// TestTermStaysWhenNobodyReachesAnyWorker guards against a term that moves about because all workers
// are silent.
func TestTermStaysWhenNobodyReachesAnyWorker(t *testing.T) {
	r := newTrio(t)
	for _, n := range r.nodes {
		n.workers.cutOff(everyWorker...)
	}
	checkTermStays(t, r, 8*time.Second)
}

// TestProbesForOwnersAreBounded guards against an instance that probes more workers, or more often,
// than an owner needs.
func TestProbesForOwnersAreBounded(t *testing.T) {
	r := newRig(t, 1)
	r.waitFor("an owner", func() bool { return r.owner() != nil })
	n := r.nodes[0]
	n.workers.cutOff("w3")
	var q wire.ReachQuery
	for range 40 {
		for _, id := range append([]external.WorkerID{"unknown"}, everyWorker...) {
			q.Workers = append(q.Workers, wire.ReachTarget{ID: string(id), Addr: "x"})
		}
	}
	got, err := n.inst.onReach(context.Background(), link.Peer{}, q)
	// Of each five, the middle three answer; there are sixteen at most.
	if want := uint32(0b11100111001110); err != nil || got.Reached != want {
		t.Errorf("reached %b, error %v, want %b", got.Reached, err, want)
	}
	if _, err := n.inst.onReach(context.Background(), link.Peer{}, q); err == nil {
		t.Error("answered again at once")
	}
}
