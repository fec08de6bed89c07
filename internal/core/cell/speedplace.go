package cell

import (
	"cmp"
	"slices"
	"time"

	"coltsfootmux/internal/core/speed"
)

// Placement by speed. Work that is urgent, or that only fast workers complete in time, goes
// to fast workers; other work leaves them free while slower ones have room. No work waits
// because of speeds.

// speedOrder says which classes of workers a group's tasks prefer.
type speedOrder int

const (
	// anySpeed does not take speeds into account.
	anySpeed speedOrder = iota
	// fastestFirst prefers faster workers, slowestFirst slower ones.
	fastestFirst
	slowestFirst
)

// speedOrder returns the classes that a group prefers.
func (c *Core) speedOrder(g *rankedGroup) speedOrder {
	p := c.speeds.pools[g.pool]
	if p == nil || !p.Open {
		return anySpeed
	}
	if g.rank.Priority == 0 {
		return fastestFirst
	}
	left := c.timeUntil(g.rank.DeadlineMS) - c.chainAfter(g.taskGroup)
	slowest, fastest := 0.0, 0.0
	for _, f := range p.factors {
		if f > 0 && fastest == 0 {
			fastest = f
		}
		slowest = max(slowest, f)
	}
	// Work that is late on any worker gains little from a fast one.
	if left >= scaled(g.runTime(), fastest) && left < scaled(g.runTime(), slowest) {
		return fastestFirst
	}
	return slowestFirst
}

// chainAfter returns the run time of the longest chain of steps after a group.
func (c *Core) chainAfter(g *taskGroup) time.Duration {
	var longest time.Duration
	for _, o := range g.occ.groups {
		if slices.Contains(o.step.After, g.index) {
			longest = max(longest, o.runTime()+c.chainAfter(o))
		}
	}
	return longest
}

// speedRank ranks a worker for a single task; lower is better.
func (o speedOrder) speedRank(w *worker) int {
	switch o {
	case fastestFirst:
		return int(w.speedClass())
	case slowestFirst:
		return int(speed.Classes - w.speedClass())
	default:
		return 0
	}
}

// gangSpeedRank ranks a gang's workers; lower is better. A mixed gang is as slow as its
// slowest member and takes fast workers nevertheless, so it comes after one of its
// slowest class alone.
func (o speedOrder) gangSpeedRank(on []*worker) int {
	if o == anySpeed {
		return 0
	}
	slowest, fastest := speed.Fast, speed.Slow
	for _, w := range on {
		slowest, fastest = max(slowest, w.speedClass()), min(fastest, w.speedClass())
	}
	rank := 2 * int(slowest)
	if o == slowestFirst {
		rank = 2 * int(speed.Slow-slowest)
	}
	if slowest != fastest {
		rank++
	}
	return rank
}

// packGangBySpeed is packGang with the classes of speed that the group prefers.
func (c *Core) packGangBySpeed(workers []*worker, g *rankedGroup, u *unit) (on []*worker, rank int) {
	on = c.packGang(workers, g.taskGroup, u)
	order := c.speedOrder(g)
	if on == nil || order == anySpeed {
		return on, 0
	}
	rank = order.gangSpeedRank(on)
	for _, subset := range speedSubsets(workers) {
		some := c.packGang(subset, g.taskGroup, u)
		if some == nil || c.countRisky(some, g.taskGroup) > c.countRisky(on, g.taskGroup) {
			continue
		}
		if r := order.gangSpeedRank(some); r < rank {
			on, rank = some, r
		}
	}
	return on, rank
}

// speedSubsets returns the workers of each class, and those that are not slow, if there are
// several classes.
func speedSubsets(workers []*worker) [][]*worker {
	var byClass [speed.Classes][]*worker
	for _, w := range workers {
		byClass[w.speedClass()] = append(byClass[w.speedClass()], w)
	}
	var out [][]*worker
	for _, ws := range byClass {
		if len(ws) == len(workers) {
			return nil
		}
		if len(ws) > 0 {
			out = append(out, ws)
		}
	}
	if len(byClass[speed.Slow]) > 0 && len(byClass[speed.Fast]) > 0 && len(byClass[speed.Usual]) > 0 {
		out = append(out, append(slices.Clip(byClass[speed.Usual]), byClass[speed.Fast]...))
	}
	return out
}

// planEvictionBySpeed is planEviction with the cost of slower workers for urgent work.
func (c *Core) planEvictionBySpeed(p *pass, workers []*worker, g *rankedGroup, u *unit) eviction {
	best := eviction{}
	for _, some := range c.evictionSets(workers, g) {
		e := c.planEviction(p, some, g, u)
		e.cost += c.slowCost(g, u, e.on)
		if e.on != nil && (best.on == nil || e.cost < best.cost) && !c.losesTooMuch(g, u, e) {
			best = e
		}
	}
	return best
}

// evictionSets returns the parts of a set of workers among which an eviction is planned:
// all of them and, for urgent work, each class if their speeds differ.
func (c *Core) evictionSets(workers []*worker, g *rankedGroup) [][]*worker {
	out := [][]*worker{workers}
	if c.weighsSpeed(g) {
		out = append(out, speedSubsets(workers)...)
	}
	return out
}

// weighsSpeed reports whether evictions for a group take speeds into account.
func (c *Core) weighsSpeed(g *rankedGroup) bool {
	return g.rank.Priority == 0 && c.speedOrder(g) != anySpeed
}

// losesTooMuch reports whether an eviction for urgent work outside its guarantee destroys
// more than the unit's own work. Such an eviction on fast workers must not keep the unit
// from one on slow workers that loses less.
func (c *Core) losesTooMuch(g *rankedGroup, u *unit, e eviction) bool {
	return c.weighsSpeed(g) && !g.rank.Entitled && c.unsavedWork(e.victims) > g.work(u)
}

// urgentDelayWeight is how many core-seconds of stopped work one core-second of longer
// urgent work is worth. With 1, 15 of 25 urgent gangs of TestUrgentGangsGoToFastWorkers are
// late, with 3 six, with 5 or 10 none.
const urgentDelayWeight = 5

// slowCost returns the core-seconds that a unit takes longer on the given workers than on a
// usual one, negative if it takes less. It is part of the cost of making room there.
func (c *Core) slowCost(g *rankedGroup, u *unit, on []*worker) float64 {
	if len(on) == 0 || !c.weighsSpeed(g) {
		return 0
	}
	factor := slices.MaxFunc(on, func(a, b *worker) int { return cmp.Compare(a.timeFactor(), b.timeFactor()) }).timeFactor()
	return urgentDelayWeight * g.work(u) * (factor - 1)
}
