package cell

import (
	"slices"
	"time"

	"coltsfootmux/internal/core/blame"
	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
)

// WorkerCrashed reports the crash of a worker that had runs, for the log.
type WorkerCrashed struct {
	Worker external.WorkerID
	// Evidence says how the crash was noticed.
	Evidence string
	Runs     int
	// Blamed are the tasks that may have caused it.
	Blamed []job.TaskID
}

// TaskGivenUp reports a task whose job fails because workers have crashed under the task.
type TaskGivenUp struct {
	Task job.TaskID
	// Crashes is how many workers have crashed under it. Alone says that no other task ran
	// on the last of them, Age how old its run was.
	Crashes int
	Alone   bool
	Age     time.Duration
}

func (WorkerCrashed) action() {}
func (TaskGivenUp) action()   {}

// checkProcess ends the runs of a worker whose address refuses an order as another worker.
// An address has one process at a time, so that the runs need not wait for their lease.
func (c *Core) checkProcess(w *worker, refusal external.Refusal) {
	if refusal != external.RefusedOtherIncarnation || w.gone {
		return
	}
	w.gone = true
	c.emit(WorkerStateChanged{Worker: w.ID, Change: "process is gone", Runs: len(w.runs)})
	c.workerCrashed(w, "another process answers")
	for _, r := range slices.Clone(w.runs) {
		c.endRun(r, EndedLost, r.latestCheckpoint)
	}
}

// workerCrashed counts the crash of a worker against the tasks that may have caused it. The
// runs are still on the worker.
func (c *Core) workerCrashed(w *worker, evidence string) {
	if w.Draining {
		return // it ended because it was told to
	}
	c.rememberCrash(w)
	failedAt := c.now.Mono
	if w.holdFailures > 0 {
		failedAt = w.firstHoldFailureAt
	}
	var suspects []*run
	var runs []blame.Run
	for _, r := range w.runs {
		if r.unit != nil && !r.crashCounted {
			suspects = append(suspects, r)
			runs = append(runs, blame.Run{Age: failedAt - r.createdAt, Crashes: r.unit.crashes[r.member()]})
		}
	}
	ev := WorkerCrashed{Worker: w.ID, Evidence: evidence, Runs: len(w.runs)}
	var blamed []*run
	for _, n := range c.crashes.Crashed(failedAt, len(c.fleet), runs) {
		blamed = append(blamed, suspects[n])
		ev.Blamed = append(ev.Blamed, suspects[n].task)
	}
	if len(w.runs) > 0 {
		c.emit(ev)
	}
	for _, r := range blamed {
		c.countCrash(r, failedAt-r.createdAt)
	}
}

// countCrash counts a crash against the task of a run, and gives the task up if it is to
// blame for too many.
func (c *Core) countCrash(r *run, age time.Duration) {
	r.crashCounted = true
	u := r.unit
	if u.state == unitDone || u.entry().outcome != job.Open {
		return
	}
	if u.crashes == nil {
		u.crashes = make(map[int]int)
	}
	u.crashes[r.member()]++
	u.cleared = false
	u.entry().history.Crashed++
	c.markDirty(u.entry())
	t := blame.Task{Crashes: u.crashes[r.member()], Alone: r.isAlone(), Age: age}
	if !c.crashes.GivesUp(c.now.Mono, t) {
		return
	}
	c.emit(TaskGivenUp{Task: r.task, Crashes: t.Crashes, Alone: t.Alone, Age: t.Age})
	c.finishJob(u.entry(), job.Failed, ReasonFailed)
}

// member returns the index of a run's task within its unit.
func (r *run) member() int { return r.task.Index - r.unit.index }

// isAlone reports whether only the run's unit has runs on its worker.
func (r *run) isAlone() bool {
	return !slices.ContainsFunc(r.worker.runs, func(o *run) bool { return o.unit != r.unit })
}

// isSuspect reports whether a worker has crashed under the unit, and no run of it has shown
// since that it was not to blame.
func (u *unit) isSuspect() bool { return len(u.crashes) > 0 && !u.cleared }

// clearSuspect clears a suspect whose run has survived for long enough.
func (c *Core) clearSuspect(r *run) {
	u := r.unit
	if u == nil || !u.isSuspect() || r.state != runRunning || c.now.Mono-r.startedAt < blame.SurvivalTime {
		return
	}
	u.cleared = true
	for _, o := range u.runs {
		o.worker.leaveProbation(o)
	}
	c.placementDue = true
}

// enterProbation records that a suspect runs on the worker, which then gets no other run.
func (w *worker) enterProbation(r *run) {
	if r.unit != nil && r.unit.isSuspect() {
		r.onProbation = true
		w.probationRuns++
	}
}

func (w *worker) leaveProbation(r *run) {
	if r.onProbation {
		r.onProbation = false
		w.probationRuns--
	}
}
