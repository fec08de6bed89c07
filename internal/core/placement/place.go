package placement

import (
	"cmp"
	"slices"

	"coltsfootmux/internal/model"
)

// place chooses a worker for each member of a job out of cells, or gives nil.
func (c *Core) place(j *job, cells []*cell, room roomFunc) []*worker {
	switch {
	case len(cells) == 0:
		return nil
	case j.work.Members == 1 || j.work.Adjacency == model.AdjacentRack:
		return c.placeInOne(j, cells, room, c.fitCell)
	case j.work.Adjacency == model.AdjacentWorker:
		return c.placeInOne(j, cells, room, c.fitWorker)
	case j.work.Adjacency == model.AdjacentDC:
		return c.placeInCentre(j, cells, room)
	}
	return c.spread(j, cells, room)
}

type fitFunc func(j *job, cl *cell, room roomFunc) fit

// fit is a way to put a job, or part of it, into a cell.
type fit struct {
	workers []*worker
	// cost ranks fits; the lowest is taken.
	cost float64
}

func (c *Core) placeInOne(j *job, cells []*cell, room roomFunc, in fitFunc) []*worker {
	best := fit{}
	for _, cl := range cells {
		if !j.work.Total().Fits(cl.total) {
			continue
		}
		f := in(j, cl, room)
		if len(f.workers) < j.work.Members {
			continue
		}
		if best.workers == nil || f.cost < best.cost {
			best = f
		}
		if c.policy.Packing == PackFirstFit {
			break
		}
	}
	return best.workers
}

func (c *Core) placeInCentre(j *job, cells []*cell, room roomFunc) []*worker {
	var centres []model.DataCentre
	in := make(map[model.DataCentre][]*cell)
	for _, cl := range cells {
		if _, ok := in[cl.dc]; !ok {
			centres = append(centres, cl.dc)
		}
		in[cl.dc] = append(in[cl.dc], cl)
	}
	for _, dc := range centres {
		if ws := c.spread(j, in[dc], room); ws != nil {
			return ws
		}
	}
	return nil
}

// spread puts members into as few cells as it can, the best fits first.
func (c *Core) spread(j *job, cells []*cell, room roomFunc) []*worker {
	fits := make([]fit, 0, len(cells))
	for _, cl := range cells {
		if f := c.fitCell(j, cl, room); len(f.workers) > 0 {
			fits = append(fits, f)
		}
	}
	slices.SortStableFunc(fits, func(a, b fit) int {
		return cmp.Or(cmp.Compare(len(b.workers), len(a.workers)), cmp.Compare(a.cost, b.cost))
	})
	var ws []*worker
	for _, f := range fits {
		n := min(len(f.workers), j.work.Members-len(ws))
		ws = append(ws, f.workers[:n]...)
		if len(ws) == j.work.Members {
			return ws
		}
	}
	return nil
}

// option is a worker that can take some members.
type option struct {
	w    *worker
	n    int
	cost float64
}

// fitCell fits as many members as it can, up to all, into one cell.
func (c *Core) fitCell(j *job, cl *cell, room roomFunc) fit {
	var buf [16]option
	opts := buf[:0]
	for _, w := range cl.workers {
		n := copies(j.work.Shape, room(j, w))
		if n > 0 {
			opts = append(opts, option{w: w, n: min(n, j.work.Members), cost: c.workerCost(j, w)})
		}
	}
	if len(opts) == 0 {
		return fit{}
	}
	if c.policy.Packing != PackFirstFit {
		slices.SortStableFunc(opts, func(a, b option) int { return cmp.Compare(a.cost, b.cost) })
	}
	f := fit{cost: c.cellCost(j, cl)}
	for _, o := range opts {
		for range min(o.n, j.work.Members-len(f.workers)) {
			f.workers = append(f.workers, o.w)
		}
		f.cost += o.cost / float64(j.work.Members)
		if len(f.workers) == j.work.Members {
			break
		}
	}
	return f
}

// fitWorker fits all members onto one worker of the cell.
func (c *Core) fitWorker(j *job, cl *cell, room roomFunc) fit {
	best := fit{}
	for _, w := range cl.workers {
		if copies(j.work.Shape, room(j, w)) < j.work.Members {
			continue
		}
		cost := c.cellCost(j, cl) + c.workerCost(j, w)
		if best.workers == nil || cost < best.cost {
			best = fit{workers: slices.Repeat([]*worker{w}, j.work.Members), cost: cost}
		}
	}
	return best
}
