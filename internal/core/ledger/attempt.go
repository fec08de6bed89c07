package ledger

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"coltsfootmux/internal/model"
)

// current finds the live entry that an event about an attempt is for.
func (c *Core) current(k model.Key, attempt int) *entry {
	e := c.keys[k]
	if e == nil || !e.live() || e.attempt != attempt {
		return nil
	}
	return e
}

// begun notes where the attempt may leave traces from now on.
func (c *Core) begun(now time.Time, b Begun) {
	e := c.current(b.Key, b.Attempt)
	if e == nil {
		return
	}
	e.state = sent
	for _, p := range b.Parts {
		if e.trace(p) == nil {
			e.traces = append(e.traces, &trace{Trace: p, begun: now})
		}
	}
}

// answered takes a whole answer. It also settles a key that was told unknown.
func (c *Core) answered(now time.Time, a Answered) {
	e := c.keys[a.Key]
	if e == nil || e.state == dropped {
		return
	}
	if e.state != ended {
		if e.attempt == a.Attempt && a.Result.Failed && c.retry(now, e, a.Result.Reason) {
			e.mayHaveRun = true
			return
		}
		c.finish(now, e, a.Result)
		return
	}
	if e.result.Outcome == model.OutcomeUnknown && a.Result.Outcome == model.OutcomeDone {
		c.bytes += len(a.Result.Answer) - len(e.result.Answer)
		e.result = a.Result
		e.result.Key = e.key
		c.record(now, e)
	}
}

// notRun takes the proof that an attempt did not run.
func (c *Core) notRun(now time.Time, n NotRun) {
	e := c.current(n.Key, n.Attempt)
	if e == nil {
		return
	}
	e.traces = nil
	if c.hold(now, e, n.Reason) || c.retry(now, e, n.Reason) {
		return
	}
	c.giveUp(now, e, n.Reason, n.RetryAfter)
}

// unclear takes the doubt about an attempt. Idempotent work is tried again;
// other work is asked about and never sent again.
func (c *Core) unclear(now time.Time, u Unclear) {
	e := c.current(u.Key, u.Attempt)
	if e == nil || e.state == asking {
		return
	}
	if e.state == dispatched && !e.cancelled && c.timeLeft(now, e) {
		// Nothing was begun, and MayBegin refuses this attempt from now on.
		e.redone++
		c.again(now, e)
		return
	}
	e.doubt = u.Reason
	if e.idempotent && !e.cancelled && c.attemptsLeft(e) && c.timeLeft(now, e) {
		e.mayHaveRun = true
		c.again(now, e)
		return
	}
	e.state = asking
	c.ask(now, e)
}

// hold keeps work that found no owner for its cells, or whose epochs the workers
// refused. Nothing of the attempt started, so it does not count, not even for
// non-idempotent work.
func (c *Core) hold(now time.Time, e *entry, why model.Reason) bool {
	noOwner := why == model.ReasonNoOwner && e.state == dispatched
	if !noOwner && why != model.ReasonOwnerLost || e.cancelled || !c.timeLeft(now, e) {
		return false
	}
	e.redone++
	c.again(now, e)
	return true
}

// retry sends idempotent work again when another try may help.
func (c *Core) retry(now time.Time, e *entry, why model.Reason) bool {
	if !e.idempotent || e.cancelled || !transient(why) || !c.attemptsLeft(e) || !c.timeLeft(now, e) {
		return false
	}
	c.again(now, e)
	return true
}

// transient says that the reason lies in a worker or link, not in the work.
func transient(r model.Reason) bool {
	switch r {
	case model.ReasonOwnerLost, model.ReasonWorkerLost, model.ReasonLeaseLapsed,
		model.ReasonLinkLost, model.ReasonRefused, model.ReasonPreempted:
		return true
	}
	return false
}

func (c *Core) attemptsLeft(e *entry) bool {
	return e.hasWork && e.attempt-e.redone < c.defaults().MaxAttempts
}

func (c *Core) timeLeft(now time.Time, e *entry) bool {
	return e.deadline.IsZero() || now.Before(e.deadline)
}

// again makes the entry wait for its next attempt. The wait is spread by key, so
// that work which failed together does not come back together.
func (c *Core) again(now time.Time, e *entry) {
	base := retryBase << min(e.attempt, 10)
	spread := xxhash.Sum64String(string(e.key)) % uint64(base)
	e.state = waiting
	e.notBefore = now.Add(base/2 + time.Duration(spread))
}

// giveUp ends work of which the last attempt did not run.
func (c *Core) giveUp(now time.Time, e *entry, why model.Reason, after time.Duration) {
	r := model.Result{Outcome: model.OutcomeNotRun, Reason: why, RetryAfter: after}
	if e.cancelled {
		r.Reason, r.RetryAfter = model.ReasonCancelled, 0
	}
	if e.mayHaveRun {
		r.Outcome = model.OutcomeUnknown
	}
	if g := c.group(e.group); r.Outcome == model.OutcomeNotRun && !c.held(now, g) {
		// Another scheduler may own the key by now; it may run there.
		e.state, e.verdict = waiting, &r
		return
	}
	c.finish(now, e, r)
}

// finish makes an outcome final and tells everyone who waits for it.
func (c *Core) finish(now time.Time, e *entry, r model.Result) {
	r.Key = e.key
	e.result, e.endedAt, e.state = r, now, ended
	c.liveChange = true
	for _, w := range e.waiters {
		c.do(Reply{w, r})
	}
	for _, w := range e.cancels {
		c.do(AnswerCancel{Waiter: w, Done: r.Outcome == model.OutcomeNotRun, Reason: r.Reason})
	}
	e.waiters, e.cancels, e.traces, e.verdict = nil, nil, nil, nil
	e.work = model.Work{}
	c.ended = append(c.ended, e)
	c.bytes += e.size()
	c.record(now, e)
}

func (c *Core) record(now time.Time, e *entry) {
	c.do(Record{Recorded{Result: e.result, Account: e.account, Sum: e.sum, At: now}})
}
