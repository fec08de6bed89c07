package modelcheck

import "testing"

// The sets of witnesses that renewals name in a specification: one witness, both, one of
// the two, or any.
const (
	oneWitness    = 1 << 0b01
	bothWitnesses = 1 << 0b11
	eitherWitness = 1<<0b01 | 1<<0b10
	anyWitnesses  = eitherWitness | bothWitnesses
)

// keepingCases are the sizes in which terms that are kept without the store are explored
// completely.
var keepingCases = []struct {
	name  string
	spec  TermSpec
	large bool
}{
	{name: "task", spec: TermSpec{MaxTerms: 2, Keeping: Keeping{Sets: oneWitness}}},
	{name: "one witness", spec: TermSpec{MaxTerms: 2, TermsOnly: true, Keeping: Keeping{Sets: oneWitness, MaxSlow: 2, MaxWitnessRestarts: 1}}},
	{name: "three terms", spec: TermSpec{MaxTerms: 3, TermsOnly: true, Keeping: Keeping{Sets: oneWitness, MaxSlow: 1}}},
	{name: "two witnesses", spec: TermSpec{MaxTerms: 2, TermsOnly: true, Keeping: Keeping{Sets: bothWitnesses, MaxSlow: 1}}},
	{name: "two witnesses, consent of both", spec: TermSpec{MaxTerms: 2, TermsOnly: true, Keeping: Keeping{Sets: bothWitnesses, MaxSlow: 1, ConsentOfAll: true}}},
	{name: "two sets", spec: TermSpec{MaxTerms: 2, TermsOnly: true, Keeping: Keeping{Sets: eitherWitness, MaxSlow: 1}}},
	{name: "cuts", spec: TermSpec{MaxTerms: 2, TermsOnly: true, Keeping: Keeping{Sets: bothWitnesses, MaxSplits: 1}}},
	// An owner of the earlier term is gone before the later one is stale.
	{name: "a witness that forgets its consent after that to a later claim", spec: TermSpec{MaxTerms: 3, TermsOnly: true, Keeping: Keeping{Sets: oneWitness, MaxSlow: 1, ForgetEarlierConsent: true}}},
	{name: "task and a late message", large: true, spec: TermSpec{MaxTerms: 2, Keeping: Keeping{Sets: oneWitness, MaxSlow: 1}}},
	{name: "any set", large: true, spec: TermSpec{MaxTerms: 2, TermsOnly: true, Keeping: Keeping{Sets: anyWitnesses, MaxSlow: 2}}},
	{name: "any set, three terms", large: true, spec: TermSpec{MaxTerms: 3, TermsOnly: true, Keeping: Keeping{Sets: anyWitnesses, MaxSlow: 1, MaxWitnessRestarts: 1}}},
	{name: "cuts and late messages", large: true, spec: TermSpec{MaxTerms: 2, TermsOnly: true, Keeping: Keeping{Sets: bothWitnesses, MaxSlow: 1, MaxWitnessRestarts: 1, MaxSplits: 2}}},
}

func TestKeptTermAndLaterClaimExcludeEachOther(t *testing.T) {
	reached := make(map[string]int)
	for _, c := range keepingCases {
		if c.large && !large() {
			continue
		}
		t.Run(c.name, func(t *testing.T) {
			r := Explore(c.spec, 40_000_000)
			t.Log(r)
			if r.Violation != "" || !r.Complete {
				t.Errorf("violation %q, complete %v", r.Violation, r.Complete)
				logTrace(t, r)
			}
			for scenario, n := range r.Scenarios {
				reached[scenario] += n
			}
		})
	}
	t.Run("scenarios", func(t *testing.T) {
		for _, scenario := range []string{
			ScenarioKeptTerm, ScenarioTwoSets, ScenarioSlowClaim, ScenarioConsentGiven, ScenarioKeepLimit, ScenarioIsland,
			ScenarioTwoOwners, ScenarioAdoptedRun, ScenarioEarlierStart,
		} {
			t.Logf("%8d states: %s", reached[scenario], scenario)
			if reached[scenario] == 0 {
				t.Errorf("scenario not reached: %s", scenario)
			}
		}
	})
}

// TestEachKeepingMutationIsFound puts one fault at a time into the protocol by which a
// term is kept without the store. With each an owner may start tasks after a later term
// was claimed.
func TestEachKeepingMutationIsFound(t *testing.T) {
	for name, k := range map[string]TermSpec{
		"kept on the word of one peer that the store does not serve it": {MaxTerms: 2, Keeping: Keeping{MaxSplits: 1, TrustPeerWord: true}},
		"promises counted from their arrival":                           {MaxTerms: 2, Keeping: Keeping{Sets: oneWitness, MaxSlow: 1, CountFromArrival: true}},
		"renewals counted from their answer":                            {MaxTerms: 2, Keeping: Keeping{Sets: oneWitness, MaxSlow: 1, CountRenewalFromArrival: true}},
		"claims counted from their answer":                              {MaxTerms: 2, Keeping: Keeping{Sets: oneWitness, MaxSlow: 1, CountClaimFromArrival: true}},
		"a promise after a consent":                                     {MaxTerms: 2, Keeping: Keeping{Sets: oneWitness, ForgetConsent: true}},
		"a promise for an earlier term replaces that for a later one":   {MaxTerms: 3, Keeping: Keeping{Sets: oneWitness, PromiseEarlierTerm: true}},
		"a promise asked with a renewal that may not be stored":         {MaxTerms: 2, Keeping: Keeping{Sets: oneWitness, MaxSlow: 1, AskWithSentRenewal: true}},
		"a restarted witness consents at once":                          {MaxTerms: 2, Keeping: Keeping{Sets: oneWitness, MaxWitnessRestarts: 1, ConsentAfterRestart: true}},
		"a restarted witness promises for its predecessor":              {MaxTerms: 2, Keeping: Keeping{Sets: oneWitness, MaxWitnessRestarts: 1, PromiseAfterRestart: true}},
		"promises and consents of sets that do not intersect":           {MaxTerms: 2, Keeping: Keeping{Sets: bothWitnesses, KeepByOne: true}},
		"promises of the known set while another may be stored":         {MaxTerms: 2, Keeping: Keeping{Sets: eitherWitness, MaxSlow: 1, KnownSetOnly: true}},
		"promises of a set that may not be stored":                      {MaxTerms: 2, Keeping: Keeping{Sets: eitherWitness, MaxSlow: 1, SentSetOnly: true}},
		"a claim without consent before the limit":                      {MaxTerms: 2, Keeping: Keeping{Sets: oneWitness, ClaimBeforeLimit: true}},
		"starts for longer than the limit":                              {MaxTerms: 2, Keeping: Keeping{Sets: oneWitness, StartWithoutLimit: true}},
	} {
		t.Run(name, func(t *testing.T) { checkFinds(t, k, brokenStart) })
	}
}

