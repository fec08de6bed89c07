package cell

import (
	"slices"
	"time"

	"coltsfootmux/internal/core/blame"
	"coltsfootmux/internal/core/lag"
	"coltsfootmux/internal/core/termination"
	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
)

// sendHolds sends a hold to each worker that needs one: a probe, answered at once,
// or a hold whose answer may wait for a run to end.
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
		if c.shouldAwaitPersist(w) || w.hasNothingNew() && now < w.lastAnswerAt+lag.HoldPause(c.lag) {
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
		wait := maxHoldWait
		if !w.knowsTerm || w.holdFailures > 0 || len(w.runs) == 0 || w.hasNextEnds() {
			wait = 0
		}
		if w.hasUrgentRun() && !lag.IsShort(c.lag) {
			wait = min(wait, maxUrgentHoldWait)
		}
		if w.hasMixedLoad() {
			wait = min(wait, maxMixedHoldWait)
		}
		if w.probationRuns > 0 {
			wait = min(wait, blame.ProbeInterval)
		}
		w.holdSentAt, w.holdMaxWait, w.holdResends = now, wait, 0
		w.waitingHold = c.sendHold(w, wait)
	}
	if !leftOut {
		c.nextContact = ""
	}
}

// firstContacts returns the number of workers with a hold in flight that have not
// answered one in this term yet.
func (c *Core) firstContacts() int {
	n := 0
	for _, w := range c.fleet {
		if w.waitingHold != 0 && !w.knowsTerm {
			n++
		}
	}
	return n
}

// contactSequence returns the workers, beginning with the first one that the contact
// window left out, so that workers that do not answer can't keep others from being
// asked.
func (c *Core) contactSequence() []*worker {
	at := c.fleetIndex(c.nextContact)
	if at == 0 || at == len(c.fleet) {
		return c.fleet
	}
	return slices.Concat(c.fleet[at:], c.fleet[:at])
}

// shouldAwaitPersist reports whether a hold should wait until the worker's last ended
// runs are durable and can be acknowledged; sent now, it would list them again.
func (c *Core) shouldAwaitPersist(w *worker) bool {
	if w.durableEnd == w.settledEnd() || !w.knowsTerm || w.holdFailures > 0 {
		return false
	}
	return c.now.Mono < w.nextHoldAt+maxAckWait
}

// hasNothingNew reports whether the worker has answered in this term, and all ends that it has listed are
// acknowledged. A hold that acknowledges must follow the answer at once, see maxAckAge.
func (w *worker) hasNothingNew() bool {
	return w.knowsTerm && w.holdFailures == 0 && w.processedEnd == w.ackedEnd
}

// needsHold reports whether a worker has to be asked: it has runs, it does not answer
// or has not answered in this term, or ended runs can be acknowledged.
func (c *Core) needsHold(w *worker) bool {
	if w.gone {
		return false
	}
	if len(w.runs) > 0 {
		return true
	}
	if !w.knowsTerm || w.holdFailures > 0 {
		return w.listed || w.inherited
	}
	return w.durableEnd > w.ackedEnd
}

// sendHold sends a hold whose answer may wait for the given time, and returns the
// hold's number.
func (c *Core) sendHold(w *worker, wait time.Duration) int64 {
	c.lastHold++
	o := external.HoldOrder{OrderHeader: c.orderHeader(w), Wait: wait}
	// Each incarnation of a worker numbers its ended runs from 1. Only a worker that
	// has just answered is certainly still the incarnation that gave the numbers.
	if w.holdFailures == 0 && c.now.Mono-w.lastAnswerAt <= maxAckAge {
		o.Acknowledge = w.durableEnd
	}
	// A worker that does not answer is granted no new lease, so that its last one
	// expires.
	if w.knowsTerm && len(w.runs) > 0 && w.holdFailures == 0 {
		o.LeaseEnd = c.grantLease(w)
	}
	w.ackedEnd = o.Acknowledge
	c.emit(Hold{Order: o, Number: c.lastHold})
	return c.lastHold
}

// orderHeader returns the fields that all orders to a worker have in common.
func (c *Core) orderHeader(w *worker) external.OrderHeader {
	return external.OrderHeader{Worker: w.ID, Addr: w.Addr, FencingToken: c.term}
}

// grantLease returns the end, on the worker's clock, of a lease that begins now, and
// records when that lease has certainly expired.
func (c *Core) grantLease(w *worker) time.Duration {
	now := c.now.Mono
	until := w.estimatedClock(now) + c.settings.Lease
	w.leaseEnd = max(w.leaseEnd, w.leaseExpiry(now, until))
	return until.Truncate(time.Millisecond)
}

