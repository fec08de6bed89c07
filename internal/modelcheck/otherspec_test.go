package modelcheck

import "testing"

// termSpec returns the term specification in a size that is explored completely.
func termSpec() TermSpec {
	k := TermSpec{MaxTerms: 2, MaxRestarts: 1, MaxPartitions: 1}
	if large() {
		k.MaxTerms, k.MaxPartitions = 3, 2
	}
	return k
}

func TestOneTaskRunsOnceAcrossTerms(t *testing.T) {
	r := Explore(termSpec(), 60_000_000)
	t.Log(r)
	if r.Violation != "" || !r.Complete {
		t.Errorf("violation %q, complete %v", r.Violation, r.Complete)
		logTrace(t, r)
	}
	for _, scenario := range []string{ScenarioTwoOwners, ScenarioSilentWorker, ScenarioEarlierStart, ScenarioAdoptedRun, ScenarioNewIncarnation} {
		if r.Scenarios[scenario] == 0 {
			t.Errorf("scenario not reached: %s", scenario)
		}
	}
}

func TestEachTermMutationIsFound(t *testing.T) {
	for name, mutate := range map[string]func(*TermSpec){
		"workers accept orders of earlier terms":            func(k *TermSpec) { k.NoFence = true },
		"no wait for unresponsive workers":                  func(k *TermSpec) { k.NoWait = true },
		"ends acknowledged before they are recorded":        func(k *TermSpec) { k.AckBeforeRecord = true },
		"unanswered starts assumed lost":                    func(k *TermSpec) { k.AssumeStartLost = true },
		"owner renews leases without a recent confirmation": func(k *TermSpec) { k.RenewUnconfirmed = true },
		"owner starts tasks without a recent confirmation":  func(k *TermSpec) { k.StartUnconfirmed = true },
	} {
		k := termSpec()
		k.RunsOnly = true // the fault must be seen in the runs themselves
		mutate(&k)
		if r := Explore(k, 20_000_000); r.Violation == "" {
			t.Errorf("%s: no violation found in %s", name, r)
		}
	}
}

func TestConfigurationVersionsNeverDecrease(t *testing.T) {
	k := ConfigSpec{MaxReplacements: 1}
	if large() {
		k.MaxReplacements = 3
	}
	r := Explore(k, 20_000_000)
	t.Log(r)
	if r.Violation != "" || !r.Complete {
		t.Errorf("violation %q, complete %v", r.Violation, r.Complete)
		logTrace(t, r)
	}
	if r.Scenarios[ScenarioColdStart] == 0 {
		t.Errorf("scenario not reached: %s", ScenarioColdStart)
	}
}

func TestEachConfigurationMutationIsFound(t *testing.T) {
	for name, k := range map[string]ConfigSpec{
		"ready after the answer of one peer":             {MaxReplacements: 1, TrustSinglePeer: true},
		"the latest push is applied even if it is older": {MaxReplacements: 1, AcceptOlder: true},
	} {
		if r := Explore(k, 500_000); r.Violation == "" {
			t.Errorf("%s: no violation found in %s", name, r)
		}
	}
}
