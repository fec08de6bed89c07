package cell

import (
	"coltsfootmux/internal/core/retry"
)

// poolFailures gives what is known of failures in a pool.
func (c *Core) poolFailures(pool string) *retry.Pool {
	p := c.failuresByPool[pool]
	if p == nil {
		p = &retry.Pool{}
		c.failuresByPool[pool] = p
	}
	return p
}

// recordEarlyFailure takes in that a worker failed or stalled what it was given.
func (c *Core) recordEarlyFailure(w *worker) {
	w.retryRecord.Failed(c.now.Mono)
	c.poolFailures(w.Pool).Failed(c.now.Mono, w.ID, len(c.fleet))
}

// recordProgress takes in that a run of this term, whose start is known, has got on.
func (c *Core) recordProgress(r *run) {
	if r.number >= c.term*runsPerTerm {
		r.worker.retryRecord.GotOn(r.createdAt)
	}
}

// needsProvenWorker says whether the unit waits for workers that got on.
func (c *Core) needsProvenWorker(u *unit) bool {
	e := u.entry()
	return e.trouble.NeedsProof(c.now.Mono, retry.Task{
		Failures: len(u.failures), Tries: max(e.job.Queue.MaxTries, 1), FailedAt: u.failedAt,
	})
}

// mayPlaceOn says whether the unit may be tried on a worker, as far as failures go.
// One that failed is on probation: it gets one single task, that has all its
// tries left, until that gets on.
func (c *Core) mayPlaceOn(w *worker, u *unit) bool {
	p := u.entry().trouble
	if !p.IsTroubled(c.now.Mono) || p.Proves(&w.retryRecord) {
		return true
	}
	if w.suspicions > 0 {
		return u.size == 1 && len(u.failures) == 0 && !w.hasRunSinceFailure()
	}
	return !c.needsProvenWorker(u)
}

// hasRunSinceFailure says whether a run was started on the worker since it last failed one.
func (w *worker) hasRunSinceFailure() bool {
	for _, r := range w.runs {
		if w.retryRecord.FailedBefore(r.createdAt) {
			return true
		}
	}
	return false
}

// isRisky says whether others are better for the group's tasks.
func (c *Core) isRisky(w *worker, g *group) bool {
	if w.suspicions > 0 {
		return true
	}
	p := g.occ.entry.trouble
	return p.IsTroubled(c.now.Mono) && !p.Proves(&w.retryRecord)
}

// countRisky counts the workers of a place for a gang that others are better than.
// Members on one worker stand side by side.
func (c *Core) countRisky(on []*worker, g *group) int {
	n := 0
	for i, w := range on {
		if (i == 0 || on[i-1] != w) && c.isRisky(w, g) {
			n++
		}
	}
	return n
}
