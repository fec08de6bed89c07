package cell

import (
	"slices"
	"time"

	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
)

// hold asks each worker that needs it for its lists.
func (c *Core) hold() {
	now := c.now.Mono
	contacts, leftOut := c.contacts(), false
	for _, w := range c.holdOrder() {
		if w.probe && w.probeIssue == 0 {
			w.probe = false
			w.probeIssue = c.sendHold(w, 0)
			continue
		}
		if w.holdIssue != 0 || now < w.holdNext || !c.needsHold(w) {
			continue
		}
		if c.ackPending(w) {
			continue
		}
		if !w.fenced {
			if contacts >= c.contact.Size() {
				if !leftOut {
					leftOut, c.holdFirst = true, w.ID
				}
				continue
			}
			contacts++
		}
		wait := maxHoldWait
		if !w.fenced || w.holdFails > 0 || len(w.runs) == 0 {
			wait = 0
		}
		if w.isUrgent() {
			wait = min(wait, maxUrgentHoldWait)
		}
		if w.hasMixedLoad() {
			wait = min(wait, maxMixedHoldWait)
		}
		w.asked, w.askedWait, w.overdue = now, wait, 0
		w.holdIssue = c.sendHold(w, wait)
	}
	if !leftOut {
		c.holdFirst = ""
	}
}

// contacts counts the workers that are asked for the first time in this term.
func (c *Core) contacts() int {
	n := 0
	for _, w := range c.fleet {
		if w.holdIssue != 0 && !w.fenced {
			n++
		}
	}
	return n
}

// holdOrder gives the workers from the one that was left out last, so that
// silent ones don't keep others from being asked.
func (c *Core) holdOrder() []*worker {
	at := c.fleetIndex(c.holdFirst)
	if at == 0 || at == len(c.fleet) {
		return c.fleet
	}
	return slices.Concat(c.fleet[at:], c.fleet[:at])
}

// ackPending says whether a hold would do better to wait for a commit: the
// worker would list the same ends again.
func (c *Core) ackPending(w *worker) bool {
	if w.ack == w.processed || !w.fenced || w.holdFails > 0 {
		return false
	}
	return c.now.Mono < w.holdNext+maxAckWait
}

// needsHold says whether a worker has to be asked: it has not answered yet,
// something runs there, or ends can be acknowledged.
func (c *Core) needsHold(w *worker) bool {
	if len(w.runs) > 0 {
		return true
	}
	if !w.fenced || w.holdFails > 0 {
		return w.listed || w.inherited
	}
	return w.ack > w.ackSent
}

// sendHold asks a worker for its lists and gives the hold's number.
func (c *Core) sendHold(w *worker, wait time.Duration) int64 {
	c.issued++
	o := external.HoldOrder{Call: c.call(w), Wait: wait}
	// Numbers of ends begin anew with each life of a worker. Only one that was
	// heard just now is sure to be in the life that they were read in.
	if w.holdFails == 0 && c.now.Mono-w.heard <= maxAckAge {
		o.Acknowledge = w.ack
	}
	// A worker that does not answer is not asked for a new lease: the last one
	// has to lapse some time.
	if w.fenced && len(w.runs) > 0 && w.holdFails == 0 {
		o.Until = c.lease(w)
	}
	w.ackSent = o.Acknowledge
	c.act(Hold{Order: o, Issue: c.issued})
	return c.issued
}

func (c *Core) call(w *worker) external.Call {
	return external.Call{Worker: w.ID, Addr: w.Addr, Fence: c.term}
}

// lease gives the end of a lease that begins now, on the worker's clock, and
// remembers when it has certainly lapsed.
func (c *Core) lease(w *worker) time.Duration {
	now := c.now.Mono
	until := w.clockNow(now) + c.settings.Lease
	w.leaseEnd = max(w.leaseEnd, w.lapseAt(now, until))
	return until.Truncate(time.Millisecond)
}

