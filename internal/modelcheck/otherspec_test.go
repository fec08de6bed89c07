package modelcheck

import "testing"

func TestNoGangMemberRunsOnWithoutItsGang(t *testing.T) {
	r := Explore(GangSpec{Ticks: 6, Restarts: 1}, 500_000)
	t.Log(r)
	if r.Broken != "" || !r.Whole {
		t.Errorf("%q, whole %v", r.Broken, r.Whole)
		logTrace(t, r)
	}
	for _, trap := range []string{TrapHalfStarted, TrapUnrecorded} {
		if r.Traps[trap] == 0 {
			t.Errorf("not reached: %s", trap)
		}
	}
}

func TestEachGangFaultIsFound(t *testing.T) {
	for name, k := range map[string]GangSpec{
		"members started one by one":       {Ticks: 4, OneByOne: true},
		"tasks outlive their lease":        {Ticks: 4, NoLease: true},
		"half a gang's leases are renewed": {Ticks: 4, RenewHalf: true},
	} {
		if r := Explore(k, 500_000); r.Broken == "" {
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
