package fleet

import (
	"context"
	"testing"
	"time"

	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
)

func TestJobWaitsWhileItHasRoomAndNothingRuns(t *testing.T) {
	one := job.Step{Count: 1, CPU: 400}
	for name, c := range map[string]struct {
		steps []job.Step
		used  int
		want  bool
	}{
		"nothing runs":             {steps: []job.Step{one}, want: true},
		"it does not fit":          {steps: []job.Step{{Count: 1, CPU: 600}}, used: 820},
		"half of all is in use":    {steps: []job.Step{one}, used: 1100},
		"a gang fits twice":        {steps: []job.Step{{Count: 2, CPU: 400, Gang: true}}, want: true},
		"a gang fits once":         {steps: []job.Step{{Count: 3, CPU: 400, Gang: true}}},
		"its second step comes up": {steps: []job.Step{{}, {Count: 1, CPU: 400, After: []int{0}}}, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := New(func(job.TaskID, int64) (time.Duration, bool) { return time.Second, false })
			f.Add(external.Worker{ID: "a", Capacity: job.Resources{CPU: 1000}})
			f.Add(external.Worker{ID: "b", Capacity: job.Resources{CPU: 1000}})
			f.Submit(&job.Job{ID: "1", Steps: c.steps})
			f.Submit(&job.Job{ID: "2", Steps: []job.Step{{Count: 2, CPU: c.used / 2}}})
			start(t, f, "a", job.TaskID{Job: "2"})
			start(t, f, "b", job.TaskID{Job: "2", Index: 1})
			if _, got := f.Waiting("1"); got != c.want {
				t.Errorf("waiting: %v, want %v", got, c.want)
			}
			if _, got := f.Waiting("2"); got {
				t.Error("a job that runs counts as waiting")
			}
		})
	}
}

func start(t *testing.T, f *Fleet, on external.WorkerID, task job.TaskID) {
	t.Helper()
	o := external.StartOrder{OrderHeader: external.OrderHeader{Worker: on, FencingToken: 1}, Task: task, Run: 1, LeaseEnd: time.Second}
	if r, err := f.Start(context.Background(), o); err != nil || r.Refusal != external.RefusedNone {
		t.Fatalf("start: %+v, %v", r, err)
	}
}