// holdAnswered processes the answer to a hold.
func (c *Core) holdAnswered(ev HoldAnswered) {
	w := c.workers[ev.Worker]
	if w == nil {
		return
	}
	now := c.now.Mono
	c.holdCompleted(w, ev)
	switch {
	case ev.Failure == FailureFenced:
		c.higherTermSeen(w)
		w.nextHoldAt = now + holdRetryDelay
		return
	case ev.Failure != FailureNone && ev.Number < w.answeredHold:
		return // the worker has answered a later hold
	case ev.Failure != FailureNone || ev.Lists.Refusal != external.RefusedNone:
		c.holdFailed(w, ev)
		c.checkProcess(w, ev.Lists.Refusal)
		return
	}
	if ev.Lists.StartedMS != 0 && ev.Lists.StartedMS < w.reportedStartMS {
		return // sent by an earlier incarnation
	}
	c.recordAnswer(w, ev.Number, ev.Lists)
	c.processEnds(w, ev.Lists.Ended)
	c.processRunning(w, ev.Number, ev.Lists.Running)
	c.processMissing(w, ev.Number, ev.Lists)
	c.pace(w)
}

// holdFailed records that a hold was refused or has no answer.
func (c *Core) holdFailed(w *worker, ev HoldAnswered) {
	now := c.now.Mono
	if w.holdFailures == 0 {
		w.firstHoldFailureAt = now
		c.crashes.WorkerFailed(now)
		c.disturbed()
		c.emit(WorkerStateChanged{Worker: w.ID, Change: "no answer", Runs: len(w.runs)})
	}
	w.holdFailures++
	w.refusesConns = ev.Failure == FailureConnectionRefused
	c.presumeCrash(w)
	w.ackedEnd = 0 // the acknowledgement may not have arrived
	w.nextHoldAt = now + holdRetryDelay
	c.placementDue = true
}

// recordAnswer records that a worker has answered a hold, and detects a restart of
// the worker.
func (c *Core) recordAnswer(w *worker, hold int64, l external.HoldResult) {
	if l.StartedMS != 0 && w.reportedStartMS != 0 && l.StartedMS != w.reportedStartMS {
		c.workerRestarted(w, hold)
	}
	if w.holdFailures > 0 {
		w.holdFailures = 0
		c.withdrawCrash(w)
		c.disturbed()
		c.placementDue = true
		c.emit(WorkerStateChanged{Worker: w.ID, Change: "answers again", Runs: len(w.runs)})
	}
	w.usedAddr = w.Addr
	w.lastAnswerAt, w.answeredHold = c.now.Mono, max(w.answeredHold, hold)
	if l.StartedMS != 0 {
		w.reportedStartMS = l.StartedMS
	}
	c.updateClock(w, l.Clock)
	c.readLists(w, hold, l.MoreEnds)
	c.runsUnrecorded(w)
	if !w.knowsTerm {
		w.knowsTerm = true
		c.placementDue = true
		c.contactWindow.Answered(c.now.Mono - w.holdSentAt)
	}
}

// updateClock records a reading of the worker's clock. A reading that is behind the
// estimate was delayed on its way and is ignored, unless the last one is older than
// a second.
func (c *Core) updateClock(w *worker, clock time.Duration) {
	if clock <= 0 {
		return
	}
	if w.clock == 0 || clock > w.estimatedClock(c.now.Mono) || c.now.Mono-w.clockReadAt > time.Second {
		w.clock, w.clockReadAt = clock, c.now.Mono
	}
}

// workerRestarted ends the runs of a worker's earlier incarnation. A start that was
// in flight when the new incarnation made its lists may have reached the new one;
// its outcome is unknown.
func (c *Core) workerRestarted(w *worker, hold int64) {
	c.emit(WorkerStateChanged{Worker: w.ID, Change: "has restarted", Runs: len(w.runs)})
	c.disturbed()
	var lost []*run
	for _, r := range w.runs {
		if endsWithIncarnation(r, hold) {
			lost = append(lost, r)
		}
	}
	c.workerCrashed(w, lost, "it has restarted")
	w.knowsTerm = false
	w.incarnation++
	if w.leaseEnd > 0 {
		w.leaseEnd = c.misdirectedLeaseEnd(c.now.Mono)
	}
	w.clock, w.processedEnd, w.durableEnd, w.ackedEnd = 0, 0, 0, 0
	w.reportedStartMS, w.deferredEnds = 0, nil
	w.ends, w.unreadSince = termination.EndsRead{}, 0
	for _, r := range slices.Clone(w.runs) {
		if slices.Contains(lost, r) {
			c.loseRun(r, termination.ByIncarnation, "")
			continue
		}
		r.staleThrough, r.absentSince, r.stopAckedAt, w.probeDue = c.lastHold, 0, 0, true
		if r.state != runStopping {
			c.markUnconfirmed(r)
		}
	}
	if len(w.runs) > 0 {
		// The starts of these runs may have granted the new incarnation a lease.
		w.leaseEnd = max(w.leaseEnd, c.longestLeaseEnd())
	}
	w.nextHoldAt = c.now.Mono
}

