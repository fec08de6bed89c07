package instance

import (
	"testing"
	"time"
)

// TestAWeakOwnerHandsItsTermToAStrongInstance: the jobs that it had accepted go on.
func TestAWeakOwnerHandsItsTermToAStrongInstance(t *testing.T) {
	r := newRig(t, 0)
	settle := func(delay time.Duration) {
		r.delay, r.settle = delay, 300*time.Millisecond
		r.add(len(r.nodes))
	}
	settle(400 * time.Millisecond)
	r.wait("the weak owner", func() bool { return r.owner() != nil })
	weak := r.nodes[0]
	r.wait("accepted", func() bool { return r.submit(weak, "j", 12) == nil })
	settle(-fastTerms(1).ClaimDelay)
	r.wait("the strong owner", func() bool { return r.owner() == r.nodes[1] })
	r.wait("complete", r.complete(weak, "j"))
	if got := r.nodes[1].inst.newestTerm().Term; got != 2 {
		t.Errorf("term %d", got)
	}
	r.checkFleet()
}
