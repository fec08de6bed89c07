package soak

import (
	"log/slog"
	"testing"
	"time"

	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
	"coltsfootmux/internal/standin/fleet"
)

// TestStandsInAFullFleetCountInCalm guards against a check that excuses whatever stands while half
// of the fleet is in use, and against one that counts it beside faults that last.
func TestStandsInAFullFleetCountInCalm(t *testing.T) {
	for name, c := range map[string]struct {
		used    int
		lasting bool
		want    int
	}{
		"half in use, calm":               {600, false, 1},
		"half in use, a fault that lasts": {600, true, 0},
		"idle, calm":                      {0, false, 1},
		"idle, a fault that lasts":        {0, true, 1},
	} {
		t.Run(name, func(t *testing.T) {
			l, j := newStandingJob(t, c.used)
			began := time.Now()
			l.callers.bed.calm.end()
			if c.lasting {
				l.callers.bed.calm.beginLasting(nil, lastingFault{bound: unfitBound})
			}
			l.accepted(j)
			for d := time.Duration(0); d < 20*time.Second; d += standInterval {
				l.checkJobs(began.Add(d))
			}
			if l.tooLong != c.want {
				t.Errorf("%d cases, want %d", l.tooLong, c.want)
			}
		})
	}
}

// newStandingJob returns a check of a fleet of one worker, of which some CPU is in use, and a job
// that has room there and does not run.
func newStandingJob(t *testing.T, used int) (*liveness, *submittedJob) {
	t.Helper()
	s := &testbed{faults: slog.New(slog.DiscardHandler)}
	s.calm.inForce = 1
	s.fleet = fleet.NewLive(func(job.TaskID, int64) (time.Duration, bool) { return time.Hour, false })
	s.fleet.With(func(f *fleet.Fleet) {
		f.Add(external.Worker{ID: "a", Capacity: job.Resources{CPU: 1000}})
		f.Submit(&job.Job{ID: "1", Steps: []job.Step{{Count: 1, CPU: 100}}})
		f.Submit(&job.Job{ID: "2", Steps: []job.Step{{Count: 1, CPU: used}}})
		o := external.StartOrder{OrderHeader: external.OrderHeader{Worker: "a"}, Task: job.TaskID{Job: "2"}, Run: 1, LeaseEnd: time.Minute}
		if r, err := f.Start(t.Context(), o); err != nil || r.Refusal != external.RefusedNone {
			t.Fatalf("%+v, %v", r, err)
		}
	})
	return newLiveness(&callers{bed: s}), &submittedJob{id: "1"}
}

// TestRunBetweenTwoLooksEndsAStand guards against a job that counts as standing in calm although
// it has run, for less time than there is between two looks.
func TestRunBetweenTwoLooksEndsAStand(t *testing.T) {
	l, j := newStandingJob(t, 600)
	began := time.Now().Add(settleTime)
	l.callers.bed.calm.end()
	l.accepted(j)
	l.checkJobs(began)
	l.callers.bed.fleet.With(func(f *fleet.Fleet) {
		h := external.OrderHeader{Worker: "a"}
		o := external.StartOrder{OrderHeader: h, Task: job.TaskID{Job: "1"}, Run: 1, LeaseEnd: time.Minute}
		if r, err := f.Start(t.Context(), o); err != nil || r.Refusal != external.RefusedNone {
			t.Fatalf("%+v, %v", r, err)
		}
		if _, err := f.Stop(t.Context(), external.StopOrder{OrderHeader: h, Task: o.Task, Run: 1}); err != nil {
			t.Fatal(err)
		}
	})
	l.checkJobs(began.Add(standBound + time.Second))
	if l.tooLong != 0 {
		t.Errorf("%d cases, want none", l.tooLong)
	}
}
