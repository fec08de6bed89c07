package placement

import (
	"cmp"
	"slices"

	"coltsfootmux/internal/model"
)

// cellGained takes over a cell with what runs there.
func (c *Core) cellGained(e CellGained) {
	if old, ok := c.cells[e.Cell.ID]; ok {
		old.epoch = e.Epoch
		return
	}
	cl := &cell{id: e.Cell.ID, dc: e.Cell.DataCentre, epoch: e.Epoch}
	for _, mw := range e.Cell.Workers {
		c.addWorker(cl, mw)
	}
	c.cells[cl.id] = cl
	at, _ := slices.BinarySearchFunc(c.order, cl, func(a, b *cell) int { return cmp.Compare(a.id, b.id) })
	c.order = slices.Insert(c.order, at, cl)
	c.total = c.total.Add(cl.total)
	c.reindex(cl)
	for _, r := range e.Running {
		c.adopt(r)
	}
	c.entitle(cl)
	c.free(cl)
	c.unblockAll()
}

func (c *Core) addWorker(cl *cell, mw model.Worker) {
	w := &worker{
		id: mw.ID, cell: cl, capacity: mw.Capacity, free: mw.Capacity,
		drained: c.conf.drained(cl.id, mw.ID),
	}
	cl.workers = append(cl.workers, w)
	cl.free = cl.free.Add(mw.Capacity)
	cl.total = cl.total.Add(mw.Capacity)
	c.workers[w.id] = w
}

// cellLost forgets a cell and what runs there.
func (c *Core) cellLost(e CellLost) {
	cl, ok := c.cells[e.Cell]
	if !ok {
		return
	}
	cl.lost = true
	for _, j := range c.jobsIn(cl) {
		c.leaveCell(j, cl)
	}
	c.disentitle(cl)
	if cl.drainFor != nil {
		j := cl.drainFor
		cl.drainFor = nil
		c.draining--
		j.drains = slices.DeleteFunc(j.drains, func(o *cell) bool { return o == cl })
	}
	delete(c.cells, cl.id)
	c.accelerators.remove(cl)
	c.slots.remove(cl)
	c.order = slices.DeleteFunc(c.order, func(o *cell) bool { return o == cl })
	c.freed = slices.DeleteFunc(c.freed, func(o *cell) bool { return o == cl })
	c.total = c.total.Sub(cl.total)
	for _, w := range cl.workers {
		delete(c.workers, w.id)
	}
}

// jobsIn gives the jobs with a task in a cell, each once.
func (c *Core) jobsIn(cl *cell) []*job {
	var out []*job
	seen := make(map[*job]bool)
	for _, w := range cl.workers {
		for _, t := range w.tasks {
			if !seen[t.job] {
				seen[t.job] = true
				out = append(out, t.job)
			}
		}
	}
	return out
}

// leaveCell takes a job's tasks in a lost cell off the books. The rest of a
// gang whose Begin was under way is stopped.
func (c *Core) leaveCell(j *job, cl *cell) {
	if j.state == jobReclaiming {
		c.dropPlan(j)
		c.enqueueSince(j, j.queuedAt)
		return
	}
	kept := j.tasks[:0]
	for _, t := range j.tasks {
		if t.worker.cell != cl {
			kept = append(kept, t)
			continue
		}
		if _, live := c.tasks[t.lease]; live {
			delete(c.tasks, t.lease)
			t.worker.dropTask(t)
			c.reindex(cl)
			j.live--
		}
	}
	j.tasks = kept
	j.moved = true
	switch {
	case j.live == 0:
		c.running--
		c.forget(j)
	case j.state == jobBeginning:
		j.state = jobRunning
		j.failed = true
		c.stop(j, model.ReasonGangIncomplete)
		c.after(c.wholeBound(), timer{kind: timerGone, key: j.work.Key, round: j.round})
	}
}

// goneDue frees the room of members that were stopped when their gang lost a
// cell and whose leases have lapsed since.
func (c *Core) goneDue(t timer) {
	j, ok := c.jobs[t.key]
	if ok && j.round == t.round && j.state == jobRunning && j.elsewhere() {
		c.abandon(j)
	}
}
