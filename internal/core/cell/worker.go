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
	// rostered says that the durable roster names the worker, inherited that the
	// roster of the term before does.
	rostered  bool
	inherited bool
	// fenced says that this life of the worker has answered a hold of this term.
	fenced bool
	born   int64
	// life counts the lives of the worker that this owner has met.
	life int
	// heard is when the worker last answered a hold.
	heard time.Duration
	// clock is the worker's clock at clockAt of ours.
	clock   time.Duration
	clockAt time.Duration
	// leaseEnd is when every lease that was asked for has certainly lapsed.
	leaseEnd time.Duration
	runs     []*run
	used     job.Resources
	held     job.Resources
	// reserved is kept for units that wait for it to come free.
	reserved job.Resources
	// cooled is kept for urgent work; cooling says until when, oldest first.
	cooled  job.Resources
	cooling []cooling
	// holdIssue and probeIssue number the holds in flight, 0 for none: the one that
	// waits for an end, and one that asks at once. probe asks for the latter.
	holdIssue  int64
	probeIssue int64
	probe      bool
	// asked is when the hold in flight was sent, askedWait how long its answer may
	// wait; overdue counts the probes sent as it had none in time, overdueAt is when
	// the last of them was sent.
	asked     time.Duration
	askedWait time.Duration
	overdue   int
	overdueAt time.Duration
	// heardIssue is the latest hold that was answered.
	heardIssue int64
	holdNext   time.Duration
	// holdFails counts holds in a row without an answer.
	holdFails int
	firstFail time.Duration
	// processed is the last end that was taken in, ack the last that is durable,
	// ackSent the last that was acknowledged.
	processed int64
	ack       int64
	ackSent   int64
	// pauseUntil keeps new runs off; suspicion counts reasons in a row.
	pauseUntil time.Duration
	suspicion  int
	failedJobs map[job.ID]bool
	// record is what the worker's runs say of it.
	record retry.WorkerHistory
	// planned counts the tasks of a group for which room is held.
	planned    map[*group]int
	drainSince time.Duration
}

func newWorker(w external.Worker) *worker {
	return &worker{Worker: w, listed: true, failedJobs: make(map[job.ID]bool), planned: make(map[*group]int)}
}

// room gives what work of a priority may take: what is neither taken nor held,
// and for all but the most urgent what is neither reserved nor kept for urgent work.
func (w *worker) room(priority int) job.Resources {
	free := w.Capacity.Minus(w.used).Minus(w.held)
	if priority == 0 {
		return free
	}
	return free.Minus(w.reserved).Minus(w.cooled)
}

// usable says whether new runs may be placed on the worker.
func (w *worker) usable(now time.Duration) bool {
	return w.listed && w.rostered && w.fenced && !w.Draining && w.holdFails == 0 && now >= w.pauseUntil
}

// clockNow estimates the worker's clock; it is never ahead of it by more than
// the worker's clock is slow.
func (w *worker) clockNow(now time.Duration) time.Duration { return w.clock + (now - w.clockAt) }

// lapseAt gives when a lease that ends at until on the worker's clock has certainly lapsed.
func (w *worker) lapseAt(now, until time.Duration) time.Duration {
	left := until - w.clockNow(now)
	return now + time.Duration(float64(left)*clockSlack) + leaseMargin
}

// suspect keeps new runs off the worker, longer each time.
func (w *worker) suspect(now time.Duration) {
	pause := min(suspectPause<<min(w.suspicion, 8), suspectMax)
	w.suspicion++
	w.pauseUntil = max(w.pauseUntil, now+pause)
}

// trust takes note of a run that ended well.
func (w *worker) trust() {
	w.suspicion = 0
	clear(w.failedJobs)
}

// isUrgent says whether work of priority 0 runs on the worker.
func (w *worker) isUrgent() bool {
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

// countOf gives how many tasks of a step's occurrence run on the worker or have
// room held for them there.
func (w *worker) countOf(g *group) int {
	n := w.planned[g]
	for _, r := range w.runs {
		if r.unit != nil && r.unit.group == g {
			n++
		}
	}
	return n
}
