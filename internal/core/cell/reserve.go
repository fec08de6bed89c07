package cell

import (
	"cmp"
	"slices"
	"time"

	"coltsfootmux/internal/job"
)

// A reservation keeps room for a unit that finds no place because smaller work
// takes all room as soon as it comes free.
const (
	// reserveAfter is how long a unit waits before room is reserved for it.
	reserveAfter = 2 * time.Second
	// reservationTimeout is how long a reservation lasts. Run times are only
	// estimates, so other workers may be the better choice by then.
	reservationTimeout = 12 * time.Second
	// maxReservedShare is the share of a pool's workers that may have reservations at
	// the same time.
	maxReservedShare = 0.25
	// smallTaskShare is the share of a worker up to which a single task needs no
	// reservation, as it fits wherever a little room comes free.
	smallTaskShare = 0.25
)

// reserve reserves room for a unit on the workers that are expected to be free first.
func (c *Core) reserve(p *pass, g *rankedGroup, u *unit) {
	if c.now.Mono-u.waitingSince < reserveAfter {
		return
	}
	pool := p.pool(g.pool).workers
	if u.isSmall(pool) {
		return
	}
	available := int(maxReservedShare * float64(len(pool)))
	for _, w := range pool {
		if w.reserved != (job.Resources{}) {
			available--
		}
	}
	if available <= 0 {
		return
	}
	var best []*worker
	var bestAfter time.Duration
	for _, set := range c.candidateSets(p, g) {
		on, after := c.earliestStart(set.workers, g, u)
		if on != nil && len(distinct(on)) <= available && (best == nil || after < bestAfter) {
			best, bestAfter = on, after
		}
	}
	if best == nil {
		return
	}
	c.setPlan(u, best, true)
}

// isSmall reports whether the unit is a single task that needs only a small share of
// some worker. Hundreds of such tasks would use up all room that may be reserved.
func (u *unit) isSmall(workers []*worker) bool {
	if u.size > 1 {
		return false
	}
	need := u.group.step.Resources().Times(int(1 / smallTaskShare))
	return slices.ContainsFunc(workers, func(w *worker) bool { return w.Capacity.Covers(need) })
}

// freeSlot is room for one task on a worker, with how long until it is free.
type freeSlot struct {
	w     *worker
	after time.Duration
}

// earliestStart returns the workers of a set on which a unit could start first, and
// in how long. It returns no workers if the set is too small.
func (c *Core) earliestStart(set []*worker, g *rankedGroup, u *unit) (on []*worker, after time.Duration) {
	var all []freeSlot
	for _, w := range set {
		if w.usable(c.now.Mono) && w.reserved == (job.Resources{}) && c.allowed(w, g.taskGroup, u) {
			all = append(all, c.freeSlots(w, g, u.size)...)
		}
	}
	if len(all) < u.size {
		return nil, 0
	}
	slices.SortStableFunc(all, func(a, b freeSlot) int { return cmp.Compare(a.after, b.after) })
	for _, o := range all[:u.size] {
		on = append(on, o.w)
		after = max(after, o.after)
	}
	return on, after
}

// freeSlots returns up to limit slots for tasks of a group on a worker, in the order
// in which they come free as its runs end.
func (c *Core) freeSlots(w *worker, g *rankedGroup, limit int) []freeSlot {
	need := g.step.Resources()
	if g.step.MaxPerWorker > 0 {
		limit = min(limit, g.step.MaxPerWorker-w.taskCount(g.taskGroup))
	}
	type end struct {
		at        time.Duration
		resources job.Resources
	}
	ends := make([]end, 0, len(w.runs))
	for _, r := range w.runs {
		ends = append(ends, end{c.timeToEnd(r), r.resources})
	}
	slices.SortStableFunc(ends, func(a, b end) int { return cmp.Compare(a.at, b.at) })
	var out []freeSlot
	free, at := w.Capacity.Minus(w.used).Minus(w.plannedRoom), time.Duration(0)
	for len(out) < limit {
		if free.Covers(need) {
			free = free.Minus(need)
			out = append(out, freeSlot{w, at})
			continue
		}
		if len(ends) == 0 {
			break
		}
		free, at = free.Plus(ends[0].resources), ends[0].at
		ends = ends[1:]
	}
	return out
}

// timeToEnd estimates in how long a run ends: from its progress once there is
// enough, else from its caller's estimate.
func (c *Core) timeToEnd(r *run) time.Duration {
	if r.unit == nil || r.state == runStopping {
		return 0
	}
	if r.unit.group.step.LongRunning {
		return time.Hour
	}
	const minPercent = 10 // from here on progress tells more than the estimate
	if age := c.now.Mono - r.startedAt; r.startedAt > 0 && r.percent >= minPercent {
		return age * time.Duration(100-min(r.percent, 100)) / time.Duration(r.percent)
	}
	return max(r.remainingTime()-(c.now.Mono-r.createdAt), 0)
}

func distinct(ws []*worker) map[*worker]bool {
	out := make(map[*worker]bool)
	for _, w := range ws {
		out[w] = true
	}
	return out
}
