package modelcheck

import "testing"

// termSpec is the size that every run of the tests explores whole.
func termSpec() TermSpec {
	k := TermSpec{Terms: 2, Restarts: 1, Cuts: 1}
	if large() {
		k.Terms, k.Cuts = 3, 2
	}
	return k
}

func TestOneTaskRunsOnceAcrossTerms(t *testing.T) {
	r := Explore(termSpec(), 60_000_000)
	t.Log(r)
	if r.Broken != "" || !r.Whole {
		t.Errorf("%q, whole %v", r.Broken, r.Whole)
		logTrace(t, r)
	}
	for _, trap := range []string{TrapTwoOwners, TrapSilentWorker, TrapEarlierStart, TrapAdopted, TrapNewLife} {
		if r.Traps[trap] == 0 {
			t.Errorf("not reached: %s", trap)
		}
	}
}

func TestEachTermFaultIsFound(t *testing.T) {
	for name, fault := range map[string]func(*TermSpec){
		"workers don't fence":                    func(k *TermSpec) { k.NoFence = true },
		"no wait for silent workers":             func(k *TermSpec) { k.NoWait = true },
		"ends acknowledged before they are kept": func(k *TermSpec) { k.AckFirst = true },
		"unanswered starts taken for lost":       func(k *TermSpec) { k.NoDoubt = true },
		"owner goes on without a proof":          func(k *TermSpec) { k.NoGrace = true },
		"owner starts tasks without a proof":     func(k *TermSpec) { k.LateStarts = true },
	} {
		k := termSpec()
		fault(&k)
		if r := Explore(k, 20_000_000); r.Broken == "" {
			t.Errorf("%s: not found in %s", name, r)
		}
	}
}

func TestConfigurationVersionsNeverFall(t *testing.T) {
	k := ConfigSpec{Replaced: 1}
	if large() {
		k.Replaced = 3
	}
	r := Explore(k, 20_000_000)
	t.Log(r)
	if r.Broken != "" || !r.Whole {
		t.Errorf("%q, whole %v", r.Broken, r.Whole)
		logTrace(t, r)
	}
	if r.Traps[TrapColdStart] == 0 {
		t.Errorf("not reached: %s", TrapColdStart)
	}
}

func TestEachConfigurationFaultIsFound(t *testing.T) {
	for name, k := range map[string]ConfigSpec{
		"ready on the word of one peer": {Replaced: 1, AnyPeer: true},
		"the latest push wins":          {Replaced: 1, LastWins: true},
	} {
		if r := Explore(k, 500_000); r.Broken == "" {
			t.Errorf("%s: not found in %s", name, r)
		}
	}
}
