package cellplay

import (
	"container/heap"
	"time"
)

// timeline holds the scheduled calls, ordered by time. Calls for the same time are
// made in the order in which they were scheduled.
type timeline struct {
	now     time.Duration
	lastSeq int
	queue   callHeap
}

type scheduledCall struct {
	at  time.Duration
	seq int
	do  func()
}

// after schedules a call at d from now.
func (t *timeline) after(d time.Duration, do func()) {
	t.lastSeq++
	heap.Push(&t.queue, scheduledCall{at: t.now + d, seq: t.lastSeq, do: do})
}

// runDue makes all calls that are due.
func (t *timeline) runDue() {
	for len(t.queue) > 0 && t.queue[0].at <= t.now {
		heap.Pop(&t.queue).(scheduledCall).do()
	}
}

// callHeap implements heap.Interface.
type callHeap []scheduledCall

func (d callHeap) Len() int { return len(d) }

func (d callHeap) Less(i, k int) bool {
	if d[i].at != d[k].at {
		return d[i].at < d[k].at
	}
	return d[i].seq < d[k].seq
}

func (d callHeap) Swap(i, k int) { d[i], d[k] = d[k], d[i] }
func (d *callHeap) Push(x any)   { *d = append(*d, x.(scheduledCall)) }

func (d *callHeap) Pop() any {
	old := *d
	x := old[len(old)-1]
	*d = old[:len(old)-1]
	return x
}
