package cell

import (
	"slices"
	"time"

	"coltsfootmux/internal/core/evict"
)

// evictionChoice is what one more member takes on a worker.
type evictionChoice struct {
	victims []*run
	cost    float64
	// fits is false if the worker has no room even without all victims.
	fits bool
}

// chooseVictims returns the runs to stop on a worker for one more task of the group, the
// cheapest first.
func (c *Core) chooseVictims(cand *evictionCandidate, g *rankedGroup) *evictionChoice {
	need := g.step.Resources()
	out, free := &evictionChoice{}, cand.free
	for n := 0; !free.Covers(need) && n < len(cand.victims); n++ {
		v := cand.victims[n]
		if !c.endsWithin(v, cand.wait) {
			out.cost += c.stopCost(v)
		}
		free = free.Plus(v.resources)
		out.victims = cand.victims[:n+1]
	}
	out.fits = free.Covers(need)
	return out
}

// take frees the room of the chosen victims on the worker.
func (cand *evictionCandidate) take(chosen *evictionChoice) {
	for _, r := range chosen.victims {
		cand.free = cand.free.Plus(r.resources)
	}
	cand.victims, cand.choice = cand.victims[len(chosen.victims):], nil
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

// endingFirst returns victims, which are sorted by cost, with those first that end by
// themselves while the unit may wait.
func (c *Core) endingFirst(victims []*run, wait time.Duration) []*run {
	if wait == 0 || !slices.ContainsFunc(victims, func(r *run) bool { return c.endsWithin(r, wait) }) {
		return victims
	}
	out := make([]*run, 0, len(victims))
	for _, ending := range []bool{true, false} {
		for _, r := range victims {
			if c.endsWithin(r, wait) == ending {
				out = append(out, r)
			}
		}
	}
	return out
}

// keepsRoomOf reports whether the room of a run that has ended is kept for urgent work for
// a while: that of urgent runs always, and that of others while urgent work preempts.
// The room of stopped runs is planned for the work that they were stopped for.
func (c *Core) keepsRoomOf(r *run) bool {
	if r.unit.group.priority() == 0 {
		return true
	}
	return c.weighsVictims() && r.state != runStopping && c.urgentReserve.Keeps(c.now.Mono)
}

// evictionLoss returns what is lost in core-seconds if a run is stopped with its gang.
func (c *Core) evictionLoss(r *run) float64 {
	out := evict.Run{Lost: r.unit.evictedWork, Stop: c.stopTime.Mean()}
	for _, m := range r.unit.runs {
		out.Cores += m.resources.Cores()
		out.Unsaved += m.unsavedWork(c.now.Mono, c.settings.RestoreTime)
	}
	return out.Loss()
}

// endsWithin reports whether a run is expected to end by itself within a time, by its
// listed progress. One that is overdue by more than a stop takes has slowed down.
func (c *Core) endsWithin(r *run, d time.Duration) bool {
	if d == 0 || r.state != runRunning || r.resumed || r.startedAt == 0 || r.unit.group.step.LongRunning {
		return false
	}
	p := evict.Progress{Age: c.now.Mono - r.startedAt, ListedAge: r.progressedAt - r.startedAt, Percent: r.percent}
	left, ok := p.Left()
	return ok && left <= d && left > -c.stopTime.Mean()
}
