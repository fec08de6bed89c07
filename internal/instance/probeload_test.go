package instance

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rotisserie/eris"

	"coltsfootmux/internal/external"
	"coltsfootmux/internal/standin/store"
)

// limitedStore refuses the reads beyond a number in each second.
type limitedStore struct {
	external.Store
	readsPerSecond int

	mu     sync.Mutex
	second time.Time
	reads  int
}

func (s *limitedStore) takeRead() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now().Truncate(time.Second); now != s.second {
		s.second, s.reads = now, 0
	}
	s.reads++
	if s.reads > s.readsPerSecond {
		return eris.Wrap(external.ErrNotExecuted, "too many reads")
	}
	return nil
}

func (s *limitedStore) Read(ctx context.Context, t external.Topic, from int64, wait time.Duration) (external.Page, error) {
	if err := s.takeRead(); err != nil {
		return external.Page{}, err
	}
	return s.Store.Read(ctx, t, from, wait)
}

func (s *limitedStore) Newest(ctx context.Context, t external.Topic) (external.Page, error) {
	if err := s.takeRead(); err != nil {
		return external.Page{}, err
	}
	return s.Store.Newest(ctx, t)
}

// A store that refuses reads beyond its rate counts as unavailable. The probes and retries
// of 300 instances that find it so must not keep it at its limit.
func TestManyInstancesSettleOnAStoreWithALimitedRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const instances, limit = 300, 30 * time.Second
		shared := &limitedStore{Store: store.New(), readsPerSecond: 2000}
		probed := append(slices.Clone(topicsJobs), topicTerm)
		ctx, cancel := context.WithCancel(t.Context())
		var monitors []*storeMonitor
		for range instances {
			m := newStoreMonitor(shared, probed)
			monitors = append(monitors, m)
			go m.runProbes(ctx)
			for _, topic := range []external.Topic{topicTerm, "policies"} {
				r := &topicReader{
					store: m, topic: topic, onError: ignoreError,
					onSnapshot: func(external.Page) {}, onPage: func(external.Page) {},
				}
				go r.run(ctx, -1)
			}
		}
		time.Sleep(limit)
		waiting := 0
		for _, m := range monitors {
			if len(m.topicsToProbe()) > 0 {
				waiting++
			}
		}
		cancel()
		synctest.Wait()
		if waiting > 0 {
			t.Errorf("after %v, topics are not available to %d of %d instances", limit, waiting, instances)
		}
	})
}
