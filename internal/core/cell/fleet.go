package cell

import "coltsfootmux/internal/external"

// workerChanged applies a worker's new entry in the store's worker list.
func (c *Core) workerChanged(n external.Worker) {
	w := c.workers[n.ID]
	if w == nil {
		w = c.addWorker(n)
		w.born = n.BornMS
		c.changed = true
		return
	}
	wasDraining := w.Draining
	if w.Addr != n.Addr {
		c.rosterDirty = true
	}
	w.Worker = n
	if !w.listed {
		w.listed = true
		c.changed = true
	}
	if n.BornMS != 0 && w.born != 0 && n.BornMS > w.born {
		w.probe = true // the worker's own lists show which runs the new incarnation has
	}
	if n.Draining && !wasDraining {
		w.drainSince = c.now.Mono
		c.act(WorkerNoted{Worker: w.ID, Note: "drains", Runs: len(w.runs)})
	}
	if n.Draining != wasDraining {
		c.changed, c.rosterDirty = true, true
	}
}

// workerUnlisted notes that the worker is no longer in the store's worker list. Its
// runs keep their lease until they are known to be over.
func (c *Core) workerUnlisted(id external.WorkerID) {
	w := c.workers[id]
	if w == nil || !w.listed {
		return
	}
	w.unlist(c.now.Mono)
	c.act(WorkerNoted{Worker: w.ID, Note: "removed from the worker list", Runs: len(w.runs)})
}

// Listed returns the workers that the store's worker list contains as far as is
// known, in the order of their IDs.
func (c *Core) Listed() []external.WorkerID {
	var out []external.WorkerID
	for _, w := range c.fleet {
		if w.listed {
			out = append(out, w.ID)
		}
	}
	return out
}
