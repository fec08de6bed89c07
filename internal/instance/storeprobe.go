package instance

import (
	"context"
	"math"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"coltsfootmux/internal/external"
)

const (
	// probeInterval is the time between two probes of a topic that is not available.
	// probeTimeout bounds one; a slow store still answers within it.
	probeInterval = 150 * time.Millisecond
	probeTimeout  = 500 * time.Millisecond
	// confirmTimeout bounds a probe made for a peer; confirmAttempts of them fit into
	// peerTimeout.
	confirmTimeout  = 250 * time.Millisecond
	confirmAttempts = 2
	// probeOffset is an offset that no topic reaches, so that the answer to a probe
	// holds no records.
	probeOffset = math.MaxInt32
)

// runProbes probes the topics that are not available until ctx ends: all of them after
// one became unavailable or available again, otherwise one at a time. During an outage,
// the instances thus don't all call the store for every topic all the time.
func (s *storeMonitor) runProbes(ctx context.Context) {
	all, turn := true, 0
	for ctx.Err() == nil {
		topics := s.topicsToProbe()
		if !all && len(topics) > 0 {
			turn++
			topics = topics[turn%len(topics):][:1]
		}
		s.probeAll(ctx, topics)
		t := time.NewTimer(probeInterval)
		select {
		case <-ctx.Done():
		case <-s.probeNow:
			all = true
		case <-t.C:
			all = false
		}
		t.Stop()
	}
}

// topicsToProbe returns the probed topics that are not available.
func (s *storeMonitor) topicsToProbe() []external.Topic {
	return slices.DeleteFunc(slices.Clone(s.probedTopics), s.available)
}

func (s *storeMonitor) probeAll(ctx context.Context, topics []external.Topic) {
	var g errgroup.Group
	for _, t := range topics {
		g.Go(func() error { s.probe(ctx, t, probeTimeout); return nil })
	}
	_ = g.Wait() // probes return no errors; their results are recorded
}

// probe makes a new call for a topic and reports whether the store answered it.
func (s *storeMonitor) probe(ctx context.Context, t external.Topic, within time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	_, err := s.Store.Read(ctx, t, probeOffset, 0)
	s.recordResult(ctx, t, err)
	return !isUnavailable(err)
}

// confirmAvailable reports whether the store answers for a topic right now. One lost
// answer proves nothing, so it tries again. An earlier answer is not used: at the start
// of an outage, it would make an owner hand over its term although nobody can claim it.
func (s *storeMonitor) confirmAvailable(ctx context.Context, t external.Topic) bool {
	for range confirmAttempts {
		if s.probe(ctx, t, confirmTimeout) {
			return true
		}
	}
	return false
}
