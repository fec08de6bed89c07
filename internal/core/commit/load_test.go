package commit

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"coltsfootmux/internal/core/storetime"
)

// load plays submissions of many processes against a store whose topics each
// carry out one append at a time. Its clock is virtual.
type load struct {
	now    time.Duration
	events timeline
	topics []time.Duration // until when each is busy
	// append is how long a topic takes for one append.
	append time.Duration
	// loses gives the share of answers that are lost.
	loses float64
	rng   *rand.Rand
	// read holds the jobs that the owner has read.
	read    map[int]bool
	store   storetime.Estimate // at the owner
	appends int
	results map[Result]int
	slowest time.Duration
}

const (
	// wayTime is one way to a peer or the owner, readTime the owner's read of a record.
	wayTime  = 5 * time.Millisecond
	readTime = 10 * time.Millisecond
	// longestQueue is the wait from which on a topic refuses.
	longestQueue = 2 * time.Second
)

func (l *load) after(d time.Duration, f func()) {
	heap.Push(&l.events, moment{at: l.now + d, n: l.events.next(), do: f})
}

func (l *load) run() {
	for l.events.Len() > 0 {
		m := heap.Pop(&l.events).(moment)
		l.now = m.at
		m.do()
	}
}

// submit takes one job on its way.
func (l *load) submit(id, topics int) {
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
				l.try(id, a.Route, func(r Result) { step(c.Step(l.now, AttemptAnswer{Attempt: a.Attempt, Result: r})) })
			case AskOwner:
				l.after(2*wayTime, func() {
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

// try appends a record and answers, unless the answer is lost.
func (l *load) try(id int, r Route, answer func(Result)) {
	l.appends++
	var way time.Duration
	if r.Peer != Direct {
		way = 2 * wayTime
	}
	starts := max(l.now, l.topics[r.Topic])
	if starts-l.now > longestQueue {
		l.after(way, func() { answer(NotWritten) })
		return
	}
	took := starts + l.append - l.now
	l.topics[r.Topic] = starts + l.append
	lost := l.rng.Float64() < l.loses
	l.after(took, func() { l.store.Answered(l.now, took) })
	l.after(took+readTime, func() { l.read[id] = true })
	if limit := max(l.store.AppendTime(l.now), storetime.AppendLeast); lost || took > limit {
		l.after(limit+way, func() { answer(OutcomeUnknown) })
		return
	}
	l.after(took+way, func() { answer(Done) })
}

// play submits perSecond jobs a second for a time, after a burst of burst at once.
func play(topics, perSecond, burst int, d, append time.Duration, loses float64) *load {
	l := &load{
		topics: make([]time.Duration, topics), append: append, loses: loses,
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

// A store that takes 140 ms for an append carries 21 of them a second over three
// topics. Further tries for records that wait in its queue lengthened the queue until
// none was answered in time.
func TestSlowStoreTakesEverySubmission(t *testing.T) {
	l := play(3, 12, 12, 5*time.Second, ms(140), 0)
	if l.results[OutcomeUnknown] > 0 || l.results[NotWritten] > 0 {
		t.Errorf("results %v with %d appends", l.results, l.appends)
	}
	if l.appends > 2*l.results[Done] {
		t.Errorf("%d appends for %d records", l.appends, l.results[Done])
	}
}

// Where a third of the answers is lost, the owner has read what was written.
func TestLostAnswersCostNoFurtherAppend(t *testing.T) {
	l := play(3, 12, 0, 5*time.Second, ms(2), 0.35)
	if l.results[Done] != 60 {
		t.Errorf("results %v", l.results)
	}
	if l.appends > 60 || l.slowest > MinHedge {
		t.Errorf("%d appends for 60 records, the slowest after %v", l.appends, l.slowest)
	}
}

// moment is something that happens at a time; timeline holds them in order.
type moment struct {
	at time.Duration
	n  int
	do func()
}

type timeline struct {
	moments []moment
	count   int
}

func (t *timeline) next() int     { t.count++; return t.count }
func (t *timeline) Len() int      { return len(t.moments) }
func (t *timeline) Swap(i, j int) { t.moments[i], t.moments[j] = t.moments[j], t.moments[i] }
func (t *timeline) Push(x any)    { t.moments = append(t.moments, x.(moment)) }
func (t *timeline) Less(i, j int) bool {
	a, b := t.moments[i], t.moments[j]
	return a.at < b.at || a.at == b.at && a.n < b.n
}

func (t *timeline) Pop() any {
	last := t.moments[len(t.moments)-1]
	t.moments = t.moments[:len(t.moments)-1]
	return last
}
