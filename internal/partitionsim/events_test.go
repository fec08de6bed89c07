package partitionsim

import (
	"container/heap"
	"time"
)

// event is a function that is called at a given time. Events at the same time are handled
// in the order of their numbers.
type event struct {
	at     time.Duration
	number int
	do     func()
}

// eventQueue is a heap of events.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(a, b int) bool {
	if q[a].at != q[b].at {
		return q[a].at < q[b].at
	}
	return q[a].number < q[b].number
}

func (q eventQueue) Swap(a, b int) { q[a], q[b] = q[b], q[a] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// schedule calls do after the given time.
func (s *simulation) schedule(d time.Duration, do func()) {
	s.scheduled++
	heap.Push(&s.queue, event{at: s.now + max(d, 0), number: s.scheduled, do: do})
}

// run lets time pass.
func (s *simulation) run(d time.Duration) {
	end := s.now + d
	for len(s.queue) > 0 && s.queue[0].at <= end {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		s.fleet.Advance(s.now)
		s.checkGangs()
		e.do()
	}
	s.now = end
	s.fleet.Advance(s.now)
}

// between returns a random time.
func (s *simulation) between(from, to time.Duration) time.Duration {
	return from + time.Duration(s.rng.Int64N(int64(to-from)+1))
}

// chance reports true with the given probability.
func (s *simulation) chance(p float64) bool { return s.rng.Float64() < p }
