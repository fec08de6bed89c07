package instance

import (
	"fmt"
	"testing"
	"time"

	"coltsfootmux/internal/job"
	"coltsfootmux/internal/standin/store"
)

// The store sometimes leaves a waiting read without a record that it has confirmed: once
// for 0.8 s, once for 2 s.
func TestRecordsDeliveredLateAreReadAgain(t *testing.T) {
	r := newRig(t, 2)
	for _, nd := range r.nodes {
		nd.conn.longReads.Store(true)
	}
	r.waitFor("an owner", func() bool { return r.owner() != nil })
	r.waitFor("the owner known", func() bool { _, ok := r.nonOwner().inst.ownerRecord(); return ok })
	r.store.SetFault(store.Fault{NoReadWakeup: true, Topics: topicsJobs})
	for n, acceptor := range []*node{r.owner(), r.nonOwner()} {
		time.Sleep(100 * time.Millisecond) // until the owner's read waits
		id := job.ID(fmt.Sprintf("late-%d", n))
		if err := r.submit(acceptor, string(id), 1); err != nil {
			t.Fatal(err)
		}
		began := time.Now()
		r.waitFor("read by the cell's owner", func() bool { return r.owner().inst.owner.Load().job(id).Status != job.Unknown })
		if took := time.Since(began); took > deliveryTimeout+400*time.Millisecond {
			t.Errorf("%s entered the cell after %v", id, took)
		}
	}
	r.checkFleet()
}
