package placement

import (
	"container/heap"
	"slices"

	"coltsfootmux/internal/model"
)

const (
	urgentClass = model.ClassUrgent
	batchClass  = model.ClassBatch
)

// passTries bounds the failed tries of one pass; the rest waits for the next step.
const passTries = 64

type queueHeap []*queue

func (h queueHeap) Len() int           { return len(h) }
func (h queueHeap) Less(i, k int) bool { return h[i].score.compare(h[k].score) < 0 }
func (h queueHeap) Swap(i, k int)      { h[i], h[k] = h[k], h[i] }
func (h *queueHeap) Push(x any)        { *h = append(*h, x.(*queue)) }

func (h *queueHeap) Pop() any {
	old := *h
	q := old[len(old)-1]
	*h = old[:len(old)-1]
	return q
}

// passes bounds the passes of one step; what they leave waits for the next step.
const passes = 4

// schedule makes passes until nothing more could start.
func (c *Core) schedule() {
	for range passes {
		if len(c.woken) == 0 && len(c.freed) == 0 {
			return
		}
		c.makePass()
	}
}

// makePass tries the queues that were woken, and those that the freed cells
// serve, in order.
func (c *Core) makePass() {
	freed := c.freed
	c.freed = nil
	for _, cl := range freed {
		cl.freed = false
	}
	due := c.collect(freed)
	heap.Init(&due)
	tries := 0
	for len(due) > 0 {
		q := due[0]
		j := q.head()
		if j == nil {
			heap.Pop(&due)
			continue
		}
		if q.blocked && local(j) && c.hopeless(q, j, freed) {
			heap.Pop(&due)
			continue
		}
		if c.try(q, j, freed) {
			c.advance(&due, q)
			continue
		}
		q.blocked = true
		heap.Pop(&due)
		if c.policy.Order == OrderArrival {
			break
		}
		if tries++; tries >= passTries {
			break
		}
	}
	c.postpone(due)
}

// hopeless reports whether none of the freed cells has room for one member, so
// that a queue that was blocked before stays so. Work that may reclaim room is
// never hopeless.
func (c *Core) hopeless(q *queue, j *job, freed []*cell) bool {
	if c.policy.Order == OrderArrival || j.class == urgentClass || c.overdue(j) {
		return false
	}
	entitled := !q.acc.entitled.IsZero()
	for _, cl := range freed {
		if j.work.Shape.Fits(cl.free) || (entitled && cl.holdsFor(q.acc)) {
			return false
		}
	}
	return true
}

// advance puts a queue whose head left back into its place.
func (c *Core) advance(due *queueHeap, q *queue) {
	next := q.head()
	if next == nil {
		heap.Pop(due)
		return
	}
	q.score = c.scoreOf(q, next)
	heap.Fix(due, 0)
}

// postpone has the queues that a pass did not reach tried in the next step.
func (c *Core) postpone(due queueHeap) {
	for _, q := range due {
		c.unblock(q)
	}
}

// collect gives the queues to be tried, each once.
func (c *Core) collect(freed []*cell) queueHeap {
	c.pass++
	var due queueHeap
	woken := c.woken
	c.woken = nil
	for _, q := range woken {
		due = c.add(due, q)
	}
	if c.policy.Order == OrderArrival {
		return c.addAll(due)
	}
	if len(freed) > 0 {
		c.open = compactQueues(c.open)
		for _, q := range c.open {
			due = c.add(due, q)
		}
	}
	for _, cl := range freed {
		qs := compactQueues(c.byCell[cl.id])
		if len(qs) == 0 {
			delete(c.byCell, cl.id)
			continue
		}
		c.byCell[cl.id] = qs
		for _, q := range qs {
			due = c.add(due, q)
		}
	}
	return due
}

func (c *Core) addAll(due queueHeap) queueHeap {
	for _, q := range c.open {
		due = c.add(due, q)
	}
	for _, id := range c.sortedLimits() {
		for _, q := range c.byCell[id] {
			due = c.add(due, q)
		}
	}
	return due
}

func (c *Core) add(due queueHeap, q *queue) queueHeap {
	if q.mark == c.pass || !q.listed {
		return due
	}
	q.mark = c.pass
	j := q.head()
	if j == nil {
		return due
	}
	q.score = c.scoreOf(q, j)
	return append(due, q)
}

func compactQueues(qs []*queue) []*queue {
	return slices.DeleteFunc(qs, func(q *queue) bool { return !q.listed })
}

// free marks a cell as having room that waiting work was not tried on.
func (c *Core) free(cl *cell) {
	if cl.freed {
		return
	}
	cl.freed = true
	c.freed = append(c.freed, cl)
}
