package cell

import (
	"time"

	"coltsfootmux/internal/core/room"
	"coltsfootmux/internal/job"
)

type rackKey struct {
	pool string
	rack string
}

// workerSet is the workers of a pool or rack with upper bounds on their free room.
// Load pattern: hundreds of tasks wait in a full pool, and most racks can't hold
// one more. The bounds show that without a check of each worker. They are computed
// once for a pass; as room only shrinks during it, they stay upper bounds.
type workerSet struct {
	workers []*worker
	// urgentFree bounds the room for urgent work, otherFree that for all other work.
	urgentFree, otherFree room.Bound
	// preemptable bounds the room for urgent work if it preempted all other work.
	preemptable room.Bound
}

// mayFit reports whether a group's unit may fit into the set; false is certain.
func (s *workerSet) mayFit(g *rankedGroup, u *unit) bool {
	if g.rank.Priority == 0 || !g.observes(keepsRoom) {
		return s.urgentFree.MayFit(g.step, u.size)
	}
	return s.otherFree.MayFit(g.step, u.size)
}

// pool returns the workers of a pool.
func (p *pass) pool(name string) *workerSet {
	if s := p.pools[name]; s != nil {
		return s
	}
	return &workerSet{}
}

// rack returns the workers of a rack of a pool.
func (p *pass) rack(k rackKey) *workerSet {
	if s := p.racks[k]; s != nil {
		return s
	}
	return &workerSet{}
}

// add adds a worker to its pool and rack.
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
	if !w.reachable(now) {
		return
	}
	free, other := w.available(0), w.available(1)
	withPreempted := free.Plus(w.preemptableRoom())
	for _, s := range []*workerSet{pool, rack} {
		s.urgentFree.Add(free)
		s.otherFree.Add(other)
		s.preemptable.Add(withPreempted)
	}
}

// preemptableRoom returns the resources of the worker's runs that are not urgent.
func (w *worker) preemptableRoom() job.Resources {
	var out job.Resources
	for _, r := range w.runs {
		if r.unit != nil && r.unit.group.priority() > 0 {
			out = out.Plus(r.resources)
		}
	}
	return out
}
