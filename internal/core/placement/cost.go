package placement

// The parts of the cost of a fit. They only rank fits against each other.
const (
	costWholeRack   = 4.0
	costWholeWorker = 1.0
	costOwnRoom     = -2.0
	costLentRoom    = 0.5
)

// workerCost ranks the workers of a cell: the least room left over first, own
// entitled room before that of others, whole workers last.
func (c *Core) workerCost(j *job, w *worker) float64 {
	left := leftover(j, w)
	if c.policy.Packing != PackRacks {
		return left
	}
	cost := left
	if len(w.tasks) == 0 {
		cost += costWholeWorker
	}
	s, ok := w.find(j.acc)
	switch {
	case ok && j.work.Shape.Fits(s.ent.Sub(s.all)):
		cost += costOwnRoom
	case !w.committed.IsZero():
		cost += costLentRoom
	}
	return cost
}

// leftover is the dominant share of the worker that stays free beside a member.
func leftover(j *job, w *worker) float64 {
	return dominant(floorShape(w.free.Sub(j.work.Shape)), w.capacity)
}

// cellCost ranks cells: broken racks before whole ones, fuller ones first.
func (c *Core) cellCost(_ *job, cl *cell) float64 {
	if c.policy.Packing != PackRacks {
		return 0
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
