package cell

import (
	"coltsfootmux/internal/core/retry"
)

// poolFailures returns the history of early failures in a pool.
func (c *Core) poolFailures(pool string) *retry.Pool {
	p := c.failuresByPool[pool]
	if p == nil {
		p = &retry.Pool{}
		c.failuresByPool[pool] = p
	}
	return p
}

// recordEarlyFailure records that a run failed soon after its start, or stalled, on a
// worker.
func (c *Core) recordEarlyFailure(w *worker) {
	w.retryHistory.Failed(c.now.Mono)
	c.poolFailures(w.Pool).Failed(c.now.Mono, w.ID, len(c.fleet))
}

// recordProgress records that a run has made progress on its worker. It ignores runs
// of earlier terms, whose start time is unknown.
func (c *Core) recordProgress(r *run) {
	if !c.isInherited(r) {
		r.worker.retryHistory.MadeProgress(r.createdAt)
	}
}

// needsProvenWorker reports whether the unit, after a failure, waits for a worker on
// which recently started runs make progress.
func (c *Core) needsProvenWorker(u *unit) bool {
	e := u.entry()
	return e.poolFailures.NeedsProvenWorker(c.now.Mono, retry.Task{
		Failures: len(u.failedRuns), MaxTries: max(e.job.Queue.MaxTries, 1), FailedAt: u.failedAt,
	})
}

// failuresPermit reports whether the past failures of a worker and a unit permit the
// unit to be placed on that worker. While many workers of the pool fail, a suspect
// worker is on probation: it gets one single task at a time, none that has failed
// before, until a task makes progress there.
func (c *Core) failuresPermit(w *worker, u *unit) bool {
	p := u.entry().poolFailures
	if !p.InFailureBurst(c.now.Mono) || p.IsProven(&w.retryHistory) {
		return true
	}
	if w.suspicions > 0 {
		return u.size == 1 && len(u.failedRuns) == 0 && !w.hasRunSinceFailure()
	}
	return !c.needsProvenWorker(u)
}

// hasRunSinceFailure reports whether the worker has a run that was started after the
// last early failure there.
func (w *worker) hasRunSinceFailure() bool {
	for _, r := range w.runs {
		if w.retryHistory.FailedBefore(r.createdAt) {
			return true
		}
	}
	return false
}

// isRisky reports whether other workers are preferable for the group's tasks, because
// runs have failed or stalled on this one or, while many workers of the pool fail,
// because it has not proven itself.
func (c *Core) isRisky(w *worker, g *taskGroup) bool {
	if w.suspicions > 0 {
		return true
	}
	p := g.occ.entry.poolFailures
	return p.InFailureBurst(c.now.Mono) && !p.IsProven(&w.retryHistory)
}

// countRisky returns the number of risky workers among those chosen for a gang's
// members. The members on one worker are adjacent.
func (c *Core) countRisky(workers []*worker, g *taskGroup) int {
	n := 0
	for i, w := range workers {
		if (i == 0 || workers[i-1] != w) && c.isRisky(w, g) {
			n++
		}
	}
	return n
}
