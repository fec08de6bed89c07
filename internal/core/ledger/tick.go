package ledger

import (
	"slices"
	"time"

	"coltsfootmux/internal/model"
)

// tick retries, asks again, ends what is past its deadline, and forgets.
func (c *Core) tick(now time.Time) {
	if c.cfg == nil {
		return
	}
	for _, e := range slices.Clone(c.live) {
		if e.verdict != nil && c.held(now, c.group(e.group)) {
			c.finish(now, e, *e.verdict)
			continue
		}
		c.dispatch(now, e)
		if e.live() && !c.timeLeft(now, e) {
			c.overdue(now, e)
		}
		if e.state == asking && now.Sub(e.askedAt) >= askEvery {
			c.ask(now, e)
		}
	}
	c.forget(now)
}

// overdue ends work whose deadline has passed: what was not sent did not run;
// what was sent is asked about once more.
func (c *Core) overdue(now time.Time, e *entry) {
	if e.unsent() {
		if e.verdict == nil {
			c.withdraw(e)
			c.giveUp(now, e, model.ReasonDeadline, 0)
		}
		return
	}
	if e.lastAsk.IsZero() {
		e.lastAsk = now
		if e.state == sent {
			e.state, e.doubt = asking, model.ReasonDeadline
		}
		c.ask(now, e)
		return
	}
	if now.Sub(e.lastAsk) >= askGrace {
		c.finish(now, e, model.Result{Outcome: model.OutcomeUnknown, Reason: model.ReasonDeadline})
	}
}

// forget drops outcomes past their retention, and the oldest when there are too
// many. What is dropped early widens its group's gap, so that its key is answered
// unknown and never run again.
func (c *Core) forget(now time.Time) {
	keep := c.defaults().KeyRetention.D() + c.defaults().CallerSkew.D()
	if len(c.last) > c.keepKeys {
		clear(c.last)
	}
	n := 0
	for n < len(c.ended) {
		e := c.ended[n]
		early := now.Sub(e.endedAt) < keep
		if early && len(c.ended)-n <= c.keepKeys && c.bytes <= c.keepBytes {
			break
		}
		if early && e.state == ended {
			c.widen(e)
		}
		c.bytes -= e.size()
		if c.keys[e.key] == e {
			delete(c.keys, e.key)
		}
		n++
	}
	c.ended = slices.Delete(c.ended, 0, n)
}

func (c *Core) widen(e *entry) {
	g := c.group(e.group)
	until := e.endedAt
	if made, ok := keyTime(e.key); ok {
		until = made
	}
	if until.After(g.gap) {
		g.gap = until
	}
}
