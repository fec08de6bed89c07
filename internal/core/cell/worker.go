package cell

import (
	"time"

	"coltsfootmux/internal/core/retry"
	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
)

// worker is what the cell believes of a worker.
type worker struct {
	external.Worker
	// listed says that the store's list names the worker, unlistedAt since when it
	// does not.
	listed     bool
	unlistedAt time.Duration
	// onRoster says that the durable roster names the worker, inherited that the
	// roster of the term before does.
	onRoster  bool
	inherited bool
	// knowsTerm says that this life of the worker has answered a hold of this term.
	knowsTerm       bool
	reportedStartMS int64
	// incarnation counts the lives of the worker that this owner has met.
	incarnation int
	// lastAnswerAt is when the worker last answered a hold.
	lastAnswerAt time.Duration
	// clock is the worker's clock at clockAt of ours.
	clock       time.Duration
	clockReadAt time.Duration
	// leaseEnd is when every lease that was asked for has certainly lapsed.
	leaseEnd    time.Duration
	runs        []*run
	used        job.Resources
	plannedRoom job.Resources
	// reserved is kept for units that wait for it to come free.
	reserved job.Resources
	// cooldownTotal is kept for urgent work; cooling says until when, oldest first.
	cooldownTotal job.Resources
	cooldowns     []cooldown
	// waitingHold and probeIssue number the holds in flight, 0 for none: the one that
	// waits for an end, and one that asks at once. probe asks for the latter.
	waitingHold int64
	probeHold   int64
	probeDue    bool
	// holdSentAt is when the hold in flight was sent, askedWait how long its answer may
	// wait; overdue counts the probes sent as it had none in time, overdueAt is when
	// the last of them was sent.
	holdSentAt   time.Duration
	holdMaxWait  time.Duration
	holdResends  int
	holdResentAt time.Duration
	// answeredHold is the latest hold that was answered.
	answeredHold int64
	nextHoldAt   time.Duration
	// holdFailures counts holds in a row without an answer.
	holdFailures       int
	firstHoldFailureAt time.Duration
	// processedEnd is the last end that was taken in, ack the last that is durable,
	// ackSent the last that was acknowledged.
	processedEnd int64
	durableEnd   int64
	ackedEnd     int64
	// pauseUntil keeps new runs off; suspicion counts reasons in a row.
	pauseUntil time.Duration
	suspicions int
	failedJobs map[job.ID]bool
	// retryRecord is what the worker's runs say of it.
	retryRecord retry.Record
	// plannedTasks counts the tasks of a group for which room is held.
	plannedTasks  map[*group]int
	drainingSince time.Duration
}

func newWorker(w external.Worker) *worker {
	return &worker{Worker: w, listed: true, failedJobs: make(map[job.ID]bool), plannedTasks: make(map[*group]int)}
}

// available gives what work of a priority may take: what is neither taken nor held,
// and for all but the most urgent what is neither reserved nor kept for urgent work.
func (w *worker) available(priority int) job.Resources {
	free := w.Capacity.Minus(w.used).Minus(w.plannedRoom)
	if priority == 0 {
		return free
	}
	return free.Minus(w.reserved).Minus(w.cooldownTotal)
}

// usable says whether new runs may be placed on the worker.
func (w *worker) usable(now time.Duration) bool {
	return w.listed && w.onRoster && w.knowsTerm && !w.Draining && w.holdFailures == 0 && now >= w.pauseUntil
}

// estimatedClock estimates the worker's clock; it is never ahead of it by more than
// the worker's clock is slow.
func (w *worker) estimatedClock(now time.Duration) time.Duration {
	return w.clock + (now - w.clockReadAt)
}

// leaseExpiry gives when a lease that ends at until on the worker's clock has certainly lapsed.
func (w *worker) leaseExpiry(now, until time.Duration) time.Duration {
	left := until - w.estimatedClock(now)
	return now + time.Duration(float64(left)*clockSlack) + leaseMargin
}

// suspect keeps new runs off the worker, longer each time.
func (w *worker) suspect(now time.Duration) {
	pause := min(suspectPause<<min(w.suspicions, 8), suspectMax)
	w.suspicions++
	w.pauseUntil = max(w.pauseUntil, now+pause)
}

// clearSuspicions takes note of a run that ended well.
func (w *worker) clearSuspicions() {
	w.suspicions = 0
	clear(w.failedJobs)
}

// hasUrgentRun says whether work of priority 0 runs on the worker.
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

// taskCount gives how many tasks of a step's occurrence run on the worker or have
// room held for them there.
func (w *worker) taskCount(g *group) int {
	n := w.plannedTasks[g]
	for _, r := range w.runs {
		if r.unit != nil && r.unit.group == g {
			n++
		}
	}
	return n
}
