package placement

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"coltsfootmux/internal/model"
)

const (
	// drainRetry is how soon eviction and drain are tried again for overdue work.
	drainRetry = time.Second
	// drainShare is the part of the owned cells that may drain at once.
	drainShare = 3
	// ranBoundTimes is how many times LargeWait preempted large work waits before
	// room is made for it.
	ranBoundTimes = 4
)

// large reports whether work is large: a gang, or at least the reference shape.
func (c *Core) large(w *model.Work) bool {
	ref := c.conf.def.Reference.Accelerators
	return w.Members > 1 || (ref > 0 && w.Total().Accelerators >= ref)
}

// largeBound is the wait after which room is made for large work, early enough
// for victims to leave before LargeWait is over. Work that ran before waits
// longer, so that overdue work does not take turns evicting each other.
func (c *Core) largeBound(j *job) time.Duration {
	large := c.conf.def.LargeWait.D()
	if j.ran && !c.policy.TakeTurns {
		return ranBoundTimes * large
	}
	return max(large/2, large-c.conf.def.ReclaimWithin.D())
}

func (c *Core) overdue(j *job) bool {
	return c.policy.Reserve && c.large(&j.work) && c.now.Sub(j.queuedAt) >= c.largeBound(j)
}

// watch sets a timer for when the head of a queue of large work is overdue.
func (c *Core) watch(q *queue) {
	j := q.head()
	if j == nil || q.watched || !c.policy.Reserve {
		return
	}
	q.watched = true
	due := j.queuedAt.Add(c.largeBound(j))
	if !due.After(c.now) {
		due = c.now.Add(drainRetry)
	}
	c.at(due, timer{kind: timerLarge, queue: q})
}

// largeDue makes room for large work that waited its bound: by eviction if that
// suffices, else by draining a cell.
func (c *Core) largeDue(t timer) {
	q := t.queue
	q.watched = false
	if !q.listed {
		return
	}
	if j := q.head(); j != nil && c.overdue(j) {
		c.makeRoom(j)
	}
	if q.listed {
		c.watch(q)
	}
}

func (c *Core) makeRoom(j *job) {
	if c.policy.Preempt && c.reclaimIn(j, c.evictCells(j), c.evictRoom) {
		return
	}
	c.alarmLarge(j)
	if len(j.drains) == 0 {
		c.drain(j)
	}
}

// alarmLarge tells operators once of large work that no eviction makes room for.
func (c *Core) alarmLarge(j *job) {
	if j.largeAlarmed {
		return
	}
	j.largeAlarmed = true
	c.emit(Alarm{
		Code: AlarmLargeWait, Account: j.work.Account,
		Text: fmt.Sprintf("%s has waited past its bound for %d x %+v, and what runs can't be evicted",
			j.work.Key, j.work.Members, j.work.Shape),
	})
}

// drain keeps firm work out of the cells that should be free the soonest.
func (c *Core) drain(j *job) {
	room := max(1, len(c.order)/drainShare) - c.draining
	if room <= 0 {
		return
	}
	for _, cl := range c.soonest(j) {
		if len(j.drains) >= room {
			break
		}
		cl.drainFor = j
		c.draining++
		j.drains = append(j.drains, cl)
		if local(j) {
			break
		}
	}
}

// soonest orders the cells that could hold the job, or part of it, by when
// their firm work should have ended.
func (c *Core) soonest(j *job) []*cell {
	type candidate struct {
		cl *cell
		at time.Duration
	}
	var cands []candidate
	for _, cl := range c.evictCells(j) {
		if cl.drainFor != nil || !c.couldHold(j, cl) {
			continue
		}
		cands = append(cands, candidate{cl: cl, at: c.firmEnd(cl)})
	}
	slices.SortStableFunc(cands, func(a, b candidate) int { return cmp.Compare(a.at, b.at) })
	out := make([]*cell, len(cands))
	for i, cd := range cands {
		out[i] = cd.cl
	}
	return out
}

// couldHold reports whether an emptied cell would hold the job, or at least one
// member of a job that may be spread.
func (c *Core) couldHold(j *job, cl *cell) bool {
	n := 0
	for _, w := range cl.workers {
		if !w.usable() {
			continue
		}
		room := w.capacity
		if c.firm(j) {
			room = floorShape(room.Sub(c.conf.plan.HeldForOthers(w.id, j.work.Account)))
		}
		k := copies(j.work.Shape, room)
		if j.work.Adjacency == model.AdjacentWorker && k >= j.work.Members {
			return true
		}
		n += k
	}
	if j.work.Adjacency == model.AdjacentWorker {
		return false
	}
	return n >= j.work.Members || (!local(j) && n > 0)
}

// firmEnd is how long the cell's firm work should still run.
func (c *Core) firmEnd(cl *cell) time.Duration {
	var last time.Duration
	for _, w := range cl.workers {
		for _, t := range w.tasks {
			if !t.firm {
				continue
			}
			left := c.expected(t.job) - c.now.Sub(t.job.startAt)
			last = max(last, max(left, time.Second))
		}
	}
	return last
}

// endDrain gives drained cells back to all work.
func (c *Core) endDrain(j *job) {
	for _, cl := range j.drains {
		if cl.drainFor == j {
			cl.drainFor = nil
			c.draining--
			c.free(cl)
		}
	}
	j.drains = nil
}
