package placement

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
)

const (
	// beginTries bounds the tries to begin one attempt.
	beginTries = 8
	// beginPause is how long a worker that refused a job is kept from it.
	beginPause = 200 * time.Millisecond
	// refusedRetryAfter is when a caller may come back after the tries are spent.
	refusedRetryAfter = 5 * time.Second
)

// assign holds room for a job on ws.
func (c *Core) assign(j *job, ws []*worker) {
	c.dequeue(j)
	c.endDrain(j)
	firm := c.firm(j)
	j.tasks = make([]*task, len(ws))
	for i, w := range ws {
		t := &task{job: j, member: i, worker: w, shape: j.work.Shape, firm: firm}
		j.tasks[i] = t
		w.addTask(t)
		c.reindex(w.cell)
		w.health.admitted(j.work.Key)
	}
}

// reclaim has the victims leave; the job begins once its room is vacant.
func (c *Core) reclaim(j *job, ws []*worker, victims []*job) {
	j.state = jobReclaiming
	j.asked = c.now
	c.waiting++
	within := c.checkpointBound(j)
	for _, w := range ws {
		w.dropPlanned(j)
		w.planned = append(w.planned, j)
		if j.class == urgentClass {
			c.hasten(w, within)
		}
	}
	for _, v := range victims {
		c.evict(v, within)
	}
	c.after(c.conf.def.ReclaimWithin.D(), timer{kind: timerReclaim, key: j.work.Key, round: j.round})
	if c.ready(j) {
		c.unplan(j)
		c.waiting--
		c.begin(j)
	}
}

// begin asks the shell to lease and start every member.
func (c *Core) begin(j *job) {
	j.state = jobBeginning
	j.try++
	j.begins++
	parts := make([]Part, len(j.tasks))
	for i, t := range j.tasks {
		t.lease = model.LeaseID(fmt.Sprintf("%s/%d.%d/%d", j.work.Key, j.first, j.begins, t.member))
		c.tasks[t.lease] = t
		parts[i] = Part{
			Member: t.member, Lease: t.lease, Cell: t.worker.cell.id,
			Worker: t.worker.id, Shape: t.shape,
		}
	}
	j.live = len(j.tasks)
	c.running++
	b := Begin{
		Work: j.work, Group: j.group, GroupEpoch: j.epoch, Attempt: j.attempt, Parts: parts,
	}
	if !j.asked.IsZero() {
		b.Reclaimed = c.now.Sub(j.asked)
	}
	j.asked = time.Time{}
	c.emit(b)
}

// roomCame begins the planned jobs of a worker that now have their room, the
// urgent ones first.
func (c *Core) roomCame(w *worker) {
	planned := slices.Clone(w.planned)
	slices.SortStableFunc(planned, func(a, b *job) int { return cmp.Compare(b.class, a.class) })
	for _, j := range planned {
		if !c.ready(j) {
			continue
		}
		c.unplan(j)
		c.waiting--
		c.begin(j)
	}
}

// ready reports whether the workers chosen for j have room for it now, whatever
// is still held there for other plans.
func (c *Core) ready(j *job) bool {
	if j.state != jobReclaiming {
		return false
	}
	for i, t := range j.tasks {
		w := t.worker
		if w.down || w.cell.lost {
			return false
		}
		n := 1
		for _, o := range j.tasks[:i] {
			if o.worker == w {
				n++
			}
		}
		if !t.shape.Times(n).Fits(w.vacant()) {
			return false
		}
	}
	return true
}

func (c *Core) unplan(j *job) {
	for _, t := range j.tasks {
		t.worker.dropPlanned(j)
	}
}

// dropPlan gives up the room held for a job whose victims have not all left.
func (c *Core) dropPlan(j *job) {
	c.unplan(j)
	c.waiting--
	j.asked = time.Time{}
	c.dropTasks(j)
}

// dropTasks gives back all room that a job holds.
func (c *Core) dropTasks(j *job) {
	for _, t := range j.tasks {
		if t.lease != "" {
			if _, live := c.tasks[t.lease]; !live {
				continue
			}
			delete(c.tasks, t.lease)
		}
		c.dropTask(t)
	}
	j.tasks = nil
	j.live = 0
}

func (c *Core) dropTask(t *task) {
	w := t.worker
	w.dropTask(t)
	c.reindex(w.cell)
	if w.health.probe == t.job.work.Key {
		w.health.probe = ""
	}
	c.free(w.cell)
	c.roomCame(w)
	c.settle(w.cell)
}

func (c *Core) started(e Started) {
	j, ok := c.jobs[e.Key]
	if !ok || j.state != jobBeginning {
		return
	}
	j.state = jobRunning
	j.startAt = c.now
	j.ran = true
	switch {
	case j.cancelled:
		c.stop(j, model.ReasonCancelled)
	case j.failed:
		c.stop(j, j.stopReason)
	case j.evicted:
		c.evict(j, c.conf.def.CheckpointWithin.D())
	}
	if j.live == 0 {
		c.finish(j)
	}
}

func (c *Core) beginFailed(e BeginFailed) {
	j, ok := c.jobs[e.Key]
	if !ok || j.state != jobBeginning {
		return
	}
	c.running--
	c.dropTasks(j)
	j.failed = false
	evicted := j.evicted
	j.evicted = false
	switch {
	case j.cancelled:
		c.giveUp(j, model.ReasonCancelled, 0)
	case evicted:
		c.enqueue(j)
	case j.try >= beginTries:
		c.giveUp(j, model.ReasonRetriesSpent, refusedRetryAfter)
	default:
		j.avoid = e.Worker
		c.enqueue(j)
		c.after(beginPause, timer{kind: timerRetry, key: j.work.Key, round: j.round})
	}
}

// retryDue lets a job go back to the worker that refused it.
func (c *Core) retryDue(t timer) {
	j, ok := c.jobs[t.key]
	if !ok || j.round != t.round || j.state != jobWaiting {
		return
	}
	j.avoid = ""
	c.unblock(j.queue)
}

// stop tells every member of a running job to stop.
func (c *Core) stop(j *job, why model.Reason) {
	if !j.stopping {
		j.stopping = true
		j.stopReason = why
	}
	c.controlAll(j, platform.VerbStop)
}

// giveUp answers for work that will not be started again.
func (c *Core) giveUp(j *job, why model.Reason, retryAfter time.Duration) {
	c.forget(j)
	if j.ran {
		c.emit(Complete{Key: j.work.Key, Failed: true, Reason: why})
		return
	}
	c.emit(Refuse{Key: j.work.Key, Reason: why, RetryAfter: retryAfter})
}

func (c *Core) forget(j *job) {
	if j.queue != nil {
		c.dequeue(j)
	}
	c.endDrain(j)
	j.state = jobGone
	delete(c.jobs, j.work.Key)
}
