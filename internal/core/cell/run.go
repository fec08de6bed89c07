package cell

import (
	"time"

	"coltsfootmux/internal/job"
)

type runState int

const (
	// runStarting waits for the answer to its start.
	runStarting runState = iota
	// runUnconfirmed was ordered and not answered; it may be running or start late.
	runUnconfirmed
	runRunning
	// runStopping has been ordered to stop.
	runStopping
)

// run is one run of a task on a worker. It takes room until it is over.
type run struct {
	task   job.TaskID
	number int64
	// unit is nil for a run of no known task.
	unit      *unit
	worker    *worker
	state     runState
	resources job.Resources
	// createdAt is when the run was ordered or found.
	createdAt time.Duration
	// staleThrough is the number of the last hold issued before the state was entered:
	// only lists of later holds speak about it.
	staleThrough int64
	// startCheckpoint is what the run was started from.
	startCheckpoint string
	// startSentAt is when the start was last startSentAt, repeats how often it was startSentAt again. Once
	// it was, no single answer says that nothing was started.
	startSentAt  time.Duration
	startResends int
	// stopResends is how often the stop was sent again.
	stopResends int
	// stopSentAt is when the last stop was sent, stopAcked when one was answered.
	stopSentAt       time.Duration
	stopAckedAt      time.Duration
	stopReason       StopReason
	latestCheckpoint string
	percent          int
	// progressedAt is when percent last changed, and since when it has been running.
	progressedAt time.Duration
	startedAt    time.Duration
	listsMissing int
	// measurement is what the worker said of the run's last half second; pace is the
	// share of its speed that it was ordered to work at, at paced.
	measurement int
	pace        int
	paceSetAt   time.Duration
	// unconfirmedSince is since when it is not known whether the start was carried out.
	unconfirmedSince time.Duration
	// listedAt is when a list last showed the run.
	listedAt time.Duration
	// resumed runs began from a checkpoint; their progress says little.
	resumed bool
}

// attach puts the run on its worker and unit.
func (r *run) attach() {
	r.worker.runs = append(r.worker.runs, r)
	r.worker.used = r.worker.used.Plus(r.resources)
	if r.unit != nil {
		r.unit.runs = append(r.unit.runs, r)
		r.unit.state = unitActive
	}
}

// detach gives the run's room back.
func (r *run) detach() {
	r.worker.runs = removeRun(r.worker.runs, r)
	r.worker.used = r.worker.used.Minus(r.resources)
	if r.unit != nil {
		r.unit.runs = removeRun(r.unit.runs, r)
	}
}

func removeRun(runs []*run, r *run) []*run {
	for i, o := range runs {
		if o == r {
			return append(runs[:i:i], runs[i+1:]...)
		}
	}
	return runs
}

// findRun gives the worker's run of a task, or nil.
func (w *worker) findRun(t job.TaskID, number int64) *run {
	for _, r := range w.runs {
		if r.number == number && r.task == t {
			return r
		}
	}
	return nil
}

// unsavedWork gives the work in core-seconds that is lost when the run is stopped
// now. A stop makes a checkpoint, so that only the time to restore it is lost.
func (r *run) unsavedWork(now, restore time.Duration) float64 {
	if r.unit == nil {
		return 0
	}
	age := now - r.createdAt
	if r.unit.group.step.Checkpoints {
		age = min(age, restore)
	}
	return r.resources.Cores() * age.Seconds()
}

// reflectedIn says whether a list of a hold numbered issue speaks about the run's state.
func (r *run) reflectedIn(issue int64) bool { return issue > r.staleThrough }
