package term

import (
	"testing"
	"time"
)

// TestOwnerPausedInSeriesLeavesTheTermToOthers guards against an instance that claims term after term,
// each time it wakes from a pause, and never owns one for long enough to take over the cell: weak
// instances never found its record stale.
func TestOwnerPausedInSeriesLeavesTheTermToOthers(t *testing.T) {
	x := newTrio(t)
	paused := x.instances[0]
	for _, c := range x.instances[1:] {
		c.core.settings.ClaimDelay = 1800 * time.Millisecond // with those of no witness at a slow store
	}
	x.down[x.instances[2]] = true
	for x.now < 40*time.Second {
		x.down[paused] = true
		x.run(2600 * time.Millisecond)
		x.down[paused] = false
		x.run(300 * time.Millisecond)
	}
	if other := x.instances[1]; other.ownedTerm == 0 || len(paused.gained) > 3 {
		t.Errorf("the paused instance gained terms %v, another owns term %d", paused.gained, other.ownedTerm)
	}
}

// TestOwnerClaimsAtOnceAfterAnOutage covers the other side: an owner that held its term for long before
// the store was away claims the next one as soon as it is back.
func TestOwnerClaimsAtOnceAfterAnOutage(t *testing.T) {
	x := newTrio(t)
	x.run(minConfirmedTenure)
	owner := x.instances[0]
	for end := x.now + 5*time.Second; x.now < end; x.now += 50 * time.Millisecond {
		for _, c := range x.instances {
			c.step(x.now, ReadFailed{})
			c.step(x.now, Tick{})
		}
	}
	if owner.ownedTerm != 0 {
		t.Fatalf("owns term %d without a confirmation", owner.ownedTerm)
	}
	for _, c := range x.instances {
		c.pending, c.sentAt, c.core.pendingWrites = nil, nil, 0
	}
	x.run(500 * time.Millisecond)
	if owner.ownedTerm != 2 {
		t.Errorf("owns term %d half a second after the outage", owner.ownedTerm)
	}
}
