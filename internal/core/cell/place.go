package cell

import (
	"slices"
	"time"
)

// place makes a placement pass if one is due: it starts the waiting units that
// find workers, the most urgent first.
func (c *Core) place() {
	if !c.placementDue || c.now.Mono < c.nextPlacement || !c.mayStart() {
		return
	}
	c.placementDue = false
	c.nextPlacement = c.now.Mono + minPassInterval
	c.passes++
	c.stopRunsOnDraining()
	p := c.newPass()
	c.trace.passBegan(p)
	defer c.requestAdvice(p)
	defer c.reportStands(p)
	unanswered := c.unansweredStarts()
	var left []*rankedGroup
	defer func() { c.measureStartDelay(p, left) }()
	for n, g := range p.ready {
		maxStarts := c.startWindow(p, g) - unanswered
		if p.starts < maxStarts {
			c.placeGroup(p, g, maxStarts)
			continue
		}
		left = append(left, g)
		c.placementDue = true
		c.nextPlacement = c.now.Mono + unansweredPause
		if p.starts >= c.starts.Size(c.maxUnansweredStarts())-unanswered {
			left = append(left, p.ready[n+1:]...)
			return
		}
	}
}

// Passes returns the number of placement passes that were made.
func (c *Core) Passes() int64 { return c.passes }

// Examined returns how often placement has looked at a worker, a measure of its cost.
func (c *Core) Examined() int64 { return c.examined }

// mayStart reports whether starts may be ordered now.
func (c *Core) mayStart() bool { return c.MayStart(c.now) }

// MayStart reports whether, at the given time, the term was confirmed recently enough to order
// starts, and no worker has named a higher one. It holds for orders that are decided and for
// those that are sent: between the two the whole process may have been paused.
func (c *Core) MayStart(now Instant) bool {
	return !c.fenced && now.Mono-c.termConfirmedAt <= c.settings.StartGrace
}

// TermConfirmedWithin reports whether the term was confirmed in the time d before now.
func (c *Core) TermConfirmedWithin(now Instant, d time.Duration) bool {
	return now.Mono-c.termConfirmedAt < d
}

// higherTermSeen ends all starts of this owner, as a worker has refused an order for a higher
// term. The next owner decides what is started.
func (c *Core) higherTermSeen(w *worker) {
	c.fenced = true
	c.emit(HigherTermSeen{Worker: w.ID})
}

// maxUnansweredStarts returns how many starts may be without an answer.
func (c *Core) maxUnansweredStarts() int {
	return max(maxUnansweredStarts, len(c.fleet)/workersPerUnansweredStart)
}

// unansweredStarts counts the recent starts that have no answer yet.
func (c *Core) unansweredStarts() int {
	n := 0
	timeout := c.answerTime(startAnswerTimeout)
	for _, w := range c.fleet {
		for _, r := range w.runs {
			if r.state == runStarting && c.now.Mono-r.createdAt < timeout {
				n++
			}
		}
	}
	return n
}

// placeGroup places the waiting units of one group until the pass has ordered
// maxStarts starts. The units have equal needs, so it stops at the first that
// neither finds a place nor has a plan.
func (c *Core) placeGroup(p *pass, g *rankedGroup, maxStarts int) {
	leaves := c.leavesRoom(p, g)
	for _, u := range g.units {
		if p.starts >= maxStarts {
			return
		}
		if u.state != unitWaiting || c.now.Mono < u.notBefore {
			continue
		}
		var on []*worker
		if d := demandOf(g, u); !leaves && !p.unplaceable[d] {
			on = c.findWorkersApart(p, g, u)
			p.unplaceable[d] = on == nil && d.isCacheable()
		}
		if on == nil {
			on = c.findForStanding(p, g, u)
		}
		if on == nil && leaves {
			return
		}
		if on == nil {
			if u.isSuspect() {
				c.vacateWorker(p, g, u)
				c.reportWait(p, g, u)
				continue
			}
			c.makeRoom(p, g, u)
			c.reportWait(p, g, u)
			c.checkAlarms(g)
			if u.plan == nil {
				return
			}
			continue
		}
		c.dropPlan(u)
		c.trace.starting(c, g, u, on)
		c.startUnit(u, on)
		p.starts += len(on)
	}
}

// findWorkers returns a worker for each member of a unit, or nil if it can't start now.
func (c *Core) findWorkers(p *pass, g *rankedGroup, u *unit) []*worker {
	if u.plan != nil {
		if on := c.plannedWorkers(u); on != nil || u.plan != nil && !u.plan.reservation {
			return on
		}
	}
	if u.size > 1 || g.step.Gang {
		return c.findGang(p, g, u)
	}
	w := c.findWorker(p, g, u)
	if w == nil {
		return nil
	}
	return []*worker{w}
}

