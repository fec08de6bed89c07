//go:build !race

// The race detector of Go 1.26.8 crashes in one of twelve runs of this test, in virtual time
// with many goroutines (KNOWN-RED.txt, 1).

package instance

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"coltsfootmux/internal/external"
	"coltsfootmux/internal/standin/store"
)

// Instances that started together probed all topics at once. Probes that the store refused
// for its rate limit made topics unavailable, and each change had all topics probed again:
// 300 instances kept the store at its limit, and no owner could take over.
func TestInstancesSettleOnAStoreAtItsRateLimit(t *testing.T) {
	const (
		instances = 60
		limit     = 400 // reads a second, as 2,000 for 300 instances
	)
	synctest.Test(t, func(t *testing.T) {
		st := store.New()
		st.SetFault(store.Fault{ReadsPerSecond: limit})
		ctx, cancel := context.WithCancel(t.Context())
		monitors := make([]*storeMonitor, instances)
		for n := range monitors {
			s := newStoreMonitor(st, append([]external.Topic{topicTerm}, topicsJobs...))
			monitors[n] = s
			go s.runProbes(ctx)
			for _, topic := range []external.Topic{topicTerm, "policies"} {
				r := &topicReader{store: s, topic: topic, onError: ignoreError, onSnapshot: func(external.Page) {}, onPage: func(external.Page) {}}
				go r.run(ctx, -1)
			}
			go func() { // what the instance reads beside
				for ctx.Err() == nil {
					_, _ = s.Newest(ctx, topicMembers)
					sleep(ctx, time.Second)
				}
			}()
		}
		time.Sleep(10 * time.Second)
		before := st.Calls()
		const span = 5 * time.Second
		time.Sleep(span)
		if rate := (st.Calls() - before) / int(span/time.Second); rate > limit*3/4 {
			t.Errorf("%d reads a second, of %d", rate, limit)
		}
		unavailable := 0
		for _, s := range monitors {
			unavailable += len(s.topicsToProbe())
		}
		if unavailable > 0 {
			t.Errorf("%d topics count as unavailable", unavailable)
		}
		cancel()
		synctest.Wait()
	})
}
