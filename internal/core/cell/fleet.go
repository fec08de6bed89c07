package cell

import (
	"cmp"

	"coltsfootmux/internal/external"
)

// workerChanged applies a worker's new entry in the store's worker list.
func (c *Core) workerChanged(n external.Worker) {
	w := c.workers[n.ID]
	if w == nil {
		c.addWorker(n)
		c.placementDue = true
		return
	}
	wasDraining, otherIncarnation := w.Draining, n.StartedMS != w.StartedMS
	if w.Addr != n.Addr {
		c.rosterDirty = true
		w.nextHoldAt = c.now.Mono
	}
	w.Worker = n
	w.firstStartedMS = cmp.Or(w.firstStartedMS, n.StartedMS)
	w.placeDrained = c.drained[n.Zone]
	if !w.listed {
		w.listed = true
		c.placementDue = true
	}
	if otherIncarnation {
		w.gone = false
		w.probeDue = true // the worker's own lists show which runs the new incarnation has
	}
	if n.Draining && !wasDraining {
		w.drainingSince = c.now.Mono
		c.disturbed()
		c.emit(WorkerStateChanged{Worker: w.ID, Change: "drains", Runs: len(w.runs)})
	}
	if n.Draining != wasDraining {
		c.placementDue, c.rosterDirty = true, true
	}
	if wasDraining && !n.Draining {
		w.onRoster = false // it may be stored as vacant
	}
}

// workerUnlisted notes that the worker is no longer in the store's worker list. Its
// runs keep their lease until they are known to be over.
func (c *Core) workerUnlisted(id external.WorkerID) {
	w := c.workers[id]
	if w == nil || !w.listed {
		return
	}
	w.listed = false
	c.disturbed()
	c.emit(WorkerStateChanged{Worker: w.ID, Change: "removed from the worker list", Runs: len(w.runs)})
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
