package placement

import (
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
)

// ended frees the room of a lease whose task is over.
func (c *Core) ended(e Ended) {
	t, ok := c.tasks[e.Ending.Lease]
	if !ok {
		return
	}
	c.taskEnded(t, e.Ending)
}

func (c *Core) taskEnded(t *task, end platform.Ending) {
	j := t.job
	delete(c.tasks, t.lease)
	c.observe(t, end)
	c.judge(j, t, end.State)
	j.live--
	c.dropTask(t)
	if j.live == 0 && j.state == jobRunning {
		c.finish(j)
	}
}

// judge decides what the ending of one member means for its job.
func (c *Core) judge(j *job, t *task, state platform.EndState) {
	if state == platform.EndDone {
		return
	}
	if j.stopping || j.cancelled {
		return
	}
	left := state == platform.EndCheckpointed || state == platform.EndStopped
	if j.evicted && left {
		j.left = true
		return
	}
	j.failed = true
	why := model.ReasonTaskFailed
	switch {
	case state == platform.EndLapsed:
		why = model.ReasonLeaseLapsed
		if t.worker.down {
			why = model.ReasonWorkerLost
		}
	case left:
		why = model.ReasonPreempted
	case j.work.Members > 1:
		why = model.ReasonMemberFailed
	}
	j.retry = state == platform.EndFailed
	if j.state == jobBeginning {
		j.stopReason = why
		c.emit(Abort{Key: j.work.Key})
		return
	}
	c.stop(j, why)
}

// finish answers for a job whose members have all ended, or queues it again. It
// does not answer for one with members in cells that other schedulers own.
func (c *Core) finish(j *job) {
	c.running--
	j.tasks = nil
	switch {
	case j.elsewhere():
		c.forget(j)
	case j.cancelled && (j.stopping || j.left):
		c.complete(j, true, model.ReasonCancelled)
	case j.failed && j.retry:
		c.retryFailed(j)
	case j.failed || j.stopping:
		c.complete(j, true, j.stopReason)
	case j.left:
		c.requeue(j)
	default:
		c.complete(j, false, model.ReasonOK)
	}
}

func (c *Core) complete(j *job, failed bool, why model.Reason) {
	c.forget(j)
	c.emit(Complete{Key: j.work.Key, Failed: failed, Reason: why})
}

// requeue puts a preempted job back among the waiting.
func (c *Core) requeue(j *job) {
	if j.adopted {
		c.complete(j, true, model.ReasonPreempted)
		return
	}
	c.resetAttempt(j)
	c.enqueue(j)
}

func (c *Core) resetAttempt(j *job) {
	j.attempt++
	j.found = 0
	j.try = 0
	j.evicted = false
	j.left = false
	j.failed = false
	j.retry = false
	j.stopping = false
	j.stopReason = ""
}

// retryFailed runs an idempotent job that failed on another worker, or answers
// that it fails on good workers too.
func (c *Core) retryFailed(j *job) {
	if !j.work.Idempotent || j.adopted || j.work.Members > 1 {
		c.complete(j, true, j.stopReason)
		return
	}
	if len(j.badOn) >= badJobWorkers {
		c.clearBlame(j)
		c.complete(j, true, model.ReasonBadJob)
		return
	}
	if j.attempt >= c.conf.maxAttempts() {
		c.complete(j, true, model.ReasonTaskFailed)
		return
	}
	c.resetAttempt(j)
	c.enqueue(j)
}
