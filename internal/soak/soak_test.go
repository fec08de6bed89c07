package soak

import (
	"testing"
	"time"
)

// regressionSeeds are the seeds of soaks that once found a violation, with its cause.
var regressionSeeds = []uint64{
	301006, // an owner that had lost its term acquired the same term again (core/term)
}

// TestShortSoak runs a short soak with a fixed seed and with each regression seed.
func TestShortSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("takes about 20 s per seed")
	}
	program := buildProgram(t)
	for _, seed := range append([]uint64{1}, regressionSeeds...) {
		r, err := Run(Options{
			Program: program, Dir: t.TempDir(), Seed: seed, Machines: 3, Workers: 8,
			LoadTime: 8 * time.Second, SettleTime: 40 * time.Second, JobsPerSecond: 5,
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("seed %d: %d jobs, %d accepted, %d complete, %d in bursts; %q; %q; %q", r.Seed, r.Jobs, r.Accepted, r.Complete, r.BurstJobs, r.InjectedFaults, r.Series, r.Partitions)
		for _, f := range r.Violations {
			t.Errorf("seed %d: %s", seed, f)
		}
		if r.BurstJobs == 0 {
			t.Errorf("seed %d: no burst of an account", seed)
		}
		if r.Accepted == 0 {
			t.Errorf("seed %d: no job was accepted", seed)
		}
	}
}

func TestProxyModes(t *testing.T) {
	for name, c := range map[string]struct {
		mode Mode
		want string
	}{
		"passes":        {Pass, "echo"},
		"drops all":     {DropAll, ""},
		"drops replies": {DropReplies, ""},
		"resets":        {Reset, ""},
		"delays":        {Delay, "echo"},
	} {
		t.Run(name, func(t *testing.T) {
			if got := echoThroughProxy(t, c.mode); got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}
