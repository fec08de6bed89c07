package commit

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"coltsfootmux/internal/core/storetime"
)

// simulation submits the jobs of many processes to a store whose topics each execute one
// append at a time. Its clock is virtual.
type simulation struct {
	now       time.Duration
	events    eventQueue
	busyUntil []time.Duration // by topic
	// append is how long a topic takes for one append.
	append time.Duration
	// lossRate is the share of answers that are lost.
	lossRate float64
	rng      *rand.Rand
	// read holds the jobs whose records the owner has read.
	read    map[int]bool
	store   storetime.Estimate // at the owner
	appends int
	results map[Result]int
	slowest time.Duration
}

const (
	// oneWayTime is the time of a message to a peer or the owner, readTime the time until the
	// owner has read a record.
	oneWayTime = 5 * time.Millisecond
	readTime   = 10 * time.Millisecond
	// maxQueueTime is the longest queue of a topic; with a longer one it refuses appends.
	maxQueueTime = 2 * time.Second
)

func (s *simulation) after(d time.Duration, f func()) {
	heap.Push(&s.events, event{at: s.now + d, n: s.events.next(), do: f})
}

func (s *simulation) run() {
	for s.events.Len() > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
}

// submit starts the commit of one job.
func (s *simulation) submit(id, topics int) {
	order := make([]int, topics)
	for n := range order {
		order[n] = (id + n) % topics
	}
	began := s.now
	c := New(s.now+deadline, Options{Topics: order, DirectTopics: order, Peers: 3})
	ended := false
	var step func([]Action)
	wake := func() {
		if !ended {
			step(c.Wake(s.now))
		}
	}
	step = func(as []Action) {
		for _, a := range as {
			switch a := a.(type) {
			case StartAttempt:
				s.attempt(id, a.Route, func(r Result) { step(c.Step(s.now, AttemptAnswer{Attempt: a.Attempt, Result: r})) })
			case AskOwner:
				s.after(2*oneWayTime, func() {
					step(c.Step(s.now, OwnerAnswer{IsRead: s.read[id], StoreTime: s.store.Mean(s.now)}))
				})
			case Finish:
				ended = true
				s.results[a.Result]++
				s.slowest = max(s.slowest, s.now-began)
			}
		}
		if !ended {
			s.after(max(c.Next()-s.now, 0), wake)
		}
	}
	step(c.Start(s.now))
}

// attempt appends a record and answers, unless the answer is lost.
func (s *simulation) attempt(id int, r Route, answer func(Result)) {
	s.appends++
	var peerDelay time.Duration
	if r.Peer != Direct {
		peerDelay = 2 * oneWayTime
	}
	start := max(s.now, s.busyUntil[r.Topic])
	if start-s.now > maxQueueTime {
		s.after(peerDelay, func() { answer(NotWritten) })
		return
	}
	took := start + s.append - s.now
	s.busyUntil[r.Topic] = start + s.append
	lost := s.rng.Float64() < s.lossRate
	s.after(took, func() { s.store.Answered(s.now, took) })
	s.after(took+readTime, func() { s.read[id] = true })
	if limit := max(s.store.AppendTime(s.now), storetime.MinAppendTime); lost || took > limit {
		s.after(limit+peerDelay, func() { answer(OutcomeUnknown) })
		return
	}
	s.after(took+peerDelay, func() { answer(Done) })
}

// simulate submits burst jobs at once and then perSecond jobs a second for the time d.
func simulate(topics, perSecond, burst int, d, append time.Duration, lossRate float64) *simulation {
	s := &simulation{
		busyUntil: make([]time.Duration, topics), append: append, lossRate: lossRate,
		rng: rand.New(rand.NewPCG(1, 2)), read: make(map[int]bool), results: make(map[Result]int),
	}
	for id := range burst {
		s.after(0, func() { s.submit(id, topics) })
	}
	for n := range int(d.Seconds() * float64(perSecond)) {
		at := time.Duration(float64(n) / float64(perSecond) * float64(time.Second))
		s.after(at, func() { s.submit(burst+n, topics) })
	}
	s.run()
	return s
}

// A store that takes 140 ms for an append executes 21 of them a second over three topics.
// Further attempts for records that waited in its queue lengthened the queue until no
// append was answered in time.
func TestSlowStoreTakesEverySubmission(t *testing.T) {
	s := simulate(3, 12, 12, 5*time.Second, ms(140), 0)
	if s.results[OutcomeUnknown] > 0 || s.results[NotWritten] > 0 {
		t.Errorf("results %v with %d appends", s.results, s.appends)
	}
	if s.appends > 2*s.results[Done] {
		t.Errorf("%d appends for %d records", s.appends, s.results[Done])
	}
}

// Where a third of the answers is lost, the owner has read what was written.
func TestLostAnswersCostNoFurtherAppend(t *testing.T) {
	s := simulate(3, 12, 0, 5*time.Second, ms(2), 0.35)
	if s.results[Done] != 60 {
		t.Errorf("results %v", s.results)
	}
	if s.appends > 60 || s.slowest > MinHedge {
		t.Errorf("%d appends for 60 records, the slowest after %v", s.appends, s.slowest)
	}
}

// event is a function that is due at a time; eventQueue orders events by time.
type event struct {
	at time.Duration
	n  int
	do func()
}

type eventQueue struct {
	events []event
	count  int
}

func (q *eventQueue) next() int     { q.count++; return q.count }
func (q *eventQueue) Len() int      { return len(q.events) }
func (q *eventQueue) Swap(i, j int) { q.events[i], q.events[j] = q.events[j], q.events[i] }
func (q *eventQueue) Push(x any)    { q.events = append(q.events, x.(event)) }
func (q *eventQueue) Less(i, j int) bool {
	a, b := q.events[i], q.events[j]
	return a.at < b.at || a.at == b.at && a.n < b.n
}

func (q *eventQueue) Pop() any {
	last := q.events[len(q.events)-1]
	q.events = q.events[:len(q.events)-1]
	return last
}
