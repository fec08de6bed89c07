package cell

import (
	"slices"
	"time"

	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
)

// startUnit orders a unit's runs, one on each of the workers given.
func (c *Core) startUnit(u *unit, on []*worker) {
	now := c.now.Mono
	number := max(u.lastRun+1, c.term*runsPerTerm)
	u.lastRun = number
	u.entry().begun = true
	waited := now - u.waiting
	u.noted, u.waited = 0, waited
	u.entry().history.MaxWait = max(u.entry().history.MaxWait, waited)
	for i, w := range on {
		r := &run{
			task: u.taskID(i), number: number, unit: u, worker: w, state: runStarting,
			resources: u.group.step.Resources(), createdAt: now, staleThrough: c.lastHold, progressedAt: now, resumed: u.saved != "", pace: fullPace,
			startCheckpoint: u.saved,
		}
		r.attach()
		c.sendStart(r)
		if w.waitingHold == 0 {
			w.nextHoldAt = max(w.nextHoldAt, now)
		}
	}
}

func (c *Core) sendStart(r *run) {
	r.startSentAt = c.now.Mono
	pass, _ := c.ticketFor(r.unit.group, r.worker)
	c.emit(Start{
		Order: external.StartOrder{
			Call: c.orderHeader(r.worker), Task: r.task, Run: r.number, Spec: r.unit.entry().job.Spec,
			Until: c.grantLease(r.worker), Checkpoint: r.startCheckpoint, Ticket: pass,
		},
		Waited: r.unit.waited, Resends: r.startResends,
	})
}

// startAnswered takes in what became of a start.
func (c *Core) startAnswered(ev StartAnswered) {
	w := c.workers[ev.Worker]
	if w == nil {
		return
	}
	c.updateClock(w, ev.Clock)
	r := w.findRun(ev.Task, ev.Run)
	if r == nil {
		return
	}
	now := c.now.Mono
	switch {
	case ev.Failure == FailureFenced:
		c.emit(Superseded{Worker: w.ID})
		c.endRun(r, EndedRefused, "")
	case ev.Failure == FailureNone && ev.Refusal == external.RefusedNone:
		c.startConfirmed(r)
	case r.startResends > 0:
		c.resentStartFailed(r, ev)
	case ev.Failure == FailureNotExecuted || ev.Failure == FailureConnectionRefused:
		w.pauseUntil = max(w.pauseUntil, now+refusedPause)
		c.endRun(r, EndedRefused, "")
	case ev.Failure == FailureOutcomeUnknown:
		c.resendStart(r)
	default:
		c.startRefused(r, ev.Refusal)
	}
}

// startConfirmed takes in that a worker has the run.
func (c *Core) startConfirmed(r *run) {
	if r.state == runStarting || r.state == runUnconfirmed {
		r.state = runRunning
		r.startedAt = c.now.Mono
		c.resolveStart(r, ResolvedRunning)
	}
	r.staleThrough = max(r.staleThrough, c.lastHold)
}

// startUnconfirmed asks the worker whether an unanswered start has begun.
func (c *Core) startUnconfirmed(r *run) {
	if r.state != runStarting {
		return
	}
	c.markUnconfirmed(r)
	r.staleThrough = c.lastHold
	r.worker.probeDue = true
	c.emit(WorkerStateChanged{Worker: r.worker.ID, Note: "start without an answer", Runs: len(r.worker.runs)})
}

// startRefused takes in a start that the worker did not carry out.
func (c *Core) startRefused(r *run, why external.Refusal) {
	c.recordRefusal(r, why)
	c.endRun(r, EndedRefused, "")
}

// recordRefusal takes in what a refusal says of the worker and the task.
func (c *Core) recordRefusal(r *run, why external.Refusal) {
	now := c.now.Mono
	w := r.worker
	w.pauseUntil = max(w.pauseUntil, now+refusedPause)
	w.probeDue = true
	c.emit(WorkerStateChanged{Worker: w.ID, Note: "refused a start: " + string(why), Runs: len(w.runs)})
	if why == external.RefusedUnhealthy {
		w.suspect(now)
	}
	if why == external.RefusedTicket {
		delete(r.unit.group.tickets, w.ID)
	}
	if why == external.RefusedInvalid {
		r.unit.notBefore = now + suspectPause
	}
}

