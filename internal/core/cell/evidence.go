package cell

import (
	"slices"

	"coltsfootmux/internal/core/termination"
)

// observations returns what is known of a worker that bears on whether its runs are over.
func (c *Core) observations(w *worker) termination.Observations {
	var out termination.Observations
	for _, o := range []struct {
		holds bool
		is    termination.Observations
	}{
		{w.holdFailures > 0, termination.NoAnswer},
		{w.refusesConns, termination.ConnectionRefused},
		{!w.listed, termination.Unlisted},
		{w.Draining, termination.Draining},
		{w.hasUnreadEnds(), termination.EndsUnread},
		{w.gone, termination.OtherProcess},
		{c.now.Mono >= w.leaseEnd, termination.LeasesExpired},
		{c.now.Mono >= c.earlierLeasesEnd(w), termination.EarlierLeasesExpired},
		{w.knowsTerm, termination.AnsweredInTerm},
		{w.vacant, termination.Vacant},
		{!w.inherited, termination.NeverAssigned},
		{w.runsKnown, termination.RunsRecorded},
	} {
		if o.holds {
			out |= o.is
		}
	}
	return out
}

// mayHaveUnknownRuns reports whether a worker may have runs of earlier owners that this owner
// does not know of.
func (c *Core) mayHaveUnknownRuns(w *worker) bool {
	return c.observations(w).UnknownRuns() == termination.None
}

// loseRuns ends all runs on a worker.
func (c *Core) loseRuns(w *worker, proof termination.Proof) {
	for _, r := range slices.Clone(w.runs) {
		c.loseRun(r, proof, r.latestCheckpoint)
	}
}

// loseRun ends a run whose end is proven, and whose outcome is unknown.
func (c *Core) loseRun(r *run, proof termination.Proof, checkpoint string) {
	r.lostBy = proof
	c.rosterDirty = c.rosterDirty || r.worker.storedRuns
	c.endRun(r, EndedLost, checkpoint)
}