// listed takes a worker's lists in.
func (c *Core) listed(ev Listed) {
	w := c.workers[ev.Worker]
	if w == nil {
		return
	}
	now := c.now.Mono
	c.settleHold(w, ev)
	switch {
	case ev.Failure == FailureFenced:
		c.act(Deposed{Worker: w.ID})
		w.holdNext = now + holdRetryDelay
		return
	case ev.Failure == FailureGone && !w.listed && !w.fenced:
		c.dropWorker(w) // its entry is gone and so is its process
		c.changed = true
		return
	case ev.Failure != FailureNone && ev.Issue < w.heardIssue:
		return // answered a later one
	case ev.Failure != FailureNone || ev.Lists.Refusal != external.RefusedNone:
		c.holdFailed(w, ev)
		return
	}
	if ev.Lists.BornMS != 0 && ev.Lists.BornMS < w.born {
		return // from an earlier life
	}
	c.answered(w, ev.Issue, ev.Lists)
	c.takeEnds(w, ev.Lists.Ended)
	c.takeRunning(w, ev.Lists.Running)
	c.takeMissing(w, ev.Issue, ev.Lists)
	c.pace(w)
}

func (c *Core) holdFailed(w *worker, ev Listed) {
	now := c.now.Mono
	if w.holdFails == 0 {
		w.firstFail = now
		c.act(WorkerNoted{Worker: w.ID, Note: "no answer", Runs: len(w.runs)})
	}
	w.holdFails++
	w.ackSent = 0 // what the hold acknowledged may not have arrived
	w.holdNext = now + holdRetryDelay
	c.changed = true
}

// answered notes a sign of life and what it says about the worker's life.
func (c *Core) answered(w *worker, issue int64, l external.Lists) {
	if w.holdFails > 0 {
		w.holdFails = 0
		c.changed = true
		c.act(WorkerNoted{Worker: w.ID, Note: "answers again", Runs: len(w.runs)})
	}
	w.heard, w.heardIssue = c.now.Mono, max(w.heardIssue, issue)
	if l.BornMS != 0 && w.born != 0 && l.BornMS != w.born {
		c.reborn(w, issue)
	}
	if l.BornMS != 0 {
		w.born = l.BornMS
	}
	c.setClock(w, l.Clock)
	if !w.fenced {
		w.fenced = true
		c.changed = true
		c.contact.Answered(c.now.Mono - w.asked)
	}
}

// setClock keeps the worker's clock; an older reading never sets it back.
func (c *Core) setClock(w *worker, clock time.Duration) {
	if clock <= 0 {
		return
	}
	if w.clock == 0 || clock > w.clockNow(c.now.Mono) || c.now.Mono-w.clockAt > time.Second {
		w.clock, w.clockAt = clock, c.now.Mono
	}
}

// reborn ends everything of a worker's earlier life. A start that was under way
// when the lists of the new life were made may have reached that life; it is in
// doubt.
func (c *Core) reborn(w *worker, issue int64) {
	c.act(WorkerNoted{Worker: w.ID, Note: "started anew", Runs: len(w.runs)})
	w.fenced = false
	w.life++
	w.clock, w.processed, w.ack, w.ackSent, w.leaseEnd = 0, 0, 0, 0, 0
	w.born = 0
	for _, r := range slices.Clone(w.runs) {
		if r.began != 0 && r.settled(issue) {
			c.endRun(r, EndedLost, "")
			continue
		}
		r.mark, r.stopAcked, w.probe = c.issued, 0, true
		if r.state != runStopping {
			c.enterDoubt(r)
		}
	}
	w.holdNext = c.now.Mono
}

// takeEnds takes in each end once, in the order of their numbers.
func (c *Core) takeEnds(w *worker, ends []external.End) {
	for _, e := range ends {
		if e.Number <= w.processed {
			continue
		}
		w.processed = e.Number
		r := w.find(e.Task, e.Run)
		if r == nil {
			c.strayEnd(w, e)
			continue
		}
		c.endRun(r, e.How, e.Saved)
	}
}

