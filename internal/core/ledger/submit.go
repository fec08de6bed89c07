package ledger

import (
	"slices"
	"time"

	"coltsfootmux/internal/model"
)

// submitted takes a request in: a repeat joins what is known of its key, and a
// new one is handed to placement when it provably has not run.
func (c *Core) submitted(now time.Time, s Submitted) {
	if c.cfg == nil {
		c.do(Moved{Waiter: s.Waiter})
		return
	}
	g := c.group(c.routes.Group(s.Work.Key))
	if !g.owned {
		c.do(Moved{Waiter: s.Waiter})
		return
	}
	if s.Epoch != 0 && s.Epoch != g.epoch {
		c.do(Moved{Waiter: s.Waiter, Epoch: g.epoch})
		return
	}
	if e := c.keys[s.Work.Key]; e != nil {
		c.repeated(now, e, s)
		return
	}
	if r, refused := c.refuse(now, g, &s.Work); refused {
		c.do(Reply{s.Waiter, r})
		return
	}
	e := c.add(now, g, s)
	c.dispatch(now, e)
}

// refuse says why a key that the ledger does not know may not run.
func (c *Core) refuse(now time.Time, g *group, w *model.Work) (model.Result, bool) {
	d := c.defaults()
	made, timed := keyTime(w.Key)
	r := model.Result{Key: w.Key, Outcome: model.OutcomeUnknown}
	switch skew := d.CallerSkew.D(); {
	case timed && made.After(now.Add(2*skew)):
		// No scheduler whose clock is within the skew of ours took it either.
		r.Outcome, r.Reason = model.OutcomeNotRun, model.ReasonKeyFromFuture
	case timed && made.After(now.Add(skew)):
		r.Reason, r.RetryAfter = model.ReasonKeyFromFuture, made.Sub(now.Add(skew))
	case timed && made.Before(now.Add(-d.KeyRetention.D())):
		// It may have run long ago; that is forgotten.
		r.Reason = model.ReasonKeyExpired
	case !w.Idempotent && c.mayHaveRun(now, g, w.Key):
		r.Reason = model.ReasonHistoryGap
	default:
		return r, false
	}
	return r, true
}

// mayHaveRun says that an unknown key can't be proved new: it may have been made
// before the end of a gap in the group's history.
func (c *Core) mayHaveRun(now time.Time, g *group, k model.Key) bool {
	if g.gap.IsZero() {
		return false
	}
	d := c.defaults()
	if made, ok := keyTime(k); ok {
		return !made.Add(-d.CallerSkew.D()).After(g.gap)
	}
	return now.Sub(g.gap) < d.KeyRetention.D()+d.CallerSkew.D()
}

func (c *Core) add(now time.Time, g *group, s Submitted) *entry {
	w := s.Work
	e := &entry{
		key:        w.Key,
		group:      g.id,
		account:    w.Account,
		kind:       w.Kind,
		members:    w.Members,
		idempotent: w.Idempotent,
		detached:   w.Detached,
		sum:        s.Sum,
		hasSum:     true,
		work:       w,
		hasWork:    true,
		deadline:   w.Deadline,
		waiters:    []Waiter{s.Waiter},
		notBefore:  now,
		mayHaveRun: c.mayHaveRun(now, g, w.Key),
	}
	c.keys[e.key] = e
	c.live = append(c.live, e)
	return e
}

// repeated joins a repeat to what is known of its key.
func (c *Core) repeated(now time.Time, e *entry, s Submitted) {
	if e.account != s.Work.Account || (e.hasSum && e.sum != s.Sum) {
		c.do(Reply{s.Waiter, model.Result{
			Key:     s.Work.Key,
			Outcome: model.OutcomeNotRun,
			Reason:  model.ReasonKeyReused,
		}})
		return
	}
	if !e.hasSum {
		e.sum, e.hasSum = s.Sum, true
	}
	if e.state == ended {
		c.repeat(now, e, s.Waiter)
		return
	}
	if !slices.Contains(e.waiters, s.Waiter) {
		e.waiters = append(e.waiters, s.Waiter)
	}
	if !e.hasWork {
		e.work, e.hasWork = s.Work, true
	}
	if s.Work.Deadline.After(e.deadline) {
		e.deadline, e.lastAsk = s.Work.Deadline, time.Time{}
	}
	c.dispatch(now, e)
}

// repeat tells a recorded outcome. A not_run is ours to repeat while the group is
// held: another owner may have run the key since.
func (c *Core) repeat(now time.Time, e *entry, w Waiter) {
	if e.result.Outcome == model.OutcomeNotRun && !c.held(now, c.group(e.group)) {
		c.do(Moved{Waiter: w})
		return
	}
	c.do(Reply{w, e.result})
}

// dispatch hands waiting work to placement once its group's holds allow it.
func (c *Core) dispatch(now time.Time, e *entry) {
	g := c.group(e.group)
	if e.state != waiting || !c.held(now, g) || !e.hasWork || e.verdict != nil || now.Before(e.notBefore) {
		return
	}
	if !e.deadline.IsZero() && !now.Before(e.deadline) {
		c.giveUp(now, e, model.ReasonDeadline, 0)
		return
	}
	e.state = dispatched
	e.attempt = max(e.attempt, c.last[e.key]) + 1
	e.traces = nil
	c.do(Dispatch{Work: e.work, Group: e.group, GroupEpoch: g.epoch, Attempt: e.attempt})
}

func (c *Core) waiterGone(w WaiterGone) {
	for _, e := range c.live {
		e.waiters = slices.DeleteFunc(e.waiters, func(x Waiter) bool { return x == w.Waiter })
		e.cancels = slices.DeleteFunc(e.cancels, func(x Waiter) bool { return x == w.Waiter })
	}
}
