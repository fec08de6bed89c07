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

// errGivenUp means that this process gave a read up itself.
var errGivenUp = eris.New("read given up")

// openRead is a read under way.
type openRead struct {
	topic external.Topic
	// waits says that its answer may wait for a record.
	waits  bool
	giveUp context.CancelFunc
}

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
	// times is how long the store takes to answer calls that don't wait.
	times storetime.Estimate
	// reads are those under way. When a topic answers again they are given up, as
	// the store may have forgotten them.
	reads map[int]openRead
	next  int
	// wake has a word when all topics are to be probed at once.
	wake chan struct{}
	// back is closed, and replaced, when a topic answers again.
	back chan struct{}
}

func newStoreWatch(l external.Log, probed []external.Topic) *storeWatch {
	return &storeWatch{
		Log: l, probed: probed,
		changed:  func(external.Topic, bool, error) {},
		unread:   func(external.Topic, int64, int) {},
		contacts: make(contacts), reads: make(map[int]openRead), wake: make(chan struct{}, 1),
		back: make(chan struct{}),
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

// sinceOK gives how long ago the store answered for a topic; false if it never did.
func (s *storeWatch) sinceOK(t external.Topic) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	have := s.contacts[t]
	if have == nil || have.lastOK == 0 {
		return 0, false
	}
	return boottime() - have.lastOK, true
}

// whole says whether no topic that this process calls is lost to it.
func (s *storeWatch) whole() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.contacts.whole()
}

// Append implements external.Log. It waits for appendTime at most.
func (s *storeWatch) Append(ctx context.Context, a external.Append) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, s.appendTime())
	defer cancel()
	began := boottime()
	end, err := s.Log.Append(ctx, a)
	took := boottime() - began
	mAppend.Update(took.Seconds())
	s.noteTime(took, err)
	s.note(ctx, a.Topic, err)
	return end, err
}

// appendTime gives how long an append may take.
func (s *storeWatch) appendTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.times.AppendTime(boottime())
}

// meanTime gives how long the store takes to answer of late; 0 if not known.
func (s *storeWatch) meanTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.times.Mean(boottime())
}

// noteTime takes in how long the store took to answer; a refusal or a lost answer
// says nothing of that.
func (s *storeWatch) noteTime(took time.Duration, err error) {
	if isSilence(err) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.times.Answered(boottime(), took)
}

// heardTime takes in how long the store takes to answer the cell's owner.
func (s *storeWatch) heardTime(mean time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.times.Adopt(boottime(), mean)
}

// Read implements external.Log. It may also end with errGivenUp.
func (s *storeWatch) Read(ctx context.Context, t external.Topic, from int64, wait time.Duration) (external.Page, error) {
	inner, done := s.begin(ctx, openRead{topic: t, waits: wait > 0})
	defer done()
	p, err := s.Log.Read(inner, t, from, wait)
	s.note(inner, t, err)
	if err != nil && inner.Err() != nil && ctx.Err() == nil {
		err = eris.Wrap(errGivenUp, err.Error())
	}
	if p.Unreadable > 0 {
		s.unread(t, from, p.Unreadable)
	}
	return p, err
}

// begin registers a read; done ends it.
func (s *storeWatch) begin(ctx context.Context, r openRead) (inner context.Context, done func()) {
	inner, cancel := context.WithCancel(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	n := s.next
	r.giveUp = cancel
	s.reads[n] = r
	return inner, func() {
		s.mu.Lock()
		delete(s.reads, n)
		s.mu.Unlock()
		cancel()
	}
}

// hurry gives up the reads of a topic that wait for a record.
func (s *storeWatch) hurry(t external.Topic) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.reads {
		if r.topic == t && r.waits {
			r.giveUp()
		}
	}
}

// Newest implements external.Log.
func (s *storeWatch) Newest(ctx context.Context, t external.Topic) (external.Page, error) {
	p, err := s.Log.Newest(ctx, t)
	s.note(ctx, t, err)
	return p, err
}

// isSilence says whether an error means that the store did not serve a call.
func isSilence(err error) bool {
	return errors.Is(err, external.ErrNotExecuted) || errors.Is(err, external.ErrOutcomeUnknown)
}

// resultName names what became of a call, for metrics.
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
	back := s.contacts.answered(t, boottime())
	if back {
		for _, r := range s.reads {
			r.giveUp()
		}
		close(s.back)
		s.back = make(chan struct{})
	}
	s.mu.Unlock()
	if back {
		s.changed(t, true, nil)
		s.wakeProbes()
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
	s.wakeProbes()
}

func (s *storeWatch) wakeProbes() {
	select {
	case s.wake <- struct{}{}:
	default: // a word is waiting already
	}
}

// pause waits before a read that failed is made again: for the store's return,
// where it is away.
func (s *storeWatch) pause(ctx context.Context) {
	s.mu.Lock()
	away, back := !s.contacts.reachable(), s.back
	s.mu.Unlock()
	wait := readRetry
	if away {
		wait = awayRetry
	} else {
		back = nil
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-back:
	case <-t.C:
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
