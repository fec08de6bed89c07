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

func (l *simulation) after(d time.Duration, f func()) {
	heap.Push(&l.events, event{at: l.now + d, n: l.events.next(), do: f})
}

func (l *simulation) run() {
	for l.events.Len() > 0 {
		m := heap.Pop(&l.events).(event)
		l.now = m.at
		m.do()
	}
}

// submit starts the commit of one job.
func (l *simulation) submit(id, topics int) {
	order := make([]int, topics)
	for n := range order {
		order[n] = (id + n) % topics
	}
	began := l.now
	c := New(l.now+deadline, Options{Topics: order, DirectTopics: order, Peers: 3})
	ended := false
	var step func([]Action)
	wake := func() {
		if !ended {
			step(c.Wake(l.now))
		}
	}
	step = func(as []Action) {
		for _, a := range as {
			switch a := a.(type) {
			case StartAttempt:
				l.attempt(id, a.Route, func(r Result) { step(c.Step(l.now, AttemptAnswer{Attempt: a.Attempt, Result: r})) })
			case AskOwner:
				l.after(2*oneWayTime, func() {
					step(c.Step(l.now, OwnerAnswer{Known: l.read[id], StoreTime: l.store.Mean(l.now)}))
				})
			case Finish:
				ended = true
				l.results[a.Result]++
				l.slowest = max(l.slowest, l.now-began)
			}
		}
		if !ended {
			l.after(max(c.Next()-l.now, 0), wake)
		}
	}
	step(c.Start(l.now))
}

// attempt appends a record and answers, unless the answer is lost.
func (l *simulation) attempt(id int, r Route, answer func(Result)) {
	l.appends++
	var way time.Duration
	if r.Peer != Direct {
		way = 2 * oneWayTime
	}
	starts := max(l.now, l.busyUntil[r.Topic])
	if starts-l.now > maxQueueTime {
		l.after(way, func() { answer(NotWritten) })
		return
	}
	took := starts + l.append - l.now
	l.busyUntil[r.Topic] = starts + l.append
	lost := l.rng.Float64() < l.lossRate
	l.after(took, func() { l.store.Answered(l.now, took) })
	l.after(took+readTime, func() { l.read[id] = true })
	if limit := max(l.store.AppendTime(l.now), storetime.MinAppendTime); lost || took > limit {
		l.after(limit+way, func() { answer(OutcomeUnknown) })
		return
	}
	l.after(took+way, func() { answer(Done) })
}

// simulate submits burst jobs at once and then perSecond jobs a second for the time d.
func simulate(topics, perSecond, burst int, d, append time.Duration, loses float64) *simulation {
	l := &simulation{
		busyUntil: make([]time.Duration, topics), append: append, lossRate: loses,
		rng: rand.New(rand.NewPCG(1, 2)), read: make(map[int]bool), results: make(map[Result]int),
	}
	for id := range burst {
		l.after(0, func() { l.submit(id, topics) })
	}
	for n := range int(d.Seconds() * float64(perSecond)) {
		at := time.Duration(float64(n) / float64(perSecond) * float64(time.Second))
		l.after(at, func() { l.submit(burst+n, topics) })
	}
	l.run()
	return l
}

// A store that takes 140 ms for an append executes 21 of them a second over three topics.
// Further attempts for records that waited in its queue lengthened the queue until no
// append was answered in time.
func TestSlowStoreTakesEverySubmission(t *testing.T) {
	l := simulate(3, 12, 12, 5*time.Second, ms(140), 0)
	if l.results[OutcomeUnknown] > 0 || l.results[NotWritten] > 0 {
		t.Errorf("results %v with %d appends", l.results, l.appends)
	}
	if l.appends > 2*l.results[Done] {
		t.Errorf("%d appends for %d records", l.appends, l.results[Done])
	}
}

// Where a third of the answers is lost, the owner has read what was written.
func TestLostAnswersCostNoFurtherAppend(t *testing.T) {
	l := simulate(3, 12, 0, 5*time.Second, ms(2), 0.35)
	if l.results[Done] != 60 {
		t.Errorf("results %v", l.results)
	}
	if l.appends > 60 || l.slowest > MinHedge {
		t.Errorf("%d appends for 60 records, the slowest after %v", l.appends, l.slowest)
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

func (t *eventQueue) next() int     { t.count++; return t.count }
func (t *eventQueue) Len() int      { return len(t.events) }
func (t *eventQueue) Swap(i, j int) { t.events[i], t.events[j] = t.events[j], t.events[i] }
func (t *eventQueue) Push(x any)    { t.events = append(t.events, x.(event)) }
func (t *eventQueue) Less(i, j int) bool {
	a, b := t.events[i], t.events[j]
	return a.at < b.at || a.at == b.at && a.n < b.n
}

func (t *eventQueue) Pop() any {
	last := t.events[len(t.events)-1]
	t.events = t.events[:len(t.events)-1]
	return last
}
