package cell

import "coltsfootmux/internal/job"

// Status returns the status of a job for callers: an outcome is shown only once it
// is durable.
func (c *Core) Status(id job.ID) job.Status {
	e := c.jobs[id]
	switch {
	case e == nil:
		return job.Unknown
	case e.cancelled:
		return job.StatusCancelled
	case e.durableOutcome != job.Open:
		return e.durableOutcome.Status()
	case e.started:
		return job.Running
	default:
		return job.Queued
	}
}

// Pending returns the number of a queue's open jobs of which no task has been started.
func (c *Core) Pending(queue string) int {
	n := 0
	for _, e := range c.openJobs {
		if e.job.Queue.Name == queue && !e.started {
			n++
		}
	}
	return n
}

// Ready reports whether all runs of previous terms are known, so that the jobs
// accepted then may be started.
func (c *Core) Ready() bool { return c.previousRunsKnown() && len(c.workersWithUnreadEnds()) == 0 }

// Load is a summary of the cell for metrics.
type Load struct {
	OpenJobs int
	// Used is the cost of the jobs in bytes, Deferred counts those of which due tasks are put off.
	Used     int64
	Deferred int
	// Waiting counts the tasks and gangs that wait.
	Waiting int
	Runs    int
	Workers int
	// Usable counts the workers that may get new runs.
	Usable int
	// OverShare counts the accounts that are over their share of the workers.
	OverShare int
	// InterferingPairs counts the pairs of profiles of which one slows the other.
	InterferingPairs int
}

// Load returns the summary.
func (c *Core) Load() Load {
	l := Load{
		OpenJobs: len(c.openJobs), Workers: len(c.fleet),
		Used: c.Used(), Deferred: c.deferredJobs,
		OverShare: c.AccountsOverShare(), InterferingPairs: c.interferingPairs(),
	}
	for _, e := range c.openJobs {
		for _, u := range e.allUnits() {
			if u.state == unitWaiting {
				l.Waiting++
			}
		}
	}
	for _, w := range c.fleet {
		l.Runs += len(w.runs)
		if w.usable(c.now.Mono) {
			l.Usable++
		}
	}
	return l
}
