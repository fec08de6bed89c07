package cell

import (
	"slices"
	"time"

	"coltsfootmux/internal/core/blame"
	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
)

// refusalsUntilCrash is how many holds in a row must fail, the last because nothing listens
// at the worker's address, until the worker is presumed to have crashed.
const refusalsUntilCrash = 2

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
// An address has one process at a time, so that the runs need not wait for their lease. That
// says nothing of a worker whose runs are at another address than the one that its entry names.
func (c *Core) checkProcess(w *worker, refusal external.Refusal) {
	if refusal != external.RefusedOtherIncarnation || w.gone {
		return
	}
	if w.Addr != w.usedAddr {
		c.emit(WorkerStateChanged{Worker: w.ID, Change: "its entry names the address of another process", Runs: len(w.runs)})
		w.nextHoldAt = c.now.Mono + wrongAddrRetryDelay
		return
	}
	w.gone = true
	c.disturbed()
	c.emit(WorkerStateChanged{Worker: w.ID, Change: "process is gone", Runs: len(w.runs)})
	c.workerCrashed(w, w.runs, "another process answers")
	c.loseRuns(w, c.observations(w).KnownRuns())
}

// presumeCrash counts the crash of a worker that refuses connections, before it is certain.
// Otherwise the count would be lost with an owner that is lost within the seconds until then.
func (c *Core) presumeCrash(w *worker) {
	if w.crashPresumed || w.holdFailures < refusalsUntilCrash || !w.refusesConns {
		return
	}
	w.crashPresumed = true
	c.emit(WorkerStateChanged{Worker: w.ID, Change: "may have crashed: it refuses connections", Runs: len(w.runs)})
	w.blamed = c.blameForCrash(w, w.runs)
}

// withdrawCrash takes back what was counted for a worker that has not crashed after all.
func (c *Core) withdrawCrash(w *worker) {
	for _, r := range w.blamed {
		c.uncountCrash(r)
	}
	w.crashPresumed, w.blamed = false, nil
}

// workerCrashed counts the crash of a worker against the tasks that may have caused it, and
// gives up those that are certainly to blame. The runs that were lost are still on the worker.
func (c *Core) workerCrashed(w *worker, lost []*run, evidence string) {
	c.rememberCrash(w)
	if !w.crashPresumed {
		w.blamed = c.blameForCrash(w, lost)
	}
	blamed := w.blamed
	w.crashPresumed, w.blamed = false, nil
	if len(lost) == 0 {
		return
	}
	ev := WorkerCrashed{Worker: w.ID, Evidence: evidence, Runs: len(lost)}
	for _, r := range blamed {
		ev.Blamed = append(ev.Blamed, r.task)
	}
	c.emit(ev)
	if len(blamed) == 0 {
		return
	}
	pool := c.crashPool()
	for _, r := range blamed {
		c.judge(r, pool)
	}
}

// blameForCrash counts a crash of the worker against the tasks that may have caused it, and
// returns their runs. A worker that was told to leave has not crashed, and nothing is known
// of what ran on one that has not answered in this term.
func (c *Core) blameForCrash(w *worker, lost []*run) []*run {
	if w.Draining || !w.knowsTerm {
		return nil
	}
	failedAt := c.now.Mono
	if w.holdFailures > 0 {
		failedAt = w.firstHoldFailureAt
	}
	var candidates []*run
	var runs []blame.Run
	units := make(map[*unit]int)
	for _, r := range lost {
		if r.unit == nil || r.absentSince != 0 || c.isInherited(r) && !r.unit.isSuspect() {
			continue // it survived its start, or had ended before
		}
		if _, ok := units[r.unit]; !ok {
			units[r.unit] = len(units)
		}
		candidates = append(candidates, r)
		runs = append(runs, blame.Run{Age: failedAt - r.createdAt, Crashes: r.unit.crashes[r.member()], Unit: units[r.unit]})
	}
	var blamed []*run
	atStart := false
	for _, n := range c.crashes.Crashed(failedAt, len(c.fleet), runs) {
		r := candidates[n]
		r.crash = blame.Crash{
			Age: runs[n].Age, Lived: max(0, w.lastAnswerAt-r.startedAt), Probed: r.onProbation && r.isAlone(),
			Started: r.startedAt != 0 && !r.adopted, Youngest: blame.IsYoungest(runs, n),
		}
		atStart = atStart || r.crash.IsAtStart()
		if c.countCrash(r) {
			blamed = append(blamed, r)
		}
	}
	if !atStart {
		c.crashes.Unexplained(failedAt)
	}
	return blamed
}

