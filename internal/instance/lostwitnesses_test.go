package instance

import (
	"slices"
	"testing"
	"time"

	"coltsfootmux/internal/core/term"
)

// TestLossOfOwnerAndMostWitnessesLeavesNoOwner guards against a claim that waits for the consents of
// lost hosts: no job began until KeepLimit was over. The bound is the time after a loss from which on
// users expect requests to be served.
func TestLossOfOwnerAndMostWitnessesLeavesNoOwner(t *testing.T) {
	const bound = 12 * time.Second
	r := newRig(t, 0)
	r.platformTerm = true
	for n := range 7 {
		r.addInstance(n)
	}
	r.waitFor("an owner", func() bool { return r.owner() != nil })
	owner := r.owner()
	r.waitFor("five witnesses", func() bool { return len(owner.inst.latestTermRecord().Witnesses) == 5 })
	r.waitFor("a job is accepted", func() bool { return r.submit(owner, "before", 2) == nil })
	r.waitFor("a job is complete", r.isComplete(owner, "before"))
	lost := []*node{owner}
	witnesses := owner.inst.latestTermRecord().Witnesses
	for _, n := range r.nodes {
		isWitness := slices.ContainsFunc(witnesses, func(w term.Witness) bool { return w.Addr == n.inst.Settings.LinkAddr })
		if isWitness && len(lost) < len(witnesses) {
			lost = append(lost, n)
		}
	}
	for _, n := range lost {
		n.inst.cancel() // all at once; kill waits for the end
	}
	began := time.Now()
	for _, n := range lost {
		n.kill()
	}
	rest := r.nonOwner()
	accepted, complete := false, false
	for time.Since(began) < bound && !complete {
		accepted = accepted || r.submit(rest, "after", 2) == nil
		complete = accepted && r.isComplete(rest, "after")()
		time.Sleep(50 * time.Millisecond)
	}
	t.Logf("accepted: %v; complete: %v, %v after the loss", accepted, complete, time.Since(began))
	if !complete {
		t.Errorf("no job completes for %v after the loss of the owner and %d of %d witnesses; an owner: %v", bound, len(lost)-1, len(witnesses), r.owner() != nil)
	}
	r.checkFleet()
}
