package cell

import (
	"cmp"
	"slices"
	"time"

	"coltsfootmux/internal/job"
)

// plan holds room on workers for a unit while others leave it.
type plan struct {
	on        []*worker
	resources job.Resources
	until     time.Duration
	// reservation tells a reservation, for which nothing is stopped.
	reservation bool
}

// makeRoom stops less urgent work for a unit that may preempt it.
func (c *Core) makeRoom(p *pass, g *rankedGroup, u *unit) {
	if u.plan != nil || g.rank.Stale || c.now.Mono < u.nextMakeRoom {
		return
	}
	if g.rank.Priority != 0 {
		u.nextMakeRoom = c.now.Mono + reserveInterval
		if !c.displace(p, g, u) {
			c.reserve(p, g, u)
		}
		return
	}
	u.nextMakeRoom = c.now.Mono + preemptInterval
	best := c.cheapestEviction(p, g, u)
	if best.on == nil || !g.rank.Entitled && c.unsavedWork(best.victims) > g.work(u) {
		return
	}
	c.applyEviction(p, u, best)
}

// cheapestEviction gives the cheapest way to make room for a unit; its on is nil if there
// is none.
func (c *Core) cheapestEviction(p *pass, g *rankedGroup, u *unit) eviction {
	best := eviction{}
	for _, set := range c.candidateSets(p, g) {
		if !set.preemptable.mayFit(g.step, u.size) {
			continue
		}
		e := c.planEviction(p, set.workers, g, u)
		if e.on != nil && (best.on == nil || e.cost < best.cost) {
			best = e
		}
	}
	return best
}

// applyEviction stops the victims of an eviction and keeps their room for the unit.
func (c *Core) applyEviction(p *pass, u *unit, best eviction) {
	c.setPlan(u, best.on, false)
	for _, r := range best.victims {
		for _, m := range slices.Clone(r.unit.runs) {
			c.stopRun(m, ReasonPreempted)
			delete(p.victims, m.worker)
		}
	}
}

// work gives a unit's estimated work in core-seconds.
func (g *rankedGroup) work(u *unit) float64 {
	return g.step.Resources().Cores() * g.step.Estimate().Seconds() * float64(u.size)
}

// candidateSets gives the sets of workers that a unit may be placed on.
func (c *Core) candidateSets(p *pass, g *rankedGroup) []*workerSet {
	var out []*workerSet
	for _, k := range p.rackOrder {
		if k.pool != g.pool {
			continue
		}
		if g.step.DataRack == "" || k.rack == g.step.DataRack {
			out = append(out, p.racks[k])
		}
	}
	if !g.step.SameRack && g.step.DataRack == "" || len(out) == 0 {
		out = append(out, p.pool(g.pool))
	}
	return out
}

// eviction is a way to make room.
type eviction struct {
	on      []*worker
	victims []*run
	// cost is what is lost, in core-seconds; see lossOf.
	cost float64
}

// evictionCandidate is a worker's room as it would be after evictions.
type evictionCandidate struct {
	w       *worker
	free    job.Resources
	victims []*run
	placed  int
}

// planEviction finds the cheapest runs of lower priority whose room a unit could have.
func (c *Core) planEviction(p *pass, workers []*worker, g *rankedGroup, u *unit) eviction {
	var candidates []*evictionCandidate
	for _, w := range workers {
		if w.usable(c.now.Mono) && c.allowed(w, g.taskGroup, u) {
			candidates = append(candidates, &evictionCandidate{w: w, free: w.available(g.rank.Priority), victims: c.cachedVictims(p, w, g)})
		}
	}
	out := eviction{}
	for range u.size {
		s, n, cost := c.cheapestCandidate(candidates, g)
		if s == nil {
			return eviction{}
		}
		for _, r := range s.victims[:n] {
			s.free = s.free.Plus(r.resources)
		}
		out.victims = append(out.victims, s.victims[:n]...)
		s.victims = s.victims[n:]
		s.free = s.free.Minus(g.step.Resources())
		s.placed++
		out.on = append(out.on, s.w)
		out.cost += cost
	}
	return out
}

// cheapestCandidate gives the worker on which one more task costs the least, with the
// number of its victims.
func (c *Core) cheapestCandidate(candidates []*evictionCandidate, g *rankedGroup) (best *evictionCandidate, n int, cost float64) {
	need := g.step.Resources()
	for _, s := range candidates {
		if g.step.MaxPerWorker > 0 && s.placed+s.w.taskCount(g.taskGroup) >= g.step.MaxPerWorker {
			continue
		}
		free, k, lost := s.free, 0, 0.0
		for !free.Covers(need) && k < len(s.victims) {
			lost += c.stopCost(s.victims[k])
			free = free.Plus(s.victims[k].resources)
			k++
		}
		if free.Covers(need) && (best == nil || lost < cost) {
			best, n, cost = s, k, lost
		}
	}
	return best, n, cost
}

