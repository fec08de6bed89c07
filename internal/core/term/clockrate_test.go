package term

import (
	"testing"
	"time"
)

// TestKeptTermEndsBeforeClaimsAtClocksOfOtherRates guards against limits that hold for equal
// clocks only: design 0708 takes for granted that they run at the same rate within 10 %.
// An owner starts tasks for startGrace after a confirmation, and renews leases while it owns its term.
func TestKeptTermEndsBeforeClaimsAtClocksOfOtherRates(t *testing.T) {
	const startGrace = 1300 * time.Millisecond // as in package platform
	for _, percent := range []int{100, 99, 95, 91} {
		f := &fakeStore{}
		a, stored := ownerWithWitnesses(f, 3)
		owners := func(now time.Duration) time.Duration { return stored + (now-stored)*time.Duration(percent)/100 }
		b := newContender(0)
		b.core = New(DefaultSettings(), "node-9/1", "10.0.0.9:1")
		b.readAll(stored, f)
		var claimed, allowsUntil, mayStart, renews time.Duration
		for now := stored; now < stored+time.Minute && claimed == 0; now += 10 * time.Millisecond {
			for w := range 3 {
				a.step(owners(now), Promised{Witness: testWitness(w + 1).ID, Term: 1, At: owners(now)})
			}
			a.step(owners(now), Tick{})
			a.fail(owners(now))
			if a.ownedTerm != 0 && owners(now)-a.core.startConfirmedAt <= startGrace {
				mayStart = now
			}
			b.readAll(now, f)
			b.step(now, Tick{})
			if len(b.pending) > 0 {
				claimed = now
				allowsUntil = now + b.pending[0].Record.EarlierOwners
			}
		}
		for now := claimed; now < claimed+time.Minute && a.ownedTerm != 0; now += 10 * time.Millisecond {
			for w := range 3 {
				a.step(owners(now), Promised{Witness: testWitness(w + 1).ID, Term: 1, At: owners(now)})
			}
			a.step(owners(now), Tick{})
			a.fail(owners(now))
			if a.ownedTerm != 0 && owners(now)-a.core.startConfirmedAt <= startGrace {
				mayStart = now
			}
			if a.ownedTerm != 0 {
				renews = now
			}
		}
		if renews >= allowsUntil || renews < stored+DefaultSettings().KeepLimit {
			t.Errorf("owner's clock at %d %%: renews leases until %v, the next owner allows for it until %v", percent, renews-stored, allowsUntil-stored)
		}
		if mayStart >= claimed {
			t.Errorf("owner's clock at %d %%: may start until %v, the next term is claimed at %v", percent, mayStart-stored, claimed-stored)
		}
	}
}
