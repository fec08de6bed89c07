package cell

import (
	"coltsfootmux/internal/core/retry"
)

// troubleIn gives what is known of failures in a pool.
func (c *Core) troubleIn(pool string) *retry.Pool {
	p := c.troubles[pool]
	if p == nil {
		p = &retry.Pool{}
		c.troubles[pool] = p
	}
	return p
}

// failedEarly takes in that a worker failed or stalled what it was given.
func (c *Core) failedEarly(w *worker) {
	w.record.Failed(c.now.Mono)
	c.troubleIn(w.Pool).Failed(c.now.Mono, w.ID, len(c.fleet))
}

// gotOn takes in that a run of this term, whose start is known, has got on.
func (c *Core) gotOn(r *run) {
	if r.number >= c.term*runsPerTerm {
		r.worker.record.MadeProgress(r.since)
	}
}

// needsProof says whether the unit waits for workers that got on.
func (c *Core) needsProof(u *unit) bool {
	e := u.entry()
	return e.trouble.NeedsProvenWorker(c.now.Mono, retry.Task{
		Failures: len(u.failures), MaxTries: max(e.job.Queue.MaxTries, 1), FailedAt: u.failedAt,
	})
}

// mayTry says whether the unit may be tried on a worker, as far as failures go.
// One that failed is on probation: it gets one single task, that has all its
// tries left, until that gets on.
func (c *Core) mayTry(w *worker, u *unit) bool {
	p := u.entry().trouble
	if !p.InFailureBurst(c.now.Mono) || p.IsProven(&w.record) {
		return true
	}
	if w.suspicion > 0 {
		return u.size == 1 && len(u.failures) == 0 && !w.hasNew()
	}
	return !c.needsProof(u)
}

// hasNew says whether a run was started on the worker since it last failed one.
func (w *worker) hasNew() bool {
	for _, r := range w.runs {
		if w.record.FailedBefore(r.since) {
			return true
		}
	}
	return false
}

// avoids says whether others are better for the group's tasks.
func (c *Core) avoids(w *worker, g *group) bool {
	if w.suspicion > 0 {
		return true
	}
	p := g.occ.entry.trouble
	return p.InFailureBurst(c.now.Mono) && !p.IsProven(&w.record)
}

// riskOf counts the workers of a place for a gang that others are better than.
// Members on one worker stand side by side.
func (c *Core) riskOf(on []*worker, g *group) int {
	n := 0
	for i, w := range on {
		if (i == 0 || on[i-1] != w) && c.avoids(w, g) {
			n++
		}
	}
	return n
}
