package fleet

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
)

// TestWaitingHoldEndsWithItsProcess guards against a hold that is answered by a later
// incarnation of its worker, and acknowledges ends there by the numbers of the earlier one.
func TestWaitingHoldEndsWithItsProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLive(func(job.TaskID, int64) (time.Duration, bool) { return 100 * time.Millisecond, false })
		l.With(func(f *Fleet) {
			f.Add(external.Worker{ID: "w", Capacity: job.Resources{CPU: 1000, MemMB: 1000}})
			f.Submit(&job.Job{ID: "j", Steps: []job.Step{{Count: 1, CPU: 100}}})
		})
		header := external.OrderHeader{Worker: "w", FencingToken: 1}
		held := make(chan error, 1)
		go func() {
			_, err := l.Hold(context.Background(), external.HoldOrder{OrderHeader: header, Acknowledge: 9, Wait: time.Second})
			held <- err
		}()
		time.Sleep(50 * time.Millisecond)
		l.With(func(f *Fleet) { f.Machine("w").Restart() })
		o := external.StartOrder{OrderHeader: header, Task: job.TaskID{Job: "j"}, Run: 1, LeaseEnd: 5 * time.Second}
		if _, err := l.Start(context.Background(), o); err != nil {
			t.Fatal(err)
		}
		if err := <-held; !errors.Is(err, external.ErrOutcomeUnknown) {
			t.Errorf("the hold of the earlier incarnation: %v", err)
		}
		time.Sleep(500 * time.Millisecond)
		r, err := l.Hold(context.Background(), external.HoldOrder{OrderHeader: header})
		if err != nil || len(r.Ended) != 1 {
			t.Errorf("%d ends listed, %v; want 1", len(r.Ended), err)
		}
	})
}