// endsWithIncarnation reports whether a run is over, as a later incarnation of its worker has
// answered the given hold.
func endsWithIncarnation(r *run, hold int64) bool {
	return termination.Run{Reflected: r.reflectedIn(hold), Started: r.startedAt != 0, OtherIncarnation: true}.IsOver()
}

// longestLeaseEnd returns when any lease that was granted until now has certainly expired.
func (c *Core) longestLeaseEnd() time.Duration {
	return c.now.Mono + time.Duration(float64(c.settings.Lease)*clockSlack) + leaseMargin
}

// processEnds processes each listed end of a run once, in the order of the numbers.
func (c *Core) processEnds(w *worker, ends []external.EndedRun) {
	for _, e := range ends {
		if e.Number <= w.processedEnd {
			continue
		}
		w.processedEnd = e.Number
		r := w.findRun(e.Task, e.Run)
		if r != nil {
			w.ends.Listed(r.listedIn)
		}
		if c.isMissing(e.Task.Job) {
			c.deferEnd(w, r, e)
			continue
		}
		if r == nil {
			c.processUnknownEnd(e)
			continue
		}
		r.markStarted()
		c.endRun(r, e.Reason, e.Checkpoint)
	}
}

// processRunning processes the list of the active runs of a worker.
func (c *Core) processRunning(w *worker, hold int64, list []external.ActiveRun) {
	now := c.now.Mono
	for _, listed := range list {
		r := w.findRun(listed.Task, listed.Run)
		if r == nil {
			r = c.adopt(w, listed)
		}
		r.listsMissing, r.absentSince, r.listedIn = 0, 0, max(r.listedIn, hold)
		r.listedAt, r.measurement = now, listed.Measurement
		if listed.Percent != r.percent || r.progressedAt == 0 {
			r.percent, r.progressedAt = listed.Percent, now
			if now-r.createdAt >= minProgressAge {
				c.recordProgress(r)
			}
			c.learnFromProgress(r)
		}
		if listed.Checkpoint != "" {
			r.latestCheckpoint = listed.Checkpoint
		}
		if r.state == runStarting || r.state == runUnconfirmed {
			r.state = runRunning
			r.staleThrough = c.lastHold
			r.startedAt = now
			r.markStarted()
			c.reportGang(r)
		}
		c.resolveStart(r, ResolvedRunning)
		c.clearSuspect(r)
		c.sampleLatency(r)
		c.stopIfStalled(r)
	}
}

// processMissing processes the runs that the list of active runs should show and
// does not.
func (c *Core) processMissing(w *worker, hold int64, l external.HoldResult) {
	shown := make(map[*run]bool, len(l.Running))
	for _, listed := range l.Running {
		shown[w.findRun(listed.Task, listed.Run)] = true
	}
	for _, r := range slices.Clone(w.runs) {
		if shown[r] || !r.reflectedIn(hold) {
			continue
		}
		if r.state == runUnconfirmed {
			c.stopRun(r, ReasonUnconfirmed)
			continue
		}
		if r.absentSince == 0 {
			r.absentSince = c.lastHold
		}
		unread := l.MoreEnds && !w.ends.Since(r.absentSince)
		if !unread {
			r.listsMissing++
		}
		stopped := r.state == runStopping && r.stopAckedAt != 0
		state := termination.Run{Reflected: true, Started: r.state == runRunning, StopAcknowledged: stopped, EndsUnread: unread, MissingLists: r.listsMissing}
		switch {
		case !state.IsOver():
		case stopped:
			c.endRun(r, EndedBarred, "")
		default:
			c.loseRun(r, termination.ByMissingRun, r.latestCheckpoint)
		}
	}
}

// unitOf returns the unit to which a task belongs, or nil if the task is unknown or no longer
// needed. It opens an occurrence whose tasks were put off, or is not due by this owner's time of
// day: the task has run under an earlier owner.
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
	if e.outcome == job.Open && e.isUnopened(t.Occurrence) {
		return c.openAhead(e, t.Occurrence).unit(t.Step, t.Index)
	}
	return nil
}
