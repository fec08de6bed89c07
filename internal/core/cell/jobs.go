package cell

import (
	"slices"
	"time"

	"coltsfootmux/internal/core/blame"
	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
)

// load applies what the store holds at a takeover.
func (c *Core) load(e Loaded) {
	if e.TermConfirmedAt != 0 {
		c.termConfirmedAt = e.TermConfirmedAt
	}
	c.earlierOwnersEnd(e.EarlierUntil)
	for _, w := range e.Workers {
		c.workerChanged(w)
	}
	c.inheritRoster(e.Roster)
	c.loadJobs(e.Jobs, e.Progress)
	for _, id := range e.Cancels {
		c.cancel(id)
	}
	if e.Incomplete {
		c.missing = &missingJobs{progress: e.Progress}
	}
	c.inheritRuns(e.Roster)
	c.chooseRecordedRuns()
}

// loadJobs adds jobs of earlier terms with their stored progress.
func (c *Core) loadJobs(jobs []job.Job, progress map[job.ID]job.Progress) {
	for i := range jobs {
		j := &jobs[i]
		if c.jobs[j.ID] != nil {
			continue // the store holds the submission more than once
		}
		n := c.addJob(j)
		n.inherited = true
		if p, ok := progress[j.ID]; ok {
			c.restoreProgress(n, p)
		}
		c.applyCancel(j.ID)
	}
}

// submit adds a new job; a job that is already known is ignored.
func (c *Core) submit(j *job.Job) {
	if c.jobs[j.ID] != nil {
		return
	}
	if c.missing != nil {
		c.loadMissing([]job.Job{*j}) // it may repeat a submission that could not be read
	} else {
		c.addJob(j)
	}
	c.applyCancel(j.ID)
}

// applyCancel applies a cancellation that arrived before its job.
func (c *Core) applyCancel(id job.ID) {
	if c.cancels[id] {
		delete(c.cancels, id)
		c.cancel(id)
	}
}

func (c *Core) addJob(j *job.Job) *jobEntry {
	e := newJobEntry(j)
	e.readAt = c.now.Mono
	e.poolFailures = c.poolFailures(j.Queue.Pool)
	e.runTimes = c.runTimes(j.Queue.Name)
	c.jobs[j.ID] = e
	c.used += e.cost.Record
	c.addTaskCost(e, e.cost.Tasks)
	c.openJobs = append(c.openJobs, e)
	c.placementDue = true
	return e
}

// restoreProgress applies durable progress to a job.
func (c *Core) restoreProgress(e *jobEntry, p job.Progress) {
	e.outcome, e.durableOutcome, e.endedMS = p.Outcome, p.Outcome, p.EndedMS
	if p.Outcome != job.Open {
		c.closeJob(e)
		return
	}
	e.started = p.HasBegun()
	p = p.Compact(e.job.OccurrenceCount())
	e.doneOccurrences = p.Ended
	for _, o := range p.Occurrences {
		if e.isUnopened(o.Index) {
			c.restoreOccurrence(c.openAhead(e, o.Index), o)
		}
	}
	for index := range p.Opened.All() {
		if e.isUnopened(index) && (!c.isDue(e, index) || e.mayOpen() && c.mayOpen(e)) {
			c.openAhead(e, index)
		}
	}
}

func (c *Core) restoreOccurrence(o *occurrence, p job.Occurrence) {
	for i := range p.Steps {
		s := &p.Steps[i]
		if s.Step < 0 || s.Step >= len(o.groups) {
			continue
		}
		for _, u := range o.groups[s.Step].units {
			u.failedRuns = slices.Clip(s.Failures[u.index]) // the stored progress may be shared
			u.checkpoint = s.Checkpoints[u.index]
			u.crashes, u.startCrashes = u.ofMembers(s.Crashes), u.ofMembers(s.StartCrashes)
			if s.IsDone(u.index) {
				c.finishUnit(u)
			}
		}
	}
}

// ofMembers returns the counts by member of the unit, of counts by task. It returns nil if
// there are none.
func (u *unit) ofMembers(byTask map[int]int) map[int]int {
	var out map[int]int
	for member := range u.size {
		if n := byTask[u.index+member]; n > 0 {
			blame.Increment(&out, member, n)
		}
	}
	return out
}

// cancel ends a job at its caller's request. The request itself is durable, so
// that the outcome can be shown at once.
func (c *Core) cancel(id job.ID) {
	e := c.jobs[id]
	if e == nil {
		c.cancels[id] = true
		return
	}
	if e.outcome != job.Open {
		return
	}
	e.cancelled = true
	c.finishJob(e, job.Cancelled, ReasonCancelled)
	e.durableOutcome = job.Cancelled
}

// finishJob ends a job. Its runs are stopped, except when it is complete.
func (c *Core) finishJob(e *jobEntry, o job.Outcome, reason StopReason) {
	e.outcome = o
	e.endedMS = c.now.UnixMS
	c.markDirty(e)
	c.emit(JobEnded{ID: e.job.ID, Queue: e.job.Queue, Outcome: o, Age: c.age(e), Objective: e.expectedObjective(), History: e.history})
	if o == job.Complete && !e.job.HasDueTimes() && c.age(e) > job.StaleFactor*e.latestObjective() {
		c.alarm(e, AlarmJobLate)
	}
	for _, u := range e.allUnits() {
		c.dropPlan(u)
		if o == job.Complete {
			continue // the other members of a gang end by themselves
		}
		c.stopRuns(u, reason)
	}
	c.closeJob(e)
	c.placementDue = true
}

