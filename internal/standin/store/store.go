package store

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"coltsfootmux/internal/external"
)

// Fault describes how the store fails. The zero value is a healthy store.
type Fault struct {
	// Down refuses every call without carrying it out.
	Down bool
	// Silent neither carries out nor answers any call.
	Silent bool
	// LoseAnswers carries out appends but never answers them.
	LoseAnswers bool
	// AppendDelay carries out appends after this delay and never answers them.
	AppendDelay time.Duration
	// Slow delays every call by this much before it is carried out.
	Slow time.Duration
	// AppendTime is how long a topic takes for each append. It carries out one at a
	// time, in the order of arrival, and refuses those that would wait for more than 2 s.
	AppendTime time.Duration
	// NoReadWakeup lets a read that waits for records return only at the end of its
	// wait time, even if records are appended before.
	NoReadWakeup bool
	// ReadsPerSecond, if positive, is how many reads all clients together may make in each
	// second. Those beyond are refused.
	ReadsPerSecond int
	// Topics limits the fault to these topics; if empty, it applies to all.
	Topics []external.Topic
}

// forTopic returns the fault that applies to a topic.
func (f Fault) forTopic(t external.Topic) Fault {
	if len(f.Topics) > 0 && !slices.Contains(f.Topics, t) {
		return Fault{}
	}
	return f
}

// Limits are the largest sizes that the platform's store takes.
var Limits = external.StoreLimits{RecordBytes: 262_144, AppendBytes: 2_097_152}

// Store is a stand-in store. It is safe for concurrent use.
type Store struct {
	mu     sync.Mutex
	limits external.StoreLimits
	topics map[external.Topic]*topic
	fault  Fault
	// changed is closed when records are appended or the faults change.
	changed chan struct{}
	// refused is the number of appends that were refused for their size.
	refused int
	// calls is the number of calls to the external.Log methods.
	calls int
	// second is the second in which the reads counted in readsInSecond were made.
	second        time.Time
	readsInSecond int
}

// New returns an empty store.
func New() *Store {
	return &Store{limits: Limits, topics: make(map[external.Topic]*topic), changed: make(chan struct{})}
}

// SetLimits replaces Limits.
func (s *Store) SetLimits(l external.StoreLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = l
}

// Sizes returns the limits, the size of the largest record in the store and the number of appends
// that were refused for their size.
func (s *Store) Sizes() (l external.StoreLimits, largest, refused int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.topics {
		for _, r := range t.newest {
			largest = max(largest, external.RecordSize(r))
		}
	}
	return s.limits, largest, s.refused
}

// checkSize refuses an append of which a record, or all together, are too large.
func (s *Store) checkSize(a external.Append) error {
	for _, r := range a.Records {
		if n := external.RecordSize(r); n > s.limits.RecordBytes {
			s.refused++
			return eris.Wrapf(external.ErrInvalidRequest, "record %s has %d bytes", r.Key, n)
		}
	}
	if n := external.AppendSize(a.Records); n > s.limits.AppendBytes {
		s.refused++
		return eris.Wrapf(external.ErrInvalidRequest, "%d records have %d bytes", len(a.Records), n)
	}
	return nil
}

// SetFault replaces the current faults.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	s.wakeReaders()
}

// Topics returns the names of all topics, sorted.
func (s *Store) Topics() []external.Topic {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.topics))
}

// Calls returns the number of Append, Read and Newest calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Expire deletes the records that a topic holds now. Newest still returns the
// newest record of each key.
func (s *Store) Expire(t external.Topic) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(t).expire(s.topic(t).end())
}

// Put appends one record as another client would. No fault applies to it.
func (s *Store) Put(t external.Topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// An append without conditions can't fail.
	_, _ = s.topic(t).append(external.Append{Records: []external.Record{{Key: key, Value: value}}})
	s.wakeReaders()
}

// Append implements external.Store.
func (s *Store) Append(ctx context.Context, a external.Append) (int64, error) {
	f, err := s.begin(ctx, a.Topic)
	if err != nil {
		return 0, err
	}
	if f.AppendTime > 0 {
		return s.appendInTurn(ctx, a, f.AppendTime)
	}
	if f.AppendDelay > 0 {
		time.AfterFunc(f.AppendDelay, func() { _, _ = s.append(a) })
	}
	if f.AppendDelay > 0 || f.LoseAnswers {
		if f.AppendDelay == 0 {
			_, _ = s.append(a)
		}
		<-ctx.Done()
		return 0, eris.Wrap(external.ErrOutcomeUnknown, "answer lost")
	}
	return s.append(a)
}

