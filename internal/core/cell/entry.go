package cell

import (
	"cmp"
	"slices"
	"time"

	"coltsfootmux/internal/core/budget"
	"coltsfootmux/internal/core/gangstart"
	"coltsfootmux/internal/core/interference"
	"coltsfootmux/internal/core/predict"
	"coltsfootmux/internal/core/retry"
	"coltsfootmux/internal/core/speed"
	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
)

// jobEntry is the cell's record of a job.
type jobEntry struct {
	job         *job.Job
	occurrences []*occurrence
	// nextOccurrence is the index of the first occurrence that has not been opened in order.
	nextOccurrence int
	// openedAhead holds later ones that are open since their tasks have run.
	openedAhead map[int]bool
	// units is the number of tasks and gangs of an occurrence, openUnits that of all open ones.
	units     int
	openUnits int
	cost      budget.Cost
	// started is set once any task of the job has been started.
	started   bool
	cancelled bool
	outcome   job.Outcome
	// durableOutcome is the outcome that has been persisted; only this one is shown to
	// callers.
	durableOutcome job.Outcome
	endedMS        int64
	// dirty is set while progress has changed that no Persist has taken up.
	dirty bool
	// doneOccurrences holds the indexes of the occurrences that have ended.
	doneOccurrences job.Intervals
	// endedOpen is the number of those whose tasks are kept in occurrences.
	endedOpen int
	// inherited jobs were accepted before this term; their tasks may be running on
	// workers that have not answered yet.
	inherited bool
	// readAt is when the job was read from the store.
	readAt time.Duration
	// runs counts the runs of its tasks, lastRunEnd is when the last one ended.
	runs       int
	lastRunEnd time.Duration
	// nextStandReport is how long the job has to stand until that is reported again.
	nextStandReport time.Duration
	raisedAlarms    alarmSet
	history         History
	// poolFailures is the history of recent early failures in the job's pool.
	poolFailures *retry.Pool
	// runTimes is what is known of the run times of the job's queue.
	runTimes *predict.Queue
}

// occurrence is one execution of all of a job's steps.
type occurrence struct {
	entry  *jobEntry
	index  int
	dueMS  int64
	groups []*taskGroup
	// unfinished counts the groups that have not ended.
	unfinished int
}

// taskGroup is the tasks of one step of one occurrence.
type taskGroup struct {
	occ   *occurrence
	index int
	step  *job.Step
	units []*unit
	// unfinished counts the units that have not ended.
	unfinished int
	// ready is set once all steps that this one depends on were found to have ended.
	ready bool
	// relaxed holds the soft constraints that the present search for a place does not observe.
	relaxed softConstraint
	// unitResources is what one unit needs.
	unitResources job.Resources
	// tickets and deniedUntil hold the advice service's answers about workers, for
	// queues that need advice. The service is not asked again before nextAdvice, which is 0 once
	// it has answered.
	tickets     map[external.WorkerID]ticket
	deniedUntil map[external.WorkerID]time.Duration
	nextAdvice  time.Duration
	// speeds holds the durations of the tasks, from which the workers' speeds are learned.
	speeds speed.Step
	// endedRuns are the step's runs that are compared with each other once all have ended.
	endedRuns []interference.Run
}

type unitState int

const (
	// unitWaiting has no run and waits for its start.
	unitWaiting unitState = iota
	// unitActive has runs.
	unitActive
	unitDone
)

// unit is what is placed as a whole: a single task, or all members of a gang.
type unit struct {
	group *taskGroup
	// index is the task's index; a gang's members are 0 to size-1.
	index int
	size  int
	state unitState
	// failedRuns are the numbers of the runs that failed.
	failedRuns []int64
	// failedAt is when this owner counted the last of them.
	failedAt time.Duration
	// crashes counts, by member, the workers that have crashed under the unit since a run of the
	// member last survived; startCrashes counts those that crashed at the start of its run.
	crashes      map[int]int
	startCrashes map[int]int
	// checkpoint names the latest checkpoint.
	checkpoint    string
	runs          []*run
	lastRunNumber int64
	// excludedUntil holds the workers on which runs of the unit went wrong, with
	// the time until which the unit is kept off them.
	excludedUntil map[external.WorkerID]time.Duration
	// notBefore is the earliest time of the next start.
	notBefore    time.Duration
	waitingSince time.Duration
	plan         *plan
	// nextMakeRoom is the earliest time of the next attempt to make room for the unit.
	nextMakeRoom time.Duration
	// roomSince is since when there has been room for the unit at each look, or 0.
	roomSince time.Duration
	// nextRelaxed is the earliest time of the next attempt without soft constraints.
	nextRelaxed time.Duration
	// start bounds the start of the current runs of a gang.
	start gangstart.Start
	// waited is how long the unit waited before its current runs were started.
	waited time.Duration
	// runTime is how long the successful run took, moves how often the unit was
	// moved off a slow worker.
	runTime time.Duration
	moves   int
	// nextWaitReport is how long the unit has to wait until it is reported again.
	nextWaitReport time.Duration
}

// taskID returns the ID of a member of the unit.
func (u *unit) taskID(member int) job.TaskID {
	return job.TaskID{
		Job: u.group.occ.entry.job.ID, Occurrence: u.group.occ.index,
		Step: u.group.index, Index: u.index + member,
	}
}

func (u *unit) entry() *jobEntry { return u.group.occ.entry }

// exclude keeps the unit off a worker on which one of its runs went wrong.
func (u *unit) exclude(w *worker, now time.Duration) {
	if u.excludedUntil == nil {
		u.excludedUntil = make(map[external.WorkerID]time.Duration)
	}
	u.excludedUntil[w.ID] = now + exclusionTime
}

func (u *unit) excludes(w *worker, now time.Duration) bool { return now < u.excludedUntil[w.ID] }

// priority returns the priority of the group's queue; 0 is the most urgent.
func (g *taskGroup) priority() int { return g.occ.entry.job.Queue.Priority }

// newJobEntry returns the record of a new job, without any occurrence.
func newJobEntry(j *job.Job) *jobEntry {
	return &jobEntry{job: j, units: budget.UnitsOf(j), cost: budget.CostOf(j)}
}

// openOccurrence creates the tasks of an occurrence.
func (e *jobEntry) openOccurrence(index int, now time.Duration) *occurrence {
	o := &occurrence{entry: e, index: index, dueMS: e.job.DueMS(index)}
	for i := range e.job.Steps {
		o.groups = append(o.groups, newGroup(o, i, now))
	}
	o.unfinished = len(o.groups)
	at, _ := slices.BinarySearchFunc(e.occurrences, index, func(o *occurrence, index int) int { return cmp.Compare(o.index, index) })
	e.occurrences = slices.Insert(e.occurrences, at, o)
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

// done reports whether all occurrences of the job have ended.
func (e *jobEntry) done() bool { return e.doneOccurrences.Count() >= e.job.OccurrenceCount() }

// dependenciesDone reports whether all steps that the group depends on have ended.
func (g *taskGroup) dependenciesDone() bool {
	for _, a := range g.step.After {
		if g.occ.groups[a].unfinished > 0 {
			return false
		}
	}
	return true
}

// unit returns the unit of a task, or nil if there is no such task.
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
