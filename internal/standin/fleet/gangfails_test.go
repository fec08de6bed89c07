package fleet

import (
	"context"
	"testing"
	"time"

	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
)

// TestGangWithAMemberThatFailsIsNotDone guards against a gang that is done although a member always fails:
// checkpoints that cover all its work let another member end the gang first.
func TestGangWithAMemberThatFailsIsNotDone(t *testing.T) {
	f := New(func(t job.TaskID, _ int64) (time.Duration, bool) { return time.Second, t.Index == 1 })
	f.Submit(&job.Job{ID: "1", Steps: []job.Step{{Count: 2, Gang: true, Checkpoints: true}}})
	for n, id := range []external.WorkerID{"a", "b"} {
		m := f.Add(external.Worker{ID: id})
		o := external.StartOrder{OrderHeader: external.OrderHeader{Worker: id, FencingToken: 1}, Task: job.TaskID{Job: "1", Index: n}, Run: 1, LeaseEnd: time.Hour, Checkpoint: "2s"}
		if r, err := f.Start(context.Background(), o); err != nil || r.Refusal != external.RefusedNone {
			t.Fatalf("start: %+v, %v", r, err)
		}
		m.leaseEnd = time.Hour
	}
	f.Advance(2 * time.Second)
	if len(f.everDone) > 0 || f.Failures("1") != 1 {
		t.Errorf("done: %v, failed runs: %d", f.everDone, f.Failures("1"))
	}
}
