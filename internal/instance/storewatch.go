package instance

import (
	"context"
	"errors"
	"math"
	"slices"
	"sync"
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
	// checkFresh is how long a topic's last answer stands for a probe made for a peer.
	checkFresh = 400 * time.Millisecond
	// probeOffset is an offset that no topic reaches, so that a probe's answer
	// holds no records.
	probeOffset = math.MaxInt32
)

// storeWatch passes calls to the store on and keeps which topics answer.
type storeWatch struct {
	external.Log
	// changed is told when a topic is lost or answers again.
	changed func(t external.Topic, answers bool, err error)
	// unread is told of records that a read left out.
	unread func(t external.Topic, from int64, n int)
	// probed are the topics that are probed while they don't answer.
	probed []external.Topic

	mu       sync.Mutex
	contacts contacts
	lastOK   map[external.Topic]time.Duration
	// reads are those under way. When a topic answers again they are given up, as
	// the store may have forgotten them.
	reads map[int]context.CancelFunc
	next  int
	// wake has a word when topics are to be probed at once.
	wake chan struct{}
}

func newStoreWatch(l external.Log, probed []external.Topic) *storeWatch {
	return &storeWatch{
		Log: l, probed: probed,
		changed:  func(external.Topic, bool, error) {},
		unread:   func(external.Topic, int64, int) {},
		contacts: make(contacts), lastOK: make(map[external.Topic]time.Duration),
		reads: make(map[int]context.CancelFunc), wake: make(chan struct{}, 1),
	}
}

// answers says whether the store answers this process for a topic.
func (s *storeWatch) answers(t external.Topic) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.contacts.of(t).contact == contactGood
}

// reachable says whether the store answers this process for any topic.
func (s *storeWatch) reachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.contacts.reachable()
}

// Append implements external.Log.
func (s *storeWatch) Append(ctx context.Context, a external.Append) (int64, error) {
	began := boottime()
	end, err := s.Log.Append(ctx, a)
	mAppend.Update((boottime() - began).Seconds())
	s.note(ctx, a.Topic, err)
	return end, err
}

// Read implements external.Log.
func (s *storeWatch) Read(ctx context.Context, t external.Topic, from int64, wait time.Duration) (external.Page, error) {
	inner, done := s.begin(ctx)
	defer done()
	p, err := s.Log.Read(inner, t, from, wait)
	s.note(inner, t, err)
	if p.Unreadable > 0 {
		s.unread(t, from, p.Unreadable)
	}
	return p, err
}

// begin registers a read; done ends it.
func (s *storeWatch) begin(ctx context.Context) (inner context.Context, done func()) {
	inner, cancel := context.WithCancel(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
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

// Newest implements external.Log.
func (s *storeWatch) Newest(ctx context.Context, t external.Topic) (external.Page, error) {
	p, err := s.Log.Newest(ctx, t)
	s.note(ctx, t, err)
	return p, err
}

// keepProbing probes topics that don't answer until ctx ends.
func (s *storeWatch) keepProbing(ctx context.Context) {
	for ctx.Err() == nil {
		s.probeAll(ctx)
		t := time.NewTimer(probeEvery)
		select {
		case <-ctx.Done():
		case <-s.wake:
		case <-t.C:
		}
		t.Stop()
	}
}

func (s *storeWatch) probeAll(ctx context.Context) {
	var g errgroup.Group
	for _, t := range s.probed {
		if !s.answers(t) {
			g.Go(func() error { s.probe(ctx, t, probeTime); return nil })
		}
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
// says nothing.
func (s *storeWatch) check(ctx context.Context, t external.Topic) bool {
	s.mu.Lock()
	last, ok := s.lastOK[t]
	s.mu.Unlock()
	if ok && boottime()-last < checkFresh {
		return true
	}
	for range checkProbes {
		if s.probe(ctx, t, checkTime) {
			return true
		}
	}
	return false
}

// isSilence says whether an error means that the store did not serve a call.
func isSilence(err error) bool {
	return errors.Is(err, external.ErrNotDone) || errors.Is(err, external.ErrUnclear)
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

// note counts what a call says about its topic. A call that its caller gave up
// says nothing.
func (s *storeWatch) note(ctx context.Context, t external.Topic, err error) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	mStore.With(resultName(err)).Inc()
	if isSilence(err) {
		s.noteFailed(t, err)
		return
	}
	s.mu.Lock()
	back := s.contacts.answered(t)
	s.lastOK[t] = boottime()
	if back {
		for _, giveUp := range s.reads {
			giveUp()
		}
	}
	s.mu.Unlock()
	if back {
		s.changed(t, true, nil)
	}
}

func (s *storeWatch) noteFailed(t external.Topic, err error) {
	s.mu.Lock()
	lost := s.contacts.failed(t)
	s.mu.Unlock()
	if !lost {
		return
	}
	s.changed(t, false, err)
	select {
	case s.wake <- struct{}{}:
	default: // a word is waiting already
	}
}

// served gives the numbers of the topics, of those given by number in order, for
// which the store answers this process.
func (s *storeWatch) served(topics []external.Topic, order []int) []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(order), func(n int) bool {
		return s.contacts.of(topics[n]).contact != contactGood
	})
}
