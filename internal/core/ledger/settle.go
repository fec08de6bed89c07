package ledger

import (
	"time"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
)

// ask asks every worker that may have a trace of the attempt and has not told.
func (c *Core) ask(now time.Time, e *entry) {
	e.askedAt = now
	g := c.group(e.group)
	if !g.owned {
		return
	}
	for _, t := range e.traces {
		if t.open() {
			c.do(Ask{Key: e.key, Attempt: e.attempt, Group: e.group, Epoch: g.epoch, Trace: t.Trace})
		}
	}
	c.settle(now, e)
}

func (c *Core) settled(now time.Time, s Settled) {
	e := c.current(s.Key, s.Attempt)
	if e == nil || e.state != asking {
		return
	}
	t := e.trace(s.Trace)
	if t == nil || !s.Clear || !t.open() {
		return
	}
	t.running = s.Running
	switch {
	case s.Ending != nil:
		t.ending = s.Ending
	case s.Barred && now.Add(-s.Since).After(t.begun):
		// The worker began after the start was sent, and forgot what it ran.
		t.forgotten = true
	case s.Barred:
		t.barred = true
	}
	c.settle(now, e)
}

// settle draws the conclusion once every trace has told.
func (c *Core) settle(now time.Time, e *entry) {
	if len(e.traces) == 0 {
		return
	}
	var barred, forgotten int
	for _, t := range e.traces {
		switch {
		case t.open():
			return
		case t.barred:
			barred++
		case t.forgotten:
			forgotten++
		}
	}
	switch {
	case barred == len(e.traces):
		c.provenNotRun(now, e)
	case forgotten > 0:
		c.forgot(now, e)
	default:
		c.conclude(now, e, barred > 0)
	}
}

func (c *Core) provenNotRun(now time.Time, e *entry) {
	e.traces = nil
	if c.retry(now, e, e.doubt) {
		return
	}
	c.giveUp(now, e, e.doubt, 0)
}

// forgot ends work of which a worker lost the memory.
func (c *Core) forgot(now time.Time, e *entry) {
	if e.idempotent && !e.cancelled && c.attemptsLeft(e) && c.timeLeft(now, e) {
		e.mayHaveRun = true
		c.again(now, e)
		return
	}
	c.finish(now, e, model.Result{Outcome: model.OutcomeUnknown, Reason: model.ReasonWorkerLost})
}

// conclude makes a result of the endings of all members.
func (c *Core) conclude(now time.Time, e *entry, partly bool) {
	r := model.Result{Outcome: model.OutcomeDone, Reason: model.ReasonOK}
	if partly {
		r.Failed, r.Reason = true, model.ReasonGangIncomplete
	}
	for _, t := range e.traces {
		if t.ending == nil {
			continue
		}
		if why := endReason(t.ending.State); why != model.ReasonOK && !r.Failed {
			r.Failed, r.Reason = true, why
		}
		if t.ending.Label.Member == 0 {
			r.Answer = t.ending.Answer
		}
	}
	if r.Failed && e.cancelled {
		r.Reason = model.ReasonCancelled
	}
	if r.Failed && r.Reason != model.ReasonTaskFailed && c.retry(now, e, r.Reason) {
		e.mayHaveRun = true
		return
	}
	c.finish(now, e, r)
}

// endReason gives the reason that goes with how a task ended.
func endReason(s platform.EndState) model.Reason {
	switch s {
	case platform.EndDone:
		return model.ReasonOK
	case platform.EndLapsed:
		return model.ReasonLeaseLapsed
	case platform.EndStopped, platform.EndCheckpointed:
		return model.ReasonPreempted
	}
	return model.ReasonTaskFailed
}