// findWorker returns the best worker for a single task, or nil.
func (c *Core) findWorker(p *pass, g *rankedGroup, u *unit) *worker {
	pool := p.pool(g.pool)
	if !pool.mayFit(g, u) {
		return nil
	}
	remoteAllowed := c.mayRunRemote(p, g, u)
	order := c.speedOrder(g)
	var best *worker
	var bestScore score
	for _, w := range pool.workers {
		if !c.fits(w, g.taskGroup, u) {
			continue
		}
		remote := g.step.DataRack != "" && w.Rack != g.step.DataRack
		if remote && !remoteAllowed {
			continue
		}
		s := c.scoreOf(w, g, order, remote)
		if best == nil || s.less(bestScore) {
			best, bestScore = w, s
		}
	}
	return best
}

// fits reports whether one more task of the group may start on the worker now. In a full pool most
// workers have no room, so that this is looked at first.
func (c *Core) fits(w *worker, g *taskGroup, u *unit) bool {
	c.examined++
	return w.roomFor(g).Covers(g.step.Resources()) && c.canUse(w, g) && c.allowed(w, g, u)
}

// allowed reports whether the worker may run a task of the unit, apart from its
// free resources.
func (c *Core) allowed(w *worker, g *taskGroup, u *unit) bool {
	return c.isolationPermits(w, u) && c.allowedInCompany(w, g, u)
}

// allowedInCompany is allowed without what isolates suspects.
func (c *Core) allowedInCompany(w *worker, g *taskGroup, u *unit) bool {
	if g.observes(avoidsFailures) && u.excludes(w, c.now.Mono) || g.observes(needsProof) && !c.failuresPermit(w, u) {
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

// mayRunRemote reports whether the unit may run outside its data's rack: it has
// waited long enough, or no usable worker of the rack is large enough for it.
func (c *Core) mayRunRemote(p *pass, g *rankedGroup, u *unit) bool {
	if g.step.DataRack == "" || !g.observes(staysNear) {
		return true
	}
	if c.now.Mono-u.waitingSince > c.localityWait(g) {
		return true
	}
	for _, w := range p.rack(rackKey{g.pool, g.step.DataRack}).workers {
		if w.usable(c.now.Mono) && w.Capacity.Covers(g.step.Resources()) {
			return false
		}
	}
	return true
}

// localityWait returns how long a task waits for a place in its data's rack: half
// of the run time that a place in another rack would add.
func (c *Core) localityWait(g *rankedGroup) time.Duration {
	return time.Duration((c.settings.RemoteDataFactor - 1) / 2 * float64(g.runTime()))
}

// score ranks a worker for a task; lower is better.
type score struct {
	// remote is set if the worker is not in the rack of the task's data.
	remote bool
	// avoided is set if failures make other workers preferable.
	avoided bool
	// speed ranks the worker's class of speed.
	speed int
	// disturbed is set if tasks on the worker and the task would slow each other down.
	disturbed bool
	// leftGPU and leftCPU are what would remain free: tight packing keeps whole
	// workers free for large tasks.
	leftGPU int
	leftCPU int
}

func (s score) less(o score) bool {
	if s.remote != o.remote {
		return !s.remote
	}
	if s.avoided != o.avoided {
		return !s.avoided
	}
	if s.speed != o.speed {
		return s.speed < o.speed
	}
	if s.disturbed != o.disturbed {
		return !s.disturbed
	}
	if s.leftGPU != o.leftGPU {
		return s.leftGPU < o.leftGPU
	}
	return s.leftCPU < o.leftCPU
}

func (c *Core) scoreOf(w *worker, g *rankedGroup, order speedOrder, remote bool) score {
	left := w.available(g.rank.Priority).Minus(g.step.Resources())
	return score{
		remote: remote, avoided: c.isRisky(w, g.taskGroup),
		speed: order.speedRank(w), disturbed: c.isDisturbed(w, g.taskGroup),
		leftGPU: left.GPU, leftCPU: left.CPU,
	}
}

// stopRunsOnDraining stops the runs that would not end before their draining
// worker shuts down, so that they start elsewhere.
func (c *Core) stopRunsOnDraining() {
	for _, w := range c.fleet {
		if !w.Draining {
			continue
		}
		left := w.drainingSince + w.DrainTimeLeft - c.now.Mono
		for _, r := range slices.Clone(w.runs) {
			if r.state != runRunning || r.unit == nil || r.unit.state == unitDone {
				continue
			}
			if c.shouldMove(w, r, left) && r.unit.mayInterrupt() {
				c.stopRun(r, ReasonDraining)
			}
		}
	}
}

// shouldMove reports whether a run on a draining worker with the given time left
// should be stopped. A run without checkpoints is stopped when the drain is first
// seen or not at all, as workers often stay longer than they announce; one with
// checkpoints is stopped once it can't end in the time left.
func (c *Core) shouldMove(w *worker, r *run, left time.Duration) bool {
	outlasts := r.remainingTime() > left
	if r.unit.group.step.Checkpoints || r.unit.group.step.LongRunning {
		return outlasts
	}
	return outlasts && c.now.Mono-w.drainingSince < drainDecisionTime
}

// remainingTime estimates how long a run still takes, from its progress and its
// predicted run time.
func (r *run) remainingTime() time.Duration {
	if r.unit.group.step.LongRunning {
		return time.Hour
	}
	return scaled(r.unit.group.runTime(), r.timeFactor()) * time.Duration(100-min(r.percent, 100)) / 100
}
