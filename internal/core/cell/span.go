package cell

import (
	"time"

	"coltsfootmux/internal/job"
)

type rackKey struct {
	pool string
	rack string
}

// span is a set of workers that are looked at together, a pool or a rack, with
// bounds on its room. Load pattern: a full pool in which hundreds of tasks wait;
// most racks can't hold one more, which the bounds say without a look at their
// workers. Room only shrinks during a pass, so that they stay upper bounds.
type span struct {
	workers []*worker
	// free is for urgent work, other for all else.
	free, other bound
	// giving is for urgent work if everything that it may preempt left.
	giving bound
}

// bound is what the workers of a span can hold at most.
type bound struct {
	// most has, for each kind of resource, that of the worker with the most.
	most job.Resources
	// gpu is the sum of the accelerators.
	gpu int
}

func (b *bound) add(r job.Resources) {
	b.most.CPU = max(b.most.CPU, r.CPU)
	b.most.MemMB = max(b.most.MemMB, r.MemMB)
	b.most.GPU = max(b.most.GPU, r.GPU)
	b.gpu += max(r.GPU, 0)
}

// holds says whether size tasks of a step may fit.
func (b *bound) holds(s *job.Step, size int) bool {
	need := s.Resources()
	return b.most.Covers(need) && b.gpu >= size*need.GPU
}

// mayHold says whether a group's unit may find its place in the span.
func (s *span) mayHold(g *ranked, u *unit) bool {
	if g.rank.Priority == 0 {
		return s.free.holds(g.step, u.size)
	}
	return s.other.holds(g.step, u.size)
}

// pool gives the workers of a pool.
func (p *pass) pool(name string) *span {
	if s := p.pools[name]; s != nil {
		return s
	}
	return &span{}
}

// rack gives the workers of a rack of a pool.
func (p *pass) rack(k rackKey) *span {
	if s := p.racks[k]; s != nil {
		return s
	}
	return &span{}
}

// add puts a worker into its pool and rack.
func (p *pass) add(w *worker, now time.Duration) {
	pool, k := p.pools[w.Pool], rackKey{w.Pool, w.Rack}
	if pool == nil {
		pool = &span{}
		p.pools[w.Pool] = pool
	}
	rack := p.racks[k]
	if rack == nil {
		rack = &span{}
		p.racks[k] = rack
		p.order = append(p.order, k)
	}
	pool.workers = append(pool.workers, w)
	rack.workers = append(rack.workers, w)
	if !w.usable(now) {
		return
	}
	free, other := w.available(0), w.available(1)
	giving := free.Plus(w.lent())
	for _, s := range []*span{pool, rack} {
		s.free.add(free)
		s.other.add(other)
		s.giving.add(giving)
	}
}

// lent gives the room of the worker's runs that are not urgent.
func (w *worker) lent() job.Resources {
	var out job.Resources
	for _, r := range w.runs {
		if r.unit != nil && r.unit.group.priority() > 0 {
			out = out.Plus(r.resources)
		}
	}
	return out
}
