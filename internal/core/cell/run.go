package cell

import (
	"time"

	"coltsfootmux/internal/core/blame"
	"coltsfootmux/internal/core/termination"
	"coltsfootmux/internal/job"
)

type runState int

const (
	// runStarting means that the start order has not been answered yet.
	runStarting runState = iota
	// runUnconfirmed means that the start order's outcome is unknown: the run may be
	// running, or may still start.
	runUnconfirmed
	// runRunning means that the worker has confirmed the start.
	runRunning
	// runStopping means that the worker has been ordered to stop the run.
	runStopping
)

// run is one run of a task on a worker. It occupies the worker's resources until
// it is known to be over.
type run struct {
	task job.TaskID
	// number tells the runs of a task apart; later runs have higher numbers.
	number int64
	// unit is nil if the run's task is unknown or needs no run any more.
	unit      *unit
	worker    *worker
	state     runState
	resources job.Resources
	// createdAt is when the run was ordered or first listed.
	createdAt time.Duration
	// staleThrough is the number of the last hold sent before the run entered its
	// state. Only the lists of later holds reflect that state.
	staleThrough int64
	// startCheckpoint is the checkpoint from which the run was started, if any.
	startCheckpoint string
	// startSentAt is when the start was last sent, startResends how many times it was
	// resent. After a resend, no single answer proves that nothing was started.
	startSentAt  time.Duration
	startResends int
	// stopResends is how many times the stop was resent.
	stopResends int
	// stopSentAt is when the stop was last sent, stopAckedAt when one was
	// acknowledged.
	stopSentAt  time.Duration
	stopAckedAt time.Duration
	stopReason  StopReason
	// latestCheckpoint is the latest checkpoint that the worker has listed.
	latestCheckpoint string
	// percent is the progress that the worker has listed, changed last at
	// progressedAt.
	percent      int
	progressedAt time.Duration
	// startedAt is when the run was first known to be running, or 0.
	startedAt time.Duration
	// listsMissing counts the consecutive lists that should have shown the run and
	// did not.
	listsMissing int
	// listedIn is the latest hold whose answer showed the run as active. absentSince, if not 0, is
	// the last hold before the first answer that should have shown it and did not.
	listedIn    int64
	absentSince int64
	// measurement is the worker's measurement of the run over the last half second,
	// see external.ActiveRun.
	measurement int
	// pace is the percentage of its speed that the run was last ordered to work at,
	// at the time paceSetAt.
	pace      int
	paceSetAt time.Duration
	// unconfirmedSince is when the start's outcome became unknown; 0 if it is known.
	unconfirmedSince time.Duration
	// listedAt is when a list last showed the run.
	listedAt time.Duration
	// resumed is set for runs that began from a checkpoint or were adopted; their
	// progress does not show their speed.
	resumed bool
	// adopted is set if the owner found the run on the worker. When it was started is not known.
	adopted bool
	// lostBy is the proof of the run's end, if its outcome is unknown.
	lostBy termination.Proof
	// crash describes the run at the first sign of its worker's crash.
	crash blame.Crash
	// onProbation is set while the run is one of worker.probationRuns.
	onProbation bool
	// unidentified is set while the submission of the run's job is not known, or has not
	// been read yet. What resources such a run takes is not known.
	unidentified bool
	// speedShare is the share of the run's evidence of its worker's speed that has been used.
	speedShare float64
	// latencySampledAt is when the latency of a serving task was last sampled.
	latencySampledAt time.Duration
}

// attach adds the run to its worker and unit.
func (r *run) attach() {
	r.worker.runs = append(r.worker.runs, r)
	r.worker.used = r.worker.used.Plus(r.resources)
	if r.unidentified {
		r.worker.unidentifiedRuns++
	}
	r.worker.enterProbation(r)
	if r.unit != nil {
		r.unit.runs = append(r.unit.runs, r)
		r.unit.state = unitActive
		r.unit.entry().runs++
	}
}

// detach removes the run from its worker and unit, which frees its resources.
func (r *run) detach() {
	r.worker.runs = removeRun(r.worker.runs, r)
	r.worker.used = r.worker.used.Minus(r.resources)
	if r.unidentified {
		r.worker.unidentifiedRuns--
	}
	r.worker.leaveProbation(r)
	if r.unit != nil {
		r.unit.runs = removeRun(r.unit.runs, r)
		r.unit.entry().runs--
	}
}

// removeRun returns runs without r. It does not modify the elements of runs.
func removeRun(runs []*run, r *run) []*run {
	for i, o := range runs {
		if o == r {
			return append(runs[:i:i], runs[i+1:]...)
		}
	}
	return runs
}

// findRun returns the worker's run with the given task and number, or nil.
func (w *worker) findRun(t job.TaskID, number int64) *run {
	for _, r := range w.runs {
		if r.number == number && r.task == t {
			return r
		}
	}
	return nil
}

// unsavedWork returns the work, in core-seconds, that is lost if the run is stopped
// now. A task with checkpoints saves one when it is stopped, and loses only the
// time to restore it.
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

// reflectedIn reports whether the lists that answer the given hold reflect the
// run's current state.
func (r *run) reflectedIn(hold int64) bool { return hold > r.staleThrough }

// markStarted records that a worker has started a task of the run's job.
func (r *run) markStarted() {
	if r.unit != nil {
		r.unit.entry().started = true
	}
}
