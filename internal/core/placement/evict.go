package placement

import (
	"cmp"
	"slices"
	"time"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
)

// victims chooses whole jobs whose leaving lets j onto the workers ws, those
// that lose the least work first. ok is false when they would not suffice.
func (c *Core) victims(j *job, ws []*worker) (out []*job, ok bool) {
	need := c.shortfall(j, ws)
	given := make(map[*worker]model.Shape)
	for _, n := range need {
		w := n.w
		for !n.short.Fits(floorShape(given[w])) {
			v := c.cheapest(j, w, out)
			if v == nil {
				return nil, false
			}
			out = append(out, v)
			for _, t := range v.tasks {
				given[t.worker] = given[t.worker].Add(t.shape)
			}
		}
	}
	return c.trim(out, need, given), true
}

// need is the room that a worker is short of.
type need struct {
	w     *worker
	short model.Shape
}

func (c *Core) shortfall(j *job, ws []*worker) []need {
	var out []need
	for i, w := range ws {
		if slices.Index(ws, w) < i {
			continue
		}
		n := 0
		for _, o := range ws {
			if o == w {
				n++
			}
		}
		short := floorShape(j.work.Shape.Times(n).Sub(w.reach(j)))
		if !short.IsZero() {
			out = append(out, need{w: w, short: short})
		}
	}
	return out
}

// cheapest gives the evictable job on w that would lose the least work.
func (c *Core) cheapest(j *job, w *worker, taken []*job) *job {
	var best *job
	for _, t := range w.tasks {
		v := t.job
		if v == best || slices.Contains(taken, v) || !c.mayEvict(j, t) {
			continue
		}
		if best == nil || c.cheaper(v, best) {
			best = v
		}
	}
	return best
}

func (c *Core) cheaper(a, b *job) bool {
	return cmp.Or(
		cmp.Compare(a.class, b.class),
		cmp.Compare(c.atStake(a), c.atStake(b)),
		cmp.Compare(a.seq, b.seq),
	) < 0
}

// atStake is the work that a job would lose if it had to stop now, in
// accelerator or slot seconds.
func (c *Core) atStake(j *job) time.Duration {
	if j.state != jobRunning {
		return 0
	}
	size := max(1, j.work.Total().Accelerators)
	return c.now.Sub(j.startAt) * time.Duration(size)
}

// trim spares victims that turned out not to be needed, the dearest first.
func (c *Core) trim(out []*job, need []need, given map[*worker]model.Shape) []*job {
	order := slices.Clone(out)
	slices.SortFunc(order, func(a, b *job) int {
		if c.cheaper(a, b) {
			return 1
		}
		return -1
	})
	for _, v := range order {
		if !spare(v, need, given) {
			continue
		}
		for _, t := range v.tasks {
			given[t.worker] = given[t.worker].Sub(t.shape)
		}
		out = slices.DeleteFunc(out, func(o *job) bool { return o == v })
	}
	return out
}

// spare reports whether the needs are met without v.
func spare(v *job, needs []need, given map[*worker]model.Shape) bool {
	for _, n := range needs {
		room := given[n.w]
		for _, t := range v.tasks {
			if t.worker == n.w {
				room = room.Sub(t.shape)
			}
		}
		if !n.short.Fits(floorShape(room)) {
			return false
		}
	}
	return true
}

// evict asks a whole job to leave, with a bound on its checkpoint.
func (c *Core) evict(v *job, within time.Duration) {
	v.evicted = true
	if v.state == jobBeginning {
		c.emit(Abort{Key: v.work.Key})
		return
	}
	c.controlAll(v, platform.VerbCheckpoint)
	c.after(within, timer{kind: timerCheckpoint, key: v.work.Key, round: v.round})
}

// checkpointBound is how long victims of j may take over their checkpoints. For
// urgent work that is a part of its own bound.
func (c *Core) checkpointBound(j *job) time.Duration {
	within := c.conf.def.CheckpointWithin.D()
	if urgent := c.conf.def.UrgentWait.D(); j.class == urgentClass && urgent > 0 {
		within = min(within, urgent*urgentCheckpointPercent/100)
	}
	return within
}

// urgentCheckpointPercent is the part of the bound on an urgent start that
// victims may take over their checkpoints; the rest is for the stop.
const urgentCheckpointPercent = 60

// hasten bounds the checkpoints of those that were leaving a worker already.
func (c *Core) hasten(w *worker, within time.Duration) {
	for _, t := range w.tasks {
		if v := t.job; v.evicted && v.state == jobRunning {
			c.after(within, timer{kind: timerCheckpoint, key: v.work.Key, round: v.round})
		}
	}
}

// checkpointLate stops a job whose checkpoint did not come in time.
func (c *Core) checkpointLate(t timer) {
	j, ok := c.jobs[t.key]
	if !ok || j.round != t.round || j.state != jobRunning {
		return
	}
	c.controlAll(j, platform.VerbStop)
}

// reclaimLate alarms when room that was asked back did not come in time.
func (c *Core) reclaimLate(t timer) {
	j, ok := c.jobs[t.key]
	if !ok || j.round != t.round || j.state != jobReclaiming {
		return
	}
	w := j.tasks[0].worker
	c.emit(Alarm{
		Code: AlarmReclaimLate, Account: j.work.Account, Worker: w.id, Cell: w.cell.id,
		Text: "room was asked back and is not free within the bound",
	})
}

func (c *Core) controlAll(j *job, verb platform.Verb) {
	for _, t := range j.tasks {
		if _, live := c.tasks[t.lease]; live {
			c.control(t, verb)
		}
	}
}

func (c *Core) control(t *task, verb platform.Verb) {
	c.emit(Control{Lease: t.lease, Cell: t.worker.cell.id, Worker: t.worker.id, Verb: verb})
}
