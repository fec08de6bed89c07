package instance

import (
	"testing"
	"time"

	"coltsfootmux/internal/wire"
)

// TestOwnerAsksPeersThatAnswerWhatTheyReach guards against an owner without workers that keeps its term for
// minutes because it asks instances that are gone first: records of members are never removed.
func TestOwnerAsksPeersThatAnswerWhatTheyReach(t *testing.T) {
	r := newRig(t, 0)
	r.announceGoneMembers(60)
	for n := range 7 {
		r.addInstance(n)
	}
	r.waitFor("five witnesses", func() bool {
		o := r.owner()
		return o != nil && len(o.inst.latestTermRecord().Witnesses) == 5
	})
	time.Sleep(memberDemotion + time.Second) // nobody is asked who is no witness
	owner := r.owner()
	for turn := range 4 { // the fourth comes 14 s after the first
		if got := owner.inst.askReach(t.Context(), turn, wire.ReachQuery{}); len(got) > 0 {
			t.Logf("%d answered in turn %d", len(got), turn)
			return
		}
	}
	t.Error("no peer has answered in four turns, and five witnesses answer the owner")
}
