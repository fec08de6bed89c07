package lag

import (
	"testing"
	"time"
)

func TestPassesKeepTheirShareUpToABound(t *testing.T) {
	for took, want := range map[time.Duration]time.Duration{
		0:               0,
		10 * ms:         40 * ms,
		100 * ms:        400 * ms,
		3 * time.Second: 500 * ms, // a pause of the process
	} {
		if got := PassInterval(took); got != want {
			t.Errorf("after %v: %v, want %v", took, got, want)
		}
	}
}

func TestLagExplainsWhatItTakes(t *testing.T) {
	for name, c := range map[string]struct {
		limit, late time.Duration
		want        bool
	}{
		"no lag":                {500 * ms, 0, false},
		"a little lag":          {500 * ms, 100 * ms, false},
		"four waits fill it":    {500 * ms, 125 * ms, true},
		"more than the limit":   {500 * ms, 2 * time.Second, true},
		"a longer limit is not": {700 * ms, 125 * ms, false},
	} {
		if got := Explains(c.limit, c.late); got != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}

func TestAllowancesAreBounded(t *testing.T) {
	if got := Allowance(time.Minute); got != maxAllowance {
		t.Errorf("a call: %v", got)
	}
	if got := DialAllowance(time.Minute); got >= Allowance(time.Minute) {
		t.Errorf("a connection: %v", got)
	}
	if Allowance(-ms) != 0 || DialAllowance(-ms) != 0 {
		t.Error("an allowance without lag")
	}
}

func TestUrgentStartsKeepTheirWindow(t *testing.T) {
	for name, c := range map[string]struct {
		late  time.Duration
		first bool
		want  int
	}{
		"in time":       {0, false, 64},
		"late, urgent":  {time.Second, true, 64},
		"late, other":   {time.Second, false, 16},
		"hardly late":   {99 * ms, false, 64},
		"just too late": {100 * ms, false, 16},
	} {
		if got := StartWindow(64, c.late, c.first); got != c.want {
			t.Errorf("%s: %d, want %d", name, got, c.want)
		}
	}
}
