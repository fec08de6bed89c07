package modelcheck

import (
	"strings"
	"testing"
)

// progressCases are the sizes in which progress is checked from each reachable state.
var progressCases = []struct {
	name string
	spec TermSpec
}{
	{"late messages", TermSpec{MaxTerms: 3, TermsOnly: true, Keeping: Keeping{Sets: oneWitness, MaxSlow: 1}}},
	{"a witness that restarts", TermSpec{MaxTerms: 2, TermsOnly: true, Keeping: Keeping{Sets: oneWitness, MaxSlow: 1, MaxWitnessRestarts: 1}}},
	{"cuts", TermSpec{MaxTerms: 2, TermsOnly: true, Keeping: Keeping{Sets: bothWitnesses, MaxSplits: 1}}},
	{"any witnesses", TermSpec{MaxTerms: 2, TermsOnly: true, Keeping: Keeping{Sets: anyWitnesses}}},
	{"consent of both", TermSpec{MaxTerms: 2, TermsOnly: true, Keeping: Keeping{Sets: bothWitnesses, ConsentOfAll: true}}},
}

// progressFaults are the faults beside which a fit instance must get the term.
var progressFaults = []LastingFault{FaultNone, FaultGone, FaultAllGone, FaultNoWorkers, FaultNoPeers}

// TestFitInstanceOwnsTermBesideLastingFault guards against rules of terms that are safe and by which the
// cell stays without an owner, or with one that can't do its work.
func TestFitInstanceOwnsTermBesideLastingFault(t *testing.T) {
	for _, c := range progressCases {
		for _, f := range progressFaults {
			t.Run(c.name+", "+f.String(), func(t *testing.T) {
				r := Explore(NewProgressSpec(c.spec, f), 1_000_000)
				t.Log(r)
				if r.Violation != "" || !r.Complete {
					t.Errorf("violation %q, complete %v", r.Violation, r.Complete)
					logTrace(t, r)
				}
			})
		}
	}
}

// TestEachRuleThatStopsProgressIsFound puts one fault at a time into the rules.
func TestEachRuleThatStopsProgressIsFound(t *testing.T) {
	spec := TermSpec{MaxTerms: 2, TermsOnly: true, Keeping: Keeping{Sets: bothWitnesses}}
	for name, c := range map[string]struct {
		fault  LastingFault
		mutate func(*ProgressSpec)
	}{
		"an owner that reaches no workers keeps its term":              {FaultNoWorkers, func(k *ProgressSpec) { k.KeepUnfit = true }},
		"an owner that its witnesses don't reach keeps its term":       {FaultNoPeers, func(k *ProgressSpec) { k.NoVotes = true }},
		"an owner that names no witnesses keeps its term":              {FaultNoPeers, func(k *ProgressSpec) { k.VotesOfWitnessesOnly = true }},
		"a claim after the loss of all witnesses waits for the leases": {FaultAllGone, func(k *ProgressSpec) { k.ClaimAfterLeases = true }},
	} {
		t.Run(name, func(t *testing.T) {
			k := NewProgressSpec(spec, c.fault)
			c.mutate(&k)
			r := Explore(k, 100_000)
			t.Logf("%s: %s", r, r.Violation)
			logTrace(t, r)
			if !strings.HasPrefix(r.Violation, c.fault.String()) {
				t.Errorf("found %q", r.Violation)
			}
		})
	}
}
