package cell

import (
	"time"

	"coltsfootmux/internal/core/retry"
	"coltsfootmux/internal/core/speed"
	"coltsfootmux/internal/core/termination"
	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
)

// worker is what the cell knows of a worker.
type worker struct {
	external.Worker
	// listed is set while the store's list contains the worker.
	listed bool
	// onRoster is set once the stored roster contains the worker, inherited if the
	// previous term's roster did.
	onRoster  bool
	inherited bool
	// ends is how far the ended runs of the worker's present incarnation have been read. unreadSince,
	// if not 0, is the last hold before an answer that may have left some of earlier owners out.
	// listsCut is set if its latest answer may have left out ended runs.
	ends        termination.EndsRead
	unreadSince int64
	listsCut    bool
	// vacant is set if the previous owner stored that nothing ran on the worker,
	// storedVacant if this owner has stored so last.
	vacant       bool
	storedVacant bool
	// knowsTerm is set once the worker's current incarnation has answered a hold of
	// this term. From then on it refuses the orders of earlier terms.
	knowsTerm bool
	// reportedStartMS identifies the worker's current incarnation by its start time, as the
	// worker last answered; 0 if it has not. Entries of the list may come from other writers.
	reportedStartMS int64
	// usedAddr is the address at which the worker last answered, or at which the previous owner
	// used it.
	usedAddr string
	// gone is set once another worker has answered at usedAddr: its process has ended, and
	// nothing runs there any more.
	gone bool
	// incarnation counts the restarts of the worker that this owner has seen.
	incarnation int
	// lastAnswerAt is when the worker last answered a hold.
	lastAnswerAt time.Duration
	// clock is the worker's clock as it was at clockReadAt on the owner's clock.
	clock       time.Duration
	clockReadAt time.Duration
	// firstStartedMS is the start of the first incarnation that is known, also of earlier owners.
	firstStartedMS int64
	// leaseEnd is when every lease that the worker was granted has certainly expired.
	leaseEnd time.Duration
	runs     []*run
	// used is the sum of the resources of runs.
	used job.Resources
	// plannedRoom is kept free for units whose room is being vacated by preemption.
	plannedRoom job.Resources
	// reserved is kept free for units that wait until other runs end by themselves.
	reserved job.Resources
	// cooldownTotal is kept for urgent work: the sum of cooldowns, which are sorted by
	// their end.
	cooldownTotal job.Resources
	cooldowns     []cooldown
	// waitingHold and probeHold are the numbers of the holds in flight, or 0: a hold
	// whose answer may wait for a run to end, and one that is answered at once.
	// probeDue asks for the latter to be sent.
	waitingHold int64
	probeHold   int64
	probeDue    bool
	// holdSentAt is when waitingHold was sent, holdMaxWait how long its answer may
	// wait. holdResends counts the probes sent because the answer was overdue;
	// holdResentAt is when the last of them became due.
	holdSentAt   time.Duration
	holdMaxWait  time.Duration
	holdResends  int
	holdResentAt time.Duration
	// answeredHold is the highest number of an answered hold.
	answeredHold int64
	// nextHoldAt is the earliest time of the next hold that may wait.
	nextHoldAt time.Duration
	// holdFailures counts consecutive holds without an answer; firstHoldFailureAt is
	// when the first of them failed.
	holdFailures       int
	firstHoldFailureAt time.Duration
	// refusesConns is set if nothing listened at its address at the last of them.
	refusesConns bool
	// crashPresumed is set while the worker is presumed to have crashed. blamed are the
	// runs against whose tasks this was counted.
	crashPresumed bool
	blamed        []*run
	// probationRuns counts the runs of suspects on the worker. vacatedFor is the suspect
	// for which it gets no other runs, if any.
	probationRuns int
	vacatedFor    *unit
	// processedEnd is the number of the last ended run that was processed, durableEnd
	// of the last one whose effect is durable, and ackedEnd of the last one that was
	// acknowledged to the worker.
	processedEnd int64
	durableEnd   int64
	ackedEnd     int64
	// runsKnown is set while the worker has not answered in this term, and the previous owner has
	// stored which runs it may have.
	runsKnown bool
	// recordsRuns is set while the roster is to say which runs the worker may have, storedRuns if
	// the one that was made last does.
	recordsRuns bool
	storedRuns  bool
	// placeDrained is set while operators have drained the worker's data centre.
	placeDrained bool
	// unidentifiedRuns counts the unidentified ones of runs. deferredEnds are the listed
	// ends of runs whose jobs' submissions have not been read, in the order of their
	// numbers.
	unidentifiedRuns int
	deferredEnds     []external.EndedRun
	// pauseUntil is when new runs may be placed on the worker again after it refused one,
	// suspectUntil after one went wrong there. suspicions counts the calls of suspect since
	// a run last ended well.
	pauseUntil   time.Duration
	suspectUntil time.Duration
	suspicions   int
	// failedJobs holds the jobs whose runs have failed on the worker since a run last
	// ended well there.
	failedJobs map[job.ID]bool
	// retryHistory is what retries take into account of the worker's runs.
	retryHistory retry.WorkerHistory
	// plannedTasks counts the tasks of each group for which room is planned or
	// reserved.
	plannedTasks  map[*taskGroup]int
	drainingSince time.Duration
	// speed is the estimate of the worker's time factor, class its class relative to
	// speed.Usual, and slowness its factor relative to its pool's median, 0 before the first
	// computation; see speeds.go.
	speed    speed.Estimate
	class    speed.Class
	slowness float64
	// pastRuns are the runs that ended lately, as neighbours of those that go on.
	pastRuns pastRuns
}

