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
	// probeEvery lies between two probes of a topic that was lost, probeTime
	// bounds one; a slow store still answers in time.
	probeEvery = 150 * time.Millisecond
	probeTime  = 500 * time.Millisecond
	// checkTime bounds a probe made for a peer, of which checkProbes fit into peerTime.
	checkTime   = 250 * time.Millisecond
	checkProbes = 2
	// probeOffset is an offset that no topic reaches, so that a probe's answer
	// holds no records.
	probeOffset = math.MaxInt32
)

// keepProbing probes topics that don't answer until ctx ends: all of them after
// one was lost or came back, else one at a time. A store that is away is not asked
// for each topic by every instance all the while.
func (s *storeWatch) keepProbing(ctx context.Context) {
	all, turn := true, 0
	for ctx.Err() == nil {
		topics := s.unanswered()
		if !all && len(topics) > 0 {
			turn++
			topics = topics[turn%len(topics):][:1]
		}
		s.probeAll(ctx, topics)
		t := time.NewTimer(probeEvery)
		select {
		case <-ctx.Done():
		case <-s.wake:
			all = true
		case <-t.C:
			all = false
		}
		t.Stop()
	}
}

// unanswered gives the probed topics for which the store does not answer.
func (s *storeWatch) unanswered() []external.Topic {
	return slices.DeleteFunc(slices.Clone(s.probed), s.answers)
}

func (s *storeWatch) probeAll(ctx context.Context, topics []external.Topic) {
	var g errgroup.Group
	for _, t := range topics {
		g.Go(func() error { s.probe(ctx, t, probeTime); return nil })
	}
	_ = g.Wait() // probes give no errors; what they found is noted
}

// probe asks for a sign of life over a new call, and says whether one came.
func (s *storeWatch) probe(ctx context.Context, t external.Topic, within time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	_, err := s.Log.Read(ctx, t, probeOffset, 0)
	s.note(ctx, t, err)
	return !isSilence(err)
}

// check says whether the store answers for a topic right now; one lost answer
// says nothing. An answer of a moment ago doesn't either: an owner would hand its
// term over as an outage begins that leaves nobody to claim it.
func (s *storeWatch) check(ctx context.Context, t external.Topic) bool {
	for range checkProbes {
		if s.probe(ctx, t, checkTime) {
			return true
		}
	}
	return false
}
