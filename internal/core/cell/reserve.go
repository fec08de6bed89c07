package cell

import (
	"cmp"
	"slices"
	"time"

	"coltsfootmux/internal/job"
)

// Reservations keep room together for a unit that finds no place because
// smaller work takes every gap as it comes free.
const (
	// reserveAfter is how long a unit waits before room is kept for it.
	reserveAfter = 2 * time.Second
	// reservationTimeout bounds one reservation; run times are rough estimates, so
	// another place may be better by then.
	reservationTimeout = 12 * time.Second
	// maxReservedShare is the part of a pool's workers that may be kept at once.
	maxReservedShare = 0.25
	// smallTaskShare is the part of a worker up to which a lone task finds its place in any
	// gap and needs no reservation.
	smallTaskShare = 0.25
)

// reserve keeps the room for a unit that should be free the soonest.
func (c *Core) reserve(p *pass, g *rankedGroup, u *unit) {
	if c.now.Mono-u.waitingSince < reserveAfter {
		return
	}
	pool := p.pool(g.pool).workers
	if u.isSmall(pool) {
		return
	}
	room := int(maxReservedShare * float64(len(pool)))
	for _, w := range pool {
		if w.reserved != (job.Resources{}) {
			room--
		}
	}
	if room <= 0 {
		return
	}
	var best []*worker
	var bestAt time.Duration
	for _, set := range c.candidateSets(p, g) {
		on, at := c.earliestStart(set.workers, g, u)
		if on != nil && len(distinct(on)) <= room && (best == nil || at < bestAt) {
			best, bestAt = on, at
		}
	}
	if best == nil {
		return
	}
	c.setPlan(u, best, true)
}

// isSmall says whether the unit is one task that takes little of some worker. Hundreds
// of such tasks would hold all room that may be reserved.
func (u *unit) isSmall(workers []*worker) bool {
	if u.size > 1 {
		return false
	}
	need := u.group.step.Resources().Times(int(1 / smallTaskShare))
	return slices.ContainsFunc(workers, func(w *worker) bool { return w.Capacity.Covers(need) })
}

// freeSlot is when a worker has room for one more task of a group.
type freeSlot struct {
	w  *worker
	at time.Duration
}

// earliestStart gives the workers of a set on which a unit could start first, and when.
func (c *Core) earliestStart(set []*worker, g *rankedGroup, u *unit) (on []*worker, at time.Duration) {
	var all []freeSlot
	for _, w := range set {
		if w.usable(c.now.Mono) && w.reserved == (job.Resources{}) && c.allowed(w, g.taskGroup, u) {
			all = append(all, c.freeSlots(w, g, u.size)...)
		}
	}
	if len(all) < u.size {
		return nil, 0
	}
	slices.SortStableFunc(all, func(a, b freeSlot) int { return cmp.Compare(a.at, b.at) })
	for _, o := range all[:u.size] {
		on = append(on, o.w)
		at = max(at, o.at)
	}
	return on, at
}

// freeSlots gives when a worker has room for the first, second and so on task of
// a group, as its runs end.
func (c *Core) freeSlots(w *worker, g *rankedGroup, most int) []freeSlot {
	need := g.step.Resources()
	if g.step.MaxPerWorker > 0 {
		most = min(most, g.step.MaxPerWorker-w.taskCount(g.taskGroup))
	}
	type end struct {
		at    time.Duration
		takes job.Resources
	}
	ends := make([]end, 0, len(w.runs))
	for _, r := range w.runs {
		ends = append(ends, end{c.timeToEnd(r), r.resources})
	}
	slices.SortStableFunc(ends, func(a, b end) int { return cmp.Compare(a.at, b.at) })
	var out []freeSlot
	free, at := w.Capacity.Minus(w.used).Minus(w.plannedRoom), time.Duration(0)
	for len(out) < most {
		if free.Covers(need) {
			free = free.Minus(need)
			out = append(out, freeSlot{w, at})
			continue
		}
		if len(ends) == 0 {
			break
		}
		free, at = free.Plus(ends[0].takes), ends[0].at
		ends = ends[1:]
	}
	return out
}

// timeToEnd estimates when a run ends: by its progress once there is some, else by
// its caller's estimate.
func (c *Core) timeToEnd(r *run) time.Duration {
	if r.unit == nil || r.state == runStopping {
		return 0
	}
	if r.unit.group.step.LongRunning {
		return time.Hour
	}
	const minPercent = 10 // percent from which on progress says more than the estimate
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
