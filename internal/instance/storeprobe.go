package instance

import (
	"context"
	"errors"
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
	// maxProbeInterval is the longest time between two probes while the store refuses them
	// for its rate limit; it doubles from probeInterval.
	maxProbeInterval = 2 * time.Second
	probeTimeout     = 500 * time.Millisecond
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
// the instances thus don't all call the store for every topic all the time. While the
// store refuses probes for its rate limit, they are made ever less often.
func (s *storeMonitor) runProbes(ctx context.Context) {
	all, turn := true, 0
	retry := backoff{min: probeInterval, max: maxProbeInterval}
	for ctx.Err() == nil {
		topics := s.topicsToProbe()
		if !all && len(topics) > 0 {
			turn++
			topics = topics[turn%len(topics):][:1]
		}
		answered, limited := s.probeAll(ctx, topics)
		if limited {
			all = false
			sleep(ctx, retry.delay())
			continue
		}
		retry.reset()
		// The topics that are left of a store that answers are probed together.
		all = s.awaitProbe(ctx) || answered && len(topics) > 0
	}
}

// awaitProbe waits until the next probe, and reports whether all topics are to be probed.
func (s *storeMonitor) awaitProbe(ctx context.Context) (all bool) {
	t := time.NewTimer(probeInterval)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-s.probeNow:
		return true
	case <-t.C:
	}
	return false
}

// topicsToProbe returns the probed topics that are not available.
func (s *storeMonitor) topicsToProbe() []external.Topic {
	return slices.DeleteFunc(slices.Clone(s.probedTopics), s.available)
}

// probeAll probes topics at the same time. It reports whether the store answered all of
// the probes, and whether it refused any for its rate limit.
func (s *storeMonitor) probeAll(ctx context.Context, topics []external.Topic) (answered, limited bool) {
	errs := make([]error, len(topics))
	var g errgroup.Group
	for n, t := range topics {
		g.Go(func() error { errs[n] = s.probe(ctx, t, probeTimeout); return nil })
	}
	_ = g.Wait() // the errors are in errs
	err := errors.Join(errs...)
	return err == nil, errors.Is(err, external.ErrRateLimited)
}

// probe makes a new call for a topic. It returns an error if the store did not serve it.
func (s *storeMonitor) probe(ctx context.Context, t external.Topic, within time.Duration) error {
	ctx, cancel := s.limitCall(ctx, within)
	defer cancel()
	_, err := s.Store.Read(ctx, t, probeOffset, 0)
	s.recordResult(ctx, t, err)
	if isUnavailable(err) {
		return err
	}
	return nil
}

// confirmAvailable reports whether the store answers for a topic right now. One lost
// answer proves nothing, so it tries again. An earlier answer is not used: at the start
// of an outage, it would make an owner hand over its term although nobody can claim it.
func (s *storeMonitor) confirmAvailable(ctx context.Context, t external.Topic) bool {
	for range confirmAttempts {
		if s.probe(ctx, t, confirmTimeout) == nil {
			return true
		}
	}
	return false
}
