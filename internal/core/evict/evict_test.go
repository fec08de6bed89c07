package evict

import (
	"math/rand/v2"
	"testing"
	"time"
)

const ms = time.Millisecond

// TestWaitLeavesTimeForStops guards against urgent work that waits for ends and has no
// time left to stop the runs that don't end.
func TestWaitLeavesTimeForStops(t *testing.T) {
	for name, c := range map[string]struct {
		work Urgent
		want time.Duration
	}{
		"it has time":                         {Urgent{Slack: 2000 * ms, UntilReclaim: 2900 * ms}, 900 * ms},
		"its slack is small":                  {Urgent{Slack: 900 * ms, UntilReclaim: 2900 * ms}, 600 * ms},
		"the bound is near":                   {Urgent{Slack: 2000 * ms, UntilReclaim: 1100 * ms}, 500 * ms},
		"a stop would be over sooner":         {Urgent{Slack: 500 * ms, UntilReclaim: 2900 * ms}, 0},
		"it is late":                          {Urgent{Slack: -500 * ms, UntilReclaim: 2900 * ms}, 0},
		"less than two stops are left for it": {Urgent{Slack: 2000 * ms, UntilReclaim: 500 * ms}, 0},
	} {
		if got := c.work.Wait(300*ms, 900*ms); got != c.want {
			t.Errorf("%s: waits %v, want %v", name, got, c.want)
		}
	}
}

// TestStopTimeOpensOnlyForLongStops guards against a change for deployments whose stops
// take up to 0.2 s.
func TestStopTimeOpensOnlyForLongStops(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	var short, long StopTime
	for range 1000 {
		short.Stopped(time.Duration(rng.IntN(200)) * ms)
		if short.Worthwhile() {
			t.Fatalf("worthwhile at a mean of %v", short.Mean())
		}
		long.Stopped(time.Duration(100+rng.IntN(300)) * ms)
	}
	if !long.Worthwhile() || long.Mean() < 200*ms || long.Mean() > 300*ms {
		t.Errorf("mean %v, worthwhile %v", long.Mean(), long.Worthwhile())
	}
	for range 200 {
		long.Stopped(100 * ms)
	}
	if long.Worthwhile() {
		t.Errorf("still worthwhile at a mean of %v", long.Mean())
	}
}
