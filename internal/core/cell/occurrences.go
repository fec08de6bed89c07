package cell

import (
	"slices"
	"time"

	"coltsfootmux/internal/core/budget"
	"coltsfootmux/internal/job"
)

// The tasks of a job are created when an occurrence of it is opened. Until then they are only
// a count. What is due is opened at once, unless the tasks that are open already take the
// memory of the cell, or one job has as many as a job of one occurrence may have. Then it is
// put off until others have ended.

// deferredReportInterval is the least time between two reports of tasks that are put off.
const deferredReportInterval = 10 * time.Second

// The tasks of ended occurrences are forgotten at once if the job has up to fewOccurrences open ones,
// else once one in dropShare has ended, as that looks at all of them.
const (
	fewOccurrences = 1000
	dropShare      = 64
)

// JobsDeferred reports, for the log, that tasks of some jobs are put off for want of memory.
type JobsDeferred struct {
	Jobs int
	// OpenUnits is the number of open tasks and gangs, Used the cost of all jobs in bytes.
	OpenUnits int
	Used      int64
}

func (JobsDeferred) action() {}

// isDue reports whether an occurrence may be opened by its due time.
func (c *Core) isDue(e *jobEntry, index int) bool {
	return !e.job.HasDueTimes() || e.job.DueMS(index)-c.settings.OpenEarly.Milliseconds() <= c.now.UnixMS
}

// isUnopened reports whether the job has an occurrence of that index that is neither open nor
// has ended.
func (e *jobEntry) isUnopened(index int) bool {
	return index >= e.nextOccurrence && index < e.job.OccurrenceCount() && !e.openedAhead[index] && !e.doneOccurrences.Has(index)
}

// openAhead opens an occurrence whose tasks have run, whatever is open.
func (c *Core) openAhead(e *jobEntry, index int) *occurrence {
	if e.openedAhead == nil {
		e.openedAhead = make(map[int]bool)
	}
	e.openedAhead[index] = true
	return c.openOccurrence(e, index)
}

func (c *Core) openOccurrence(e *jobEntry, index int) *occurrence {
	e.openUnits += e.units
	c.openUnits += e.units
	c.placementDue = true
	return e.openOccurrence(index, c.now.Mono)
}

// openDueOccurrences opens the occurrences that are due, in order of arrival.
func (c *Core) openDueOccurrences() {
	c.deferredJobs = 0
	deferred := 0
	for _, e := range c.openJobs {
		if !c.openDueOf(e) {
			c.deferredJobs++
			deferred += e.units
		}
	}
	if raised := c.cellFull; c.deferredJobs > 0 && !raised {
		c.emit(Alarm{Code: AlarmCellFull, Have: c.openUnits, Need: c.openUnits + deferred})
	}
	c.cellFull = c.deferredJobs > 0
	if c.deferredJobs > 0 && c.now.Mono >= c.nextDeferredReport {
		c.nextDeferredReport = c.now.Mono + deferredReportInterval
		c.emit(JobsDeferred{Jobs: c.deferredJobs, OpenUnits: c.openUnits, Used: c.Used()})
	}
}

// openDueOf opens the due occurrences of one job. It reports false if the memory of the cell
// keeps one back.
func (c *Core) openDueOf(e *jobEntry) bool {
	if len(e.occurrences) <= fewOccurrences || e.endedOpen*dropShare >= len(e.occurrences) {
		c.dropEndedOccurrences(e)
	}
	for e.nextOccurrence < e.job.OccurrenceCount() && c.isDue(e, e.nextOccurrence) {
		if e.isUnopened(e.nextOccurrence) {
			if !e.mayOpen() {
				return true
			}
			if !c.mayOpen(e) {
				return false
			}
		}
		c.openNextOccurrence(e)
	}
	return true
}

// mayOpen reports whether the job's open tasks leave room for a further occurrence.
func (e *jobEntry) mayOpen() bool {
	return e.openUnits == 0 || e.openUnits+e.units <= budget.MaxOpenUnits
}

// mayOpen reports whether the cell's open tasks leave room for a further occurrence of the job.
func (c *Core) mayOpen(e *jobEntry) bool {
	return c.settings.Memory.MayOpen(c.openUnits, e.units, e.cost.Total())
}

// openNextOccurrence opens the next occurrence, or skips it if it is open or has ended.
func (c *Core) openNextOccurrence(e *jobEntry) {
	if e.isUnopened(e.nextOccurrence) {
		c.openOccurrence(e, e.nextOccurrence)
	}
	delete(e.openedAhead, e.nextOccurrence)
	e.nextOccurrence++
}

// dropEndedOccurrences forgets the tasks of the occurrences that have ended.
func (c *Core) dropEndedOccurrences(e *jobEntry) {
	if e.endedOpen == 0 {
		return
	}
	e.occurrences = slices.DeleteFunc(e.occurrences, func(o *occurrence) bool {
		if o.unfinished > 0 || o.hasRuns() {
			return false
		}
		e.endedOpen--
		c.openUnits -= e.units
		e.openUnits -= e.units
		return true
	})
}

// hasRuns reports whether runs of the occurrence's tasks are not over.
func (o *occurrence) hasRuns() bool {
	return slices.ContainsFunc(o.groups, func(g *taskGroup) bool {
		return slices.ContainsFunc(g.units, func(u *unit) bool { return len(u.runs) > 0 })
	})
}

// dropTasks forgets all tasks of a job that has ended. Runs that are not over keep theirs.
func (c *Core) dropTasks(e *jobEntry) {
	c.openUnits -= e.openUnits
	c.addTaskCost(e, -e.cost.Tasks)
	e.occurrences, e.openedAhead, e.openUnits, e.endedOpen = nil, nil, 0, 0
}

// addTaskCost adds to the cost of the tasks of the jobs that have not ended.
func (c *Core) addTaskCost(e *jobEntry, n int64) {
	c.used += n
	if c.settings.Memory.IsLarge(e.cost.Total()) {
		c.largeTasks += n
	}
}

// Used returns the cost of the jobs that the cell holds, without the tasks for which it never
// has memory at the same time.
func (c *Core) Used() int64 { return c.used - c.settings.Memory.Excess(c.largeTasks) }

// Knows reports whether the cell holds a job.
func (c *Core) Knows(id job.ID) bool { return c.jobs[id] != nil }
