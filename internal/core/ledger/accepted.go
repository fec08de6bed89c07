package ledger

import (
	"time"

	"coltsfootmux/internal/model"
)

// Refusal gives the answer to a job that may not be accepted, because its key is
// no good here. The job is not to be recorded then.
func (c *Core) Refusal(now time.Time, w *model.Work) (model.Result, bool) {
	if c.cfg == nil || c.keys[w.Key] != nil {
		return model.Result{}, false
	}
	return c.refuse(now, c.group(c.routes.Group(w.Key)), w)
}

// accepted goes on with a recorded job. What may have run before a gap in the
// history is not run again; its outcome is unknown.
func (c *Core) accepted(now time.Time, a Accepted) {
	if c.cfg == nil {
		return
	}
	g := c.group(c.routes.Group(a.Work.Key))
	if !g.owned {
		return
	}
	s := Submitted{Work: a.Work, Sum: a.Sum}
	if e := c.keys[a.Work.Key]; e != nil {
		c.rejoin(now, e, s)
		return
	}
	gap := !a.Work.Idempotent && c.mayHaveRun(now, g, a.Work.Key)
	e := c.add(now, g, s)
	e.waiters = nil
	if gap {
		c.finish(now, e, model.Result{Outcome: model.OutcomeUnknown, Reason: model.ReasonHistoryGap})
		return
	}
	c.dispatch(now, e)
}

// rejoin gives an entry that was only seen on workers its work.
func (c *Core) rejoin(now time.Time, e *entry, s Submitted) {
	if !e.live() || e.hasWork {
		return
	}
	e.work, e.hasWork = s.Work, true
	e.sum, e.hasSum = s.Sum, true
	e.deadline = s.Work.Deadline
	c.dispatch(now, e)
}