// stopRun orders a run to stopRun; it keeps its room until it is over.
func (c *Core) stopRun(r *run, why StopReason) {
	if r.state == runStopping {
		return
	}
	r.state = runStopping
	r.stopReason = why
	if r.unit != nil {
		r.unit.entry().history.countStop(why)
	}
	r.stopAckedAt, r.stopResends = 0, 0
	c.sendStop(r)
}

func (c *Core) sendStop(r *run) {
	r.stopSentAt = c.now.Mono
	c.emit(Stop{Order: external.StopOrder{Call: c.orderHeader(r.worker), Task: r.task, Run: r.number}, Reason: r.stopReason})
}

// stopAnswered takes in what became of a stop.
func (c *Core) stopAnswered(ev StopAnswered) {
	w := c.workers[ev.Worker]
	if w == nil {
		return
	}
	r := w.findRun(ev.Task, ev.Run)
	if r == nil || r.state != runStopping {
		return
	}
	switch {
	case ev.Failure == FailureFenced:
		c.emit(Superseded{Worker: w.ID})
	case ev.Failure == FailureNone && ev.Refusal == external.RefusedNone:
		r.stopAckedAt = c.now.Mono
		r.staleThrough = c.lastHold
	case ev.Failure == FailureNone:
		w.probeDue = true
	}
}

// tick passes time: lapsed leases, repeated stops, stalled runs.
func (c *Core) tick() {
	now := c.now.Mono
	c.resendsLeft = repeatsPerTick
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
		if !w.listed && len(w.runs) == 0 && (!w.mayHaveUnknownRuns(now) || now > c.previousLeasesEnd) {
			c.removeWorker(w)
		}
	}
	c.moveStragglers()
	c.watchGuarantees()
	if now >= c.nextPeriodicPlacement {
		c.placementDue = true
		c.nextPeriodicPlacement = now + 250*time.Millisecond
	}
}

// expireRuns ends everything on a silent worker whose lease has certainly lapsed.
func (c *Core) expireRuns(w *worker) {
	now := c.now.Mono
	if w.holdFailures == 0 || len(w.runs) == 0 {
		return
	}
	left := w.hasLeft(now)
	if !left && now < w.leaseEnd {
		return
	}
	note := "lease has lapsed"
	if left {
		note = "has left"
	}
	c.emit(WorkerStateChanged{Worker: w.ID, Note: note, Runs: len(w.runs)})
	for _, r := range slices.Clone(w.runs) {
		c.endRun(r, EndedLost, r.latestCheckpoint)
	}
}

// followUpStop repeats a stop that has no answer, and asks for the lists after one
// that has.
func (c *Core) followUpStop(r *run) {
	now := c.now.Mono
	switch {
	case r.stopAckedAt == 0 && r.stopResends < maxRepeats && now-r.stopSentAt > repeatAfter && c.takeResend():
		r.stopResends++
		c.sendStop(r)
	case r.stopAckedAt == 0 && now-r.stopSentAt > stopRetry:
		c.sendStop(r)
	case r.stopAckedAt != 0 && now-r.stopAckedAt > barCheck && r.staleThrough == c.lastHold:
		r.worker.probeDue = true
	case r.stopAckedAt != 0 && now-r.stopAckedAt > stopRetry:
		r.worker.probeDue = true
		r.stopAckedAt = now
	}
}

// stopIfStalled looks at a run that a list shows: stalled ones are moved. Of a gang
// that stands still it is not known which worker is at fault; it keeps off all.
func (c *Core) stopIfStalled(r *run) {
	now := c.now.Mono
	if r.state != runRunning || r.unit == nil || r.unit.group.step.LongRunning || r.pace < fullPace {
		return
	}
	if now-r.progressedAt < stallTimeout(r.unit.group.step) || r.percent >= 100 {
		return
	}
	r.worker.suspect(now)
	c.recordEarlyFailure(r.worker)
	for _, m := range r.unit.runs {
		r.unit.shun(m.worker, now)
	}
	c.emit(WorkerStateChanged{Worker: r.worker.ID, Note: "suspect: a run makes no progress", Runs: len(r.worker.runs)})
	c.stopRun(r, ReasonStalled)
}

// stallTimeout gives how long a task may show no progress.
func stallTimeout(s *job.Step) time.Duration {
	return min(max(time.Duration(stallShare*float64(s.Estimate())), stallLeast), stallMost)
}