// maxQueueTime is how long an append may wait for its turn before it is refused.
const maxQueueTime = 2 * time.Second

// appendInTurn carries out an append after the earlier ones of its topic, even if
// its caller has given up by then.
func (s *Store) appendInTurn(ctx context.Context, a external.Append, appendTime time.Duration) (int64, error) {
	s.mu.Lock()
	t := s.topic(a.Topic)
	startAt := time.Now()
	if t.busyUntil.After(startAt) {
		startAt = t.busyUntil
	}
	if time.Until(startAt) > maxQueueTime {
		s.mu.Unlock()
		return 0, eris.Wrap(external.ErrNotExecuted, "too many appends wait")
	}
	t.busyUntil = startAt.Add(appendTime)
	untilDone := time.Until(t.busyUntil)
	s.mu.Unlock()
	type result struct {
		end int64
		err error
	}
	done := make(chan result, 1)
	time.AfterFunc(untilDone, func() {
		end, err := s.append(a)
		done <- result{end, err}
	})
	select {
	case r := <-done:
		return r.end, r.err
	case <-ctx.Done():
		return 0, eris.Wrap(external.ErrOutcomeUnknown, "no answer in time")
	}
}

func (s *Store) append(a external.Append) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkSize(a); err != nil {
		return 0, err
	}
	end, err := s.topic(a.Topic).append(a)
	s.wakeReaders()
	return end, err
}

// Read implements external.Store.
func (s *Store) Read(ctx context.Context, t external.Topic, from int64, wait time.Duration) (external.Page, error) {
	if _, err := s.begin(ctx, t); err != nil {
		return external.Page{}, err
	}
	if s.isOverRate(t) {
		return external.Page{}, eris.Wrap(external.ErrRateLimited, "too many reads")
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	waited := false
	for {
		s.mu.Lock()
		p, err := s.topic(t).read(from)
		changed, f := s.changed, s.fault.forTopic(t)
		s.mu.Unlock()
		if f.Down || f.Silent {
			return external.Page{}, eris.Wrap(external.ErrOutcomeUnknown, "connection lost")
		}
		if err != nil || len(p.Records) > 0 && !(f.NoReadWakeup && waited) {
			return p, err
		}
		waited = true
		select {
		case <-changed:
		case <-timer.C:
			return p, nil
		case <-ctx.Done():
			return p, eris.Wrap(external.ErrOutcomeUnknown, "no answer in time")
		}
	}
}

// Newest implements external.Store.
func (s *Store) Newest(ctx context.Context, t external.Topic) (external.Page, error) {
	if _, err := s.begin(ctx, t); err != nil {
		return external.Page{}, err
	}
	if s.isOverRate(t) {
		return external.Page{}, eris.Wrap(external.ErrRateLimited, "too many reads")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.topic(t).newestPage(), nil
}

// isOverRate counts a read and reports whether it exceeds the rate limit.
func (s *Store) isOverRate(t external.Topic) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := s.fault.forTopic(t).ReadsPerSecond
	if limit <= 0 {
		return false
	}
	if now := time.Now().Truncate(time.Second); !now.Equal(s.second) {
		s.second, s.readsInSecond = now, 0
	}
	s.readsInSecond++
	return s.readsInSecond > limit
}

// begin counts a call and applies the faults that act before it is carried out.
func (s *Store) begin(ctx context.Context, t external.Topic) (Fault, error) {
	s.mu.Lock()
	f := s.fault.forTopic(t)
	s.calls++
	s.mu.Unlock()
	switch {
	case f.Down:
		return f, eris.Wrap(external.ErrNotExecuted, "down")
	case f.Silent:
		<-ctx.Done()
		return f, eris.Wrap(external.ErrOutcomeUnknown, "no answer")
	case f.Slow > 0:
		t := time.NewTimer(f.Slow)
		defer t.Stop()
		select {
		case <-t.C:
		case <-ctx.Done():
			return f, eris.Wrap(external.ErrOutcomeUnknown, "too slow")
		}
	}
	return f, nil
}

func (s *Store) topic(name external.Topic) *topic {
	t := s.topics[name]
	if t == nil {
		t = newTopic()
		s.topics[name] = t
	}
	return t
}

func (s *Store) wakeReaders() {
	close(s.changed)
	s.changed = make(chan struct{})
}

var _ external.Store = (*Store)(nil)
