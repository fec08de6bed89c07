package instance

import (
	"testing"
	"time"
)

// newPatientRig gives three instances and their owner, which knows of strong peers.
// Claims on a stale record take 20 s here, so that only a hand-over gives the cell
// another owner in time.
func newPatientRig(t *testing.T) (r *rig, owner *node) {
	t.Helper()
	r = newRig(t, 0)
	r.stale = 20 * time.Second
	for n := range 3 {
		r.add(n)
	}
	r.wait("an owner", func() bool { return r.owner() != nil })
	owner = r.owner()
	r.wait("strong peers known", func() bool { return len(owner.inst.members.strong(boottime(), maxHandoverPeers)) > 0 })
	return r, owner
}

// TestAnOwnerThatTheStoreTurnsAwayHandsOver: it waited until its record was stale.
func TestAnOwnerThatTheStoreTurnsAwayHandsOver(t *testing.T) {
	r, first := newPatientRig(t)
	r.wait("accepted", func() bool { return r.submit(first, "before", 8) == nil })
	close(first.way.cut)
	r.wait("another owner", func() bool { o := r.owner(); return o != nil && o != first })
	r.wait("accepted over a peer", func() bool { return r.submit(first, "after", 4) == nil })
	r.wait("complete", r.complete(first, "before"))
	r.wait("complete", r.complete(first, "after"))
	r.checkFleet()
}

// TestAnOwnerThatTheStoreServesSlowlyKeepsItsTerm: in a store 60 times slower than usual,
// answers took 0.24 s and more; an owner whose probe just failed to end within 0.25 s
// handed over, and its successor needed 1.1 s to read the store.
func TestAnOwnerThatTheStoreServesSlowlyKeepsItsTerm(t *testing.T) {
	r, first := newPatientRig(t)
	first.way.slow.Store(int64(330 * time.Millisecond))
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if r.owner() != first {
			t.Fatal("the owner handed its term over")
		}
	}
}
