package cell

import (
	"slices"
	"time"

	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
)

// sendHolds asks each worker that needs it for its lists.
func (c *Core) sendHolds() {
	now := c.now.Mono
	contacts, leftOut := c.firstContacts(), false
	for _, w := range c.contactSequence() {
		if w.probeDue && w.probeHold == 0 {
			w.probeDue = false
			w.probeHold = c.sendHold(w, 0)
			continue
		}
		if w.waitingHold != 0 || now < w.nextHoldAt || !c.needsHold(w) {
			continue
		}
		if c.shouldAwaitPersist(w) {
			continue
		}
		if !w.knowsTerm {
			if contacts >= c.contactWindow.Size() {
				if !leftOut {
					leftOut, c.nextContact = true, w.ID
				}
				continue
			}
			contacts++
		}
		wait := holdWait
		if !w.knowsTerm || w.holdFailures > 0 || len(w.runs) == 0 {
			wait = 0
		}
		if w.hasUrgentRun() {
			wait = min(wait, holdWaitUrgent)
		}
		if w.isShared() {
			wait = min(wait, paceHold)
		}
		w.holdSentAt, w.holdMaxWait, w.holdResends = now, wait, 0
		w.waitingHold = c.sendHold(w, wait)
	}
	if !leftOut {
		c.nextContact = ""
	}
}

// firstContacts counts the workers that are asked for the first time in this term.
func (c *Core) firstContacts() int {
	n := 0
	for _, w := range c.fleet {
		if w.waitingHold != 0 && !w.knowsTerm {
			n++
		}
	}
	return n
}

// contactSequence gives the workers from the one that was left out last, so that
// silent ones don't keep others from being asked.
func (c *Core) contactSequence() []*worker {
	at := c.fleetIndex(c.nextContact)
	if at == 0 || at == len(c.fleet) {
		return c.fleet
	}
	return slices.Concat(c.fleet[at:], c.fleet[:at])
}

// shouldAwaitPersist says whether a hold would do better to wait for a commit: the
// worker would list the same ends again.
func (c *Core) shouldAwaitPersist(w *worker) bool {
	if w.durableEnd == w.processedEnd || !w.knowsTerm || w.holdFailures > 0 {
		return false
	}
	return c.now.Mono < w.nextHoldAt+ackPause
}

// needsHold says whether a worker has to be asked: it has not answered yet,
// something runs there, or ends can be acknowledged.
func (c *Core) needsHold(w *worker) bool {
	if len(w.runs) > 0 {
		return true
	}
	if !w.knowsTerm || w.holdFailures > 0 {
		return w.listed || w.inherited
	}
	return w.durableEnd > w.ackedEnd
}

// sendHold asks a worker for its lists and gives the hold's number.
func (c *Core) sendHold(w *worker, wait time.Duration) int64 {
	c.lastHold++
	o := external.HoldOrder{Call: c.orderHeader(w), Wait: wait}
	// Numbers of ends begin anew with each life of a worker. Only one that was
	// heard just now is sure to be in the life that they were read in.
	if w.holdFailures == 0 && c.now.Mono-w.lastAnswerAt <= ackFresh {
		o.Acknowledge = w.durableEnd
	}
	// A worker that does not answer is not asked for a new lease: the last one
	// has to lapse some time.
	if w.knowsTerm && len(w.runs) > 0 && w.holdFailures == 0 {
		o.Until = c.grantLease(w)
	}
	w.ackedEnd = o.Acknowledge
	c.emit(Hold{Order: o, Number: c.lastHold})
	return c.lastHold
}

func (c *Core) orderHeader(w *worker) external.Call {
	return external.Call{Worker: w.ID, Addr: w.Addr, Fence: c.term}
}

// grantLease gives the end of a grantLease that begins now, on the worker's clock, and
// remembers when it has certainly lapsed.
func (c *Core) grantLease(w *worker) time.Duration {
	now := c.now.Mono
	until := w.estimatedClock(now) + c.settings.Lease
	w.leaseEnd = max(w.leaseEnd, w.leaseExpiry(now, until))
	return until.Truncate(time.Millisecond)
}

