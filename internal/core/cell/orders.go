package cell

import (
	"slices"
	"time"

	"coltsfootmux/internal/core/gangstart"
	"coltsfootmux/internal/core/termination"
	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
)

// startUnit orders one run for each task of a unit, on the given workers.
func (c *Core) startUnit(u *unit, workers []*worker) {
	now := c.now.Mono
	number := max(u.lastRunNumber+1, c.term*runsPerTerm)
	u.lastRunNumber = number
	waited := now - u.waitingSince
	u.nextWaitReport, u.waited = 0, waited
	u.entry().history.MaxWait = max(u.entry().history.MaxWait, waited)
	if u.group.step.Gang {
		u.start = gangstart.New(now, c.settings.GangTimeout)
	}
	for i, w := range workers {
		r := &run{
			task: u.taskID(i), number: number, unit: u, worker: w, state: runStarting,
			resources: u.group.step.Resources(), createdAt: now, staleThrough: c.lastHold, progressedAt: now, resumed: u.checkpoint != "", pace: fullPace,
			startCheckpoint: u.checkpoint,
		}
		r.attach()
		c.sendStart(r)
		if w.waitingHold == 0 {
			w.nextHoldAt = max(w.nextHoldAt, now)
		}
	}
}

// sendStart sends the start order of a run, which also grants its worker a lease.
func (c *Core) sendStart(r *run) {
	r.startSentAt = c.now.Mono
	ticket, _ := c.ticketFor(r.unit.group, r.worker)
	c.emit(Start{
		Order: external.StartOrder{
			OrderHeader: c.orderHeader(r.worker), Task: r.task, Run: r.number, Spec: r.unit.entry().job.Spec,
			LeaseEnd: c.grantLease(r.worker), Checkpoint: r.startCheckpoint, Ticket: ticket,
		},
		DecidedAt: c.now.Mono, SendBy: r.unit.start.SendBy(), Waited: r.unit.waited, Resends: r.startResends, TermAge: c.now.Mono - c.termConfirmedAt,
	})
}

// startAnswered processes the answer to a start order.
func (c *Core) startAnswered(ev StartAnswered) {
	w := c.workers[ev.Worker]
	if w == nil {
		return
	}
	c.updateClock(w, ev.Clock)
	c.checkProcess(w, ev.Refusal)
	r := w.findRun(ev.Task, ev.Run)
	if r == nil {
		return
	}
	now := c.now.Mono
	if r.state == runStarting && r.startResends == 0 {
		c.starts.Answered(now, r.createdAt, c.lag, c.maxUnansweredStarts())
	}
	switch {
	case ev.Failure == FailureFenced:
		c.higherTermSeen(w)
		c.startUnconfirmed(r) // an earlier call for the same start may have been carried out
	case ev.Failure == FailureNone && ev.Refusal == external.RefusedNone:
		c.startConfirmed(r)
	case r.startResends > 0:
		c.resentStartFailed(r, ev)
	case ev.Failure == FailureNotSent:
		c.endRun(r, EndedRefused, "")
	case ev.Failure == FailureNotExecuted || ev.Failure == FailureConnectionRefused:
		w.pauseUntil = max(w.pauseUntil, now+refusalPause)
		c.endRun(r, EndedRefused, "")
	case ev.Failure == FailureOutcomeUnknown:
		c.resendStart(r)
	default:
		c.startRefused(r, ev.Refusal)
	}
}

// startConfirmed records that a worker has started the run.
func (c *Core) startConfirmed(r *run) {
	if r.state == runStarting || r.state == runUnconfirmed {
		r.state = runRunning
		r.startedAt = c.now.Mono
		r.markStarted()
		c.resolveStart(r, ResolvedRunning)
		c.reportGang(r)
	}
	r.staleThrough = max(r.staleThrough, c.lastHold)
}

// startUnconfirmed records that a start was not answered, and asks the worker for its
// lists, which show whether it was carried out.
func (c *Core) startUnconfirmed(r *run) {
	if r.state != runStarting {
		return
	}
	c.markUnconfirmed(r)
	r.staleThrough = c.lastHold
	r.worker.probeDue = true
	c.emit(WorkerStateChanged{Worker: r.worker.ID, Change: "start without an answer", Runs: len(r.worker.runs)})
}

// startRefused ends a run whose start the worker has refused.
func (c *Core) startRefused(r *run, refusal external.Refusal) {
	c.recordRefusal(r, refusal)
	c.endRun(r, EndedRefused, "")
}

// recordRefusal keeps new runs off the worker for a while, and does what the reason
// for the refusal requires of the worker or the unit.
func (c *Core) recordRefusal(r *run, refusal external.Refusal) {
	now := c.now.Mono
	w := r.worker
	w.pauseUntil = max(w.pauseUntil, now+refusalPause)
	w.probeDue = true
	c.emit(WorkerStateChanged{Worker: w.ID, Change: "refused a start: " + string(refusal), Runs: len(w.runs)})
	if refusal == external.RefusedUnhealthy {
		w.suspect(now)
	}
	if refusal == external.RefusedTicket {
		delete(r.unit.group.tickets, w.ID)
	}
	if refusal == external.RefusedInvalid {
		r.unit.notBefore = now + minSuspectPause
	}
}

