package placement

import "coltsfootmux/internal/model"

// try starts a job if there is room for it, or has room reclaimed for it if it
// has a right to that. A queue that was found blocked is only tried where room
// came free.
func (c *Core) try(q *queue, j *job, freed []*cell) bool {
	cells := c.candidates(j)
	if q.blocked && local(j) {
		cells = among(cells, freed)
	}
	if ws := c.place(j, cells, c.directRoom); ws != nil {
		c.assign(j, ws, nil)
		return true
	}
	if !c.policy.Preempt {
		return false
	}
	return c.tryReclaim(q, j)
}

// tryReclaim evicts borrowers for work inside its account's entitlement, for
// urgent work, and for large work past its bound.
func (c *Core) tryReclaim(q *queue, j *job) bool {
	if !q.acc.entitled.IsZero() && c.reclaimIn(j, c.ownCells(j), c.ownRoom) {
		return true
	}
	if j.class != urgentClass && !c.overdue(j) {
		return false
	}
	return c.reclaimIn(j, c.candidates(j), c.evictRoom)
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
	c.assign(j, ws, victims)
	return true
}

// local reports whether one cell alone decides whether the job fits.
func local(j *job) bool {
	return j.work.Members == 1 ||
		j.work.Adjacency == model.AdjacentRack ||
		j.work.Adjacency == model.AdjacentWorker
}

func among(cells, freed []*cell) []*cell {
	var out []*cell
	for _, f := range freed {
		for _, cl := range cells {
			if cl == f {
				out = append(out, f)
				break
			}
		}
	}
	return out
}

// candidates gives the owned cells that a job may run in.
func (c *Core) candidates(j *job) []*cell {
	if len(j.cells) == 0 && len(c.conf.accounts[j.work.Account].DataCentres) == 0 {
		return c.order
	}
	var out []*cell
	if len(j.cells) == 0 {
		for _, cl := range c.order {
			if c.conf.allows(j.work.Account, cl.dc) {
				out = append(out, cl)
			}
		}
		return out
	}
	for _, id := range j.cells {
		if cl, ok := c.cells[id]; ok && c.conf.allows(j.work.Account, cl.dc) {
			out = append(out, cl)
		}
	}
	return out
}

// ownCells gives the candidates in which the job's account is entitled to room.
func (c *Core) ownCells(j *job) []*cell { return among(c.candidates(j), j.acc.cells) }
