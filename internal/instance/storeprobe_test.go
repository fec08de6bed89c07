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
		s := newStoreWatch(st, append([]external.Topic{topicTerm}, topicsJobs...))
		ctx, cancel := context.WithCancel(t.Context())
		go s.keepProbing(ctx)
		for _, topic := range []external.Topic{topicTerm, "policies"} {
			f := &follower{
				log: s, topic: topic, failed: ignore,
				reset: func(external.Page) {}, page: func(external.Page) {},
			}
			go f.run(ctx, -1)
		}
		time.Sleep(time.Second)
		if n := len(s.unanswered()); n > 0 {
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
		time.Sleep(2 * probeEvery)
		if n := len(s.unanswered()); n > 0 {
			t.Errorf("%d topics are not known to be back", n)
		}
		cancel()
		synctest.Wait()
	})
}
