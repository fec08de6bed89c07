package placement

import (
	"container/heap"
	"slices"
	"time"

	"coltsfootmux/internal/model"
)

// timerKind says what is due.
type timerKind uint8

const (
	timerWait timerKind = iota
	timerLarge
	timerCheckpoint
	timerReclaim
	timerProbe
	timerLost
	timerWhole
	timerOveruse
	timerRetry
	timerExpire
	timerGone
)

// timer is a decision that is due at a time. Timers are never taken back: one
// that no longer applies does nothing.
type timer struct {
	at     time.Time
	seq    uint64
	kind   timerKind
	key    model.Key
	worker model.WorkerID
	lease  model.LeaseID
	round  int
	queue  *queue
}

type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}

func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = timer{}
	*h = old[:len(old)-1]
	return t
}

func (c *Core) after(d time.Duration, t timer) { c.at(c.now.Add(d), t) }

func (c *Core) at(when time.Time, t timer) {
	c.seq++
	t.seq = c.seq
	t.at = when
	heap.Push(&c.timers, t)
	if len(c.timers) > c.timersMost {
		c.compactTimers()
	}
}

// timersLeast is how many timers may be kept before dead ones are dropped.
const timersLeast = 1024

// compactTimers drops the timers of jobs and queues that are gone.
func (c *Core) compactTimers() {
	c.timers = slices.DeleteFunc(c.timers, func(t timer) bool { return !c.alive(t) })
	heap.Init(&c.timers)
	c.timersMost = max(timersLeast, 2*len(c.timers))
}

// alive reports whether what a timer is about is still known.
func (c *Core) alive(t timer) bool {
	switch {
	case t.queue != nil:
		return t.queue.listed
	case t.key != "":
		j, ok := c.jobs[t.key]
		return ok && j.round == t.round
	}
	return true
}

func (c *Core) fireTimers() {
	for len(c.timers) > 0 && !c.timers[0].at.After(c.now) {
		c.fire(heap.Pop(&c.timers).(timer))
	}
}

func (c *Core) fire(t timer) {
	switch t.kind {
	case timerWait:
		c.waitPassed(t)
	case timerLarge:
		c.largeDue(t)
	case timerCheckpoint:
		c.checkpointLate(t)
	case timerReclaim:
		c.reclaimLate(t)
	case timerProbe:
		c.probeDue(t)
	case timerLost:
		c.workerLost(t)
	case timerWhole:
		c.gangDue(t)
	case timerOveruse:
		c.overuseLate(t)
	case timerRetry:
		c.retryDue(t)
	case timerExpire:
		c.expireDue(t)
	case timerGone:
		c.goneDue(t)
	}
}
