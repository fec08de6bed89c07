package instance

import (
	"testing"
	"time"

	"coltsfootmux/internal/core/term"
)

// TestWeakOwnerThatDoesNotAnswerHandsItsTermToAStrongInstance guards against a weak owner that is too busy
// to answer the strong instance that asks for its term.
func TestWeakOwnerThatDoesNotAnswerHandsItsTermToAStrongInstance(t *testing.T) {
	t.Parallel()
	r := newRig(t, 0)
	settle := func(delay time.Duration) {
		r.claimDelay, r.minTenure = delay, 3*time.Second
		r.addInstance(len(r.nodes))
	}
	settle(400 * time.Millisecond)
	r.waitFor("the weak owner", func() bool { return r.owner() != nil })
	weak := r.nodes[0]
	settle(-fastTermSettings(1).ClaimDelay)
	strong := r.nodes[1]
	r.waitFor("the strong one is a witness", func() bool { return strong.inst.isWitnessOf(strong.inst.latestTermRecord()) })
	weak.gate.refuse(strong.inst.Settings.Name, true)
	r.waitFor("the strong owner", func() bool { return r.owner() == strong })
	if v := r.votes()[strong.inst.Settings.Name]; v != (term.Vote{Term: 1, Voter: strong.inst.witnessID, Reason: term.VoteStronger, Addr: strong.inst.Settings.LinkAddr}) {
		t.Errorf("latest vote: %+v", v)
	}
}