// stopRun orders a worker to stop a run. The run keeps its resources until it is
// known to be over.
func (c *Core) stopRun(r *run, reason StopReason) {
	if r.state == runStopping {
		return
	}
	r.state = runStopping
	r.stopReason = reason
	if r.unit != nil {
		r.unit.entry().history.countStop(reason)
	}
	r.stopAckedAt, r.stopResends = 0, 0
	c.sendStop(r)
}

// sendStop sends the stop order of a run.
func (c *Core) sendStop(r *run) {
	r.stopSentAt = c.now.Mono
	c.emit(Stop{Order: external.StopOrder{OrderHeader: c.orderHeader(r.worker), Task: r.task, Run: r.number}, Reason: r.stopReason})
}

// stopAnswered processes the answer to a stop order.
func (c *Core) stopAnswered(ev StopAnswered) {
	w := c.workers[ev.Worker]
	if w == nil {
		return
	}
	c.checkProcess(w, ev.Refusal)
	r := w.findRun(ev.Task, ev.Run)
	if r == nil || r.state != runStopping {
		return
	}
	switch {
	case ev.Failure == FailureFenced:
		c.higherTermSeen(w)
	case ev.Failure == FailureNone && ev.Refusal == external.RefusedNone:
		r.stopAckedAt = c.now.Mono
		r.staleThrough, r.absentSince = c.lastHold, 0
	case ev.Failure == FailureNone:
		w.probeDue = true
	}
}

// tick does what depends on time alone: it ends the runs of workers whose lease has
// expired, resends unanswered calls, removes workers that are gone, moves stragglers
// and checks the accounts' guarantees.
func (c *Core) tick() {
	now := c.now.Mono
	c.resendsLeft = maxResendsPerTick
	for _, w := range slices.Clone(c.fleet) {
		c.expireRuns(w)
		c.probeIfOverdue(w)
		for _, r := range slices.Clone(w.runs) {
			switch r.state {
			case runStarting:
				c.followUpStart(r)
			case runStopping:
				c.followUpStop(r)
			}
		}
		if w.isVacant() != w.storedVacant {
			c.rosterDirty = true
		}
		if !w.listed && len(w.runs) == 0 && len(w.deferredEnds) == 0 && !c.mayHaveUnknownRuns(w) {
			c.removeWorker(w)
		}
	}
	c.followGangStarts()
	c.chooseRecordedRuns()
	c.moveStragglers()
	c.refreshSpeeds()
	c.checkGuarantees()
	c.checkReach()
	c.readUsage()
	c.judgeInterference()
	if now >= c.nextPeriodicPlacement {
		c.placementDue = true
		c.nextPeriodicPlacement = now + 250*time.Millisecond
	}
}

// expireRuns ends all runs on a worker that does not answer once they are certainly over.
func (c *Core) expireRuns(w *worker) {
	if w.holdFailures == 0 || len(w.runs) == 0 {
		return
	}
	proof := c.observations(w).KnownRuns()
	if proof == termination.None {
		return
	}
	c.emit(WorkerStateChanged{Worker: w.ID, Change: string(proof), Runs: len(w.runs)})
	if w.refusesConns && !w.listed {
		c.workerCrashed(w, w.runs, "nothing listens at its address")
	}
	c.loseRuns(w, proof)
}

// followUpStop resends a stop that was not answered in time. After an acknowledged
// stop it asks for the worker's lists, until they show that the run is over.
func (c *Core) followUpStop(r *run) {
	now := c.now.Mono
	switch {
	case r.stopAckedAt == 0 && r.stopReason == ReasonGangLate && r.stopResends < maxGangStopResends && now-r.stopSentAt > resendAfter:
		r.stopResends++
		c.sendStop(r) // the members that run do not wait longer for a late owner
	case r.stopAckedAt == 0 && r.stopResends < maxResends && now-r.stopSentAt > c.answerTime(resendAfter) && c.takeResend():
		r.stopResends++
		c.sendStop(r)
	case r.stopAckedAt == 0 && now-r.stopSentAt > c.answerTime(stopRetryDelay):
		c.sendStop(r)
	case r.stopAckedAt != 0 && now-r.stopAckedAt > c.answerTime(stopCheckDelay) && r.staleThrough == c.lastHold:
		r.worker.probeDue = true
	case r.stopAckedAt != 0 && now-r.stopAckedAt > c.answerTime(stopRetryDelay):
		r.worker.probeDue = true
		r.stopAckedAt = now
	}
}

// stopIfStalled stops a running run that has made no progress for too long, so that
// it is started on another worker, while that may be ordered. In a stalled gang it is unknown which worker is
// at fault, so the unit avoids the workers of all members.
func (c *Core) stopIfStalled(r *run) {
	now := c.now.Mono
	if r.state != runRunning || r.unit == nil || r.unit.group.step.LongRunning || r.pace < fullPace || !c.mayStart() {
		return
	}
	if now-r.progressedAt < c.answerTime(stallTimeout(r.unit.group.step)) || r.percent >= 100 {
		return
	}
	r.worker.suspect(now)
	c.recordEarlyFailure(r.worker)
	for _, m := range r.unit.runs {
		r.unit.exclude(m.worker, now)
	}
	c.emit(WorkerStateChanged{Worker: r.worker.ID, Change: "suspect: a run makes no progress", Runs: len(r.worker.runs)})
	c.stopRun(r, ReasonStalled)
}

// stallTimeout returns how long a run of the step may go without progress.
func stallTimeout(s *job.Step) time.Duration {
	return min(max(time.Duration(stallShare*float64(s.Estimate())), minStallTime), maxStallTime)
}
