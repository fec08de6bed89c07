package instance

import (
	"context"
	"errors"
	"sync"
	"time"

	"coltsfootmux/internal/external"
)

// storeLostAfter is how many calls in a row must fail before the store counts
// as lost to this process; a single lost answer says nothing.
const storeLostAfter = 2

const (
	// probeEvery lies between two probes of a store that was lost, probeTime
	// bounds one; a slow store still answers in time.
	probeEvery = 150 * time.Millisecond
	probeTime  = 500 * time.Millisecond
)

// storeWatch passes calls to the store on and keeps whether it answers.
type storeWatch struct {
	external.Log
	// changed is told when the store is lost or answers again.
	changed func(answers bool, err error)

	mu       sync.Mutex
	failures int
	lost     bool
	lastOK   time.Duration
	// reads are those under way. When the store answers again they are given up,
	// as it may have forgotten them.
	reads map[int]context.CancelFunc
	next  int
}

// answers says whether the store answers this process.
func (s *storeWatch) answers() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.lost && s.lastOK > 0
}

// Append implements external.Log.
func (s *storeWatch) Append(ctx context.Context, a external.Append) (int64, error) {
	began := boottime()
	end, err := s.Log.Append(ctx, a)
	mAppend.Update((boottime() - began).Seconds())
	s.note(ctx, err)
	return end, err
}

// Read implements external.Log.
func (s *storeWatch) Read(ctx context.Context, t external.Topic, from int64, wait time.Duration) (external.Page, error) {
	inner, done := s.begin(ctx)
	defer done()
	p, err := s.Log.Read(inner, t, from, wait)
	s.note(inner, err)
	return p, err
}

// begin registers a read; done ends it.
func (s *storeWatch) begin(ctx context.Context) (inner context.Context, done func()) {
	inner, cancel := context.WithCancel(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reads == nil {
		s.reads = make(map[int]context.CancelFunc)
	}
	s.next++
	n := s.next
	s.reads[n] = cancel
	return inner, func() {
		s.mu.Lock()
		delete(s.reads, n)
		s.mu.Unlock()
		cancel()
	}
}

// probe asks a store that was lost for a sign of life over a new call, and says
// whether it was asked.
func (s *storeWatch) probe(ctx context.Context, t external.Topic) bool {
	if s.answers() {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, probeTime)
	defer cancel()
	_, err := s.Log.Newest(ctx, t)
	s.note(ctx, err)
	return true
}

// Newest implements external.Log.
func (s *storeWatch) Newest(ctx context.Context, t external.Topic) (external.Page, error) {
	p, err := s.Log.Newest(ctx, t)
	s.note(ctx, err)
	return p, err
}

// resultName names what became of a call, for metrics.
func resultName(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, external.ErrNotDone):
		return "refused"
	case errors.Is(err, external.ErrUnclear):
		return "unclear"
	case errors.Is(err, external.ErrFenced):
		return "fenced"
	default:
		return "condition"
	}
}

// note counts what a call says about the store. A call that its caller gave up
// says nothing.
func (s *storeWatch) note(ctx context.Context, err error) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	failed := errors.Is(err, external.ErrNotDone) || errors.Is(err, external.ErrUnclear)
	mStore.With(resultName(err)).Inc()
	s.mu.Lock()
	was := s.lost
	if failed {
		s.failures++
		s.lost = s.lost || s.failures >= storeLostAfter
	} else {
		s.failures, s.lost, s.lastOK = 0, false, boottime()
	}
	now := s.lost
	if was && !now {
		for _, giveUp := range s.reads {
			giveUp()
		}
	}
	s.mu.Unlock()
	if was != now {
		s.changed(!now, err)
	}
}