// holdAnswered takes a worker's lists in.
func (c *Core) holdAnswered(ev HoldAnswered) {
	w := c.workers[ev.Worker]
	if w == nil {
		return
	}
	now := c.now.Mono
	c.holdCompleted(w, ev)
	switch {
	case ev.Failure == FailureFenced:
		c.emit(Superseded{Worker: w.ID})
		w.nextHoldAt = now + holdRetry
		return
	case ev.Failure == FailureConnectionRefused && !w.listed && !w.knowsTerm:
		c.removeWorker(w) // its entry is gone and so is its process
		c.placementDue = true
		return
	case ev.Failure != FailureNone && ev.Number < w.answeredHold:
		return // answered a later one
	case ev.Failure != FailureNone || ev.Lists.Refusal != external.RefusedNone:
		c.holdFailed(w, ev)
		return
	}
	if ev.Lists.BornMS != 0 && ev.Lists.BornMS < w.reportedStartMS {
		return // from an earlier life
	}
	c.recordAnswer(w, ev.Number, ev.Lists)
	c.processEnds(w, ev.Lists.Ended)
	c.processRunning(w, ev.Lists.Running)
	c.processMissing(w, ev.Number, ev.Lists)
	c.pace(w)
}

func (c *Core) holdFailed(w *worker, ev HoldAnswered) {
	now := c.now.Mono
	if w.holdFailures == 0 {
		w.firstHoldFailureAt = now
		c.emit(WorkerStateChanged{Worker: w.ID, Note: "no answer", Runs: len(w.runs)})
	}
	w.holdFailures++
	w.ackedEnd = 0 // what the hold acknowledged may not have arrived
	w.nextHoldAt = now + holdRetry
	c.placementDue = true
}

// recordAnswer notes a sign of life and what it says about the worker's life.
func (c *Core) recordAnswer(w *worker, issue int64, l external.Lists) {
	if w.holdFailures > 0 {
		w.holdFailures = 0
		c.placementDue = true
		c.emit(WorkerStateChanged{Worker: w.ID, Note: "answers again", Runs: len(w.runs)})
	}
	w.lastAnswerAt, w.answeredHold = c.now.Mono, max(w.answeredHold, issue)
	if l.BornMS != 0 && w.reportedStartMS != 0 && l.BornMS != w.reportedStartMS {
		c.workerRestarted(w, issue)
	}
	if l.BornMS != 0 {
		w.reportedStartMS = l.BornMS
	}
	c.updateClock(w, l.Clock)
	if !w.knowsTerm {
		w.knowsTerm = true
		c.placementDue = true
		c.contactWindow.Answered(c.now.Mono - w.holdSentAt)
	}
}

// updateClock keeps the worker's clock; an older reading never sets it back.
func (c *Core) updateClock(w *worker, clock time.Duration) {
	if clock <= 0 {
		return
	}
	if w.clock == 0 || clock > w.estimatedClock(c.now.Mono) || c.now.Mono-w.clockReadAt > time.Second {
		w.clock, w.clockReadAt = clock, c.now.Mono
	}
}

// workerRestarted ends everything of a worker's earlier life. A start that was under way
// when the lists of the new life were made may have reached that life; it is in
// doubt.
func (c *Core) workerRestarted(w *worker, issue int64) {
	c.emit(WorkerStateChanged{Worker: w.ID, Note: "started anew", Runs: len(w.runs)})
	w.knowsTerm = false
	w.incarnation++
	w.clock, w.processedEnd, w.durableEnd, w.ackedEnd, w.leaseEnd = 0, 0, 0, 0, 0
	w.reportedStartMS = 0
	for _, r := range slices.Clone(w.runs) {
		if r.startedAt != 0 && r.reflectedIn(issue) {
			c.endRun(r, EndedLost, "")
			continue
		}
		r.staleThrough, r.stopAckedAt, w.probeDue = c.lastHold, 0, true
		if r.state != runStopping {
			c.markUnconfirmed(r)
		}
	}
	w.nextHoldAt = c.now.Mono
}

// processEnds takes in each end once, in the order of their numbers.
func (c *Core) processEnds(w *worker, ends []external.End) {
	for _, e := range ends {
		if e.Number <= w.processedEnd {
			continue
		}
		w.processedEnd = e.Number
		r := w.findRun(e.Task, e.Run)
		if r == nil {
			c.processUnknownEnd(w, e)
			continue
		}
		c.endRun(r, e.How, e.Saved)
	}
}

