package instance

import (
	"testing"
	"time"
)

// A process that gives its peers the address of one that still runs (COLTSFOOTMUX_ADVERTISE names
// a forwarder, and the old process drains behind it) took the cell's owner for its own earlier
// incarnation, and claimed the next term at once, while the owner renewed its term and started
// tasks.
func TestOwnerIsNotReplacedByAProcessWithTheSameAdvertisedAddress(t *testing.T) {
	r := newRig(t, 1)
	r.waitFor("an owner", func() bool { return r.owner() != nil })
	first := r.owner().inst
	r.advertise, r.claimDelay = first.Settings.LinkAddr, -fastTermSettings(1).ClaimDelay // a strong instance
	r.addInstance(1)
	for end := time.Now().Add(4 * first.Settings.Term.StaleAfter); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if rec := first.latestTermRecord(); rec.Term != 1 {
			t.Fatalf("%s has claimed term %d beside an owner that renews its term", rec.Owner, rec.Term)
		}
	}
}