// closeJob moves a job from the open ones to the ended ones.
func (c *Core) closeJob(e *jobEntry) {
	c.openJobs = slices.DeleteFunc(c.openJobs, func(o *jobEntry) bool { return o == e })
	c.endedJobs = append(c.endedJobs, e)
	c.dropTasks(e)
}

func (e *jobEntry) allUnits() []*unit {
	var out []*unit
	for _, o := range e.occurrences {
		for _, g := range o.groups {
			out = append(out, g.units...)
		}
	}
	return out
}

// finishUnit marks a unit as done, and with the last one its group, its
// occurrence and its job.
func (c *Core) finishUnit(u *unit) {
	if u.state == unitDone {
		return
	}
	u.state = unitDone
	c.dropPlan(u)
	g := u.group
	g.unfinished--
	c.markDirty(u.entry())
	c.placementDue = true
	if g.unfinished > 0 {
		return
	}
	g.occ.unfinished--
	if g.occ.unfinished > 0 {
		return
	}
	e := u.entry()
	e.doneOccurrences.Add(g.occ.index)
	e.endedOpen++
	if e.done() && e.outcome == job.Open {
		c.finishJob(e, job.Complete, ReasonTaskEnded)
	}
}

// countFailure counts a failed run of a unit; the members of a gang share a run
// number and count once.
func (c *Core) countFailure(u *unit, number int64) {
	if slices.Contains(u.failedRuns, number) || u.group.step.LongRunning {
		return
	}
	u.failedRuns = append(u.failedRuns, number)
	u.failedAt = c.now.Mono
	e := u.entry()
	c.markDirty(e)
	if e.outcome == job.Open && len(u.failedRuns) >= max(e.job.Queue.MaxTries, 1) {
		c.finishJob(e, job.Failed, ReasonFailed)
	}
}

// requeueUnit returns an active unit to the waiting state when it has no run left.
func (c *Core) requeueUnit(u *unit) {
	if u.state != unitActive || len(u.runs) > 0 {
		return
	}
	u.state = unitWaiting
	u.waitingSince, u.roomSince = c.now.Mono, 0
	c.placementDue = true
}

// endRun removes a run from its worker and applies its result to its unit.
func (c *Core) endRun(r *run, reason external.EndReason, checkpoint string) {
	r.detach()
	c.placementDue = true
	c.resolveStart(r, reason)
	c.emit(RunEnded{Task: r.task, Run: r.number, Worker: r.worker.ID, EndReason: reason, Proof: r.lostBy, Age: c.now.Mono - r.createdAt})
	u := r.unit
	if u == nil {
		return
	}
	u.entry().history.countEnd(reason)
	u.entry().lastRunEnd = c.now.Mono
	c.observeEnd(r, reason)
	if u.group.priority() == 0 && r.startedAt > 0 {
		r.worker.startCooldown(r.resources, c.now.Mono)
	}
	if checkpoint != "" && checkpoint != u.checkpoint && u.state != unitDone {
		u.checkpoint = checkpoint
		c.markDirty(u.entry())
	}
	if u.state == unitDone {
		return
	}
	switch reason {
	case external.EndedDone:
		c.runSucceeded(r)
	case external.EndedFailed:
		c.runFailed(r)
	default:
		c.stopRestOfGang(u)
	}
	c.requeueUnit(u)
}

func (c *Core) runSucceeded(r *run) {
	r.worker.clearSuspicions()
	c.recordProgress(r)
	c.recordRunTime(r)
	c.learnFromEnd(r)
	u := r.unit
	if r.startedAt > 0 && !r.resumed {
		u.runTime = c.now.Mono - r.startedAt
	}
	if u.group.step.LongRunning {
		return
	}
	c.finishUnit(u)
	if !u.group.step.Gang {
		c.stopRuns(u, ReasonTaskEnded)
	}
}

func (c *Core) runFailed(r *run) {
	w := r.worker
	r.unit.exclude(w, c.now.Mono)
	w.failedJobs[r.task.Job] = true
	early := c.now.Mono-r.createdAt < max(minEarlyFailureAge, time.Duration(earlyFailureShare*float64(r.unit.group.runTime())))
	if early {
		c.recordEarlyFailure(w)
	}
	if early || len(w.failedJobs) >= minSuspectFailures {
		w.suspect(c.now.Mono)
		c.emit(WorkerStateChanged{Worker: w.ID, Change: "suspect: runs fail", Runs: len(w.runs)})
	}
	c.countFailure(r.unit, r.number)
	c.stopRestOfGang(r.unit)
}

// stopRestOfGang stops the other members of a gang when one has ended early.
func (c *Core) stopRestOfGang(u *unit) {
	if u.group.step.Gang && u.state != unitDone {
		c.stopRuns(u, ReasonGangBroken)
	}
}