// isInherited reports whether an owner of an earlier term ordered the run.
func (c *Core) isInherited(r *run) bool { return r.number < c.term*runsPerTerm }

// countCrash counts a crash against the task of a run, unless the task needs no run any more.
func (c *Core) countCrash(r *run) bool {
	u := r.unit
	if u.state == unitDone || u.entry().outcome != job.Open {
		return false
	}
	blame.Increment(&u.crashes, r.member(), 1)
	if r.crash.IsAtStart() {
		blame.Increment(&u.startCrashes, r.member(), 1)
	}
	u.entry().history.Crashed++
	c.markDirty(u.entry())
	return true
}

func (c *Core) uncountCrash(r *run) {
	u := r.unit
	if u.crashes[r.member()] == 0 {
		return // another run of the task has survived since
	}
	blame.Decrement(u.crashes, r.member())
	if r.crash.IsAtStart() {
		blame.Decrement(u.startCrashes, r.member())
	}
	u.entry().history.Crashed--
	c.markDirty(u.entry())
}

// judge gives the task of a run up if it is certainly to blame for crashes. Long-running tasks
// are started again however they end.
func (c *Core) judge(r *run, pool blame.Pool) {
	u := r.unit
	if u.state == unitDone || u.entry().outcome != job.Open || u.group.step.LongRunning {
		return
	}
	if !c.crashes.GivesUp(c.now.Mono, pool, r.crash, u.startCrashes[r.member()]) {
		return
	}
	c.emit(TaskGivenUp{Task: r.task, Crashes: u.crashes[r.member()], Alone: r.isAlone(), Age: r.crash.Age})
	c.finishJob(u.entry(), job.Failed, ReasonFailed)
}

// crashPool returns what package blame is told of the workers.
func (c *Core) crashPool() blame.Pool {
	p := blame.Pool{Workers: len(c.fleet)}
	for _, w := range c.fleet {
		if w.inherited && c.now.UnixMS-w.StartedMS <= blame.BackgroundTime.Milliseconds() {
			p.Started++
		}
	}
	return p
}

// member returns the index of a run's task within its unit.
func (r *run) member() int { return r.task.Index - r.unit.index }

// isAlone reports whether only the run's unit has runs on its worker.
func (r *run) isAlone() bool {
	return !slices.ContainsFunc(r.worker.runs, func(o *run) bool { return o.unit != r.unit })
}

// isSuspect reports whether a worker has crashed under a task of the unit, and no run of that
// task has shown since that it was not to blame.
func (u *unit) isSuspect() bool { return len(u.crashes) > 0 }

// clearSuspect clears a task of suspicion whose run has survived for long enough.
func (c *Core) clearSuspect(r *run) {
	u := r.unit
	if u == nil || u.crashes[r.member()] == 0 || r.state != runRunning {
		return
	}
	survived := c.now.Mono - r.startedAt
	if survived >= blame.StartSurvivalTime && u.startCrashes[r.member()] > 0 {
		delete(u.startCrashes, r.member())
		c.markDirty(u.entry())
	}
	if survived < blame.SurvivalTime {
		return
	}
	delete(u.crashes, r.member())
	c.markDirty(u.entry())
	if u.isSuspect() {
		return
	}
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
