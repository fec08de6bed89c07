package cell

import (
	"slices"
	"time"

	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
)

// load takes in what the store holds at a take-over.
func (c *Core) load(e Loaded) {
	for _, w := range e.Workers {
		c.workerChanged(w)
	}
	c.inherit(e.Roster)
	for i := range e.Jobs {
		j := &e.Jobs[i]
		if c.jobs[j.ID] != nil {
			continue // submitted more than once
		}
		n := c.add(j)
		n.inherited = true
		if p, ok := e.Progress[j.ID]; ok {
			c.restore(n, p)
		}
	}
	for _, id := range e.Cancels {
		c.cancel(id)
	}
}

// submit takes a new job in; a repeat of a known one changes nothing.
func (c *Core) submit(j *job.Job) {
	if c.jobs[j.ID] != nil {
		return
	}
	c.add(j)
	if c.cancels[j.ID] {
		delete(c.cancels, j.ID)
		c.cancel(j.ID)
	}
}

func (c *Core) add(j *job.Job) *entry {
	e := newEntry(j)
	e.read = c.now.Mono
	e.trouble = c.troubleIn(j.Queue.Pool)
	c.jobs[j.ID] = e
	c.open = append(c.open, e)
	c.changed = true
	return e
}

// restore applies durable progress to a job.
func (c *Core) restore(e *entry, p job.Progress) {
	e.outcome, e.shown, e.endedMS = p.Outcome, p.Outcome, p.EndedMS
	if p.Outcome != job.Open {
		c.closeEntry(e)
		return
	}
	for _, o := range p.Occurrences {
		if o.Done {
			e.doneOccs[o.Index] = true
		}
	}
	for e.next < e.job.OccurrenceCount() && e.doneOccs[e.next] {
		e.next++
	}
	for _, o := range p.Occurrences {
		if o.Done {
			continue
		}
		e.begun = true
		for e.next <= o.Index && e.next < e.job.OccurrenceCount() {
			c.openNext(e)
		}
		for _, have := range e.occs {
			if have.index == o.Index {
				c.restoreOccurrence(have, o)
			}
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
			u.failures = s.Failures[u.index]
			u.saved = s.Checkpoints[u.index]
			if s.IsDone(u.index) {
				c.unitDone(u)
			}
		}
	}
}

// openNext opens the next occurrence that has not ended.
func (c *Core) openNext(e *entry) {
	if e.doneOccs[e.next] {
		e.next++
		return
	}
	e.open(c.now.Mono)
}

// openDue opens the occurrences that are due.
func (c *Core) openDue() {
	for _, e := range c.open {
		for e.next < e.job.OccurrenceCount() && (!e.job.HasDueTimes() || e.job.DueMS(e.next)-c.settings.Early.Milliseconds() <= c.now.UnixMS) {
			c.openNext(e)
			c.changed = true
		}
	}
}

// cancel ends a job on its caller's word; the cancellation itself is durable.
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
	c.finish(e, job.Cancelled, ReasonCancelled)
	e.shown = job.Cancelled
}

// finish ends a job and stops what runs of it.
func (c *Core) finish(e *entry, o job.Outcome, why Reason) {
	e.outcome = o
	e.endedMS = c.now.UnixMS
	c.markDirty(e)
	c.act(JobEnded{ID: e.job.ID, Outcome: o, Age: c.age(e), Objective: e.objective, History: e.history})
	if o == job.Complete && !e.job.HasDueTimes() && c.age(e) > job.StaleFactor*e.objective {
		c.alarm(e, AlarmJobLate)
	}
	for _, u := range e.units() {
		c.dropPlan(u)
		if o == job.Complete {
			continue // a gang's members list their own ends
		}
		for _, r := range slices.Clone(u.runs) {
			c.stop(r, why)
		}
	}
	c.closeEntry(e)
	c.changed = true
}

// closeEntry takes an ended job off the open ones.
func (c *Core) closeEntry(e *entry) {
	c.open = slices.DeleteFunc(c.open, func(o *entry) bool { return o == e })
	c.ended = append(c.ended, e)
}

