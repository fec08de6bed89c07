package cell

import (
	"slices"
	"time"

	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
)

// start orders a unit's runs, one on each of the workers given.
func (c *Core) start(u *unit, on []*worker) {
	now := c.now.Mono
	number := max(u.lastRunNumber+1, c.term*runsPerTerm)
	u.lastRunNumber = number
	u.entry().started = true
	waited := now - u.waitingSince
	u.nextWaitReport, u.waited = 0, waited
	u.entry().history.Waited = max(u.entry().history.Waited, waited)
	for i, w := range on {
		r := &run{
			task: u.taskID(i), number: number, unit: u, worker: w, state: runStarting,
			takes: u.group.step.Resources(), since: now, mark: c.issued, moved: now, resumed: u.checkpoint != "", pace: fullPace,
			checkpoint: u.checkpoint,
		}
		r.attach()
		c.sendStart(r)
		if w.holdIssue == 0 {
			w.holdNext = max(w.holdNext, now)
		}
	}
}

func (c *Core) sendStart(r *run) {
	r.sent = c.now.Mono
	pass, _ := c.ticketFor(r.unit.group, r.worker)
	c.act(Start{
		Order: external.StartOrder{
			Call: c.call(r.worker), Task: r.task, Run: r.number, Spec: r.unit.entry().job.Spec,
			Until: c.lease(r.worker), Checkpoint: r.checkpoint, Ticket: pass,
		},
		Waited: r.unit.waited, Repeat: r.repeats,
	})
}

// startAnswered takes in what became of a start.
func (c *Core) startAnswered(ev Started) {
	w := c.workers[ev.Worker]
	if w == nil {
		return
	}
	c.setClock(w, ev.Clock)
	r := w.find(ev.Task, ev.Run)
	if r == nil {
		return
	}
	now := c.now.Mono
	switch {
	case ev.Failure == FailureFenced:
		c.act(Deposed{Worker: w.ID})
		c.endRun(r, EndedRefused, "")
	case ev.Failure == FailureNone && ev.Refusal == external.RefusedNone:
		c.begun(r)
	case r.repeats > 0:
		c.repeatFailed(r, ev)
	case ev.Failure == FailureNotReached || ev.Failure == FailureGone:
		w.pauseUntil = max(w.pauseUntil, now+refusalPause)
		c.endRun(r, EndedRefused, "")
	case ev.Failure == FailureUnclear:
		c.repeatStart(r)
	default:
		c.refused(r, ev.Refusal)
	}
}

// begun takes in that a worker has the run.
func (c *Core) begun(r *run) {
	if r.state == runStarting || r.state == runDoubt {
		r.state = runRunning
		r.began = c.now.Mono
		c.settleDoubt(r, SettledRunning)
	}
	r.mark = max(r.mark, c.issued)
}

// doubt asks the worker whether an unanswered start has begun.
func (c *Core) doubt(r *run) {
	if r.state != runStarting {
		return
	}
	c.enterDoubt(r)
	r.mark = c.issued
	r.worker.probe = true
	c.act(WorkerNoted{Worker: r.worker.ID, Note: "start without an answer", Runs: len(r.worker.runs)})
}

// refused takes in a start that the worker did not carry out.
func (c *Core) refused(r *run, why external.Refusal) {
	c.noteRefusal(r, why)
	c.endRun(r, EndedRefused, "")
}

// noteRefusal takes in what a refusal says of the worker and the task.
func (c *Core) noteRefusal(r *run, why external.Refusal) {
	now := c.now.Mono
	w := r.worker
	w.pauseUntil = max(w.pauseUntil, now+refusalPause)
	w.probe = true
	c.act(WorkerNoted{Worker: w.ID, Note: "refused a start: " + string(why), Runs: len(w.runs)})
	if why == external.RefusedUnhealthy {
		w.suspect(now)
	}
	if why == external.RefusedTicket {
		delete(r.unit.group.tickets, w.ID)
	}
	if why == external.RefusedInvalid {
		r.unit.notBefore = now + minSuspectPause
	}
}

