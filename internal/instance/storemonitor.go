package instance

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"coltsfootmux/internal/core/storetime"
	"coltsfootmux/internal/external"
)

// errReadAborted means that this process itself ended a read.
var errReadAborted = eris.New("read aborted")

// activeRead is a read in progress.
type activeRead struct {
	topic external.Topic
	// waits says that the read may wait for a record.
	waits bool
	abort context.CancelFunc
}

// storeMonitor passes calls to the store and tracks which topics are available.
type storeMonitor struct {
	external.Store
	// onChange is called when a topic becomes unavailable, or available again.
	onChange func(t external.Topic, available bool, err error)
	// onUnreadable is called when a read from an offset left out n unreadable records.
	onUnreadable func(t external.Topic, from int64, n int)
	// probedTopics are the topics that are probed while they are not available.
	probedTopics []external.Topic

	// limitCall returns a context for a call that may take a time.
	limitCall func(context.Context, time.Duration) (context.Context, context.CancelFunc)

	mu     sync.Mutex
	health storeHealth
	// responseTimes estimates how long the store takes to answer calls that don't wait.
	responseTimes storetime.Estimate
	// reads are those in progress. They are aborted when a topic becomes available
	// again, as the store may have forgotten them.
	reads      map[int]activeRead
	lastReadID int
	// probeNow holds a value when all topics are to be probed at once.
	probeNow chan struct{}
	// recovered is closed, and replaced, when a topic becomes available again.
	recovered chan struct{}
}

func newStoreMonitor(l external.Store, probed []external.Topic) *storeMonitor {
	return &storeMonitor{
		Store: l, probedTopics: probed,
		limitCall:    context.WithTimeout,
		onChange:     func(external.Topic, bool, error) {},
		onUnreadable: func(external.Topic, int64, int) {},
		health:       make(storeHealth), reads: make(map[int]activeRead), probeNow: make(chan struct{}, 1),
		recovered: make(chan struct{}),
	}
}

// available reports whether the store answers this process for a topic.
func (s *storeMonitor) available(t external.Topic) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.health.topic(t).state == topicAvailable
}

// reachable reports whether the store answers this process for any topic.
func (s *storeMonitor) reachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.health.reachable()
}

// sinceAnswer returns how long ago the store last answered for a topic; false if it
// never did.
func (s *storeMonitor) sinceAnswer(t external.Topic) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	have := s.health[t]
	if have == nil || have.lastAnswer == 0 {
		return 0, false
	}
	return boottime() - have.lastAnswer, true
}

// noTopicUnavailable reports whether no topic that this process calls is unavailable.
func (s *storeMonitor) noTopicUnavailable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.health.noTopicUnavailable()
}

// Append implements external.Store. It takes appendTimeout at most.
func (s *storeMonitor) Append(ctx context.Context, a external.Append) (int64, error) {
	ctx, cancel := s.limitCall(ctx, s.appendTimeout())
	defer cancel()
	began := boottime()
	end, err := s.Store.Append(ctx, a)
	took := boottime() - began
	mAppendTime.Update(took.Seconds())
	s.recordResponseTime(took, err)
	s.recordResult(ctx, a.Topic, err)
	return end, err
}

// appendTimeout returns how long an append may take.
func (s *storeMonitor) appendTimeout() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.responseTimes.AppendTime(boottime())
}

// meanResponseTime returns the store's recent mean response time, 0 if not known.
func (s *storeMonitor) meanResponseTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.responseTimes.Mean(boottime())
}

// recordResponseTime records how long the store took to answer. A refusal or a lost
// answer says nothing about that.
func (s *storeMonitor) recordResponseTime(took time.Duration, err error) {
	if isUnavailable(err) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responseTimes.Answered(boottime(), took)
}

// recordOwnerResponseTime records the mean response time that the cell's owner sees.
func (s *storeMonitor) recordOwnerResponseTime(mean time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responseTimes.Adopt(boottime(), mean)
}