func (e *entry) units() []*unit {
	var out []*unit
	for _, o := range e.occs {
		for _, g := range o.groups {
			out = append(out, g.units...)
		}
	}
	return out
}

// unitDone counts a unit as ended and closes what it completes.
func (c *Core) unitDone(u *unit) {
	if u.state == unitDone {
		return
	}
	u.state = unitDone
	c.dropPlan(u)
	g := u.group
	g.left--
	c.markDirty(u.entry())
	c.changed = true
	if g.left > 0 {
		return
	}
	g.occ.left--
	if g.occ.left > 0 {
		return
	}
	e := u.entry()
	e.doneOccs[g.occ.index] = true
	if e.done() && e.outcome == job.Open {
		c.finish(e, job.Complete, ReasonDone)
	}
}

// unitFailed counts one failed run of a unit, once for a gang.
func (c *Core) unitFailed(u *unit, number int64) {
	if slices.Contains(u.failures, number) || u.group.step.LongRunning {
		return
	}
	u.failures = append(u.failures, number)
	u.failedAt = c.now.Mono
	e := u.entry()
	c.markDirty(e)
	if e.outcome == job.Open && len(u.failures) >= max(e.job.Queue.MaxTries, 1) {
		c.finish(e, job.Failed, ReasonFailed)
	}
}

// unitOver puts a unit without runs back to the waiting ones.
func (c *Core) unitOver(u *unit) {
	if u.state != unitActive || len(u.runs) > 0 {
		return
	}
	u.state = unitWaiting
	u.waiting = c.now.Mono
	c.changed = true
}

// endRun takes a run off its worker, with what its end means for its task.
func (c *Core) endRun(r *run, how external.EndReason, saved string) {
	r.detach()
	c.changed = true
	c.settleDoubt(r, how)
	c.act(RunEnded{Task: r.task, Run: r.number, Worker: r.worker.ID, How: how, Age: c.now.Mono - r.since})
	u := r.unit
	if u == nil {
		return
	}
	u.entry().history.ended(how)
	if u.group.priority() == 0 && r.began > 0 {
		r.worker.cool(r.takes, c.now.Mono)
	}
	if saved != "" && saved != u.saved && u.state != unitDone {
		u.saved = saved
		c.markDirty(u.entry())
	}
	if u.state == unitDone {
		return
	}
	switch how {
	case external.EndedDone:
		c.endedWell(r)
	case external.EndedFailed:
		c.endedBadly(r)
	default:
		c.gangBroken(u)
	}
	c.unitOver(u)
}

func (c *Core) endedWell(r *run) {
	r.worker.trust()
	c.gotOn(r)
	u := r.unit
	if r.began > 0 && !r.resumed {
		u.took = c.now.Mono - r.began
	}
	if u.group.step.LongRunning {
		return
	}
	c.unitDone(u)
	if !u.group.step.Gang {
		for _, o := range slices.Clone(u.runs) {
			c.stop(o, ReasonDone)
		}
	}
}

func (c *Core) endedBadly(r *run) {
	w := r.worker
	r.unit.shun(w, c.now.Mono)
	w.failedJobs[r.task.Job] = true
	early := c.now.Mono-r.since < max(earlyLeast, time.Duration(earlyFailure*float64(r.unit.group.step.Estimate())))
	if early {
		c.failedEarly(w)
	}
	if early || len(w.failedJobs) >= suspectFailures {
		w.suspect(c.now.Mono)
		c.act(WorkerNoted{Worker: w.ID, Note: "suspect: runs fail", Runs: len(w.runs)})
	}
	c.unitFailed(r.unit, r.number)
	c.gangBroken(r.unit)
}

// gangBroken stops the rest of a gang of which a member has ended.
func (c *Core) gangBroken(u *unit) {
	if !u.group.step.Gang || u.state == unitDone {
		return
	}
	for _, r := range slices.Clone(u.runs) {
		c.stop(r, ReasonGang)
	}
}
