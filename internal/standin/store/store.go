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

// Fault says how the store fails. The zero value is healthy.
type Fault struct {
	// Down refuses every call.
	Down bool
	// Silent answers no call; nothing is done.
	Silent bool
	// LoseAnswers carries appends out without an answer.
	LoseAnswers bool
	// LateBy carries appends out this much later, without an answer.
	LateBy time.Duration
	// Slow delays every answer.
	Slow time.Duration
	// AppendTime is how long a topic takes for each append; it carries out one at a
	// time, in the order in which they come, and refuses those that would wait for
	// longer than 2 s.
	AppendTime time.Duration
	// Deaf leaves reads that wait unanswered until their wait is over.
	Deaf bool
	// Topics, if any, are the only ones that the fault is about.
	Topics []external.Topic
}

// on gives the fault as a topic meets it.
func (f Fault) on(t external.Topic) Fault {
	if len(f.Topics) > 0 && !slices.Contains(f.Topics, t) {
		return Fault{}
	}
	return f
}

// Store is a stand-in store. It is safe for concurrent use.
type Store struct {
	mu     sync.Mutex
	topics map[external.Topic]*topic
	fault  Fault
	// changed is closed when records were added or faults changed.
	changed chan struct{}
	calls   int
}

// New makes an empty store.
func New() *Store {
	return &Store{topics: make(map[external.Topic]*topic), changed: make(chan struct{})}
}

// SetFault replaces the faults in force.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	s.signal()
}

// Topics gives the names of the topics there are, in order.
func (s *Store) Topics() []external.Topic {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.topics))
}

// Calls gives the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Expire drops the records of a topic that are there now; the newest of each
// key stay readable as such.
func (s *Store) Expire(t external.Topic) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(t).expire(s.topic(t).end())
}

// Put appends one record as somebody else would, whatever the faults.
func (s *Store) Put(t external.Topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// An append without conditions can't fail.
	_, _ = s.topic(t).append(external.Append{Records: []external.Record{{Key: key, Value: value}}})
	s.signal()
}

// Append implements external.Store.
func (s *Store) Append(ctx context.Context, a external.Append) (int64, error) {
	f, err := s.begin(ctx, a.Topic)
	if err != nil {
		return 0, err
	}
	if f.AppendTime > 0 {
		return s.queue(ctx, a, f.AppendTime)
	}
	if f.LateBy > 0 {
		time.AfterFunc(f.LateBy, func() { _, _ = s.append(a) })
	}
	if f.LateBy > 0 || f.LoseAnswers {
		if f.LateBy == 0 {
			_, _ = s.append(a)
		}
		<-ctx.Done()
		return 0, eris.Wrap(external.ErrOutcomeUnknown, "answer lost")
	}
	return s.append(a)
}

// longestQueue is the wait from which on a topic refuses appends.
const longestQueue = 2 * time.Second

// queue carries an append out after those that came before it, also when its
// caller has left.
func (s *Store) queue(ctx context.Context, a external.Append, takes time.Duration) (int64, error) {
	s.mu.Lock()
	t := s.topic(a.Topic)
	starts := time.Now()
	if t.busy.After(starts) {
		starts = t.busy
	}
	if time.Until(starts) > longestQueue {
		s.mu.Unlock()
		return 0, eris.Wrap(external.ErrNotExecuted, "too many appends wait")
	}
	t.busy = starts.Add(takes)
	ends := time.Until(t.busy)
	s.mu.Unlock()
	type result struct {
		end int64
		err error
	}
	done := make(chan result, 1)
	time.AfterFunc(ends, func() {
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
	end, err := s.topic(a.Topic).append(a)
	s.signal()
	return end, err
}

// Read implements external.Store.
func (s *Store) Read(ctx context.Context, t external.Topic, from int64, wait time.Duration) (external.Page, error) {
	if _, err := s.begin(ctx, t); err != nil {
		return external.Page{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	waited := false
	for {
		s.mu.Lock()
		p, err := s.topic(t).read(from)
		changed, f := s.changed, s.fault.on(t)
		s.mu.Unlock()
		if f.Down || f.Silent {
			return external.Page{}, eris.Wrap(external.ErrOutcomeUnknown, "connection lost")
		}
		if err != nil || len(p.Records) > 0 && !(f.Deaf && waited) {
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
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.topic(t).newestPage(), nil
}

// begin applies the faults that come before a call is carried out.
func (s *Store) begin(ctx context.Context, t external.Topic) (Fault, error) {
	s.mu.Lock()
	f := s.fault.on(t)
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

func (s *Store) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

var _ external.Store = (*Store)(nil)
