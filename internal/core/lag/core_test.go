package lag

import (
	"testing"
	"time"
)

const ms = time.Millisecond

func TestLagIsThatOfTheTimeAskedFor(t *testing.T) {
	c := &Core{}
	for n := range 100 { // 5 s of ticks; late between 1 s and 2 s
		now := time.Duration(n) * 50 * ms
		late := 2 * ms
		if now >= time.Second && now < 2*time.Second {
			late = 700 * ms
		}
		c.Observe(now, late)
	}
	for name, want := range map[string]struct {
		from time.Duration
		late time.Duration
	}{
		"since before the lag": {500 * ms, 700 * ms},
		"since within the lag": {1500 * ms, 700 * ms},
		"since after the lag":  {2 * time.Second, 2 * ms},
		"in the future":        {9 * time.Second, 0},
	} {
		if got := c.Since(4950*ms, want.from); got != want.late {
			t.Errorf("%s: %v, want %v", name, got, want.late)
		}
	}
	if got := c.Now(4950 * ms); got != 2*ms {
		t.Errorf("at present: %v", got)
	}
}

func TestLagIsForgotten(t *testing.T) {
	c := &Core{}
	c.Observe(time.Second, 3*time.Second)
	for n := range 200 {
		c.Observe(time.Second+time.Duration(n+1)*50*ms, 0)
	}
	if got := c.Since(11*time.Second, 0); got != 0 {
		t.Errorf("after 10 s: %v", got)
	}
	if n := len(c.observations); n > 130 {
		t.Errorf("%d observations kept", n)
	}
}

// TestLagOfAProcessThatObservesNothingGrows guards against a process that seems to be in time, as what
// observes its lag has waited for the processor for seconds.
func TestLagOfAProcessThatObservesNothingGrows(t *testing.T) {
	c := NewPeriodic(50 * ms)
	c.Observe(time.Second, 2*ms)
	for now, want := range map[time.Duration]time.Duration{
		1040 * ms:       2 * ms,
		1350 * ms:       300 * ms,
		4 * time.Second: 2950 * ms,
	} {
		if got := c.Now(now); got != want {
			t.Errorf("at %v: %v, want %v", now, got, want)
		}
		if got := c.Since(now, 900*ms); got != want {
			t.Errorf("since 900ms at %v: %v, want %v", now, got, want)
		}
	}
}
