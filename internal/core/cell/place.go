package cell

import (
	"slices"
	"time"
)

// place starts what can be started, the most urgent work first.
func (c *Core) place() {
	if !c.placementDue || c.now.Mono < c.nextPlacement || !c.mayStart() {
		return
	}
	c.placementDue = false
	c.nextPlacement = c.now.Mono + minPassInterval
	c.drainWorkers()
	p := c.newPass()
	defer c.ask(p)
	most := max(maxUnansweredStarts, len(c.fleet)/workersPerUnansweredStart) - c.unanswered()
	for _, g := range p.ready {
		if p.starts >= most {
			c.placementDue = true
			c.nextPlacement = c.now.Mono + unansweredPause
			return
		}
		c.placeGroup(p, g, most)
	}
}

// mayStart says whether the term was proven lately enough to order starts.
func (c *Core) mayStart() bool { return c.now.Mono-c.termConfirmedAt <= c.settings.StartGrace }

// unanswered counts the starts that were ordered lately and have no answer yet.
func (c *Core) unanswered() int {
	n := 0
	for _, w := range c.fleet {
		for _, r := range w.runs {
			if r.state == runStarting && c.now.Mono-r.createdAt < startAnswerTime {
				n++
			}
		}
	}
	return n
}

// placeGroup places the waiting units of one group, until the pass has ordered
// most starts; they are alike, so the first that finds no place ends it.
func (c *Core) placeGroup(p *pass, g *ranked, most int) {
	for _, u := range g.units {
		if p.starts >= most {
			return
		}
		if u.state != unitWaiting || c.now.Mono < u.notBefore {
			continue
		}
		var on []*worker
		if d := demandOf(g, u); !p.full[d] {
			on = c.find(p, g, u)
			p.full[d] = on == nil && d.isPlain()
		}
		if on == nil {
			c.makeRoom(p, g, u)
			c.noteWait(p, g, u)
			c.watch(g)
			if u.plan == nil {
				return
			}
			continue
		}
		c.dropPlan(u)
		c.startUnit(u, on)
		p.starts += len(on)
	}
}

// find gives a worker for each member of a unit, or nil when there is no place now.
func (c *Core) find(p *pass, g *ranked, u *unit) []*worker {
	if u.plan != nil {
		if on := c.planned(u); on != nil || u.plan != nil && !u.plan.reserves {
			return on
		}
	}
	if u.size > 1 || g.step.Gang {
		return c.findGang(p, g, u)
	}
	w := c.findOne(p, g, u)
	if w == nil {
		return nil
	}
	return []*worker{w}
}

// findOne gives the best worker for a single task, or nil.
func (c *Core) findOne(p *pass, g *ranked, u *unit) *worker {
	pool := p.pool(g.pool)
	if !pool.mayHold(g, u) {
		return nil
	}
	mayFar := c.mayRunFar(p, g, u)
	var best *worker
	var bestScore score
	for _, w := range pool.workers {
		if !c.fits(w, g.taskGroup, u) {
			continue
		}
		far := g.step.DataRack != "" && w.Rack != g.step.DataRack
		if far && !mayFar {
			continue
		}
		s := c.scoreOf(w, g, u, far)
		if best == nil || s.less(bestScore) {
			best, bestScore = w, s
		}
	}
	return best
}

// fits says whether one more task of the group may start on the worker.
func (c *Core) fits(w *worker, g *taskGroup, u *unit) bool {
	return w.usable(c.now.Mono) && c.allowed(w, g, u) && w.available(g.priority()).Covers(g.step.Resources())
}

// allowed says whether the worker may run a task of the unit at all.
func (c *Core) allowed(w *worker, g *taskGroup, u *unit) bool {
	if u.excludes(w, c.now.Mono) || !c.failuresPermit(w, u) {
		return false
	}
	if g.occ.entry.job.Queue.NeedsAdvice {
		if _, ok := c.ticketFor(g, w); !ok {
			return false
		}
	}
	if g.step.Label != "" && !w.hasLabel(g.step.Label) {
		return false
	}
	return g.step.MaxPerWorker == 0 || w.taskCount(g) < g.step.MaxPerWorker
}

// mayRunFar says whether the unit has waited long enough for its data's rack,
// or the rack has no worker that could ever take it.
func (c *Core) mayRunFar(p *pass, g *ranked, u *unit) bool {
	if g.step.DataRack == "" {
		return true
	}
	if c.now.Mono-u.waitingSince > c.farWait(g) {
		return true
	}
	for _, w := range p.rack(rackKey{g.pool, g.step.DataRack}).workers {
		if w.usable(c.now.Mono) && w.Capacity.Covers(g.step.Resources()) {
			return false
		}
	}
	return true
}

// farWait gives how long a task waits for a place near its data: half of what
// the distance would cost it.
func (c *Core) farWait(g *ranked) time.Duration {
	return time.Duration((c.settings.RemoteDataFactor - 1) / 2 * float64(g.step.Estimate()))
}

// score orders workers for a task; lower is better.
type score struct {
	far   bool
	avoid bool
	// leftGPU and leftCPU are what would remain free: tight packing keeps
	// whole workers for large tasks.
	leftGPU int
	leftCPU int
}

func (s score) less(o score) bool {
	if s.far != o.far {
		return !s.far
	}
	if s.avoid != o.avoid {
		return !s.avoid
	}
	if s.leftGPU != o.leftGPU {
		return s.leftGPU < o.leftGPU
	}
	return s.leftCPU < o.leftCPU
}

func (c *Core) scoreOf(w *worker, g *ranked, u *unit, far bool) score {
	left := w.available(g.rank.Priority).Minus(g.step.Resources())
	return score{far: far, avoid: c.isRisky(w, g.taskGroup), leftGPU: left.GPU, leftCPU: left.CPU}
}

// drainWorkers moves what would not end before its worker leaves.
func (c *Core) drainWorkers() {
	for _, w := range c.fleet {
		if !w.Draining {
			continue
		}
		left := w.drainingSince + w.DrainTimeLeft - c.now.Mono
		for _, r := range slices.Clone(w.runs) {
			if r.state != runRunning || r.unit == nil || r.unit.state == unitDone {
				continue
			}
			if c.leaves(w, r, left) && r.unit.mayDisturb() {
				c.stopRun(r, ReasonDraining)
			}
		}
	}
}

// leaves says whether a run on a draining worker should go elsewhere. One that
// can't be saved is moved when the drain is first seen or not at all, as workers
// often stay longer than they say; one that can is saved before the time is up.
func (c *Core) leaves(w *worker, r *run, left time.Duration) bool {
	long := r.remaining() > left
	if r.unit.group.step.Checkpoints || r.unit.group.step.LongRunning {
		return long
	}
	return long && c.now.Mono-w.drainingSince < drainDecisionTime
}

// remaining estimates the work that a run has left.
func (r *run) remaining() time.Duration {
	if r.unit.group.step.LongRunning {
		return time.Hour
	}
	est := r.unit.group.step.Estimate()
	return est * time.Duration(100-min(r.percent, 100)) / 100
}