// cachedVictims gives the runs on a worker that the group may preempt, and keeps those
// for urgent work.
func (c *Core) cachedVictims(p *pass, w *worker, g *rankedGroup) []*run {
	if g.rank.Priority != 0 {
		return c.findVictims(w, g)
	}
	out, ok := p.victims[w]
	if !ok {
		out = c.findVictims(w, g)
		p.victims[w] = out
	}
	return out
}

// findVictims gives the runs on a worker that the group may preempt, cheapest first.
func (c *Core) findVictims(w *worker, g *rankedGroup) []*run {
	var out []*run
	for _, r := range w.runs {
		if r.unit == nil || r.unit.state != unitActive || (r.state != runRunning && r.state != runStarting) {
			continue
		}
		if r.unit.entry().job.Queue.Priority <= g.rank.Priority || !r.unit.mayInterrupt() {
			continue
		}
		if g.rank.Priority == 0 || c.hasSlack(r) {
			out = append(out, r)
		}
	}
	slices.SortStableFunc(out, func(a, b *run) int { return cmp.Compare(c.stopCost(a), c.stopCost(b)) })
	return out
}

// unsavedWork gives the work in core-seconds that is lost with runs and the
// gangs that they belong to.
func (c *Core) unsavedWork(victims []*run) float64 {
	lost := 0.0
	seen := make(map[*unit]bool)
	for _, v := range victims {
		if seen[v.unit] {
			continue
		}
		seen[v.unit] = true
		for _, m := range v.unit.runs {
			lost += m.unsavedWork(c.now.Mono, c.settings.RestoreTime)
		}
	}
	return lost
}

// stopCost gives what is lost with a run in core-seconds: the unsaved work, and
// the room for as long as the unit waited to get it, as it has to wait anew. A
// gang's members are lost together.
func (c *Core) stopCost(r *run) float64 {
	lost := 0.0
	for _, m := range r.unit.runs {
		lost += m.unsavedWork(c.now.Mono, c.settings.RestoreTime)
		lost += m.resources.Cores() * r.unit.waited.Seconds()
	}
	return lost
}

func (c *Core) setPlan(u *unit, on []*worker, reservation bool) {
	pl := &plan{on: on, resources: u.group.step.Resources(), until: c.now.Mono + planTimeout, reservation: reservation}
	if reservation {
		pl.until = c.now.Mono + reservationTimeout
	}
	for _, w := range on {
		pl.addRoom(w, pl.resources)
		w.plannedTasks[u.group]++
	}
	u.plan = pl
}

// addRoom adds to what is kept free on a worker.
func (p *plan) addRoom(w *worker, r job.Resources) {
	if p.reservation {
		w.reserved = w.reserved.Plus(r)
		return
	}
	w.plannedRoom = w.plannedRoom.Plus(r)
}

// dropPlan gives held room back.
func (c *Core) dropPlan(u *unit) {
	if u.plan == nil {
		return
	}
	for _, w := range u.plan.on {
		u.plan.addRoom(w, u.plan.resources.Times(-1))
		w.plannedTasks[u.group]--
		if w.plannedTasks[u.group] == 0 {
			delete(w.plannedTasks, u.group)
		}
	}
	u.plan = nil
}

// plannedWorkers gives the plan's workers once all of them have the room; a plan that
// takes too long, or has lost a worker, is dropped.
func (c *Core) plannedWorkers(u *unit) []*worker {
	pl := u.plan
	if c.now.Mono > pl.until {
		c.dropPlan(u)
		return nil
	}
	for _, w := range pl.on {
		if !w.usable(c.now.Mono) {
			c.dropPlan(u)
			return nil
		}
		free := w.Capacity.Minus(w.used)
		if pl.reservation {
			free = free.Minus(w.plannedRoom)
		}
		if !free.Covers(pl.needOn(w)) {
			return nil
		}
	}
	return pl.on
}

// needOn gives what the plan takes of a worker.
func (p *plan) needOn(w *worker) job.Resources {
	n := 0
	for _, o := range p.on {
		if o == w {
			n++
		}
	}
	return p.resources.Times(n)
}
