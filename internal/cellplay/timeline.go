package cellplay

import (
	"container/heap"
	"time"
)

// timeline holds what happens later, in the order of its time, then of its making.
type timeline struct {
	now   time.Duration
	next  int
	queue deliveries
}

type delivery struct {
	at    time.Duration
	order int
	do    func()
}

// after has something done d from now.
func (t *timeline) after(d time.Duration, do func()) {
	t.next++
	heap.Push(&t.queue, delivery{at: t.now + d, order: t.next, do: do})
}

// deliver does everything that is due.
func (t *timeline) deliver() {
	for len(t.queue) > 0 && t.queue[0].at <= t.now {
		heap.Pop(&t.queue).(delivery).do()
	}
}

// deliveries is a heap.
type deliveries []delivery

func (d deliveries) Len() int { return len(d) }

func (d deliveries) Less(i, k int) bool {
	if d[i].at != d[k].at {
		return d[i].at < d[k].at
	}
	return d[i].order < d[k].order
}

func (d deliveries) Swap(i, k int) { d[i], d[k] = d[k], d[i] }
func (d *deliveries) Push(x any)   { *d = append(*d, x.(delivery)) }

func (d *deliveries) Pop() any {
	old := *d
	x := old[len(old)-1]
	*d = old[:len(old)-1]
	return x
}
