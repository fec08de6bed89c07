package instance

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"coltsfootmux/internal/standin/store"
)

// A store that takes 140 ms for an append was sent each record several times, until its
// queues refused all.
func TestSlowStoreAcceptsABurstOfSubmissions(t *testing.T) {
	r := newRig(t, 3)
	r.waitFor("an owner", func() bool { return r.owner() != nil })
	r.waitFor("a job accepted", func() bool { return r.submit(r.nonOwner(), "first", 1) == nil })
	r.waitFor("complete", r.isComplete(r.nonOwner(), "first"))
	r.store.SetFault(store.Fault{AppendTime: 140 * time.Millisecond, Topics: topicsJobs})
	const jobs, every = 100, 20 * time.Millisecond
	var doubts, refused atomic.Int64
	var wg sync.WaitGroup
	for n := range jobs {
		wg.Go(func() {
			err := r.submit(r.nodes[n%len(r.nodes)], fmt.Sprintf("j%d", n), 1)
			switch {
			case errors.Is(err, ErrOutcomeUnknown):
				doubts.Add(1)
			case err != nil:
				refused.Add(1)
			}
		})
		time.Sleep(every)
	}
	wg.Wait()
	if doubts.Load() > 0 || refused.Load() > 0 {
		t.Errorf("%d of %d with unknown outcome, %d refused", doubts.Load(), jobs, refused.Load())
	}
	r.store.SetFault(store.Fault{})
	for n := range jobs {
		r.waitFor("complete", r.isComplete(r.nonOwner(), fmt.Sprintf("j%d", n)))
	}
	r.checkFleet()
}
