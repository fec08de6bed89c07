package placement

import (
	"cmp"
	"slices"
	"time"

	"coltsfootmux/internal/model"
)

const (
	// consolidateEvery is how often one cell is looked at.
	consolidateEvery = time.Second
	// consolidateLeast is the expected rest of a run that is worth a move.
	consolidateLeast = time.Minute
	// consolidatePercent bounds what is moved, in parts of the reference shape.
	consolidatePercent = 50
	// consolidateAttempts bounds the attempts of work that is still moved.
	consolidateAttempts = 2
	// lookMost bounds the cells that are looked at for room.
	lookMost = 32
)

// consolidate moves borrowed work out of a cell when that lets the cell serve
// one more reference shape and the work fits into room that serves none. It
// looks at one cell at a time.
func (c *Core) consolidate() {
	ref := c.conf.def.Reference
	if !c.policy.Consolidate || ref.Accelerators <= 0 || len(c.order) < 2 || c.now.Before(c.nextLook) {
		return
	}
	c.nextLook = c.now.Add(consolidateEvery)
	c.look = (c.look + 1) % len(c.order)
	cl := c.order[c.look]
	if cl.drainFor != nil || ref.Accelerators > cl.total.Accelerators {
		return
	}
	var moved int
	var out []*job
	for _, m := range c.cheapestMoves(cl, ref) {
		moved += m.size
		out = append(out, m.jobs...)
	}
	if moved == 0 || moved > ref.Accelerators*consolidatePercent/100 || !c.roomBeside(cl, moved) {
		return
	}
	for _, j := range out {
		if !j.evicted {
			c.evict(j, c.conf.def.CheckpointWithin.D())
		}
	}
}

// move is what would have to leave a worker to make it whole.
type move struct {
	w    *worker
	size int
	jobs []*job
}

// cheapestMoves gives the workers to empty so that the cell serves one more
// reference shape, or none when that can't be done.
func (c *Core) cheapestMoves(cl *cell, ref model.Shape) []move {
	var moves []move
	whole := 0
	for _, w := range cl.workers {
		part := minShape(ref, w.capacity)
		switch m, ok := c.moveOff(w); {
		case !w.usable():
		case part.Fits(w.free):
			whole++
		case ok:
			moves = append(moves, m)
		}
	}
	parts := max(1, ref.Accelerators/max(1, cl.workers[0].capacity.Accelerators))
	need := parts - whole%parts
	if need > len(moves) {
		return nil
	}
	slices.SortStableFunc(moves, func(a, b move) int { return cmp.Compare(a.size, b.size) })
	return moves[:need]
}

// moveOff gives what has to leave a worker, if all of it may be moved.
func (c *Core) moveOff(w *worker) (m move, ok bool) {
	m.w = w
	for _, t := range w.tasks {
		j := t.job
		if t.firm || j.state != jobRunning || j.evicted || j.stopping || j.cancelled ||
			j.adopted || j.attempt > consolidateAttempts || j.work.Members > 1 ||
			c.expected(j)-c.now.Sub(j.startAt) < consolidateLeast {
			return m, false
		}
		m.size += t.shape.Accelerators
		m.jobs = append(m.jobs, j)
	}
	return m, true
}

// roomBeside reports whether other cells have twice the room in accelerators
// that serve no reference shape now.
func (c *Core) roomBeside(cl *cell, size int) bool {
	room := 0
	for i := range min(len(c.order), lookMost) {
		o := c.order[(c.look+i)%len(c.order)]
		if o == cl || o.drainFor != nil {
			continue
		}
		free, served := servable(o, c.conf.def.Reference)
		room += free - served
		if room >= 2*size {
			return true
		}
	}
	return false
}
