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

// TestReserveKeepsRoomOnlyUnderPressure guards against room that stays idle although no
// urgent work needs it.
func TestReserveKeepsRoomOnlyUnderPressure(t *testing.T) {
	var r Reserve
	if r.Keeps(0) {
		t.Error("room is kept before any preemption")
	}
	r.Preempted(5 * time.Second)
	if !r.Keeps(5900*ms) || r.Keeps(6100*ms) {
		t.Errorf("0.9 s after a preemption: %v, 1.1 s after: %v", r.Keeps(5900*ms), r.Keeps(6100*ms))
	}
}

// TestLossOfRun checks what counts as lost: unsaved work, the time of the stop, and what
// the unit has lost before.
func TestLossOfRun(t *testing.T) {
	r := Run{Cores: 10, Unsaved: 6, Lost: 4, Stop: 300 * ms}
	if got := r.Loss(); got != 13 {
		t.Errorf("loss %v, want 13", got)
	}
}

// TestLeftFollowsListedProgress guards against an end that seems the later the longer ago
// the progress was listed.
func TestLeftFollowsListedProgress(t *testing.T) {
	for name, c := range map[string]struct {
		p     Progress
		left  time.Duration
		known bool
	}{
		"just listed":     {Progress{Age: 2 * time.Second, ListedAge: 2 * time.Second, Percent: 50}, 2 * time.Second, true},
		"listed earlier":  {Progress{Age: 3 * time.Second, ListedAge: 2 * time.Second, Percent: 50}, time.Second, true},
		"overdue":         {Progress{Age: 5 * time.Second, ListedAge: 2 * time.Second, Percent: 50}, -time.Second, true},
		"little progress": {Progress{Age: time.Second, ListedAge: time.Second, Percent: 19}, 0, false},
	} {
		if left, known := c.p.Left(); left != c.left || known != c.known {
			t.Errorf("%s: %v, %v, want %v, %v", name, left, known, c.left, c.known)
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
