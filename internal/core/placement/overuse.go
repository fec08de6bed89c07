package placement

import (
	"time"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
)

const (
	// overuseSlackPercent is how far over its declared size a task may go.
	overuseSlackPercent = 10
	// overusePause is how long a task has to come down after each measure.
	overusePause = 5 * time.Second
)

// overuseStep is the last measure taken against a task's use.
type overuseStep uint8

const (
	overuseNone overuseStep = iota
	overuseThrottled
	overuseCheckpointed
	overuseStopped
)

// overuse is what is known of a task's use over its declared size.
type overuse struct {
	step overuseStep
	// since is when the last measure was taken; older reports don't count.
	since time.Time
	// seen is the time of the latest report.
	seen time.Time
	used model.Shape
}

// usageSeen takes the next measure against a task that goes over its size on a
// worker that is short. Reports come late and out of order: only one that was
// taken after the last measure had time to act counts against a task.
func (c *Core) usageSeen(e Used) {
	t, ok := c.tasks[e.Lease]
	if !ok || !e.At.After(t.over.seen) || t.job.state != jobRunning {
		return
	}
	t.over.seen = e.At
	t.over.used = e.Used
	if !exceeds(e.Used, t.shape) || !t.worker.crowded() {
		return
	}
	if t.over.step != overuseNone && e.At.Before(t.over.since.Add(overusePause)) {
		return
	}
	c.escalate(t)
}

func (c *Core) escalate(t *task) {
	t.over.since = c.now
	switch t.over.step {
	case overuseNone:
		t.over.step = overuseThrottled
		c.control(t, platform.VerbThrottle)
	case overuseThrottled:
		t.over.step = overuseCheckpointed
		t.job.stopping = true
		t.job.stopReason = model.ReasonOverUse
		c.controlAll(t.job, platform.VerbCheckpoint)
		c.after(c.conf.def.CheckpointWithin.D(), timer{kind: timerOveruse, lease: t.lease})
	}
}

// overuseLate stops a job whose checkpoint did not come in time.
func (c *Core) overuseLate(t timer) {
	k, ok := c.tasks[t.lease]
	if !ok || k.over.step != overuseCheckpointed {
		return
	}
	k.over.step = overuseStopped
	c.stop(k.job, model.ReasonOverUse)
}

func exceeds(used, declared model.Shape) bool {
	return over(used.CPUMilli, declared.CPUMilli) ||
		over(used.MemoryMB, declared.MemoryMB) ||
		used.Accelerators > declared.Accelerators
}

func over(used, declared int) bool {
	return used > declared+declared*overuseSlackPercent/100
}

// crowded reports whether the use on the worker, as far as it is known, exceeds
// what the worker has. A task without a report counts as declared.
func (w *worker) crowded() bool {
	var sum model.Shape
	for _, t := range w.tasks {
		if t.over.seen.IsZero() {
			sum = sum.Add(t.shape)
			continue
		}
		sum = sum.Add(t.over.used)
	}
	return sum.CPUMilli > w.capacity.CPUMilli ||
		sum.MemoryMB > w.capacity.MemoryMB ||
		sum.Accelerators > w.capacity.Accelerators
}
