package cell

import (
	"slices"

	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
)

// The store may lose some of the topics that hold submissions while an owner takes
// over. The owner then begins without the jobs in them. Until they have been read, it
// neither stops nor repeats what their tasks may be running, acknowledges no end of
// their runs, and places nothing on a worker whose free room such a run makes unknown.

// missingJobs is what is kept for jobs whose submissions have not been read.
type missingJobs struct {
	// progress is the stored progress of all jobs.
	progress map[job.ID]job.Progress
}

// isMissing reports whether the job may have been accepted without this owner having
// read its submission.
func (c *Core) isMissing(id job.ID) bool { return c.missing != nil && c.jobs[id] == nil }

// jobsLoaded adds jobs that could not be read at the takeover.
func (c *Core) jobsLoaded(e JobsLoaded) {
	c.loadMissing(e.Jobs)
	for _, id := range e.Cancels {
		c.cancel(id)
	}
	if e.Complete {
		c.missing = nil
		c.applyDeferredEnds()
		c.identifyRuns()
	}
}

// loadMissing adds jobs and applies the runs and ends that were kept for them.
func (c *Core) loadMissing(jobs []job.Job) {
	c.loadJobs(jobs, c.missing.progress)
	c.openDueOccurrences() // the units to which runs and ends belong
	c.applyDeferredEnds()
	c.identifyRuns()
	c.partialGangsStopped = false
	c.placementDue = true
}

// deferEnd keeps the end of a run until the submission of its job has been read.
func (c *Core) deferEnd(w *worker, r *run, e external.EndedRun) {
	w.deferredEnds = append(w.deferredEnds, e)
	if r != nil {
		r.detach()
	}
}

// applyDeferredEnds applies the ends of jobs that are no longer missing.
func (c *Core) applyDeferredEnds() {
	for _, w := range c.fleet {
		w.deferredEnds = slices.DeleteFunc(w.deferredEnds, func(e external.EndedRun) bool {
			if c.isMissing(e.Task.Job) {
				return false
			}
			c.processUnknownEnd(e)
			return true
		})
	}
}

// identifyRuns attaches the runs of jobs that are no longer missing to their units.
func (c *Core) identifyRuns() {
	for _, w := range c.fleet {
		for _, r := range slices.Clone(w.runs) {
			if r.unidentified && !c.isMissing(r.task.Job) {
				r.detach()
				r.unidentified = false
				c.identify(r)
			}
		}
	}
}
