package term

import (
	"testing"
	"time"
)

// trio is three instances at one store, of which the first owns the term.
type trio struct {
	t         *testing.T
	store     *fakeStore
	instances []*contender
	now       time.Duration
	// down holds the instances that do nothing any more.
	down map[*contender]bool
}

func newTrio(t *testing.T) *trio {
	x := &trio{t: t, store: &fakeStore{}, down: make(map[*contender]bool)}
	for n := range 3 {
		x.instances = append(x.instances, newContender(n))
	}
	x.run(3 * time.Second)
	if x.instances[0].ownedTerm != 1 {
		t.Fatalf("the first instance owns term %d", x.instances[0].ownedTerm)
	}
	return x
}

// run lets time pass, and fails if two instances own a term at the same time.
func (x *trio) run(d time.Duration) {
	x.t.Helper()
	for end := x.now + d; x.now < end; x.now += 50 * time.Millisecond {
		owners := 0
		for _, c := range x.instances {
			if x.down[c] {
				continue
			}
			c.readAll(x.now, x.store)
			c.step(x.now, Tick{AllTopicsReachable: true})
			for len(c.pending) > 0 {
				c.answer(x.now, x.store)
			}
		}
		for _, c := range x.instances {
			if c.ownedTerm != 0 && !x.down[c] {
				owners++
			}
		}
		if owners > 1 {
			x.t.Fatalf("%d owners at %v", owners, x.now)
		}
	}
}

// release has the first instance find that it should not own the term, and the named one should.
func (x *trio) release(successor int) {
	x.instances[0].step(x.now, Unfit{Term: 1, Successor: x.instances[successor].core.addr})
}

func TestNamedSuccessorClaimsBeforeOthers(t *testing.T) {
	x := newTrio(t)
	x.release(2)
	if x.instances[0].ownedTerm != 0 {
		t.Fatal("the owner goes on after it has decided to release its term")
	}
	x.run(200 * time.Millisecond)
	if x.instances[2].ownedTerm != 2 {
		t.Errorf("the successor owns term %d", x.instances[2].ownedTerm)
	}
	if r := x.instances[1].core.LatestRecord(); r.Handovers != 1 || r.Successor != "" {
		t.Errorf("record %+v", r)
	}
}

// TestOthersClaimWhenTheNamedSuccessorIsGone guards against a cell without an owner because the
// successor dies before it claims.
func TestOthersClaimWhenTheNamedSuccessorIsGone(t *testing.T) {
	x := newTrio(t)
	x.down[x.instances[2]] = true
	x.release(2)
	x.run(successorLead - 100*time.Millisecond)
	if x.instances[1].ownedTerm != 0 {
		t.Error("claimed before the successor had its time")
	}
	x.run(300 * time.Millisecond)
	if x.instances[1].ownedTerm != 2 || x.instances[0].ownedTerm != 0 {
		t.Errorf("terms %d and %d", x.instances[0].ownedTerm, x.instances[1].ownedTerm)
	}
}

// TestUnfitOwnerClaimsAgainWhenNobodyElseDoes covers a cell whose other instances are gone: an owner
// that reaches few workers is better than none.
func TestUnfitOwnerClaimsAgainWhenNobodyElseDoes(t *testing.T) {
	x := newTrio(t)
	x.down[x.instances[1]], x.down[x.instances[2]] = true, true
	x.release(1)
	x.run(unfitClaimDelay - 100*time.Millisecond)
	if x.instances[0].ownedTerm != 0 {
		t.Error("claimed again at once")
	}
	x.run(time.Second)
	if x.instances[0].ownedTerm != 2 {
		t.Errorf("owns term %d", x.instances[0].ownedTerm)
	}
}

// TestReleaseAfterARenewalInFlightIsStored guards against a release that a renewal bars which was on
// its way: the record then had to get stale.
func TestReleaseAfterARenewalInFlightIsStored(t *testing.T) {
	x := newTrio(t)
	owner := x.instances[0]
	for ; len(owner.pending) == 0; x.now += 50 * time.Millisecond {
		owner.step(x.now, Tick{})
	}
	x.release(2)
	x.run(600 * time.Millisecond)
	if x.instances[2].ownedTerm != 2 {
		t.Errorf("the successor owns term %d", x.instances[2].ownedTerm)
	}
}

// stopConfirming leaves the owner's renewals unanswered until none was stored lately.
func (x *trio) stopConfirming() *contender {
	owner := x.instances[0]
	for end := x.now + DefaultSettings().QueryPeersAfter + 600*time.Millisecond; x.now < end; x.now += 50 * time.Millisecond {
		owner.step(x.now, Tick{})
	}
	return owner
}

func TestReleaseNeedsARecentRenewal(t *testing.T) {
	x := newTrio(t)
	owner := x.stopConfirming()
	x.release(2)
	if owner.ownedTerm != 1 {
		t.Error("released a term without a recent renewal")
	}
	x.now += verdictValidity
	owner.core.confirmedAt = x.now
	owner.answer(x.now, x.store)
	if owner.ownedTerm != 1 {
		t.Error("released a term for a verdict of long ago")
	}
	owner.step(x.now, Unfit{Term: 7, Successor: "x"})
	if owner.ownedTerm != 1 {
		t.Error("released another term than the one meant")
	}
}

// TestUnfitOwnerWaitsForASlowStore guards against an owner that stays because its store is slow: between
// two renewals none was sent lately, and the verdict was dropped each time.
func TestUnfitOwnerWaitsForASlowStore(t *testing.T) {
	x := newTrio(t)
	owner := x.stopConfirming()
	x.release(2)
	x.now += 100 * time.Millisecond
	owner.answer(x.now, x.store)
	if owner.ownedTerm != 0 {
		t.Fatal("the owner stays although a renewal is stored")
	}
	x.run(600 * time.Millisecond)
	if x.instances[2].ownedTerm != 2 {
		t.Errorf("the successor owns term %d", x.instances[2].ownedTerm)
	}
}

// TestHandoversAreForgotten guards against a least tenure that stays long after a single change.
func TestHandoversAreForgotten(t *testing.T) {
	x := newTrio(t)
	x.release(1)
	x.run(handoverMemory - time.Second)
	if n := x.instances[2].core.LatestRecord().Handovers; n != 1 {
		t.Errorf("%d hand-overs just after one", n)
	}
	x.run(3 * time.Second)
	if n := x.instances[2].core.LatestRecord().Handovers; n != 0 {
		t.Errorf("%d hand-overs a minute after the only one", n)
	}
}

// TestUnfitInstanceDoesNotRequestTheTermBack guards against a term that goes round because the
// instance that gave it up runs on the stronger machine.
func TestUnfitInstanceDoesNotRequestTheTermBack(t *testing.T) {
	x := newTrio(t)
	x.instances[2].core.settings.ClaimDelay = time.Second
	x.release(2)
	x.run(30 * time.Second)
	if x.instances[2].ownedTerm != 2 {
		t.Errorf("the successor owns term %d", x.instances[2].ownedTerm)
	}
	for n, c := range x.instances {
		if len(c.yieldRequests) > 0 {
			t.Errorf("instance %d has requested the term %d times", n, len(c.yieldRequests))
		}
	}
}
