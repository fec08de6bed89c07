package cell

import (
	"time"

	"coltsfootmux/internal/job"
)

type rackKey struct {
	pool string
	rack string
}

// workerSet is a set of workers that are looked at together, a pool or a rack, with
// bounds on its room. Load pattern: a full pool in which hundreds of tasks wait;
// most racks can't hold one more, which the bounds say without a look at their
// workers. Room only shrinks during a pass, so that they stay upper bounds.
type workerSet struct {
	workers []*worker
	// urgentFree is for urgent work, otherFree for all else.
	urgentFree, otherFree roomBound
	// preemptable is for urgent work if everything that it may preempt left.
	preemptable roomBound
}

// roomBound is what the workers of a span can hold at most.
type roomBound struct {
	// perWorker has, for each kind of resource, that of the worker with the perWorker.
	perWorker job.Resources
	// totalGPU is the sum of the accelerators.
	totalGPU int
}

func (b *roomBound) add(r job.Resources) {
	b.perWorker.CPU = max(b.perWorker.CPU, r.CPU)
	b.perWorker.MemMB = max(b.perWorker.MemMB, r.MemMB)
	b.perWorker.GPU = max(b.perWorker.GPU, r.GPU)
	b.totalGPU += max(r.GPU, 0)
}

// mayFit says whether size tasks of a step may fit.
func (b *roomBound) mayFit(s *job.Step, size int) bool {
	need := s.Resources()
	return b.perWorker.Covers(need) && b.totalGPU >= size*need.GPU
}

// mayFit says whether a group's unit may find its place in the span.
func (s *workerSet) mayFit(g *rankedGroup, u *unit) bool {
	if g.rank.Priority == 0 {
		return s.urgentFree.mayFit(g.step, u.size)
	}
	return s.otherFree.mayFit(g.step, u.size)
}

// pool gives the workers of a pool.
func (p *pass) pool(name string) *workerSet {
	if s := p.pools[name]; s != nil {
		return s
	}
	return &workerSet{}
}

// rack gives the workers of a rack of a pool.
func (p *pass) rack(k rackKey) *workerSet {
	if s := p.racks[k]; s != nil {
		return s
	}
	return &workerSet{}
}

// add puts a worker into its pool and rack.
func (p *pass) add(w *worker, now time.Duration) {
	pool, k := p.pools[w.Pool], rackKey{w.Pool, w.Rack}
	if pool == nil {
		pool = &workerSet{}
		p.pools[w.Pool] = pool
	}
	rack := p.racks[k]
	if rack == nil {
		rack = &workerSet{}
		p.racks[k] = rack
		p.rackOrder = append(p.rackOrder, k)
	}
	pool.workers = append(pool.workers, w)
	rack.workers = append(rack.workers, w)
	if !w.usable(now) {
		return
	}
	free, other := w.available(0), w.available(1)
	giving := free.Plus(w.preemptableRoom())
	for _, s := range []*workerSet{pool, rack} {
		s.urgentFree.add(free)
		s.otherFree.add(other)
		s.preemptable.add(giving)
	}
}

// preemptableRoom gives the room of the worker's runs that are not urgent.
func (w *worker) preemptableRoom() job.Resources {
	var out job.Resources
	for _, r := range w.runs {
		if r.unit != nil && r.unit.group.priority() > 0 {
			out = out.Plus(r.resources)
		}
	}
	return out
}
