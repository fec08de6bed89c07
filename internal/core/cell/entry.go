package cell

import (
	"time"

	"coltsfootmux/internal/core/retry"
	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
)

// jobEntry is a job that the cell knows.
type jobEntry struct {
	job         *job.Job
	occurrences []*occurrence
	// nextOccurrence is the first occurrence that has not been opened.
	nextOccurrence int
	// started says that a task of the job has been started.
	started   bool
	cancelled bool
	outcome   job.Outcome
	// durableOutcome is the durable outcome, the one that callers are told.
	durableOutcome job.Outcome
	endedMS        int64
	dirty          bool
	// doneOccurrences counts occurrences that have ended.
	doneOccurrences map[int]bool
	// inherited jobs were accepted before this term; their tasks may run on
	// workers that have not been heard of.
	inherited bool
	// readAt is when the job was readAt from the store.
	readAt       time.Duration
	objective    time.Duration
	raisedAlarms alarmSet
	history      History
	// poolFailures is what is known of failures in the job's pool.
	poolFailures *retry.Pool
}

// occurrence is one run through a job's steps.
type occurrence struct {
	entry      *jobEntry
	index      int
	dueMS      int64
	groups     []*taskGroup
	unfinished int
}

// taskGroup is the tasks of one step of one occurrence.
type taskGroup struct {
	occ   *occurrence
	index int
	step  *job.Step
	units []*unit
	// unfinished counts units that have not ended.
	unfinished int
	// ready says that the steps before have been seen to have ended.
	ready bool
	// unitResources is what one unit takes.
	unitResources job.Resources
	// tickets and denied are what an adviser said of workers, for advised queues.
	tickets     map[external.WorkerID]ticket
	deniedUntil map[external.WorkerID]time.Duration
	nextAdvice  time.Duration
}

type unitState int

const (
	unitWaiting unitState = iota
	unitActive
	unitDone
)

// unit is what is placed as one: a single task, or all members of a gang.
type unit struct {
	group *taskGroup
	// index is the task's index; a gang's members are 0 to size-1.
	index int
	size  int
	state unitState
	// failedRuns are the numbers of the runs that failed.
	failedRuns []int64
	// failedAt is when the last of them was counted by this owner.
	failedAt      time.Duration
	checkpoint    string
	runs          []*run
	lastRunNumber int64
	// excludedUntil holds until when the workers on which runs went wrong are left out.
	excludedUntil map[external.WorkerID]time.Duration
	notBefore     time.Duration
	waitingSince  time.Duration
	plan          *plan
	// nextMakeRoom is when it may next be tried to make room for the unit.
	nextMakeRoom time.Duration
	// waited is how long the unit waited for its present runs.
	waited time.Duration
	// runTime is how long the run runTime that ended the unit, moves how often it was
	// moved off a slow worker.
	runTime time.Duration
	moves   int
	// nextWaitReport is the wait from which on it is reported again.
	nextWaitReport time.Duration
}

// taskID names a member of the unit.
func (u *unit) taskID(member int) job.TaskID {
	return job.TaskID{
		Job: u.group.occ.entry.job.ID, Occurrence: u.group.occ.index,
		Step: u.group.index, Index: u.index + member,
	}
}

func (u *unit) entry() *jobEntry { return u.group.occ.entry }

// exclude keeps the unit off a worker on which a run of it went wrong.
func (u *unit) exclude(w *worker, now time.Duration) {
	if u.excludedUntil == nil {
		u.excludedUntil = make(map[external.WorkerID]time.Duration)
	}
	u.excludedUntil[w.ID] = now + exclusionTime
}

func (u *unit) excludes(w *worker, now time.Duration) bool { return now < u.excludedUntil[w.ID] }

// priority gives the priority of the group's queue; 0 is the most urgent.
func (g *taskGroup) priority() int { return g.occ.entry.job.Queue.Priority }

// newJobEntry takes a job in; its occurrences are opened when they are due.
func newJobEntry(j *job.Job) *jobEntry {
	return &jobEntry{job: j, doneOccurrences: make(map[int]bool), objective: j.Objective()}
}

// openOccurrence makes the tasks of the next occurrence.
func (e *jobEntry) openOccurrence(now time.Duration) *occurrence {
	o := &occurrence{entry: e, index: e.nextOccurrence, dueMS: e.job.DueMS(e.nextOccurrence)}
	e.nextOccurrence++
	for i := range e.job.Steps {
		o.groups = append(o.groups, newGroup(o, i, now))
	}
	o.unfinished = len(o.groups)
	e.occurrences = append(e.occurrences, o)
	return o
}

func newGroup(o *occurrence, i int, now time.Duration) *taskGroup {
	s := &o.entry.job.Steps[i]
	g := &taskGroup{occ: o, index: i, step: s}
	if s.Gang {
		g.units = []*unit{{group: g, size: s.Count, waitingSince: now}}
	} else {
		for n := range s.Count {
			g.units = append(g.units, &unit{group: g, index: n, size: 1, waitingSince: now})
		}
	}
	g.unfinished = len(g.units)
	g.unitResources = s.Resources()
	if s.Gang {
		g.unitResources = g.unitResources.Times(s.Count)
	}
	return g
}

// done reports that no task of the job is left.
func (e *jobEntry) done() bool { return len(e.doneOccurrences) >= e.job.OccurrenceCount() }

// dependenciesDone says whether the steps before the group have ended.
func (g *taskGroup) dependenciesDone() bool {
	for _, a := range g.step.After {
		if g.occ.groups[a].unfinished > 0 {
			return false
		}
	}
	return true
}

// unit gives the unit of a task, or nil.
func (o *occurrence) unit(step, index int) *unit {
	if step >= len(o.groups) {
		return nil
	}
	g := o.groups[step]
	if g.step.Gang {
		if index < g.step.Count {
			return g.units[0]
		}
		return nil
	}
	if index >= len(g.units) {
		return nil
	}
	return g.units[index]
}
