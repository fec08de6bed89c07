package cell

import (
	"slices"

	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
)

// adopt records a run that a previous owner ordered.
func (c *Core) adopt(w *worker, listed external.ActiveRun) *run {
	r := &run{
		task: listed.Task, number: listed.Run, worker: w, state: runRunning,
		createdAt: c.now.Mono, startedAt: c.now.Mono, staleThrough: c.lastHold, progressedAt: c.now.Mono, percent: listed.Percent, resumed: true, adopted: true, pace: fullPace,
	}
	w.leaseEnd = max(w.leaseEnd, c.longestLeaseEnd(), c.earlierLeasesEnd(w))
	c.identify(r)
	return r
}

// identify finds the unit of an adopted run and attaches the run to its worker. It
// stops the run if its task is unknown or does not need it.
func (c *Core) identify(r *run) {
	u := c.unitOf(r.task)
	var known bool
	r.resources, known = c.resourcesOf(r.task)
	switch {
	case c.isMissing(r.task.Job):
		r.unidentified = true
		r.attach()
	case u == nil:
		r.unidentified = !known
		r.attach()
		c.stopRun(r, ReasonUnknownTask)
	case u.state == unitDone || u.entry().outcome != 0 || c.isOutdated(u, r.number):
		r.attach()
		c.stopRun(r, ReasonTaskEnded)
	default:
		r.unit = u
		r.markStarted()
		u.lastRunNumber = max(u.lastRunNumber, r.number)
		c.dropPlan(u)
		c.supersede(u, r.number)
		r.attach()
		c.placementDue = true
	}
}

// resourcesOf returns what a task takes, also if its job has ended; false if the job is not
// known.
func (c *Core) resourcesOf(t job.TaskID) (job.Resources, bool) {
	e := c.jobs[t.Job]
	if e == nil || t.Step < 0 || t.Step >= len(e.job.Steps) {
		return job.Resources{}, false
	}
	return e.job.Steps[t.Step].Resources(), true
}

// isOutdated reports whether a run number of a unit is superseded by a later run, or
// by the known run of the same number if the unit is a single task.
func (c *Core) isOutdated(u *unit, number int64) bool {
	for _, r := range u.runs {
		if r.number > number || (r.number == number && u.size == 1) {
			return true
		}
	}
	return number < u.lastRunNumber
}

// supersede takes the runs before a number off a unit. That there is a later one proves that they were over for
// the owner that ordered it.
func (c *Core) supersede(u *unit, number int64) {
	for _, r := range slices.Clone(u.runs) {
		if r.number >= number {
			continue
		}
		r.detach()
		r.unit = nil
		r.attach()
		c.stopRun(r, ReasonTaskEnded)
	}
}
