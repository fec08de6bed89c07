package soak

import (
	"testing"
	"time"
)

// TestOwnerUnableToWorkIsReplaced guards against an owner that keeps its term while work stands:
// one that no peer reaches, then one that reaches one worker of twelve.
func TestOwnerUnableToWorkIsReplaced(t *testing.T) {
	playUnfitSoak(t, Options{Seed: 1, LoadTime: 60 * time.Second}, 2)
}

// TestWorkGoesOnAfterTheLossOfMostMachines guards against a cell without an owner for as long as
// four of five machines are down.
func TestWorkGoesOnAfterTheLossOfMostMachines(t *testing.T) {
	playUnfitSoak(t, Options{Seed: 2, LoadTime: 30 * time.Second}, 1)
}

func playUnfitSoak(t *testing.T, o Options, faults int) {
	t.Helper()
	if testing.Short() {
		t.Skip("takes half a minute per fault")
	}
	o.Program, o.Dir, o.SettleTime = buildProgram(t), t.TempDir(), 40*time.Second
	o.Machines, o.Workers, o.JobsPerSecond, o.UnfitAlone = 5, 12, 6, true
	r, err := Run(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("seed %d: %d jobs, %d accepted, %d complete; %q", r.Seed, r.Jobs, r.Accepted, r.Complete, r.Unfit)
	for _, f := range r.Violations {
		t.Errorf("seed %d: %s", o.Seed, f)
	}
	if len(r.Unfit) != faults {
		t.Errorf("seed %d: %d faults, want %d", o.Seed, len(r.Unfit), faults)
	}
}

// TestStandingWorkCountsInQuietTimeOnly guards against a check that blames faults which it
// injects itself, or that excuses whatever stands after them.
func TestStandingWorkCountsInQuietTimeOnly(t *testing.T) {
	var s testbed
	l := newLiveness(&callers{bed: &s})
	began := time.Now()
	s.calm.begin()
	if d := l.beyondBound(began.Add(time.Hour), began); d != 0 {
		t.Errorf("a fault is in force: %v", d)
	}
	s.calm.end()
	if d := l.beyondBound(began.Add(settleTime+standBound), began); d != 0 {
		t.Errorf("the machines recover: %v", d)
	}
	if d := l.beyondBound(began.Add(settleTime+standBound+time.Second), began); d < standBound {
		t.Errorf("after recovery: %v", d)
	}
	s.calm.beginLasting(nil, lastingFault{bound: unfitBound})
	if d := l.beyondBound(time.Now().Add(unfitBound+time.Second), began); d < unfitBound {
		t.Errorf("beside a lasting fault: %v", d)
	}
}
