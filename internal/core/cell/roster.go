package cell

import (
	"cmp"

	"coltsfootmux/internal/external"
)

// The roster is the durable list of the workers in use. A worker is given work only
// once the stored roster contains it, so that a later owner asks every worker that
// may run something, even one whose entry is missing from the list at that time.

// inheritRoster adds the workers that the previous owner may have used. They are
// waited for even if they leave the list before they answer.
func (c *Core) inheritRoster(roster []RosterEntry) {
	for _, r := range roster {
		c.inheritSpeed(r)
		w := c.workers[r.ID]
		if w == nil {
			w = c.addWorker(external.Worker{ID: r.ID, Addr: r.Addr, Draining: r.Draining, Machine: r.Machine})
			w.listed = false
		}
		w.inherited, w.vacant, w.usedAddr, w.runsKnown = true, r.Vacant, r.Addr, r.RunsKnown
		w.firstStartedMS = cmp.Or(r.FirstStartedMS, w.firstStartedMS)
	}
}

// previousOwnerMayHave reports whether the previous owner may also have read a job
// that was accepted after its term had ended. That can happen until it learns of
// this term. It starts none by then, unless it is of a version that keeps its term
// without witnesses.
func (c *Core) previousOwnerMayHave(e *jobEntry) bool {
	return e.readAt-c.startedAt < newTermNoticeTime
}

// awaitsInherited reports whether some worker of the previous owner has neither
// answered a hold nor failed to. Until it answers, the previous owner may start jobs
// there; afterwards the worker refuses that owner's orders.
func (c *Core) awaitsInherited() bool {
	for _, w := range c.fleet {
		if w.inherited && !w.knowsTerm && w.holdFailures == 0 {
			return true
		}
	}
	return false
}

// stopPartialGangs stops the gangs that the previous owner started only in part. It
// is called once all runs of the previous term are known, so that no further members
// can appear.
func (c *Core) stopPartialGangs() {
	for _, e := range c.openJobs {
		for _, u := range e.allUnits() {
			if u.state == unitActive && len(u.runs) < u.size {
				c.stopRestOfGang(u)
			}
		}
	}
}

// isVacant reports whether the worker is without runs and gets none, as it will leave.
func (w *worker) isVacant() bool {
	return w.Draining && w.knowsTerm && len(w.runs) == 0 && len(w.deferredEnds) == 0 && !w.hasUnreadEnds()
}

// storeRoster returns the workers that are in use or may be used, for the next batch.
func (c *Core) storeRoster() []RosterEntry {
	out := []RosterEntry{}
	c.batchRoster = nil
	for _, w := range c.fleet {
		w.storedVacant, w.storedRuns = w.isVacant(), w.recordsRuns
		if !w.storedVacant && !w.storedRuns {
			c.batchRoster = append(c.batchRoster, w)
		}
		e := RosterEntry{ID: w.ID, Addr: w.Addr, Draining: w.Draining, Vacant: w.storedVacant, RunsKnown: w.storedRuns, FirstStartedMS: w.firstStartedMS}
		if w.storedRuns {
			e.Runs = w.rosterRuns()
		}
		e.Machine, e.SpeedPercent = c.storedSpeed(w)
		out = append(out, e)
	}
	return out
}

// rosterPersisted allows the use of the workers on a roster that is now durable.
func (c *Core) rosterPersisted() {
	for _, w := range c.batchRoster {
		w.onRoster = true
	}
	c.batchRoster = nil
	c.placementDue = true
}
