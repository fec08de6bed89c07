package fleet

import (
	"context"
	"testing"
	"time"

	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
)

// TestMembersAreAloneUnlessAMachineRestarted guards against members that count as alone as a machine of
// their gang restarted, and against gangs that start too late, or lose a lease, and don't count.
func TestMembersAreAloneUnlessAMachineRestarted(t *testing.T) {
	for name, c := range map[string]struct {
		tasks     int
		second    time.Duration
		restartAt time.Duration
		want      int
	}{
		"all members start in time":             {2, time.Second, 0, 0},
		"a member starts too late":              {2, GangTimeout + time.Second, 0, 2},
		"a member does not start":               {3, time.Second, 0, 1},
		"a machine restarts while all run":      {2, time.Second, 2 * GangTimeout, 0},
		"a machine restarts before all run":     {3, time.Second, 2 * time.Second, 0},
		"a machine restarts after they gave up": {3, time.Second, 2 * GangTimeout, 1},
		"the lease of a member expires":         {2, time.Second, 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			f := New(func(job.TaskID, int64) (time.Duration, bool) { return time.Hour, false })
			f.Submit(&job.Job{ID: "1", Steps: []job.Step{{Count: c.tasks, Gang: true}}})
			for n, id := range []external.WorkerID{"a", "b"} {
				f.Advance(time.Duration(n) * c.second)
				m := f.Add(external.Worker{ID: id})
				o := external.StartOrder{OrderHeader: external.OrderHeader{Worker: id, FencingToken: 1}, Task: job.TaskID{Job: "1", Index: n}, Run: 1, LeaseEnd: time.Hour}
				if r, err := f.Start(context.Background(), o); err != nil || r.Refusal != external.RefusedNone {
					t.Fatalf("start: %+v, %v", r, err)
				}
				m.leaseEnd = time.Hour
			}
			if name == "the lease of a member expires" {
				f.Machine("b").leaseEnd = time.Second
			}
			if c.restartAt > 0 {
				f.Advance(c.restartAt)
				f.Machine("b").Restart()
			}
			f.Advance(4 * GangTimeout)
			if got := f.TakeAlone(); len(got) != c.want {
				t.Errorf("%+v, want %d runs", got, c.want)
			}
		})
	}
}