func newWorker(w external.Worker) *worker {
	return &worker{Worker: w, listed: true, firstStartedMS: w.StartedMS, failedJobs: make(map[job.ID]bool), plannedTasks: make(map[*taskGroup]int)}
}

// available returns the resources that work of the given priority may take: those
// that are neither used nor planned and, unless the priority is 0, neither reserved
// nor in a cooldown.
func (w *worker) available(priority int) job.Resources {
	free := w.Capacity.Minus(w.used).Minus(w.plannedRoom)
	if priority == 0 {
		return free
	}
	return free.Minus(w.reserved).Minus(w.cooldownTotal)
}

// usable reports whether new runs may be placed on the worker.
func (w *worker) usable(now time.Duration) bool { return w.reachable(now) && now >= w.suspectUntil }

// reachable is usable for a worker on which runs have gone wrong lately.
func (w *worker) reachable(now time.Duration) bool {
	return w.listed && !w.gone && w.onRoster && w.knowsTerm && !w.Draining && !w.placeDrained && w.holdFailures == 0 && w.unidentifiedRuns == 0 && now >= w.pauseUntil
}

// settledEnd returns the number up to which all listed ends of runs have been applied.
func (w *worker) settledEnd() int64 {
	if len(w.deferredEnds) > 0 {
		return w.deferredEnds[0].Number - 1
	}
	return w.processedEnd
}

// estimatedClock returns an estimate of the worker's present clock. It is ahead of
// the real one by at most as much as the worker's clock has run slow since its last
// reading.
func (w *worker) estimatedClock(now time.Duration) time.Duration {
	return w.clock + (now - w.clockReadAt)
}

// leaseExpiry returns when a lease that ends at until on the worker's clock has
// certainly expired.
func (w *worker) leaseExpiry(now, until time.Duration) time.Duration {
	left := until - w.estimatedClock(now)
	return now + time.Duration(float64(left)*clockSlack) + leaseMargin
}

// suspect keeps new runs off the worker for a pause that doubles with each call, up
// to maxSuspectPause.
func (w *worker) suspect(now time.Duration) {
	pause := min(minSuspectPause<<min(w.suspicions, 8), maxSuspectPause)
	w.suspicions++
	w.suspectUntil = max(w.suspectUntil, now+pause)
}

// clearSuspicions records that a run has ended well on the worker.
func (w *worker) clearSuspicions() {
	w.suspicions = 0
	clear(w.failedJobs)
}

// hasUrgentRun reports whether work of priority 0 runs on the worker.
func (w *worker) hasUrgentRun() bool {
	for _, r := range w.runs {
		if r.unit != nil && r.unit.group.priority() == 0 {
			return true
		}
	}
	return false
}

func (w *worker) hasLabel(l string) bool {
	for _, have := range w.Labels {
		if have == l {
			return true
		}
	}
	return false
}

// taskCount returns the number of the group's tasks that run on the worker or have
// room planned or reserved on it.
func (w *worker) taskCount(g *taskGroup) int {
	n := w.plannedTasks[g]
	for _, r := range w.runs {
		if r.unit != nil && r.unit.group == g {
			n++
		}
	}
	return n
}
