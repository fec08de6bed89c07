package faultrun

import (
	"container/heap"
	"time"
)

// event is something due at a time; seq orders events of one time.
type event struct {
	at  time.Time
	seq uint64
	do  func()
}

// queue holds events, the next one first.
type queue struct {
	events []event
	seq    uint64
}

func (q *queue) Len() int { return len(q.events) }

func (q *queue) Less(i, j int) bool {
	a, b := &q.events[i], &q.events[j]
	if a.at.Equal(b.at) {
		return a.seq < b.seq
	}
	return a.at.Before(b.at)
}

func (q *queue) Swap(i, j int) { q.events[i], q.events[j] = q.events[j], q.events[i] }

// Push is for heap.
func (q *queue) Push(x any) { q.events = append(q.events, x.(event)) }

// Pop is for heap.
func (q *queue) Pop() any {
	last := len(q.events) - 1
	e := q.events[last]
	q.events[last] = event{}
	q.events = q.events[:last]
	return e
}

func (q *queue) add(at time.Time, do func()) {
	q.seq++
	heap.Push(q, event{at, q.seq, do})
}

// next takes the first event if it is due by a time.
func (q *queue) next(by time.Time) (event, bool) {
	if len(q.events) == 0 || q.events[0].at.After(by) {
		return event{}, false
	}
	return heap.Pop(q).(event), true
}
