package cell

import (
	"time"

	"coltsfootmux/internal/core/retry"
	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
)

// entry is a job that the cell knows.
type entry struct {
	job  *job.Job
	occs []*occurrence
	// next is the first occurrence that has not been opened.
	next int
	// begun says that a task of the job has been started.
	begun     bool
	cancelled bool
	outcome   job.Outcome
	// shown is the durable outcome, the one that callers are told.
	shown   job.Outcome
	endedMS int64
	dirty   bool
	// doneOccs counts occurrences that have ended.
	doneOccs map[int]bool
	// inherited jobs were accepted before this term; their tasks may run on
	// workers that have not been heard of.
	inherited bool
	// read is when the job was read from the store.
	read      time.Duration
	objective time.Duration
	alarms    alarms
	history   History
	// trouble is what is known of failures in the job's pool.
	trouble *retry.Pool
}

// occurrence is one run through a job's steps.
type occurrence struct {
	entry  *entry
	index  int
	dueMS  int64
	groups []*group
	left   int
}

// group is the tasks of one step of one occurrence.
type group struct {
	occ   *occurrence
	index int
	step  *job.Step
	units []*unit
	// left counts units that have not ended.
	left int
	// ready says that the steps before have been seen to have ended.
	ready bool
	// total is what one unit takes.
	total job.Resources
	// tickets and denied are what an adviser said of workers, for advised queues.
	tickets    map[external.WorkerID]ticket
	denied     map[external.WorkerID]time.Duration
	nextAdvice time.Duration
}

type unitState int

const (
	unitWaiting unitState = iota
	unitActive
	unitDone
)

// unit is what is placed as one: a single task, or all members of a gang.
type unit struct {
	group *group
	// index is the task's index; a gang's members are 0 to size-1.
	index int
	size  int
	state unitState
	// failures are the numbers of the runs that failed.
	failures []int64
	// failedAt is when the last of them was counted by this owner.
	failedAt time.Duration
	saved    string
	runs     []*run
	lastRun  int64
	// shunned holds until when the workers on which runs went wrong are left out.
	shunned   map[external.WorkerID]time.Duration
	notBefore time.Duration
	waiting   time.Duration
	plan      *plan
	// nextRoom is when it may next be tried to make room for the unit.
	nextRoom time.Duration
	// waited is how long the unit waited for its present runs.
	waited time.Duration
	// took is how long the run took that ended the unit, moves how often it was
	// moved off a slow worker.
	took  time.Duration
	moves int
	// noted is the wait from which on it is reported again.
	noted time.Duration
}

// taskID names a member of the unit.
func (u *unit) taskID(member int) job.TaskID {
	return job.TaskID{
		Job: u.group.occ.entry.job.ID, Occurrence: u.group.occ.index,
		Step: u.group.index, Index: u.index + member,
	}
}

func (u *unit) entry() *entry { return u.group.occ.entry }

// shun keeps the unit off a worker on which a run of it went wrong.
func (u *unit) shun(w *worker, now time.Duration) {
	if u.shunned == nil {
		u.shunned = make(map[external.WorkerID]time.Duration)
	}
	u.shunned[w.ID] = now + shunTime
}

func (u *unit) shuns(w *worker, now time.Duration) bool { return now < u.shunned[w.ID] }

// priority gives the priority of the group's queue; 0 is the most urgent.
func (g *group) priority() int { return g.occ.entry.job.Queue.Priority }

// newEntry takes a job in; its occurrences are opened when they are due.
func newEntry(j *job.Job) *entry {
	return &entry{job: j, doneOccs: make(map[int]bool), objective: j.Objective()}
}

// open makes the tasks of the next occurrence.
func (e *entry) open(now time.Duration) *occurrence {
	o := &occurrence{entry: e, index: e.next, dueMS: e.job.DueMS(e.next)}
	e.next++
	for i := range e.job.Steps {
		o.groups = append(o.groups, newGroup(o, i, now))
	}
	o.left = len(o.groups)
	e.occs = append(e.occs, o)
	return o
}

func newGroup(o *occurrence, i int, now time.Duration) *group {
	s := &o.entry.job.Steps[i]
	g := &group{occ: o, index: i, step: s}
	if s.Gang {
		g.units = []*unit{{group: g, size: s.Count, waiting: now}}
	} else {
		for n := range s.Count {
			g.units = append(g.units, &unit{group: g, index: n, size: 1, waiting: now})
		}
	}
	g.left = len(g.units)
	g.total = s.Resources()
	if s.Gang {
		g.total = g.total.Times(s.Count)
	}
	return g
}

// done reports that no task of the job is left.
func (e *entry) done() bool { return len(e.doneOccs) >= e.job.OccurrenceCount() }

// isReady says whether the steps before the group have ended.
func (g *group) isReady() bool {
	for _, a := range g.step.After {
		if g.occ.groups[a].left > 0 {
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
