package placement

import (
	"container/heap"
	"slices"
	"strings"
	"time"

	"coltsfootmux/internal/model"
)

// demand is what makes two waiting jobs alike for placement: where one does not
// fit, the other does not either.
type demand struct {
	account   model.Account
	kind      model.Kind
	class     model.Class
	members   int
	shape     model.Shape
	adjacency model.Adjacency
	firm      bool
	cells     string
	// ran is set for preempted work, which has a queue of its own.
	ran bool
}

// queue holds the waiting jobs of one demand, the earliest first. A cancelled
// job stays in the heap until it reaches the top.
type queue struct {
	demand  demand
	acc     *account
	limit   []model.CellID
	heap    jobHeap
	live    int
	blocked bool
	// listed says that the queue is in the list of active queues.
	listed bool
	// watched says that a timer will look after its head's bound as large work.
	watched bool
	// mark tells in which pass the queue was collected.
	mark  uint64
	score score
}

type jobHeap []*job

func (h jobHeap) Len() int { return len(h) }

// Less puts those that have waited longest first, so that work which ran before
// and was preempted goes behind work that never ran.
func (h jobHeap) Less(i, k int) bool {
	if !h[i].turn.Equal(h[k].turn) {
		return h[i].turn.Before(h[k].turn)
	}
	return h[i].seq < h[k].seq
}

func (h jobHeap) Swap(i, k int) { h[i], h[k] = h[k], h[i] }
func (h *jobHeap) Push(x any)   { *h = append(*h, x.(*job)) }

func (h *jobHeap) Pop() any {
	old := *h
	j := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return j
}

// head gives the earliest job that still waits, or nil.
func (q *queue) head() *job {
	for len(q.heap) > 0 {
		j := q.heap[0]
		if j.state == jobWaiting && j.queue == q {
			return j
		}
		heap.Pop(&q.heap)
	}
	return nil
}

func (c *Core) demandOf(j *job) demand {
	return demand{
		account: j.work.Account, kind: j.work.Kind, class: j.class,
		members: j.work.Members, shape: j.work.Shape, adjacency: j.work.Adjacency,
		firm: c.firm(j), cells: joinCells(j.cells),
		ran: j.ran && !c.policy.TakeTurns,
	}
}

// joinCells writes a set of cells as one comparable value.
func joinCells(cells []model.CellID) string {
	if len(cells) == 0 {
		return ""
	}
	ids := make([]string, len(cells))
	for i, id := range cells {
		ids[i] = string(id)
	}
	slices.Sort(ids)
	return strings.Join(ids, "\x00")
}

// enqueue puts a job among the waiting.
func (c *Core) enqueue(j *job) { c.enqueueSince(j, c.now) }

// enqueueSince puts a job among the waiting with its wait counted from since.
func (c *Core) enqueueSince(j *job, since time.Time) {
	d := c.demandOf(j)
	q, ok := c.queues[d]
	if !ok {
		q = &queue{demand: d, acc: j.acc, limit: j.cells}
		c.queues[d] = q
	}
	if !q.listed {
		q.listed = true
		c.list(q)
	}
	j.state = jobWaiting
	j.queue = q
	j.queuedAt = since
	j.turn = since
	if c.policy.ResumeFirst {
		j.turn = time.Time{}
	}
	j.round++
	heap.Push(&q.heap, j)
	q.live++
	if q.live == 1 || q.heap[0] == j {
		q.blocked = false
	}
	j.acc.waiting++
	c.waiting++
	if !q.blocked {
		c.wake(q)
	}
	c.armWait(j)
}

// list makes a queue known to the cells that may serve it.
func (c *Core) list(q *queue) {
	if len(q.limit) == 0 {
		c.open = append(c.open, q)
		return
	}
	for _, id := range q.limit {
		c.byCell[id] = append(c.byCell[id], q)
	}
}

// dequeue takes a job out of the waiting; its heap entry stays behind.
func (c *Core) dequeue(j *job) {
	q := j.queue
	j.queue = nil
	q.live--
	j.acc.waiting--
	c.waiting--
	if q.live == 0 {
		q.heap = nil
		delete(c.queues, q.demand)
		q.listed = false
		return
	}
	if len(q.heap) > 2*q.live+tombstoneSlack {
		q.compact()
	}
	if len(q.heap) > 0 && q.heap[0] == j {
		q.blocked = false
		c.wake(q)
	}
}

// tombstoneSlack is how many entries of cancelled jobs a queue may keep beyond
// as many as it has live ones.
const tombstoneSlack = 64

// compact drops the entries of jobs that no longer wait here.
func (q *queue) compact() {
	kept := make(jobHeap, 0, q.live)
	for _, j := range q.heap {
		if j.state == jobWaiting && j.queue == q {
			kept = append(kept, j)
		}
	}
	q.heap = kept
	heap.Init(&q.heap)
}

// wake has a queue tried in the next pass.
func (c *Core) wake(q *queue) { c.woken = append(c.woken, q) }

// unblock has a queue tried again in all its cells.
func (c *Core) unblock(q *queue) {
	if q == nil || !q.listed {
		return
	}
	q.blocked = false
	c.wake(q)
}

// unblockAll has every queue tried again.
func (c *Core) unblockAll() {
	for _, q := range c.open {
		c.unblock(q)
	}
	for _, id := range c.sortedLimits() {
		for _, q := range c.byCell[id] {
			c.unblock(q)
		}
	}
}

func (c *Core) sortedLimits() []model.CellID {
	ids := make([]model.CellID, 0, len(c.byCell))
	for id := range c.byCell {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
