package instance

import (
	"testing"
	"time"

	"coltsfootmux/internal/core/term"
)

// TestOwnerThatHasNeverReachedAPeerIsReplaced guards against an instance that is cut off from its peers when
// it claims a released term: its record names no witnesses, and nobody may vote against it.
func TestOwnerThatHasNeverReachedAPeerIsReplaced(t *testing.T) {
	t.Parallel()
	r, owner := witnessedRig(t, 5)
	var next *node // the first to claim a released term
	for _, n := range r.nodes {
		if n != owner && (next == nil || n.inst.Settings.Term.ClaimDelay < next.inst.Settings.Term.ClaimDelay) {
			next = n
		}
	}
	for _, n := range r.nodes {
		if n != next {
			next.refuseLinks(n, true)
		}
	}
	time.Sleep(time.Second)
	owner.inst.stepTerm(term.Stopping{})
	r.waitFor("the instance that is cut off owns the cell", func() bool { return next.inst.owner.Load() != nil })
	for began := time.Now(); time.Since(began) < 30*time.Second; time.Sleep(50 * time.Millisecond) {
		if o := r.owner(); o != nil && o != next {
			t.Logf("replaced after %v", time.Since(began))
			return
		}
	}
	t.Errorf("still the owner after 30 s, with witnesses %v", next.inst.latestTermRecord().Witnesses)
}
