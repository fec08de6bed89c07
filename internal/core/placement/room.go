package placement

import "coltsfootmux/internal/model"

// roomFunc gives the room of a worker that a job may use.
type roomFunc func(j *job, w *worker) model.Shape

// directRoom is the room that can be had without taking anything from others.
func (c *Core) directRoom(j *job, w *worker) model.Shape {
	if c.barred(j, w) {
		return model.Shape{}
	}
	if !c.policy.Guarantee || !c.firm(j) {
		return floorShape(w.free)
	}
	return floorShape(minShape(w.free, w.firmRoom(j.acc)))
}

// ownRoom is what is left of the entitlement of the job's account.
func (c *Core) ownRoom(j *job, w *worker) model.Shape {
	if !w.usable() || w.id == j.avoid {
		return model.Shape{}
	}
	own := w.ownRoom(j.acc)
	if own.IsZero() {
		return own
	}
	room := minShape(own, w.reach(j).Add(c.evictable(j, w)))
	if c.firm(j) {
		room = minShape(room, w.firmRoom(j.acc))
	}
	return floorShape(room)
}

// evictRoom is the room that can be had by evicting borrowers.
func (c *Core) evictRoom(j *job, w *worker) model.Shape {
	if c.barred(j, w) {
		return model.Shape{}
	}
	room := w.reach(j).Add(c.evictable(j, w))
	if c.firm(j) {
		room = minShape(room, w.firmRoom(j.acc))
	}
	return floorShape(room)
}

// barred reports whether the job may not use the worker at all. A cell that is
// drained for a large job takes only work that can be taken off again.
func (c *Core) barred(j *job, w *worker) bool {
	if !w.usable() || w.id == j.avoid || j.failedOn(w.id) {
		return true
	}
	d := w.cell.drainFor
	return d != nil && d != j && c.firm(j)
}

func (j *job) failedOn(id model.WorkerID) bool {
	for _, b := range j.badOn {
		if b == id {
			return true
		}
	}
	return false
}

// evictable is the room held by tasks that may be evicted for the job.
func (c *Core) evictable(j *job, w *worker) model.Shape {
	var sum model.Shape
	for _, t := range w.tasks {
		if c.mayEvict(j, t) {
			sum = sum.Add(t.shape)
		}
	}
	return sum
}

// mayEvict reports whether the task of another job may be taken off for j:
// borrowers of other accounts, and lower classes of the same account.
func (c *Core) mayEvict(j *job, t *task) bool {
	v := t.job
	if t.firm || v == j || v.evicted || v.stopping || v.cancelled {
		return false
	}
	if v.state != jobRunning && v.state != jobBeginning {
		return false
	}
	if v.acc == j.acc {
		return v.class < j.class
	}
	if !j.claims && !outranks(j, v) {
		return false
	}
	s, _ := t.worker.find(v.acc)
	return s.borrows()
}

// outranks reports whether j may evict v for its class or its age: urgent work
// what is not urgent, overdue work what is not of a higher class. Two pieces of
// urgent work never evict each other in turn.
func outranks(j, v *job) bool {
	if j.class == urgentClass {
		return v.class < urgentClass
	}
	return v.class <= j.class
}
