package instance

import (
	"testing"
	"time"
)

// TestOwnerThatNobodyReachesIsReplacedAfterItsWitnessesWere guards against an owner that keeps its term for
// good because its witnesses are gone and it can't name the instances that have replaced them.
func TestOwnerThatNobodyReachesIsReplacedAfterItsWitnessesWere(t *testing.T) {
	t.Parallel()
	r, owner := witnessedRig(t, 4)
	owner.disconnect()
	for _, n := range r.nodes {
		if n != owner {
			n.kill()
		}
	}
	for n := range 3 {
		r.addInstance(4 + n)
	}
	for began := time.Now(); time.Since(began) < 30*time.Second; time.Sleep(50 * time.Millisecond) {
		if o := r.owner(); o != nil && o != owner {
			t.Logf("replaced after %v", time.Since(began))
			return
		}
	}
	t.Errorf("still the owner after 30 s; votes: %+v", r.votes())
}
