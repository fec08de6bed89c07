package ledger

import (
	"cmp"
	"slices"
	"time"

	"coltsfootmux/internal/model"
)

// groupGained lets keyed work of a group start, after what is known of its past
// has been taken in.
func (c *Core) groupGained(now time.Time, ev GroupGained) {
	g := c.group(ev.Group)
	raised := g.epoch != ev.Epoch
	g.owned, g.held, g.epoch, g.gap = true, true, ev.Epoch, ev.Gap
	if !ev.Unbroken {
		c.dropLive(g)
	}
	for _, o := range ev.Outcomes {
		c.adoptOutcome(now, g, o)
	}
	c.adoptFound(now, g, ev.Found)
	for _, e := range slices.Clone(c.live) {
		if e.group == g.id && e.unsent() {
			c.resume(now, e, raised)
		}
	}
}

// resume goes on with work that was not sent before the holds lapsed. Starts
// must carry the group's epoch, so that what placement has is handed to it anew
// when the epoch was raised.
func (c *Core) resume(now time.Time, e *entry, raised bool) {
	if raised && e.state == dispatched {
		c.withdraw(e)
		e.state = waiting
		e.redone++
	}
	if e.verdict != nil {
		c.finish(now, e, *e.verdict)
		return
	}
	c.dispatch(now, e)
}

// dropLive forgets the group's work that is not done. Another owner may have run
// it in between, so that traces and verdicts of an earlier tenure prove nothing:
// what runs is found again by the scan, and callers offer the rest again.
func (c *Core) dropLive(g *group) {
	for _, e := range c.live {
		if e.group == g.id && e.live() {
			c.moveWaiters(e)
			c.drop(e)
		}
	}
	for _, e := range c.ended {
		if e.group == g.id && e.state == ended && e.result.Outcome != model.OutcomeDone {
			c.drop(e)
		}
	}
}

func (c *Core) drop(e *entry) {
	c.withdraw(e)
	e.state = dropped
	c.liveChange = true
	delete(c.keys, e.key)
	if e.attempt > 0 {
		// An attempt that is forgotten here may still ask elsewhere whether it may
		// begin; it must not be taken for the next one of its key.
		c.last[e.key] = max(c.last[e.key], e.attempt)
	}
}

// adoptOutcome takes in an outcome that the log kept. Only done is for good: a
// key that one owner called not_run may have been run by the next.
func (c *Core) adoptOutcome(now time.Time, g *group, o Recorded) {
	if o.Result.Outcome != model.OutcomeDone {
		return
	}
	old := c.keys[o.Result.Key]
	if old != nil {
		if old.live() {
			c.withdraw(old)
			c.finish(now, old, o.Result)
		}
		return
	}
	e := &entry{
		key:     o.Result.Key,
		group:   g.id,
		account: o.Account,
		sum:     o.Sum,
		// An owner that only found the work running did not know its sum.
		hasSum:  o.Sum != 0,
		state:   ended,
		result:  o.Result,
		endedAt: o.At,
	}
	c.keys[e.key] = e
	c.ended = append(c.ended, e)
	c.bytes += e.size()
}

func (c *Core) workerJoined(now time.Time, ev WorkerJoined) {
	g := c.group(ev.Group)
	if !g.owned {
		return
	}
	g.gap = ev.Gap
	c.adoptFound(now, g, ev.Found)
}

// adoptFound takes in work that was found on workers. A lease that never started
// there tells nothing: the fence refuses its start for good.
func (c *Core) adoptFound(now time.Time, g *group, found []Found) {
	found = slices.DeleteFunc(slices.Clone(found), func(f Found) bool {
		return f.Label.Group != g.id || f.Label.Key == "" || (!f.Started && f.Ending == nil)
	})
	slices.SortStableFunc(found, func(a, b Found) int {
		return cmp.Or(
			cmp.Compare(a.Label.Key, b.Label.Key),
			cmp.Compare(a.Label.Attempt, b.Label.Attempt),
			cmp.Compare(a.Label.Member, b.Label.Member),
			cmp.Compare(a.Worker, b.Worker),
		)
	})
	var touched []*entry
	for _, f := range found {
		if e := c.adopt(now, g, f); e != nil && !slices.Contains(touched, e) {
			touched = append(touched, e)
		}
	}
	for _, e := range touched {
		if e.live() {
			c.ask(now, e)
		}
	}
}

// adopt notes one trace. Of idempotent work only the latest attempt is followed.
func (c *Core) adopt(now time.Time, g *group, f Found) *entry {
	e := c.keys[f.Label.Key]
	if e == nil {
		e = &entry{
			key:        f.Label.Key,
			group:      g.id,
			account:    f.Label.Account,
			kind:       f.Label.Kind,
			members:    f.Label.Members,
			idempotent: f.Label.Idempotent,
			detached:   f.Label.Detached,
		}
		c.keys[e.key] = e
		c.live = append(c.live, e)
	}
	if !e.live() || e.idempotent && f.Label.Attempt < e.attempt {
		return nil
	}
	if e.unsent() {
		c.withdraw(e)
	}
	if f.Label.Attempt > e.attempt {
		e.mayHaveRun = e.mayHaveRun || len(e.traces) > 0
		e.traces = nil
	}
	e.attempt, e.state, e.verdict = max(e.attempt, f.Label.Attempt), asking, nil
	if e.doubt == "" {
		e.doubt = model.ReasonOwnerLost
	}
	t := e.trace(Trace{Worker: f.Worker, Lease: f.Lease})
	if t == nil {
		t = &trace{Trace: Trace{Worker: f.Worker, Cell: f.Cell, Lease: f.Lease}}
		e.traces = append(e.traces, t)
	}
	if f.Ending != nil {
		t.ending = f.Ending
	}
	return e
}

// groupLost hands every waiter on to the group's owner. What was sent stays
// noted; what was not is taken back.
func (c *Core) groupLost(ev GroupLost) {
	g := c.group(ev.Group)
	g.owned, g.held = false, false
	for _, e := range c.live {
		if e.group == g.id {
			c.moveWaiters(e)
			c.leave(e)
		}
	}
}

func (c *Core) moveWaiters(e *entry) {
	for _, w := range e.waiters {
		c.do(Moved{Waiter: w})
	}
	for _, w := range e.cancels {
		c.do(AnswerCancel{Waiter: w, Moved: true})
	}
	e.waiters, e.cancels = nil, nil
}

// leave takes back what was not sent. The rest is asked about if the group comes
// back to this scheduler.
func (c *Core) leave(e *entry) {
	if !e.unsent() {
		e.state = asking
		if e.doubt == "" {
			e.doubt = model.ReasonOwnerLost
		}
		return
	}
	c.drop(e)
}

func (c *Core) withdraw(e *entry) {
	if e.state == dispatched {
		c.do(Withdraw{e.key})
	}
}
