package ledger

import (
	"time"

	"coltsfootmux/internal/model"
)

// cancelled ends work at its account's wish. It is acknowledged when nothing of
// the work can start any more.
func (c *Core) cancelled(now time.Time, ev Cancelled) {
	if c.cfg == nil {
		c.do(AnswerCancel{Waiter: ev.Waiter, Moved: true})
		return
	}
	g := c.group(c.routes.Group(ev.Key))
	if !g.owned {
		c.do(AnswerCancel{Waiter: ev.Waiter, Moved: true})
		return
	}
	e := c.keys[ev.Key]
	if e == nil {
		e = c.addCancelled(now, g, ev)
	}
	if e.account != ev.Account {
		c.do(AnswerCancel{Waiter: ev.Waiter, Reason: model.ReasonUnknownAccount})
		return
	}
	if e.state == ended {
		c.do(AnswerCancel{
			Waiter: ev.Waiter,
			Done:   e.result.Outcome == model.OutcomeNotRun,
			Reason: e.result.Reason,
		})
		return
	}
	e.cancels = append(e.cancels, ev.Waiter)
	c.stop(now, e)
}

// addCancelled bars a key whose request has not come yet.
func (c *Core) addCancelled(now time.Time, g *group, ev Cancelled) *entry {
	e := &entry{key: ev.Key, group: g.id, account: ev.Account, cancelled: true, notBefore: now}
	e.mayHaveRun = c.mayHaveRun(now, g, ev.Key)
	c.keys[e.key] = e
	c.live = append(c.live, e)
	return e
}

func (c *Core) stop(now time.Time, e *entry) {
	first := !e.cancelled
	e.cancelled = true
	if e.unsent() {
		c.withdraw(e)
		c.giveUp(now, e, model.ReasonCancelled, 0)
		return
	}
	if first {
		c.do(Withdraw{e.key})
	}
}
