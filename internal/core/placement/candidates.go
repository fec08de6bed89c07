package placement

import "slices"

// candidates gives the owned cells that a job may run in.
func (c *Core) candidates(j *job) []*cell {
	if len(j.cells) == 0 && len(c.conf.accounts[j.work.Account].DataCentres) == 0 {
		return c.order
	}
	var out []*cell
	if len(j.cells) == 0 {
		for _, cl := range c.order {
			if c.allowed(j, cl) {
				out = append(out, cl)
			}
		}
		return out
	}
	for _, id := range j.cells {
		if cl, ok := c.cells[id]; ok && c.allowed(j, cl) {
			out = append(out, cl)
		}
	}
	return out
}

func (c *Core) allowed(j *job, cl *cell) bool { return c.conf.allows(j.work.Account, cl.dc) }

// indexed reports whether a job may run in so many cells that a search goes by
// the indexes.
func (c *Core) indexed(j *job) bool { return len(j.cells) == 0 && len(c.order) > scanMost }

// startCells gives the cells to try for a start, those that came free when the
// queue was found blocked before.
func (c *Core) startCells(q *queue, j *job, freed []*cell) []*cell {
	if q.blocked && local(j) {
		return c.freedFor(j, freed)
	}
	if !c.indexed(j) {
		return c.candidates(j)
	}
	total := j.work.Total()
	x := c.indexFor(total)
	may := func(cl *cell) bool { return c.allowed(j, cl) }
	if !local(j) {
		return x.emptiest(2*x.part(total), spreadMost, may)
	}
	out := x.fullest(x.part(total), walkMost, may)
	for _, cl := range x.emptiest(bucketMost*walkMost, walkMost/2, may) {
		if !slices.Contains(out, cl) {
			out = append(out, cl)
		}
	}
	return out
}

// freedFor gives those of the freed cells that a job may run in.
func (c *Core) freedFor(j *job, freed []*cell) []*cell {
	var out []*cell
	for _, cl := range freed {
		if !cl.lost && c.allowed(j, cl) && (len(j.cells) == 0 || slices.Contains(j.cells, cl.id)) {
			out = append(out, cl)
		}
	}
	return out
}

// evictCells gives the cells to search for room to reclaim: all that are
// allowed, or a window of them that moves on with each search.
func (c *Core) evictCells(j *job) []*cell {
	if !c.indexed(j) {
		return c.candidates(j)
	}
	n := walkMost
	if !local(j) {
		n = spreadMost
	}
	out := make([]*cell, 0, n)
	for i := range min(n, len(c.order)) {
		if cl := c.order[(c.window+i)%len(c.order)]; c.allowed(j, cl) {
			out = append(out, cl)
		}
	}
	c.window = (c.window + n) % len(c.order)
	return out
}

// ownCells gives the cells in which the job's account is entitled to room.
func (c *Core) ownCells(j *job) []*cell {
	var out []*cell
	if len(j.cells) > 0 {
		for _, cl := range c.candidates(j) {
			if cl.holdsFor(j.acc) {
				out = append(out, cl)
			}
		}
		return out
	}
	own := j.acc.cells
	for i := range min(len(own), spreadMost) {
		if cl := own[(c.window+i)%len(own)]; c.allowed(j, cl) {
			out = append(out, cl)
		}
	}
	if len(own) > spreadMost {
		c.window++
	}
	return out
}

// holdsFor reports whether a unit of the account belongs to the cell.
func (cl *cell) holdsFor(a *account) bool {
	return slices.ContainsFunc(cl.units, func(u *unit) bool { return u.acc == a })
}

// among gives those of the cells that came free.
func among(cells, freed []*cell) []*cell {
	var out []*cell
	for _, cl := range cells {
		if slices.Contains(freed, cl) {
			out = append(out, cl)
		}
	}
	return out
}
