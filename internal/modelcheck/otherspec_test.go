package modelcheck

import "testing"

// termSpec is the size that every run of the tests explores whole.
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
		t.Errorf("%q, whole %v", r.Violation, r.Complete)
		logTrace(t, r)
	}
	for _, trap := range []string{ScenarioTwoOwners, ScenarioSilentWorker, ScenarioEarlierStart, ScenarioAdoptedRun, ScenarioNewIncarnation} {
		if r.Scenarios[trap] == 0 {
			t.Errorf("not reached: %s", trap)
		}
	}
}

func TestEachTermFaultIsFound(t *testing.T) {
	for name, fault := range map[string]func(*TermSpec){
		"workers don't fence":                    func(k *TermSpec) { k.NoFence = true },
		"no wait for silent workers":             func(k *TermSpec) { k.NoWait = true },
		"ends acknowledged before they are kept": func(k *TermSpec) { k.AckBeforeRecord = true },
		"unanswered starts taken for lost":       func(k *TermSpec) { k.AssumeStartLost = true },
		"owner goes on without a proof":          func(k *TermSpec) { k.RenewUnconfirmed = true },
		"owner starts tasks without a proof":     func(k *TermSpec) { k.StartUnconfirmed = true },
	} {
		k := termSpec()
		fault(&k)
		if r := Explore(k, 20_000_000); r.Violation == "" {
			t.Errorf("%s: not found in %s", name, r)
		}
	}
}

func TestConfigurationVersionsNeverFall(t *testing.T) {
	k := ConfigSpec{MaxReplacements: 1}
	if large() {
		k.MaxReplacements = 3
	}
	r := Explore(k, 20_000_000)
	t.Log(r)
	if r.Violation != "" || !r.Complete {
		t.Errorf("%q, whole %v", r.Violation, r.Complete)
		logTrace(t, r)
	}
	if r.Scenarios[ScenarioColdStart] == 0 {
		t.Errorf("not reached: %s", ScenarioColdStart)
	}
}

func TestEachConfigurationFaultIsFound(t *testing.T) {
	for name, k := range map[string]ConfigSpec{
		"ready on the word of one peer": {MaxReplacements: 1, TrustSinglePeer: true},
		"the latest push wins":          {MaxReplacements: 1, AcceptOlder: true},
	} {
		if r := Explore(k, 500_000); r.Violation == "" {
			t.Errorf("%s: not found in %s", name, r)
		}
	}
}
