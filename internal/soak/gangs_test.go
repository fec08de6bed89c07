package soak

import (
	"context"
	"testing"
	"time"

	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
	"coltsfootmux/internal/standin/fleet"
)

// TestMembersThatEndAloneCountUnlessAFaultIsNear guards against a check that excuses gangs which an owner
// without a fault leaves incomplete, and against one that blames owners for faults.
func TestMembersThatEndAloneCountUnlessAFaultIsNear(t *testing.T) {
	owner, other := &machine{name: "front-0"}, &machine{name: "front-1"}
	for name, c := range map[string]struct {
		opts  Options
		fault func(*calm)
		want  int
	}{
		"calm":                             {Options{Calm: true}, func(*calm) {}, 1},
		"a fault in force":                 {Options{Pauses: true}, func(c *calm) { c.begin() }, 0},
		"a fault that ended meanwhile":     {Options{Pauses: true}, func(c *calm) { c.begin(); c.end() }, 0},
		"the sender is cut off":            {Options{UnfitAlone: true}, func(c *calm) { c.beginLasting(owner, lastingFault{}) }, 0},
		"another machine is cut off":       {Options{UnfitAlone: true}, func(c *calm) { c.beginLasting(other, lastingFault{}) }, 1},
		"the sender is short of time":      {Options{UnfitAlone: true}, func(c *calm) { c.beginLasting(owner, lastingFault{slow: true}) }, 1},
		"planned work beside other faults": {Options{}, func(*calm) {}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s := &testbed{opts: c.opts}
			g := newGangJudge(s)
			g.owners[7] = owner
			f := fleet.New(func(job.TaskID, int64) (time.Duration, bool) { return time.Second, false })
			f.Add(external.Worker{ID: "a", Capacity: job.Resources{CPU: 1000}})
			f.Submit(&job.Job{ID: "1", Steps: []job.Step{{Count: 2, CPU: 100, Gang: true}}})
			o := external.StartOrder{OrderHeader: external.OrderHeader{Worker: "a", FencingToken: 7}, Task: job.TaskID{Job: "1"}, Run: 1, LeaseEnd: time.Minute}
			if r, err := f.Start(context.Background(), o); err != nil || r.Refusal != external.RefusedNone {
				t.Fatalf("%+v, %v", r, err)
			}
			began := time.Now()
			time.Sleep(time.Millisecond)
			c.fault(&s.calm)
			f.Advance(fleet.GangTimeout + 50*time.Millisecond)
			if got := g.unexcused(began.Add(f.Now()), f); len(got) != c.want {
				t.Errorf("%d runs count, want %d: %+v", len(got), c.want, got)
			}
		})
	}
}
