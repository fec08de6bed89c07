package cell

import (
	"cmp"
	"slices"

	"coltsfootmux/internal/core/gangstart"
	"coltsfootmux/internal/core/room"
)

// findGang returns a worker for each member of a gang, or nil. It prefers one
// rack to several, and the rack of the gang's data to others.
func (c *Core) findGang(p *pass, g *rankedGroup, u *unit) []*worker {
	waitsForRack := g.observes(staysNear) && c.now.Mono-u.waitingSince <= c.localityWait(g)
	if on := c.findGangRack(p, g, u, waitsForRack); on != nil {
		return on
	}
	if g.step.SameRack && waitsForRack && c.someRackCouldFit(p, g, u) {
		return nil
	}
	if g.step.DataRack != "" && waitsForRack && !c.mayRunRemote(p, g, u) {
		return nil
	}
	pool := p.pool(g.pool)
	if !pool.mayFit(g, u) {
		return nil
	}
	on, _ := c.packGangBySpeed(pool.workers, g, u)
	return on
}

// findGangRack places the whole gang within one rack. It prefers the rack of the
// gang's data, then the one with the fewest workers to be avoided, then the one
// with workers of the preferred speed, then the one with the fewest free accelerators.
func (c *Core) findGangRack(p *pass, g *rankedGroup, u *unit, waitsForRack bool) []*worker {
	var best []*worker
	bestLeft, bestRisk, bestSpeed, bestDisturbed := 0, 0, 0, 0
	for _, k := range p.rackOrder {
		if k.pool != g.pool {
			continue
		}
		rack := p.racks[k]
		if !rack.mayFit(g, u) {
			continue
		}
		if remote := g.step.DataRack != "" && k.rack != g.step.DataRack; remote && waitsForRack && !c.mayRunRemote(p, g, u) {
			continue
		}
		on, speed := c.packGangBySpeed(rack.workers, g, u)
		if on == nil {
			continue
		}
		if k.rack == g.step.DataRack && k.rack != "" {
			return on
		}
		left, risk, disturbed := 0, c.countRisky(on, g.taskGroup), c.countDisturbed(on, g.taskGroup)
		for _, w := range rack.workers {
			left += w.available(g.rank.Priority).GPU
		}
		if best == nil || cmp.Or(cmp.Compare(risk, bestRisk), cmp.Compare(speed, bestSpeed), cmp.Compare(disturbed, bestDisturbed), cmp.Compare(left, bestLeft)) < 0 {
			best, bestLeft, bestRisk, bestSpeed, bestDisturbed = on, left, risk, speed, disturbed
		}
	}
	return best
}

// someRackCouldFit reports whether some rack could hold the gang if nothing ran on it.
func (c *Core) someRackCouldFit(p *pass, g *rankedGroup, u *unit) bool {
	for _, k := range p.rackOrder {
		if k.pool != g.pool {
			continue
		}
		n := 0
		for _, w := range p.racks[k].workers {
			if w.usable(c.now.Mono) && (g.step.Label == "" || w.hasLabel(g.step.Label)) {
				n += room.Tasks(w.Capacity, g.step)
			}
		}
		if n >= u.size {
			return true
		}
	}
	return false
}

// packGang places a gang's members on as few of the workers as possible, those to
// be avoided last. It returns nil if they don't fit.
func (c *Core) packGang(workers []*worker, g *taskGroup, u *unit) []*worker {
	type candidate struct {
		w *worker
		// n is how many members fit.
		n int
		// risk is 1 for a worker to be avoided, disturbed for one on which tasks and the
		// gang would slow each other down.
		risk, disturbed int
	}
	var candidates []candidate
	total, oneRack := 0, c.interference.model != nil && inOneRack(workers)
	for _, w := range workers {
		if !c.fits(w, g, u) {
			continue
		}
		n := room.Tasks(w.roomFor(g), g.step)
		if g.step.MaxPerWorker > 0 {
			n = min(n, g.step.MaxPerWorker-w.taskCount(g))
		}
		if n <= 0 {
			continue
		}
		cand := candidate{w: w, n: n}
		if c.isRisky(w, g) {
			cand.risk = 1
		}
		if oneRack && c.isDisturbed(w, g) {
			cand.disturbed = 1
		}
		candidates = append(candidates, cand)
		total += n
	}
	if total < u.size {
		return nil
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.risk, b.risk), cmp.Compare(a.disturbed, b.disturbed), cmp.Compare(b.n, a.n))
	})
	var on []*worker
	for _, cand := range candidates {
		for range cand.n {
			if len(on) == u.size {
				return on
			}
			on = append(on, cand.w)
		}
	}
	return on
}

// followGangStarts asks the workers for members whose orders are not answered, once no order may be sent any
// more, and stops the gangs that are not complete before the members that run have waited to the workers' limit.
func (c *Core) followGangStarts() {
	for _, w := range c.fleet {
		for _, r := range w.runs {
			if r.unit == nil || r.unit.state == unitDone || !r.unit.start.IsPending() {
				continue
			}
			if r.state == runStarting && c.now.Mono > r.unit.start.SendBy() && w.probeHold == 0 {
				w.probeDue = true
			}
			if r.unit.start.IsOverdue(c.now.Mono) {
				r.unit.notBefore = max(r.unit.notBefore, c.now.Mono+lateGangPause)
				c.stopRuns(r.unit, ReasonGangLate)
			}
		}
	}
}

func (c *Core) stopRuns(u *unit, reason StopReason) {
	for _, r := range slices.Clone(u.runs) {
		c.stopRun(r, reason)
	}
}

// reportGang reports the start of a gang whose last member is known to run now.
func (c *Core) reportGang(r *run) {
	u := r.unit
	if u == nil || !u.group.step.Gang || len(u.runs) < u.size || slices.ContainsFunc(u.runs, func(r *run) bool { return r.state != runRunning }) {
		return
	}
	c.emit(GangStarted{Task: u.taskID(0), Tasks: u.size, Run: r.number, Took: u.start.Age(c.now.Mono)})
	u.start = gangstart.Start{}
}
