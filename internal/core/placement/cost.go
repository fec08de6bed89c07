package placement

// The parts of the cost of a fit. They only rank fits against each other.
const (
	costWholeRack   = 4.0
	costWholeWorker = 1.0
	costOwnRoom     = -2.0
	costLentRoom    = 0.5
	costEvicted     = 20.0
	costStakeMinute = 0.125
)

// workerCost ranks the workers of a cell: the least room left over first, own
// entitled room before that of others, whole workers last.
func (c *Core) workerCost(j *job, w *worker) float64 {
	left := leftover(j, w)
	if c.policy.Packing != PackRacks {
		return left
	}
	cost := left
	if !c.policy.BlindEviction {
		cost += c.evictionCost(j, w)
	}
	if len(w.tasks) == 0 {
		cost += costWholeWorker
	}
	s, ok := w.find(j.acc)
	switch {
	case ok && j.work.Shape.Fits(s.ent.Sub(s.all)):
		cost += costOwnRoom
	case w.committed.IsZero():
	case c.firm(j):
		cost += costLentRoom
	case !c.policy.LooseRacks:
		cost += costLentRoom * (1 - 2*c.conf.keepWhole())
	default:
		cost += costLentRoom
	}
	return cost
}

// leftover is the dominant share of the worker that stays free beside a member.
func leftover(j *job, w *worker) float64 {
	return dominant(floorShape(w.free.Sub(j.work.Shape)), w.capacity)
}

// costFullness spreads the cells' fullness wide enough that it decides before
// what is left over on a worker.
const costFullness = 10.0

// cellCost ranks cells: broken racks before whole ones, fuller ones first.
func (c *Core) cellCost(_ *job, cl *cell) float64 {
	if c.policy.Packing != PackRacks {
		return 0
	}
	if !c.policy.LooseRacks {
		cost := dominant(floorShape(cl.free), cl.total) * costFullness
		if ref := c.conf.def.Reference; ref.Accelerators > cl.total.Accelerators {
			cost -= costFullness
		}
		return cost
	}
	keep := c.conf.keepWhole()
	cost := dominant(floorShape(cl.free), cl.total) * keep
	if cl.whole() {
		cost += costWholeRack * keep
	}
	return cost
}

// keepWhole is how much whole racks are spared, from 0 to 1.
func (s *settings) keepWhole() float64 {
	w := s.def.Weights
	if w.Completion+w.Fragmentation <= 0 {
		return 0.5
	}
	return w.Fragmentation / (w.Completion + w.Fragmentation)
}

// evictionCost ranks workers by what has to leave them for a member of j: the
// least room first, then the least work at stake. It is zero where there is room.
func (c *Core) evictionCost(j *job, w *worker) float64 {
	if j.work.Shape.Fits(w.free) {
		return 0
	}
	short := floorShape(j.work.Shape.Sub(w.reach(j)))
	if short.IsZero() {
		return 0
	}
	var stake float64
	for _, t := range w.tasks {
		if c.mayEvict(j, t) {
			stake += c.atStake(t.job).Minutes() / float64(len(t.job.tasks))
		}
	}
	return costEvicted*dominant(short, w.capacity) + costStakeMinute*stake
}
