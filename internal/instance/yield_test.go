package instance

import (
	"testing"
	"time"
)

// The jobs that the weak owner has accepted must go on.
func TestWeakOwnerHandsItsTermToAStrongInstance(t *testing.T) {
	r := newRig(t, 0)
	settle := func(delay time.Duration) {
		r.claimDelay, r.minTenure = delay, 300*time.Millisecond
		r.addInstance(len(r.nodes))
	}
	settle(400 * time.Millisecond)
	r.waitFor("the weak owner", func() bool { return r.owner() != nil })
	weak := r.nodes[0]
	r.waitFor("accepted", func() bool { return r.submit(weak, "j", 12) == nil })
	settle(-fastTermSettings(1).ClaimDelay)
	r.waitFor("the strong owner", func() bool { return r.owner() == r.nodes[1] })
	r.waitFor("complete", r.isComplete(weak, "j"))
	if got := r.nodes[1].inst.latestTermRecord().Term; got != 2 {
		t.Errorf("term %d", got)
	}
	r.checkFleet()
}