// stop orders a run to stop; it keeps its room until it is over.
func (c *Core) stop(r *run, why Reason) {
	if r.state == runStopping {
		return
	}
	r.state = runStopping
	r.reason = why
	if r.unit != nil {
		r.unit.entry().history.stopped(why)
	}
	r.stopAcked, r.stopRepeats = 0, 0
	c.sendStop(r)
}

func (c *Core) sendStop(r *run) {
	r.stopSent = c.now.Mono
	c.act(Stop{Order: external.StopOrder{Call: c.call(r.worker), Task: r.task, Run: r.number}, Reason: r.reason})
}

// stopAnswered takes in what became of a stop.
func (c *Core) stopAnswered(ev Stopped) {
	w := c.workers[ev.Worker]
	if w == nil {
		return
	}
	r := w.find(ev.Task, ev.Run)
	if r == nil || r.state != runStopping {
		return
	}
	switch {
	case ev.Failure == FailureFenced:
		c.act(Deposed{Worker: w.ID})
	case ev.Failure == FailureNone && ev.Refusal == external.RefusedNone:
		r.stopAcked = c.now.Mono
		r.mark = c.issued
	case ev.Failure == FailureNone:
		w.probe = true
	}
}

// tick passes time: lapsed leases, repeated stops, stalled runs.
func (c *Core) tick() {
	now := c.now.Mono
	c.repeatsLeft = maxResendsPerTick
	for _, w := range slices.Clone(c.fleet) {
		c.tickWorker(w)
		c.repeatHold(w)
		for _, r := range slices.Clone(w.runs) {
			switch r.state {
			case runStarting:
				c.tickStart(r)
			case runStopping:
				c.tickStop(r)
			}
		}
		if !w.listed && len(w.runs) == 0 && (!w.awaited(now) || now > c.silentUntil) {
			c.dropWorker(w)
		}
	}
	c.moveStragglers()
	c.checkGuarantees()
	if now >= c.nextPass {
		c.changed = true
		c.nextPass = now + 250*time.Millisecond
	}
}

// tickWorker ends everything on a silent worker whose lease has certainly lapsed.
func (c *Core) tickWorker(w *worker) {
	now := c.now.Mono
	if w.holdFails == 0 || len(w.runs) == 0 {
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
	c.act(WorkerNoted{Worker: w.ID, Note: note, Runs: len(w.runs)})
	for _, r := range slices.Clone(w.runs) {
		c.endRun(r, EndedLost, r.saved)
	}
}

// tickStop repeats a stop that has no answer, and asks for the lists after one
// that has.
func (c *Core) tickStop(r *run) {
	now := c.now.Mono
	switch {
	case r.stopAcked == 0 && r.stopRepeats < maxResends && now-r.stopSent > resendAfter && c.mayRepeat():
		r.stopRepeats++
		c.sendStop(r)
	case r.stopAcked == 0 && now-r.stopSent > stopRetryDelay:
		c.sendStop(r)
	case r.stopAcked != 0 && now-r.stopAcked > stopCheckDelay && r.mark == c.issued:
		r.worker.probe = true
	case r.stopAcked != 0 && now-r.stopAcked > stopRetryDelay:
		r.worker.probe = true
		r.stopAcked = now
	}
}

// checkRun looks at a run that a list shows: stalled ones are moved. Of a gang
// that stands still it is not known which worker is at fault; it keeps off all.
func (c *Core) checkRun(r *run) {
	now := c.now.Mono
	if r.state != runRunning || r.unit == nil || r.unit.group.step.LongRunning || r.pace < fullPace {
		return
	}
	if now-r.moved < stallTime(r.unit.group.step) || r.percent >= 100 {
		return
	}
	r.worker.suspect(now)
	c.failedEarly(r.worker)
	for _, m := range r.unit.runs {
		r.unit.exclude(m.worker, now)
	}
	c.act(WorkerNoted{Worker: r.worker.ID, Note: "suspect: a run makes no progress", Runs: len(r.worker.runs)})
	c.stop(r, ReasonStalled)
}

// stallTime gives how long a task may show no progress.
func stallTime(s *job.Step) time.Duration {
	return min(max(time.Duration(stallShare*float64(s.Estimate())), minStallTime), maxStallTime)
}
