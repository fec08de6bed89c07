package instance

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"coltsfootmux/internal/external"
	"coltsfootmux/internal/standin/store"
)

// An instance without the store asked for each topic every 150 ms; 37 instances made
// 1,700 calls a second in an outage, each of them paid for.
func TestStoreThatIsAwayIsAskedSeldomAndItsReturnIsSeenAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := store.New()
		s := newStoreMonitor(st, append([]external.Topic{topicTerm}, topicsJobs...))
		ctx, cancel := context.WithCancel(t.Context())
		go s.runProbes(ctx)
		for _, topic := range []external.Topic{topicTerm, "policies"} {
			r := &topicReader{
				log: s, topic: topic, onError: ignoreError,
				onSnapshot: func(external.Page) {}, onPage: func(external.Page) {},
			}
			go r.run(ctx, -1)
		}
		time.Sleep(time.Second)
		if n := len(s.topicsToProbe()); n > 0 {
			t.Fatalf("%d topics without an answer from a calm store", n)
		}

		st.SetFault(store.Fault{Down: true})
		time.Sleep(time.Second) // the loss is noticed
		before := st.Calls()
		const outage = 5 * time.Second
		time.Sleep(outage)
		if n := st.Calls() - before; n > 60 {
			t.Errorf("%d calls in %v, want one a probe and a second for each read", n, outage)
		}
		if s.reachable() {
			t.Error("the store counts as reachable")
		}

		st.SetFault(store.Fault{})
		time.Sleep(2 * probeInterval)
		if n := len(s.topicsToProbe()); n > 0 {
			t.Errorf("%d topics are not known to be back", n)
		}
		cancel()
		synctest.Wait()
	})
}
