package cell

import (
	"cmp"
	"slices"
	"time"

	"coltsfootmux/internal/job"
)

// plan is a placement that is chosen for a unit and whose room is not free yet. The
// room is kept for the unit until it starts or the plan is dropped.
type plan struct {
	// on holds a worker for each member of the unit.
	on []*worker
	// resources is what each member needs.
	resources job.Resources
	expiresAt time.Duration
	// reservation is set if no run is stopped for the plan; see reserve.
	reservation bool
}

// makeRoom tries to get room for a unit that finds no place. Urgent work preempts
// less urgent runs; outside its account's guarantee it does so only if they lose no
// more unsaved work than the unit's own work. All other work displaces runs with
// slack or reserves room.
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

// cheapestEviction returns the eviction with the lowest cost that makes room for a
// unit; its on is nil if there is none.
func (c *Core) cheapestEviction(p *pass, g *rankedGroup, u *unit) eviction {
	best := eviction{}
	for _, set := range c.candidateSets(p, g) {
		if !set.preemptable.MayFit(g.step, u.size) {
			continue
		}
		e := c.planEvictionBySpeed(p, set.workers, g, u)
		if e.on != nil && (best.on == nil || e.cost < best.cost) {
			best = e
		}
	}
	return best
}

// applyEviction stops the victims of an eviction, with their gangs, and keeps the
// room for the unit.
func (c *Core) applyEviction(p *pass, u *unit, best eviction) {
	c.trace.stopping(c, u, best.victims)
	c.setPlan(u, best.on, false)
	for _, r := range best.victims {
		for _, m := range slices.Clone(r.unit.runs) {
			c.stopRun(m, ReasonPreempted)
			delete(p.victims, m.worker)
		}
	}
}

// work returns a unit's estimated work in core-seconds.
func (g *rankedGroup) work(u *unit) float64 {
	return g.step.Resources().Cores() * g.runTime().Seconds() * float64(u.size)
}

// candidateSets returns the sets of workers to consider for a group's unit: each
// rack of the pool, or only the rack of its data, and the whole pool if the unit is
// bound to no rack or has no rack to be in.
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

// eviction is a set of runs whose stop makes room for a unit.
type eviction struct {
	// on holds a worker for each member of the unit.
	on      []*worker
	victims []*run
	// cost is the sum of the victims' costs in core-seconds; see stopCost.
	cost float64
}

// evictionCandidate is a worker during the planning of an eviction.
type evictionCandidate struct {
	w *worker
	// free is what is free after the evictions and placements planned so far.
	free job.Resources
	// victims are the runs that could still be evicted, cheapest first.
	victims []*run
	// placed counts the members that are planned here.
	placed int
}

// planEviction chooses workers for a unit and the runs to stop on them, each member
// in turn where it costs the least.
func (c *Core) planEviction(p *pass, workers []*worker, g *rankedGroup, u *unit) eviction {
	var candidates []*evictionCandidate
	c.examined += int64(len(workers) * (1 + u.size))
	for _, w := range workers {
		if w.usable(c.now.Mono) && c.allowed(w, g.taskGroup, u) {
			candidates = append(candidates, &evictionCandidate{w: w, free: w.available(g.rank.Priority), victims: c.cachedVictims(p, w, g)})
		}
	}
	out := eviction{}
	for range u.size {
		best, n, cost := c.cheapestCandidate(candidates, g)
		if best == nil {
			return eviction{}
		}
		for _, r := range best.victims[:n] {
			best.free = best.free.Plus(r.resources)
		}
		out.victims = append(out.victims, best.victims[:n]...)
		best.victims = best.victims[n:]
		best.free = best.free.Minus(g.step.Resources())
		best.placed++
		out.on = append(out.on, best.w)
		out.cost += cost
	}
	return out
}

// cheapestCandidate returns the worker on which room for one more task costs the
// least, the number n of its next victims to stop, and their cost.
func (c *Core) cheapestCandidate(candidates []*evictionCandidate, g *rankedGroup) (best *evictionCandidate, n int, cost float64) {
	need := g.step.Resources()
	for _, cand := range candidates {
		if g.step.MaxPerWorker > 0 && cand.placed+cand.w.taskCount(g.taskGroup) >= g.step.MaxPerWorker {
			continue
		}
		free, k, lost := cand.free, 0, 0.0
		for !free.Covers(need) && k < len(cand.victims) {
			lost += c.stopCost(cand.victims[k])
			free = free.Plus(cand.victims[k].resources)
			k++
		}
		if free.Covers(need) && (best == nil || lost < cost) {
			best, n, cost = cand, k, lost
		}
	}
	return best, n, cost
}

// cachedVictims is findVictims with a cache for urgent groups, which all may
// preempt the same runs.
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

// findVictims returns the runs on a worker that the group may preempt, cheapest first.
func (c *Core) findVictims(w *worker, g *rankedGroup) []*run {
	var out []*run
	for _, r := range w.runs {
		if r.unit == nil || r.unit.state != unitActive || r.absentSince != 0 || (r.state != runRunning && r.state != runStarting) {
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

// unsavedWork returns the work in core-seconds that is lost if the runs are stopped
// together with their gangs.
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

// stopCost returns the cost of stopping a run in core-seconds: its unsaved work,
// and its resources times how long the unit waited for them, as it has to wait
// again. All members of a gang count, as they stop together.
func (c *Core) stopCost(r *run) float64 {
	lost := 0.0
	for _, m := range r.unit.runs {
		lost += m.unsavedWork(c.now.Mono, c.settings.RestoreTime)
		lost += m.resources.Cores() * r.unit.waited.Seconds()
	}
	return lost
}

// setPlan keeps room on workers, one for each member of a unit.
func (c *Core) setPlan(u *unit, on []*worker, reservation bool) {
	pl := &plan{on: on, resources: u.group.step.Resources(), expiresAt: c.now.Mono + planTimeout, reservation: reservation}
	if reservation {
		pl.expiresAt = c.now.Mono + reservationTimeout
	}
	for _, w := range on {
		pl.addRoom(w, pl.resources)
		w.plannedTasks[u.group]++
	}
	u.plan = pl
}

// addRoom adds r to the room that is kept on a worker; a negative r gives it back.
func (p *plan) addRoom(w *worker, r job.Resources) {
	if p.reservation {
		w.reserved = w.reserved.Plus(r)
		return
	}
	w.plannedRoom = w.plannedRoom.Plus(r)
}

// dropPlan gives up a unit's plan, if any, with the room that is kept for it.
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

// plannedWorkers returns the workers of a unit's plan once all of them have the
// room, else nil. It drops the plan if its time is over or a worker has become
// unusable.
func (c *Core) plannedWorkers(u *unit) []*worker {
	pl := u.plan
	if c.now.Mono > pl.expiresAt {
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

// needOn returns what the plan needs on a worker.
func (p *plan) needOn(w *worker) job.Resources {
	n := 0
	for _, o := range p.on {
		if o == w {
			n++
		}
	}
	return p.resources.Times(n)
}