// processUnknownEnd takes in the end of a run that this owner did not know to be there.
func (c *Core) processUnknownEnd(w *worker, e external.End) {
	u := c.unitOf(e.Task)
	if u == nil || u.state == unitDone {
		return
	}
	if e.Saved != "" && u.saved == "" {
		u.saved = e.Saved
		c.markDirty(u.entry())
	}
	switch e.How {
	case external.EndedDone:
		if u.group.step.LongRunning {
			return
		}
		c.unitDone(u)
		for _, r := range slices.Clone(u.runs) {
			c.stopRun(r, ReasonTaskEnded)
		}
	case external.EndedFailed:
		c.unitFailed(u, e.Run)
	}
}

// processRunning takes in what runs on a worker.
func (c *Core) processRunning(w *worker, rows []external.Running) {
	now := c.now.Mono
	for _, row := range rows {
		r := w.findRun(row.Task, row.Run)
		if r == nil {
			r = c.adopt(w, row)
		}
		r.listsMissing, r.listedAt, r.measurement = 0, now, row.Figure
		if row.Percent != r.percent || r.progressedAt == 0 {
			r.percent, r.progressedAt = row.Percent, now
			if now-r.createdAt >= gotOnAge {
				c.recordProgress(r)
			}
		}
		if row.Saved != "" {
			r.latestCheckpoint = row.Saved
		}
		if r.state == runStarting || r.state == runUnconfirmed {
			r.state = runRunning
			r.staleThrough = c.lastHold
			r.startedAt = now
		}
		c.resolveStart(r, ResolvedRunning)
		c.stopIfStalled(r)
	}
}

// adopt takes over a run that an earlier owner ordered, or stops it when its
// task needs no run.
func (c *Core) adopt(w *worker, row external.Running) *run {
	u := c.unitOf(row.Task)
	r := &run{
		task: row.Task, number: row.Run, worker: w, state: runRunning,
		createdAt: c.now.Mono, startedAt: c.now.Mono, staleThrough: c.lastHold, progressedAt: c.now.Mono, percent: row.Percent, resumed: true, pace: fullPace,
	}
	if u != nil {
		r.resources = u.group.step.Resources()
	}
	w.leaseEnd = max(w.leaseEnd, c.now.Mono+time.Duration(float64(c.settings.Lease)*clockSlack)+leaseMargin)
	switch {
	case u == nil:
		r.attach()
		c.stopRun(r, ReasonUnknownTask)
	case u.state == unitDone || u.entry().outcome != 0 || c.isOutdated(u, row.Run):
		r.attach()
		c.stopRun(r, ReasonTaskEnded)
	default:
		r.unit = u
		u.entry().begun = true
		u.lastRun = max(u.lastRun, row.Run)
		c.dropPlan(u)
		r.attach()
		c.placementDue = true
	}
	return r
}

// isOutdated says whether a later run of the unit is known, so that this one is a remnant.
func (c *Core) isOutdated(u *unit, number int64) bool {
	for _, r := range u.runs {
		if r.number > number || (r.number == number && u.size == 1) {
			return true
		}
	}
	return number < u.lastRun
}

// processMissing decides on runs that a list should show and does not.
func (c *Core) processMissing(w *worker, issue int64, l external.Lists) {
	shown := make(map[*run]bool, len(l.Running))
	for _, row := range l.Running {
		shown[w.findRun(row.Task, row.Run)] = true
	}
	for _, r := range slices.Clone(w.runs) {
		if shown[r] || !r.reflectedIn(issue) {
			continue
		}
		switch r.state {
		case runUnconfirmed:
			c.stopRun(r, ReasonUnconfirmed)
		case runRunning:
			r.listsMissing++
			if r.listsMissing >= missingLists {
				c.endRun(r, EndedLost, r.latestCheckpoint)
			}
		case runStopping:
			if r.stopAckedAt != 0 {
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
	for _, o := range e.occs {
		if o.index == t.Occurrence {
			return o.unit(t.Step, t.Index)
		}
	}
	return nil
}
