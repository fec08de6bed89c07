package instance

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"coltsfootmux/internal/external"
	"coltsfootmux/internal/standin/store"
)

// Instances without the store probed each topic every 150 ms: 37 instances made 1,700 calls
// a second during an outage, each of which costs money.
func TestUnavailableStoreIsProbedSeldomAndItsReturnIsNoticedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := store.New()
		s := newStoreMonitor(st, append([]external.Topic{topicTerm}, topicsJobs...))
		ctx, cancel := context.WithCancel(t.Context())
		go s.runProbes(ctx)
		for _, topic := range []external.Topic{topicTerm, "policies"} {
			r := &topicReader{
				store: s, topic: topic, onError: ignoreError,
				onSnapshot: func(external.Page) {}, onPage: func(external.Page) {},
			}
			go r.run(ctx, -1)
		}
		time.Sleep(time.Second)
		if n := len(s.topicsToProbe()); n > 0 {
			t.Fatalf("%d topics not available in a healthy store", n)
		}

		st.SetFault(store.Fault{Down: true})
		time.Sleep(time.Second) // until the outage is noticed
		before := st.Calls()
		const outage = 5 * time.Second
		time.Sleep(outage)
		if n := st.Calls() - before; n > 60 {
			t.Errorf("%d calls in %v, want one per probe and one per second for each read", n, outage)
		}
		if s.reachable() {
			t.Error("the store counts as reachable")
		}

		st.SetFault(store.Fault{})
		time.Sleep(2 * probeInterval)
		if n := len(s.topicsToProbe()); n > 0 {
			t.Errorf("%d topics are not available again", n)
		}
		cancel()
		synctest.Wait()
	})
}
