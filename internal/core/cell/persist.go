package cell

import (
	"slices"
	"time"

	"coltsfootmux/internal/core/blame"
	"coltsfootmux/internal/job"
)

// markDirty records that a job's progress has changed and must be made durable.
func (c *Core) markDirty(e *jobEntry) {
	if e.dirty {
		return
	}
	e.dirty = true
	c.dirtyJobs = append(c.dirtyJobs, e)
}

// endPosition is the number of an ended run, as one incarnation of a worker counts
// them.
type endPosition struct {
	incarnation int
	number      int64
}

// persist emits a batch with the progress that has changed, unless one is in flight.
// The batch also covers all ended runs that have been processed so far; once it is
// durable, they may be acknowledged to their workers.
func (c *Core) persist() {
	if c.batchInFlight != 0 {
		return
	}
	if c.now.Mono < c.nextPersist && (len(c.dirtyJobs) > 0 || c.rosterDirty) {
		return
	}
	expired := c.removeExpiredJobs()
	if len(c.dirtyJobs) == 0 && len(expired) == 0 && !c.rosterDirty {
		c.acknowledgeAll()
		return
	}
	c.nextPersist = c.now.Mono + minPersistInterval
	c.lastBatch++
	c.batchInFlight = c.lastBatch
	p := Persist{Batch: c.batchInFlight, Delete: expired}
	for _, e := range c.dirtyJobs {
		e.dirty = false
		p.Progress = append(p.Progress, JobProgress{ID: e.job.ID, Progress: e.progress()})
	}
	if c.rosterDirty {
		c.rosterDirty = false
		p.Roster = c.storeRoster()
	}
	c.batchJobs, c.dirtyJobs = c.dirtyJobs, nil
	c.batchEnds = make(map[*worker]endPosition)
	for _, w := range c.fleet {
		if w.settledEnd() > w.durableEnd {
			c.batchEnds[w] = endPosition{incarnation: w.incarnation, number: w.settledEnd()}
		}
	}
	c.emit(p)
}

// acknowledgeAll allows all processed ends to be acknowledged. It is called when
// nothing is left to be made durable.
func (c *Core) acknowledgeAll() {
	for _, w := range c.fleet {
		w.durableEnd = max(w.durableEnd, w.settledEnd())
	}
}

// persisted releases what was waiting for a batch to become durable: outcomes may be
// shown to callers, ended runs acknowledged, and workers of a new roster used.
func (c *Core) persisted(ev Persisted) {
	if ev.Batch != c.batchInFlight {
		return
	}
	c.batchInFlight = 0
	for _, e := range c.batchJobs {
		// A job that changed after the batch was made is dirty again; its outcome may
		// not be durable yet.
		if !e.dirty && !slices.Contains(ev.Refused, e.job.ID) {
			e.durableOutcome = e.outcome
		}
	}
	awaitsOutcome := false
	for _, id := range ev.Refused {
		awaitsOutcome = c.progressRefused(c.jobs[id]) || awaitsOutcome
	}
	for w, end := range c.batchEnds {
		// A new incarnation numbers its ended runs from 1.
		if w.incarnation == end.incarnation && !awaitsOutcome {
			w.durableEnd = max(w.durableEnd, end.number)
		}
	}
	if !ev.RosterRefused {
		c.rosterPersisted()
	}
	c.batchJobs, c.batchEnds, c.batchRoster = nil, nil, nil
}

// progressRefused ends a job whose progress the store will never take: without it, no end on the same
// workers could be acknowledged any more. It reports whether ends are to be acknowledged with the
// job's outcome in the next batch. An outcome that is refused as well is shown all the same.
func (c *Core) progressRefused(e *jobEntry) (awaitsOutcome bool) {
	if e == nil {
		return false
	}
	c.alarm(e, AlarmProgressRefused)
	if e.outcome == job.Open {
		c.finishJob(e, job.Failed, ReasonUnstorable)
	}
	if !e.dirty {
		e.durableOutcome = e.outcome
	}
	return e.dirty
}

// removeExpiredJobs removes the jobs whose retention time is over and returns their
// IDs, so that their records are deleted too.
func (c *Core) removeExpiredJobs() []job.ID {
	if c.missing != nil {
		return nil // a submission that has not been read would run again without its progress
	}
	keep := c.settings.Retention
	var out []job.ID
	c.endedJobs = slices.DeleteFunc(c.endedJobs, func(e *jobEntry) bool {
		age := time.Duration(c.now.UnixMS-e.endedMS) * time.Millisecond
		if age < keep || e.dirty || e.durableOutcome == job.Open {
			return false
		}
		delete(c.jobs, e.job.ID)
		c.used -= e.cost.Record
		out = append(out, e.job.ID)
		return true
	})
	return out
}

// progress returns the job's progress as it is to be stored. It replaces what is stored, so
// that it also contains the occurrences that ended under earlier owners.
func (e *jobEntry) progress() job.Progress {
	p := job.Progress{Outcome: e.outcome, EndedMS: e.endedMS}
	if e.outcome != job.Open {
		return p
	}
	p.Ended = slices.Clone(e.doneOccurrences)
	for _, o := range e.occurrences {
		switch steps := o.progress(); {
		case o.unfinished == 0:
		case len(steps) == 0:
			p.Opened.Add(o.index)
		default:
			p.Occurrences = append(p.Occurrences, job.Occurrence{Index: o.index, Steps: steps})
		}
	}
	return p
}

// progress returns the progress of the occurrence's steps, without those that have
// made none.
func (o *occurrence) progress() []job.StepProgress {
	var out []job.StepProgress
	for _, g := range o.groups {
		s := job.StepProgress{Step: g.index}
		changed := false
		for _, u := range g.units {
			if u.state == unitDone {
				s.MarkDone(u.index)
				changed = true
				continue
			}
			if len(u.failedRuns) > 0 {
				if s.Failures == nil {
					s.Failures = make(map[int][]int64)
				}
				s.Failures[u.index] = slices.Clone(u.failedRuns)
				changed = true
			}
			changed = len(u.crashes) > 0 || changed
			s.Crashes, s.StartCrashes = u.addByTask(s.Crashes, u.crashes), u.addByTask(s.StartCrashes, u.startCrashes)
			if u.checkpoint != "" {
				if s.Checkpoints == nil {
					s.Checkpoints = make(map[int]string)
				}
				s.Checkpoints[u.index] = u.checkpoint
				changed = true
			}
		}
		if changed {
			out = append(out, s)
		}
	}
	return out
}

// addByTask adds counts by member of the unit to counts by task, which may be nil.
func (u *unit) addByTask(byTask, byMember map[int]int) map[int]int {
	for member, n := range byMember {
		blame.Increment(&byTask, u.index+member, n)
	}
	return byTask
}
