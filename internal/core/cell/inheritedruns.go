package cell

import "time"

// An owner that is lost takes with it what it knows of workers that don't answer. Its successor
// would have to hold all jobs until the leases of these workers have ended, as any task may run
// there. So the roster says of a worker that has been silent for a while which runs it may have.
// It gets no others until it answers and a later roster is durable.

const (
	// minRecordedSilence is how long a worker is silent until its runs are recorded.
	minRecordedSilence = time.Second
	// maxRecordedRuns bounds the runs in a roster, whose record has to fit into one of the store.
	maxRecordedRuns = 1000
)

// chooseRecordedRuns determines of which workers the next roster records the runs.
func (c *Core) chooseRecordedRuns() {
	left := maxRecordedRuns
	for _, w := range c.fleet {
		w.recordsRuns = c.knowsRunsOfSilent(w) && len(w.runs) <= left
		if w.recordsRuns {
			left -= len(w.runs)
		}
		if w.recordsRuns != w.storedRuns {
			c.rosterDirty = true
		}
	}
}

// knowsRunsOfSilent reports whether the worker is silent and has no runs but those that are known.
func (c *Core) knowsRunsOfSilent(w *worker) bool {
	if !w.knowsTerm {
		return w.runsKnown
	}
	return !w.gone && len(w.deferredEnds) == 0 && !w.hasUnreadEnds() && w.holdFailures > 0 && c.now.Mono-w.firstHoldFailureAt >= minRecordedSilence
}

// rosterRuns returns the worker's runs as the roster records them.
func (w *worker) rosterRuns() []RosterRun {
	var out []RosterRun
	for _, r := range w.runs {
		out = append(out, RosterRun{Task: r.task, Run: r.number})
	}
	return out
}

// runsUnrecorded records that a worker has answered: a roster that says which runs it may have
// must be replaced before it gets others.
func (c *Core) runsUnrecorded(w *worker) {
	w.runsKnown, w.recordsRuns = false, false
	if w.storedRuns {
		w.onRoster, c.rosterDirty = false, true
	}
}

// inheritRuns adds the runs that silent workers of the previous owner may have. Each keeps its
// task from being started elsewhere until the worker answers, or all leases have ended.
func (c *Core) inheritRuns(roster []RosterEntry) {
	c.openDueOccurrences() // the units to which the runs belong
	for _, e := range roster {
		w := c.workers[e.ID]
		if !w.runsKnown {
			continue
		}
		w.leaseEnd = c.earlierLeasesEnd(w)
		for _, k := range e.Runs {
			c.inheritRun(w, k)
		}
	}
}

func (c *Core) inheritRun(w *worker, k RosterRun) {
	r := &run{
		task: k.Task, number: k.Run, worker: w, state: runUnconfirmed, createdAt: c.now.Mono, staleThrough: c.lastHold,
		progressedAt: c.now.Mono, resumed: true, adopted: true, pace: fullPace,
	}
	c.identify(r)
}
