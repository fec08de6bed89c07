package placement

import "coltsfootmux/internal/model"

// try starts a job if there is room for it, or has room reclaimed for it if it
// has a right to that. A queue that was found blocked is only tried where room
// came free.
func (c *Core) try(q *queue, j *job, freed []*cell) bool {
	if ws := c.place(j, c.startCells(q, j, freed), c.directRoom); ws != nil {
		c.assign(j, ws)
		c.begin(j)
		return true
	}
	if !c.policy.Preempt {
		return false
	}
	return c.tryReclaim(q, j, freed)
}

// tryReclaim evicts borrowers for work inside its account's entitlement, for
// urgent work, and for large work past its bound.
func (c *Core) tryReclaim(q *queue, j *job, freed []*cell) bool {
	again := q.blocked && local(j)
	if !q.acc.entitled.IsZero() {
		own := c.ownCells(j)
		if again {
			own = among(own, freed)
		}
		if c.claim(j, own) {
			return true
		}
	}
	if j.class != urgentClass && !c.overdue(j) {
		return false
	}
	if again {
		return c.reclaimIn(j, c.freedFor(j, freed), c.evictRoom)
	}
	return c.reclaimIn(j, c.evictCells(j), c.evictRoom)
}

// claim reclaims room inside the entitlement of the job's account, from borrowers
// of any class.
func (c *Core) claim(j *job, own []*cell) bool {
	j.claims = true
	ok := c.reclaimIn(j, own, c.ownRoom)
	j.claims = false
	return ok
}

func (c *Core) reclaimIn(j *job, cells []*cell, room roomFunc) bool {
	ws := c.place(j, cells, room)
	if ws == nil {
		return false
	}
	victims, ok := c.victims(j, ws)
	if !ok {
		return false
	}
	c.assign(j, ws)
	c.reclaim(j, ws, victims)
	return true
}

// local reports whether one cell alone decides whether the job fits.
func local(j *job) bool {
	return j.work.Members == 1 ||
		j.work.Adjacency == model.AdjacentRack ||
		j.work.Adjacency == model.AdjacentWorker
}