// TestEachMutationOfAllowancesIsFound puts one fault at a time into what later owners know of an earlier
// one that keeps its term.
func TestEachMutationOfAllowancesIsFound(t *testing.T) {
	for name, k := range map[string]TermSpec{
		"a term kept for longer than the limit":                  {MaxTerms: 2, Keeping: Keeping{Sets: oneWitness, KeepWithoutLimit: true}},
		"a claim without consent that does not allow for leases": {MaxTerms: 2, Keeping: Keeping{Sets: oneWitness, IgnoreEarlier: true}},
		"a later claim that forgets the allowance":               {MaxTerms: 3, Keeping: Keeping{Sets: oneWitness, ForgetEarlier: true}},
	} {
		t.Run(name, func(t *testing.T) { checkFinds(t, k, brokenLease) })
	}
}

// checkFinds fails unless an exploration finds a violation by owners.
func checkFinds(t *testing.T, k TermSpec, want string) {
	k.TermsOnly = true
	r := Explore(k, 100_000)
	t.Logf("%s: %s", r, r.Violation)
	logTrace(t, r)
	if r.Violation != want {
		t.Errorf("found %q, want %q", r.Violation, want)
	}
}

// TestKeptTermsRunATaskTwice replays traces in which a term that is kept wrongly ends in
// two runs at once. Without the fault the trace must not.
func TestKeptTermsRunATaskTwice(t *testing.T) {
	tick := action(TermTick, 0, 0, 0)
	for name, c := range map[string]struct {
		keeping Keeping
		fault   func(*Keeping)
		trace   []Action
	}{
		"kept on the word of one peer that the store does not serve it": {
			keeping: Keeping{MaxSplits: 1},
			fault:   func(k *Keeping) { k.TrustPeerWord = true },
			trace: []Action{
				action(TermClaim, 0, 0, 0), action(TermHold, 0, 0, 0), action(TermHold, 0, 1, 0), action(TermSplit, 0, 0, 0),
				tick, tick, action(TermClaim, 1, 0, 0), action(TermHold, 1, 1, 0),
				tick, action(TermPeerWord, 0, 0, 0), tick, tick, action(TermRenew, 1, 0, 0),
				tick, action(TermStart, 1, 1, 0), action(TermStartDelivered, 0, 0, 0),
				action(TermPeerWord, 0, 0, 0), action(TermStart, 0, 0, 0), action(TermStartDelivered, 0, 0, 0),
			},
		},
		"promises counted from their arrival": {
			keeping: Keeping{Sets: oneWitness, MaxSlow: 1},
			fault:   func(k *Keeping) { k.CountFromArrival = true },
			trace: []Action{
				action(TermClaimAnswered, 0, 0, 0), tick, action(TermAskPromise, 0, 0, 0), action(TermPromise, 0, 0, 0),
				action(TermRenewalAnswered, 0, 0, 0), action(TermHold, 0, 0, 0), action(TermHold, 0, 1, 0),
				action(TermStart, 0, 0, 0), action(TermStartDelivered, 0, 0, 0),
				tick, action(TermHold, 0, 0, 0), tick, action(TermHold, 0, 0, 0),
				action(TermConsent, 1, 0, 0), action(TermClaimAnswered, 1, 0, 0), action(TermHold, 1, 1, 0),
				tick, action(TermPromiseAnswer, 0, 0, 0), action(TermHold, 0, 0, 0), tick, action(TermHold, 0, 0, 0),
				tick, action(TermHold, 0, 0, 0), action(TermRenewalAnswered, 1, 0, 0),
				tick, action(TermHold, 0, 0, 0), action(TermStart, 1, 1, 0), action(TermStartDelivered, 0, 0, 0),
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			k := TermSpec{MaxTerms: 2, Keeping: c.keeping}
			if got := runTermTrace(k, c.trace); got != "" {
				t.Errorf("violation without the fault: %s", got)
			}
			c.fault(&k.Keeping)
			k.RunsOnly = true
			if got, want := runTermTrace(k, c.trace), "two runs of a task at the same time"; got != want {
				t.Errorf("with the fault: %q, want %q", got, want)
			}
		})
	}
}

// runTermTrace executes the actions of a trace and returns the first violated invariant.
func runTermTrace(k TermSpec, trace []Action) string {
	s := k.Initial()
	for _, a := range trace {
		s = k.Do(s, a)
		if broken := k.Check(s); broken != "" {
			return broken
		}
	}
	return ""
}
