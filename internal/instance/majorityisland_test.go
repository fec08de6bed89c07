package instance

import (
	"context"
	"slices"
	"testing"
	"time"
)

// TestOwnerThatKeepsItsTermWithItsWitnessesIsNotReplaced is the other half of
// TestPartitionedOwnerDoesNotRunTasksTwice: the owner has enough witnesses on its side of the
// partition to keep its term, so the side that reaches the store must not claim the next one.
func TestOwnerThatKeepsItsTermWithItsWitnessesIsNotReplaced(t *testing.T) {
	r := newRig(t, 6)
	r.work = 8 * time.Second
	r.waitFor("an owner", func() bool { return r.owner() != nil })
	owner := r.owner()
	r.waitFor("five witnesses", func() bool { return len(owner.inst.latestTermRecord().Witnesses) == 5 })
	time.Sleep(time.Second)
	r.waitFor("the job is accepted", func() bool { return r.submit(owner, "j", 12) == nil })
	time.Sleep(500 * time.Millisecond)
	other := r.nodes[(slices.Index(r.nodes, owner)+1)%len(r.nodes)]
	for _, n := range r.nodes {
		if n == other {
			n.workers.cutOff("w0", "w2")
			n.disconnect()
			continue
		}
		n.workers.cutOff("w1", "w3")
		close(n.conn.refused)
	}
	kept := 0
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if owner.inst.owner.Load() != nil {
			kept++
		}
		if other.inst.owner.Load() != nil {
			t.Fatalf("%v own the cell", r.owners())
		}
	}
	if kept < 90 {
		t.Errorf("the owner had its term at %d of 100 times", kept)
	}
	r.checkFleet()
}

// disconnect ends all links with other instances for good. Closing the HTTP server alone leaves
// the open ones.
func (n *node) disconnect() {
	_ = n.http.Close()
	expired, cancel := context.WithCancel(context.Background())
	cancel()
	_ = n.inst.server.Shutdown(expired)
	_ = n.inst.pool.Close()
}
