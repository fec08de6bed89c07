package placement

import (
	"time"

	"coltsfootmux/internal/model"
)

// waitRetryAfter is when a caller may come back after the longest wait passed.
const waitRetryAfter = 10 * time.Second

// armWait sets the timers that end a job's wait.
func (c *Core) armWait(j *job) {
	key := j.work.Key
	until := j.queuedAt.Add(c.conf.longestWait(j.work.Account, j.work.Kind))
	if d := c.lastStart(j); !d.IsZero() && d.Before(until) {
		until = d
	}
	c.at(until, timer{kind: timerWait, key: key, round: j.round})
	if c.large(&j.work) {
		c.watch(j.queue)
	}
}

// lastStart is the time after which the work can't make its deadline, or zero.
func (c *Core) lastStart(j *job) time.Time {
	if j.work.Deadline.IsZero() {
		return time.Time{}
	}
	return j.work.Deadline.Add(-c.leastRun(&j.work))
}

// waitPassed answers for work that waited its longest, or can't make its
// deadline any more.
func (c *Core) waitPassed(t timer) {
	j, ok := c.jobs[t.key]
	if !ok || j.round != t.round {
		return
	}
	switch j.state {
	case jobReclaiming:
		c.dropPlan(j)
	case jobWaiting:
	default:
		return
	}
	why, after := model.ReasonWaitBound, waitRetryAfter
	if d := j.work.Deadline; !d.IsZero() && !d.After(c.now) {
		why, after = model.ReasonDeadline, 0
	} else if d := c.lastStart(j); !d.IsZero() && !d.After(c.now) {
		why, after = model.ReasonTooLate, 0
	}
	c.giveUp(j, why, after)
}
