package instance

import (
	"testing"
	"time"
)

// TestLastWitnessReplacesAnOwnerThatNobodyReaches guards against a cell of three in which one instance is down
// for good and the owner is then cut off: the only other instance may not vote, and the owner can't name
// other witnesses.
func TestLastWitnessReplacesAnOwnerThatNobodyReaches(t *testing.T) {
	t.Parallel()
	r, owner := witnessedRig(t, 3)
	last := r.nonOwner()
	for _, n := range r.nodes {
		if n != owner && n != last {
			n.kill()
		}
	}
	owner.disconnect()
	for began := time.Now(); time.Since(began) < 30*time.Second; time.Sleep(50 * time.Millisecond) {
		if last.inst.owner.Load() != nil {
			t.Logf("replaced after %v", time.Since(began))
			return
		}
	}
	t.Errorf("still the owner after 30 s; votes: %+v", r.votes())
}
