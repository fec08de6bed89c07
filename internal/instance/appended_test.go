package instance

import (
	"fmt"
	"testing"
	"time"

	"coltsfootmux/internal/job"
	"coltsfootmux/internal/standin/store"
)

// TestRecordsThatTheStoreDeliversLateAreReadAnew: the store left a waiting read
// without a record that it had confirmed, once for 0.8 s and once for 2 s.
func TestRecordsThatTheStoreDeliversLateAreReadAnew(t *testing.T) {
	r := newRig(t, 2)
	for _, nd := range r.nodes {
		nd.way.long.Store(true)
	}
	r.wait("an owner", func() bool { return r.owner() != nil })
	r.wait("the owner known", func() bool { _, ok := r.other().inst.currentTerm(); return ok })
	r.store.SetFault(store.Fault{NoReadWakeup: true, Topics: topicsJobs})
	for n, taker := range []*node{r.owner(), r.other()} {
		time.Sleep(100 * time.Millisecond) // the owner's read waits
		id := job.ID(fmt.Sprintf("late-%d", n))
		if err := r.submit(taker, string(id), 1); err != nil {
			t.Fatal(err)
		}
		began := time.Now()
		r.wait("in the cell", func() bool { return r.owner().inst.owner.Load().job(id).Status != job.Unknown })
		if took := time.Since(began); took > deliveryTimeout+400*time.Millisecond {
			t.Errorf("%s entered the cell after %v", id, took)
		}
	}
	r.checkFleet()
}
