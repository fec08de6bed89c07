package placement

import (
	"fmt"
	"slices"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/wire"
)

// Cells gives a view of every owned cell, by id.
func (c *Core) Cells() []wire.CellView {
	out := make([]wire.CellView, 0, len(c.order))
	for _, cl := range c.order {
		v := wire.CellView{
			ID: cl.id, Owner: c.self, Epoch: cl.epoch, Free: cl.free, Total: cl.total,
			Fragmentation: fragmentation(cl, c.conf.def.Reference),
		}
		for _, w := range cl.workers {
			v.Workers = append(v.Workers, wire.WorkerView{
				ID: w.id, State: w.state(), Free: w.free, Tasks: len(w.tasks),
			})
		}
		out = append(out, v)
	}
	return out
}

// Accounts gives a view of every known account, by name.
func (c *Core) Accounts() []wire.AccountView {
	names := make([]model.Account, 0, len(c.accounts))
	for n := range c.accounts {
		names = append(names, n)
	}
	slices.Sort(names)
	out := make([]wire.AccountView, 0, len(names))
	for _, n := range names {
		a := c.accounts[n]
		out = append(out, wire.AccountView{
			ID: n, Guaranteed: a.entitled, Used: a.used, Lent: c.lent(a), Waiting: a.waiting,
		})
	}
	return out
}

// Fragmentation is the share of all free accelerators in the owned cells that
// can't serve the reference shape, and how many are free.
func (c *Core) Fragmentation() (share float64, free int) {
	served := 0
	for _, cl := range c.order {
		f, s := servable(cl, c.conf.def.Reference)
		free += f
		served += s
	}
	if free == 0 {
		return 0, 0
	}
	return 1 - float64(served)/float64(free), free
}

func fragmentation(cl *cell, ref model.Shape) float64 {
	free, served := servable(cl, ref)
	if free == 0 {
		return 0
	}
	return 1 - float64(served)/float64(free)
}

// servable counts a cell's free accelerators and how many of them can serve
// whole reference shapes. A reference larger than a worker is spread over the
// cell in parts that each take one whole worker.
func servable(cl *cell, ref model.Shape) (free, served int) {
	if ref.Accelerators <= 0 {
		return 0, 0
	}
	inParts := 0
	for _, w := range cl.workers {
		if !w.usable() {
			continue
		}
		room := floorShape(w.free)
		free += room.Accelerators
		part := minShape(ref, w.capacity)
		if part.Accelerators > 0 {
			inParts += copies(part, room) * part.Accelerators
		}
	}
	return free, inParts / ref.Accelerators * ref.Accelerators
}

// Why says why waiting work waits; ok is false when it is not waiting.
func (c *Core) Why(k model.Key) (why string, ok bool) {
	j, known := c.jobs[k]
	if !known {
		return "", false
	}
	switch j.state {
	case jobReclaiming:
		return "room is being taken back from borrowers", true
	case jobBeginning:
		return "leases are being taken", true
	case jobWaiting:
		return c.whyWaiting(j), true
	}
	return "", false
}

func (c *Core) whyWaiting(j *job) string {
	cells := c.candidates(j)
	switch {
	case len(cells) == 0:
		return "no cell that it may run in is owned here"
	case len(j.drains) > 0:
		return fmt.Sprintf("cell %s is being emptied for it", j.drains[0].id)
	case j.avoid != "":
		return fmt.Sprintf("worker %s refused it", j.avoid)
	case j.queue.heap[0] != j:
		return "earlier work with the same needs waits"
	case c.place(j, cells, func(_ *job, w *worker) model.Shape { return floorShape(w.free) }) != nil:
		return "the free room is held for guarantees or for a large job"
	}
	return fmt.Sprintf("no room for %d times %+v", j.work.Members, j.work.Shape)
}

// Reclaimable reports whether waiting work would fit now if borrowers left.
func (c *Core) Reclaimable(k model.Key) bool {
	j, ok := c.jobs[k]
	return ok && j.state == jobWaiting && c.place(j, c.candidates(j), c.evictRoom) != nil
}