// Read implements external.Store. It may also fail with errReadAborted.
func (s *storeMonitor) Read(ctx context.Context, t external.Topic, from int64, wait time.Duration) (external.Page, error) {
	inner, done := s.registerRead(ctx, activeRead{topic: t, waits: wait > 0})
	defer done()
	p, err := s.Store.Read(inner, t, from, wait)
	s.recordResult(inner, t, err)
	if err != nil && inner.Err() != nil && ctx.Err() == nil {
		err = eris.Wrap(errReadAborted, err.Error())
	}
	if p.Unreadable > 0 {
		s.onUnreadable(t, from, p.Unreadable)
	}
	return p, err
}

// registerRead registers a read in progress; done removes it.
func (s *storeMonitor) registerRead(ctx context.Context, r activeRead) (inner context.Context, done func()) {
	inner, cancel := context.WithCancel(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastReadID++
	n := s.lastReadID
	r.abort = cancel
	s.reads[n] = r
	return inner, func() {
		s.mu.Lock()
		delete(s.reads, n)
		s.mu.Unlock()
		cancel()
	}
}

// abortWaitingReads aborts the reads of a topic that wait for a record.
func (s *storeMonitor) abortWaitingReads(t external.Topic) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.reads {
		if r.topic == t && r.waits {
			r.abort()
		}
	}
}

// Newest implements external.Store.
func (s *storeMonitor) Newest(ctx context.Context, t external.Topic) (external.Page, error) {
	p, err := s.Store.Newest(ctx, t)
	s.recordResult(ctx, t, err)
	return p, err
}

// isUnavailable reports whether an error means that the store did not serve a call.
func isUnavailable(err error) bool {
	return errors.Is(err, external.ErrNotExecuted) || errors.Is(err, external.ErrOutcomeUnknown)
}

// resultName returns the name of a call's result, for metrics.
func resultName(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, external.ErrNotExecuted):
		return "refused"
	case errors.Is(err, external.ErrOutcomeUnknown):
		return "unclear"
	case errors.Is(err, external.ErrFenced):
		return "fenced"
	default:
		return "condition"
	}
}

// recordResult records what a call says about its topic. A call that its caller
// cancelled says nothing.
func (s *storeMonitor) recordResult(ctx context.Context, t external.Topic, err error) {
	if errors.Is(ctx.Err(), context.Canceled) && !errors.Is(context.Cause(ctx), errStalled) && !errors.Is(context.Cause(ctx), errTimeLimit) {
		return
	}
	mStoreCalls.With(resultName(err)).Inc()
	if isUnavailable(err) {
		s.recordFailure(t, err)
		return
	}
	s.mu.Lock()
	recovered := s.health.recordAnswer(t, boottime())
	if recovered {
		for _, r := range s.reads {
			r.abort()
		}
		close(s.recovered)
		s.recovered = make(chan struct{})
	}
	s.mu.Unlock()
	if recovered {
		s.onChange(t, true, nil)
		s.requestProbe()
	}
}

func (s *storeMonitor) recordFailure(t external.Topic, err error) {
	s.mu.Lock()
	if errors.Is(err, external.ErrRateLimited) && s.health.answeredWithin(boottime(), answerWindow) {
		s.mu.Unlock()
		return
	}
	becameUnavailable := s.health.recordFailure(t)
	s.mu.Unlock()
	if !becameUnavailable {
		return
	}
	s.onChange(t, false, err)
	s.requestProbe()
}

// requestProbe has all topics probed at once.
func (s *storeMonitor) requestProbe() {
	select {
	case s.probeNow <- struct{}{}:
	default: // already requested
	}
}

// waitToRetry waits, for at least the given time, before a failed read is repeated. While
// the store answers for no topic, it waits longer, but not beyond the store's return.
func (s *storeMonitor) waitToRetry(ctx context.Context, wait time.Duration) {
	s.mu.Lock()
	down, recovered := !s.health.reachable(), s.recovered
	s.mu.Unlock()
	if down {
		wait = max(wait, outageRetryDelay)
	} else {
		recovered = nil
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-recovered:
	case <-t.C:
	}
}

// availableAmong returns those of the given topic numbers whose topics are available,
// in the same order.
func (s *storeMonitor) availableAmong(topics []external.Topic, order []int) []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(order), func(n int) bool {
		return s.health.topic(topics[n]).state != topicAvailable
	})
}
