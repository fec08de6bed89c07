package modelcheck

import (
	"testing"
)

func logTrace(t *testing.T, r Report) {
	t.Helper()
	for i, a := range r.Trace {
		t.Logf("%2d %s", i+1, a)
	}
}

func TestTryKeySpec(t *testing.T) {
	for _, k := range []KeySpec{
		{Wait: 1, Ticks: 2},
		{Wait: 1, Ticks: 1, Restarts: 1},
		{Wait: 1, Ticks: 1, Restarts: 1, Crashes: 1},
		{Wait: 1, Ticks: 2, Claims: true, Faulty: Faulty{KeepTraces: true}},
		{Wait: 1, Ticks: 1, Restarts: 1, Faulty: Faulty{ListEarly: true}},
		{Wait: 1, Ticks: 2, Claims: true},
		{Wait: 1, Ticks: 2, Restarts: 1},
		{Wait: 1, Ticks: 3, Claims: true, Faulty: Faulty{AnyEpoch: true}},
	} {
		r := Explore(k, 3_000_000)
		t.Logf("%+v: %s %v", k, r, r.Traps)
		if r.Broken != "" {
			t.Errorf("%s", r.Broken)
			logTrace(t, r)
		}
	}
}
