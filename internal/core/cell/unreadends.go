package cell

import (
	"slices"

	"coltsfootmux/internal/external"
)

// hasUnreadEnds reports whether the worker may have ended runs of earlier owners that it has not
// listed to this one.
func (w *worker) hasUnreadEnds() bool { return w.unreadSince != 0 && !w.ends.Since(w.unreadSince) }

// hasNextEnds reports whether the worker will list further ended runs in answer to the next hold, as
// that acknowledges those before them.
func (w *worker) hasNextEnds() bool { return w.listsCut && w.durableEnd > w.ackedEnd }

// readLists records which of the worker's ended runs the answer to a hold leaves out.
func (c *Core) readLists(w *worker, hold int64, more bool) {
	w.listsCut = more
	if !more {
		w.ends.ListedAll(hold)
	}
	if more && !w.knowsTerm && c.observations(w).MayHideEnds() {
		w.unreadSince = c.lastHold
		c.emit(WorkerStateChanged{Worker: w.ID, Change: "has more ended runs than it lists", Runs: len(w.runs)})
	}
}

// workersWithUnreadEnds returns the workers on which tasks of earlier owners may have ended that
// this owner does not know of.
func (c *Core) workersWithUnreadEnds() []*worker {
	var out []*worker
	for _, w := range c.fleet {
		if w.hasUnreadEnds() && c.mayHaveUnknownRuns(w) {
			out = append(out, w)
		}
	}
	return out
}

// mayHaveEndedOn reports whether a task of the group may have ended on one of the workers under an
// earlier owner. The pool of a worker that has left the list may be unknown.
func (c *Core) mayHaveEndedOn(workers []*worker, g *taskGroup) bool {
	e := g.occ.entry
	if !e.inherited && !c.previousOwnerMayHave(e) {
		return false
	}
	return slices.ContainsFunc(workers, func(w *worker) bool {
		return w.Pool == "" || w.Pool == e.job.Queue.Pool && (g.step.Label == "" || w.hasLabel(g.step.Label))
	})
}

// processUnknownEnd processes the end of a run that this owner did not know of.
func (c *Core) processUnknownEnd(e external.EndedRun) {
	u := c.unitOf(e.Task)
	if u == nil || u.state == unitDone {
		return
	}
	u.entry().started = true
	if e.Checkpoint != "" && u.checkpoint == "" {
		u.checkpoint = e.Checkpoint
		c.markDirty(u.entry())
	}
	switch e.Reason {
	case external.EndedDone:
		if u.group.step.LongRunning {
			return
		}
		c.finishUnit(u)
		c.stopRuns(u, ReasonTaskEnded)
	case external.EndedFailed:
		c.countFailure(u, e.Run)
	}
}