// strayEnd takes in the end of a run that this owner did not know to be there.
func (c *Core) strayEnd(w *worker, e external.End) {
	u := c.unitOf(e.Task)
	if u == nil || u.state == unitDone {
		return
	}
	if e.Saved != "" && u.checkpoint == "" {
		u.checkpoint = e.Saved
		c.markDirty(u.entry())
	}
	switch e.How {
	case external.EndedDone:
		if u.group.step.LongRunning {
			return
		}
		c.finishUnit(u)
		for _, r := range slices.Clone(u.runs) {
			c.stop(r, ReasonDone)
		}
	case external.EndedFailed:
		c.countFailure(u, e.Run)
	}
}

// takeRunning takes in what runs on a worker.
func (c *Core) takeRunning(w *worker, rows []external.Running) {
	now := c.now.Mono
	for _, row := range rows {
		r := w.find(row.Task, row.Run)
		if r == nil {
			r = c.adopt(w, row)
		}
		r.missing, r.listedAt, r.figure = 0, now, row.Figure
		if row.Percent != r.percent || r.moved == 0 {
			r.percent, r.moved = row.Percent, now
			if now-r.since >= minProgressAge {
				c.gotOn(r)
			}
		}
		if row.Saved != "" {
			r.saved = row.Saved
		}
		if r.state == runStarting || r.state == runDoubt {
			r.state = runRunning
			r.mark = c.issued
			r.began = now
		}
		c.settleDoubt(r, SettledRunning)
		c.checkRun(r)
	}
}

// adopt takes over a run that an earlier owner ordered, or stops it when its
// task needs no run.
func (c *Core) adopt(w *worker, row external.Running) *run {
	u := c.unitOf(row.Task)
	r := &run{
		task: row.Task, number: row.Run, worker: w, state: runRunning,
		since: c.now.Mono, began: c.now.Mono, mark: c.issued, moved: c.now.Mono, percent: row.Percent, resumed: true, pace: fullPace,
	}
	if u != nil {
		r.takes = u.group.step.Resources()
	}
	w.leaseEnd = max(w.leaseEnd, c.now.Mono+time.Duration(float64(c.settings.Lease)*clockSlack)+leaseMargin)
	switch {
	case u == nil:
		r.attach()
		c.stop(r, ReasonOrphan)
	case u.state == unitDone || u.entry().outcome != 0 || c.isOlder(u, row.Run):
		r.attach()
		c.stop(r, ReasonDone)
	default:
		r.unit = u
		u.entry().started = true
		u.lastRunNumber = max(u.lastRunNumber, row.Run)
		c.dropPlan(u)
		r.attach()
		c.changed = true
	}
	return r
}

// isOlder says whether a later run of the unit is known, so that this one is a remnant.
func (c *Core) isOlder(u *unit, number int64) bool {
	for _, r := range u.runs {
		if r.number > number || (r.number == number && u.size == 1) {
			return true
		}
	}
	return number < u.lastRunNumber
}

// takeMissing decides on runs that a list should show and does not.
func (c *Core) takeMissing(w *worker, issue int64, l external.Lists) {
	shown := make(map[*run]bool, len(l.Running))
	for _, row := range l.Running {
		shown[w.find(row.Task, row.Run)] = true
	}
	for _, r := range slices.Clone(w.runs) {
		if shown[r] || !r.settled(issue) {
			continue
		}
		switch r.state {
		case runDoubt:
			c.stop(r, ReasonDoubt)
		case runRunning:
			r.missing++
			if r.missing >= maxMissingLists {
				c.endRun(r, EndedLost, r.saved)
			}
		case runStopping:
			if r.stopAcked != 0 {
				c.endRun(r, EndedBarred, "")
			}
		}
	}
}

// unitOf gives the unit of a task of a known job, or nil.
func (c *Core) unitOf(t job.TaskID) *unit {
	e := c.jobs[t.Job]
	if e == nil {
		return nil
	}
	for _, o := range e.occurrences {
		if o.index == t.Occurrence {
			return o.unit(t.Step, t.Index)
		}
	}
	return nil
}
